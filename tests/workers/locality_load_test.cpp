#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"
#include "virtual_workers.h"

namespace poplarshed::workers::test {

namespace {

constexpr milliseconds work{200};

/// 4 racks of 4 workers with two slots each: a rack runs 40 tasks of 200 ms per second.
struct fixture {
    virtual_site site{16, 1, {}, {4, 1.5}};
    std::size_t offered = 0;

    void offer(const std::string& rack)
    {
        job_offer job = pool_fixture::offer("load-" + std::to_string(++offered), 1, work);
        job.steps[0].preferred_label = rack;
        site.offer(job, work);
    }

    /// Offers jobs for the first rack and, in turn, for the others. @returns the share that was in time
    double offer_for(milliseconds time, milliseconds gap_of_first, milliseconds gap_of_others)
    {
        for (milliseconds at{}; at < time; at += milliseconds(1)) {
            if (at % gap_of_first == milliseconds(0)) {
                offer("r0");
            }
            if (at % gap_of_others == milliseconds(0)) {
                offer("r" + std::to_string(1 + at / gap_of_others % 3));
            }
            site.advance(milliseconds(1));
        }
        site.advance(milliseconds(2000));
        return static_cast<double>(site.in_time()) / static_cast<double>(offered);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(locality_under_load)

// Load pattern: 70% of the pool is in use, and each rack can run what prefers it. Guards against a pool that
// prefers workers remote from the data because it is short of room, and becomes shorter of room by that.
BOOST_AUTO_TEST_CASE(racks_with_room_run_their_own_tasks)
{
    fixture f;
    BOOST_TEST(f.offer_for(milliseconds(4000), milliseconds(30), milliseconds(12)) >= 0.99);
    BOOST_TEST(f.site.remote_starts() * 50 < f.offered);
    BOOST_TEST(f.site.violations().empty());
}

// Load pattern: for 3 s one rack is asked for 1.5 times what it can run while the others are half in use.
// Guards against tasks that all wait for the rack and are late, and against a rack that is left idle.
BOOST_AUTO_TEST_CASE(what_is_beyond_a_rack_runs_elsewhere)
{
    fixture f;
    BOOST_TEST(f.offer_for(milliseconds(3000), milliseconds(16), milliseconds(16)) >= 0.97);
    BOOST_TEST(f.site.remote_starts() * 5 < f.offered);
    BOOST_TEST(f.site.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
