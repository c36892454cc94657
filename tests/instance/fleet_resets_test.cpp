#include <boost/test/unit_test.hpp>

#include "instance/fleet_faults.h"

namespace poplarshed::instance::test {

namespace {

constexpr std::uint64_t default_first_seed = 1;
// Of each kind.
constexpr std::uint64_t default_seeds = 12;
constexpr std::size_t most_requests_on_their_way = 6;

using fault = void (*)(virtual_fleet&);

void send_into_reset(virtual_fleet& fleet)
{
    const std::size_t count = 1 + fleet.time().below(most_requests_on_their_way);
    for (std::size_t i = 0; i < count; ++i) {
        fleet.callers().send_job_into_reset();
    }
}

void reset_all(virtual_fleet& fleet)
{
    fleet.reset_connections();
    send_into_reset(fleet);
}

// A reset is followed by another one before any of the waits that it causes has ended.
void reset_in_series(virtual_fleet& fleet)
{
    reset_all(fleet);
    const std::size_t more = fleet.time().below(4);
    for (std::size_t i = 1; i <= more; ++i) {
        fleet.time().after(milliseconds(570) * i, [&fleet] { reset_all(fleet); });
    }
}

// Two instances take each other for lost, each for long enough to ask another holder for the order of owners.
void cut_two_instances(virtual_fleet& fleet)
{
    if (fleet.time().chance(0.7)) {
        fleet.callers().send_job();
        return;
    }
    constexpr milliseconds length{3000};
    const std::size_t one = fleet.time().below(fleet.size());
    const std::size_t other = (one + 1 + fleet.time().below(fleet.size() - 1)) % fleet.size();
    fleet.cut(one, other, length);
    fleet.cut(other, one, length);
    for (int i = 0; i < 8; ++i) {
        fleet.time().after(milliseconds(350) * i, [&fleet] { fleet.callers().send_job_into_reset(); });
    }
}

void run_step(virtual_fleet& fleet, fault added)
{
    if (fleet.time().chance(0.6)) {
        fleet.callers().send_job();
    } else {
        added(fleet);
    }
}

void check_schedules(fault added)
{
    const std::uint64_t first = number_from("POPLARSHED_FIRST_SEED", default_first_seed);
    const std::uint64_t last = first + number_from("POPLARSHED_SCHEDULE_SEEDS", default_seeds);
    fleet_coverage coverage;
    for (std::uint64_t seed = first; seed < last; ++seed) {
        virtual_fleet fleet(seed, {2 + seed % 2, 2});
        fleet.callers().keep_own_time_limits();
        const outcome ended = play(fleet, [added](virtual_fleet& disturbed) { run_step(disturbed, added); });
        coverage.add(ended.coverage);
        BOOST_TEST(ended.violations.empty(),
                   "seed " << seed << ", step " << ended.step << ": "
                           << (ended.violations.empty() ? "" : ended.violations.front()));
    }
    BOOST_TEST_MESSAGE("jobs " << coverage.jobs << ", completed " << coverage.completed << ", refused "
                               << coverage.refused << ", unknown " << coverage.unknown << ", starts "
                               << coverage.starts << ", resent " << coverage.resent);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_resets)

BOOST_AUTO_TEST_SUITE(when_a_request_is_on_its_way)

// Guards against two instances that have both read a request and both have it started.
BOOST_AUTO_TEST_CASE(a_job_that_two_instances_have_read_runs_alone)
{
    check_schedules(send_into_reset);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_every_connection_is_reset)

// Guards against messages about a job that are lost with the connections which carried them.
BOOST_AUTO_TEST_CASE(no_task_runs_twice)
{
    check_schedules(reset_all);
}

// Guards against waits that another reset interrupts.
BOOST_AUTO_TEST_CASE(no_task_runs_twice_after_resets_in_series)
{
    check_schedules(reset_in_series);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_two_instances_are_cut_from_each_other)

// Guards against two instances that have read a request and know different holders of the same pools.
BOOST_AUTO_TEST_CASE(a_job_that_both_have_read_runs_alone)
{
    check_schedules(cut_two_instances);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
