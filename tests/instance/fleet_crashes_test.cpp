#include <boost/test/unit_test.hpp>

#include "instance/fleet_faults.h"

namespace poplarshed::instance::test {

namespace {

constexpr std::uint64_t default_first_seed = 1;
constexpr std::uint64_t default_seeds = 12;
constexpr milliseconds warm_up{1500};
constexpr milliseconds time_limit{9000};
// The time limit, and as long for a second attempt of the caller.
constexpr milliseconds longest_life{20'000};
// Two workers may crash under a task (users' target).
constexpr std::size_t max_crashes = 2;

using fault = void (*)(virtual_fleet&, std::size_t owner);

void no_fault(virtual_fleet& /*fleet*/, std::size_t /*owner*/) {}

std::size_t holder_of_last_crash(virtual_fleet& fleet)
{
    return fleet.holder(*fleet.workers().last_crashed() / virtual_fleet::workers_in_each);
}

void kill_holder(virtual_fleet& fleet, std::size_t /*owner*/)
{
    fleet.kill(holder_of_last_crash(fleet), milliseconds(2000));
}

void pause_holder(virtual_fleet& fleet, std::size_t /*owner*/)
{
    fleet.pause(holder_of_last_crash(fleet), milliseconds(1500));
}

void kill_owner(virtual_fleet& fleet, std::size_t owner)
{
    fleet.kill(owner, milliseconds(2000));
}

void break_caller(virtual_fleet& fleet, std::size_t owner)
{
    fleet.callers().break_connections(owner, (owner + 1) % fleet.size());
}

/// Sends a job whose task crashes its workers, and adds a fault some time after the first crash.
/// @param allowed workers that the task may crash in each schedule
void check_crashes(fault added, std::size_t allowed)
{
    const std::uint64_t first = number_from("POPLARSHED_FIRST_SEED", default_first_seed);
    const std::uint64_t last = first + number_from("POPLARSHED_SCHEDULE_SEEDS", default_seeds);
    for (std::uint64_t seed = first; seed < last; ++seed) {
        virtual_fleet fleet(seed, {2 + seed % 2, 2});
        fleet.advance(warm_up);
        const std::size_t owner = fleet.time().below(fleet.size());
        const std::string job = fleet.callers().send_crashing_job(owner, 1, time_limit);
        const time_point until = fleet.time().now() + longest_life;
        while (fleet.workers().crashes_under(job) == 0 && fleet.time().now() < until) {
            fleet.advance(milliseconds(1));
        }
        BOOST_REQUIRE(fleet.workers().last_crashed().has_value());
        fleet.advance(fleet.time().between({}, milliseconds(300)));
        added(fleet, owner);
        while (!fleet.callers().has_ended(job) && fleet.time().now() < until && fleet.violations().empty()) {
            fleet.advance(milliseconds(20));
        }
        const std::size_t crashes = fleet.workers().crashes_under(job);
        BOOST_TEST(crashes <= allowed,
                   "seed " << seed << ": " << crashes << " crashes" << fleet.time().history(job));
        BOOST_TEST(fleet.callers().has_ended(job), "seed " << seed << ": no answer");
        BOOST_TEST(fleet.violations().empty(),
                   "seed " << seed << ": " << (fleet.violations().empty() ? "" : fleet.violations().front()));
    }
}

void run_step(virtual_fleet& fleet)
{
    virtual_time& time = fleet.time();
    if (time.chance(0.5)) {
        fleet.callers().send_job();
    } else if (time.chance(0.3)) {
        fleet.callers().send_crashing_job({}, 1 + static_cast<std::uint32_t>(time.below(3)),
                                          time.between(milliseconds(1500), milliseconds(15'000)));
    } else if (time.chance(0.5)) {
        disturb_workers(fleet);
    } else if (time.chance(0.5)) {
        disturb_links(fleet);
    } else {
        disturb_processes(fleet);
    }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_crashes)

BOOST_AUTO_TEST_SUITE(when_a_task_crashes_each_worker_that_runs_it)

// Guards against a task that takes down one worker after the other.
BOOST_AUTO_TEST_CASE(it_is_given_up_after_two_workers)
{
    check_crashes(no_fault, max_crashes);
}

// Guards against a count that is lost with the holder that has counted; one crash may not be reported yet.
BOOST_AUTO_TEST_CASE(a_killed_holder_takes_at_most_one_crash_with_it)
{
    check_crashes(kill_holder, max_crashes + 1);
}

// Guards against a count that is lost when the pool gets another holder.
BOOST_AUTO_TEST_CASE(a_paused_holder_takes_at_most_one_crash_with_it)
{
    check_crashes(pause_holder, max_crashes + 1);
}

// Guards against a count that begins anew when the job is sent again through another instance.
BOOST_AUTO_TEST_CASE(a_killed_owner_takes_no_crash_with_it)
{
    check_crashes(kill_owner, max_crashes + 1);
}

// Guards against the same while the first instance works on.
BOOST_AUTO_TEST_CASE(a_resubmission_through_another_instance_does_not_begin_anew)
{
    check_crashes(break_caller, max_crashes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_workers_links_and_instances_fail_as_well)

// Guards against starts without end in the presence of cuts, kills, pauses and late orders.
BOOST_AUTO_TEST_CASE(no_schedule_breaks_a_rule)
{
    const std::uint64_t first = number_from("POPLARSHED_FIRST_SEED", default_first_seed);
    const std::uint64_t last = first + number_from("POPLARSHED_SCHEDULE_SEEDS", default_seeds);
    for (std::uint64_t seed = first; seed < last; ++seed) {
        virtual_fleet fleet(seed, {2 + seed % 2, 2});
        const outcome ended = play(fleet, run_step);
        BOOST_TEST(ended.violations.empty(),
                   "seed " << seed << ", step " << ended.step << ": "
                           << (ended.violations.empty() ? "" : ended.violations.front()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
