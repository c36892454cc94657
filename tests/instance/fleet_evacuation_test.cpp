#include <boost/test/unit_test.hpp>

#include "instance/fleet_seeds.h"

namespace poplarshed::instance::test {

namespace {

constexpr seed_range default_seeds{1, 60};
// Longer than an order may take to come into force.
constexpr milliseconds least_evacuation{5500};
constexpr milliseconds greatest_evacuation{9000};

void run_step(virtual_fleet& fleet)
{
    virtual_time& time = fleet.time();
    const std::uint64_t event = time.below(100);
    if (event < 60) {
        fleet.callers().send_job();
    } else if (event < 70) {
        disturb_links(fleet);
    } else if (event < 76) {
        fleet.kill(time.below(fleet.size()), time.between(milliseconds(300), milliseconds(3000)));
    } else if (event < 82) {
        fleet.pause(time.below(fleet.size()), fault_length(time));
    } else if (event < 90) {
        fleet.crash_worker(time.below(fleet.workers().size()),
                           time.between(milliseconds(50), milliseconds(3000)));
    } else if (event < 96) {
        fleet.evacuate(time.below(fleet.data_centres()), time.between(least_evacuation, greatest_evacuation));
    } else {
        fleet.callers().give_up_one();
    }
}

outcome run_schedule(std::uint64_t seed)
{
    virtual_fleet fleet(seed, {2 + seed % 2, 2, 0});
    return play(fleet, run_step);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_evacuation)

// Guards against starts in an evacuated data centre, and against two runs of a task at one time or refusals
// of jobs that have run, when jobs move out of it while instances and workers fail.
BOOST_AUTO_TEST_CASE(no_schedule_with_evacuations_breaks_a_rule)
{
    const fleet_coverage coverage = check_seeds(default_seeds, run_schedule);
    BOOST_TEST(coverage.completed > 0U);
    BOOST_TEST(coverage.refused > 0U);
}

// Guards against jobs that wait in an evacuated data centre although another one has room.
BOOST_AUTO_TEST_CASE(the_other_data_centre_takes_the_jobs)
{
    virtual_fleet fleet(1, {2, 2, 0});
    fleet.advance(milliseconds(1500));
    fleet.evacuate(0, seconds(8));
    fleet.advance(milliseconds(1000));
    for (int i = 0; i < 10; ++i) {
        fleet.callers().send_job(fleet.holder(0), 2, milliseconds(100), milliseconds(4000));
        fleet.advance(milliseconds(300));
    }
    fleet.advance(seconds(10));
    fleet.check_end();
    BOOST_TEST(fleet.violations().empty());
    BOOST_TEST(fleet.coverage().completed == 10U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
