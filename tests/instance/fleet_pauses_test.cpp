#include <boost/test/unit_test.hpp>

#include "instance/fleet_world.h"

namespace poplarshed::instance::test {

namespace {

constexpr milliseconds warm_up{1500};
constexpr milliseconds short_work{60};
// Runs on when the paused instance wakes up.
constexpr milliseconds long_work{3000};
constexpr milliseconds time_limit{9000};
constexpr std::uint64_t seeds = 5;

/// A caller sends a job to an instance that is paused, closes the connection and sends the job again through
/// the holder of the other data centre's pool.
std::string wake_up_after(std::uint64_t seed, milliseconds pause)
{
    virtual_fleet fleet(seed, fleet_shape{});
    fleet.advance(warm_up);
    const std::size_t first = 1 - fleet.holder(0);
    const std::size_t second = fleet.holder(1);
    // An instance that has offered a job lately waits for a holder; another one refuses while it hears of
    // none.
    fleet.callers().send_job(first, 1, short_work, time_limit);
    fleet.advance(milliseconds(300));
    fleet.pause(first, pause);
    fleet.advance(milliseconds(10));
    fleet.callers().send_job(first, 2, long_work, time_limit);
    fleet.advance(milliseconds(10));
    fleet.callers().break_connections(first, second);
    fleet.advance(milliseconds(10'000));
    if (fleet.violations().empty()) {
        fleet.check_end();
    }
    return fleet.violations().empty() ? "" : fleet.violations().front();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_pauses)

BOOST_AUTO_TEST_SUITE(when_a_request_waits_at_a_paused_instance)

// Guards against two runs of a task: the instance wakes up, offers the job of a request whose caller has sent
// it again elsewhere, and reads only then that the connection is closed.
BOOST_AUTO_TEST_CASE(it_is_not_offered_beside_its_resend)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (milliseconds length(1400); length < milliseconds(2600); length += milliseconds(50)) {
            const std::string broken = wake_up_after(seed, length);
            BOOST_TEST(broken.empty(),
                       "seed " << seed << ", pause of " << length.count() << " ms: " << broken);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
