#include <boost/test/unit_test.hpp>

#include "instance/fleet_world.h"

namespace poplarshed::instance::test {

namespace {

constexpr milliseconds warm_up{1500};
constexpr int steps = 60;
constexpr std::uint64_t seeds = 20;
constexpr std::int64_t largest_jump_ms = 8000;

/// Jobs run while the time of day of instances jumps by seconds, forward and back, also right before a
/// restart of the instance and while a holder is replaced. @returns the first violated rule
std::string jump_while_jobs_run(std::uint64_t seed)
{
    virtual_fleet fleet(seed, fleet_shape{});
    fleet.advance(warm_up);
    random_source random(seed);
    for (int step = 0; step < steps; ++step) {
        const std::size_t index = random.below(fleet.size());
        const std::uint64_t event = random.below(100);
        if (event < 50) {
            fleet.callers().send_job();
        } else if (event < 90) {
            const auto jump = static_cast<std::int64_t>(random.below(2 * largest_jump_ms)) - largest_jump_ms;
            fleet.step_clock(index, milliseconds(jump));
            if (event >= 84) {
                fleet.kill(index, milliseconds(200));
            }
        } else {
            fleet.pause(index, milliseconds(700));
        }
        fleet.advance(milliseconds(static_cast<std::int64_t>(random.below(150))));
    }
    fleet.advance(milliseconds(12'000));
    if (fleet.violations().empty()) {
        fleet.check_end();
    }
    return fleet.violations().empty() ? "" : fleet.violations().front();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_clocks)

BOOST_AUTO_TEST_SUITE(when_the_time_of_day_jumps)

// Run numbers and offer numbers begin at the time of day. Guards against a lease, grant or order that rests
// on it: a task that runs twice, a job without an answer, or a false refusal.
BOOST_AUTO_TEST_CASE(no_rule_is_broken_and_every_job_is_answered)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::string broken = jump_while_jobs_run(seed);
        BOOST_TEST(broken.empty(), "seed " << seed << ": " << broken);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
