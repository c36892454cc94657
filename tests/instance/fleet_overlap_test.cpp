#include <boost/test/unit_test.hpp>

#include "instance/fleet_faults.h"

namespace poplarshed::instance::test {

namespace {

constexpr std::uint64_t default_first_seed = 1;
// Of each of the seven kinds.
constexpr std::uint64_t default_seeds = 9;
constexpr std::size_t most_jobs_of_burst = 10;

using fault = void (*)(virtual_fleet&);

std::size_t any_instance(virtual_fleet& fleet)
{
    return fleet.time().below(fleet.size());
}

std::size_t other_instance(virtual_fleet& fleet, std::size_t one)
{
    return (one + 1 + fleet.time().below(fleet.size() - 1)) % fleet.size();
}

void break_callers(virtual_fleet& fleet)
{
    const std::size_t count = 1 + fleet.time().below(4);
    for (std::size_t i = 0; i < count; ++i) {
        fleet.callers().break_one();
    }
}

// The first owner's cancel meets a fault that begins as its caller leaves.
void break_caller_of_disturbed_owner(virtual_fleet& fleet)
{
    const auto owner = fleet.callers().break_one();
    if (!owner) {
        return;
    }
    virtual_time& time = fleet.time();
    const milliseconds length = time.between(milliseconds(300), milliseconds(3000));
    const std::uint64_t kind = time.below(3);
    if (kind == 0) {
        fleet.cut_off_instance(*owner, length);
    } else if (kind == 1) {
        fleet.pause(*owner, length);
    } else {
        for (std::size_t other = 0; other < fleet.size(); ++other) {
            if (other != *owner) {
                fleet.lose_frames(*owner, other, length);
            }
        }
    }
}

// A request that a paused instance reads late; its caller may have sent it again by then.
void pause_in_front_of_requests(virtual_fleet& fleet)
{
    const std::size_t index = any_instance(fleet);
    if (!fleet.is_alive(index)) {
        return;
    }
    const milliseconds length = fleet.time().between(milliseconds(1350), milliseconds(3500));
    fleet.pause(index, length);
    const std::size_t jobs = 1 + fleet.time().below(3);
    for (std::size_t i = 0; i < jobs; ++i) {
        fleet.callers().send_job_to(index, fleet.time().between({}, length - milliseconds(1300)));
    }
}

void resubmit(virtual_fleet& fleet)
{
    constexpr std::array<fault, 3> all{break_callers, break_caller_of_disturbed_owner,
                                       pause_in_front_of_requests};
    all.at(fleet.time().below(all.size()))(fleet);
}

void lose_frames(virtual_fleet& fleet)
{
    const std::size_t one = any_instance(fleet);
    fleet.lose_frames(one, other_instance(fleet, one),
                      fleet.time().between(milliseconds(200), milliseconds(2000)));
}

void disturb_store(virtual_fleet& fleet)
{
    virtual_time& time = fleet.time();
    const std::uint64_t kind = time.below(10);
    if (kind < 4) {
        fleet.store().faults() = {time.chance(0.5) ? 0.3 : 0, time.chance(0.5) ? 0.3 : 0};
    } else if (kind < 7) {
        fleet.revoke_record();
    } else {
        fleet.show_stale_store(any_instance(fleet), time.between(milliseconds(300), milliseconds(3000)));
    }
}

void replace_instance(virtual_fleet& fleet)
{
    fleet.replace(any_instance(fleet), fleet.time().between(milliseconds(100), milliseconds(3000)));
}

void restart_worker(virtual_fleet& fleet, std::size_t index)
{
    virtual_time& time = fleet.time();
    fleet.restart_worker(index, time.between(milliseconds(50), milliseconds(300)),
                         time.between({}, milliseconds(1500)));
}

// A holder that hears neither its peers nor news of the store, so that another instance takes its pool, while
// workers of the pool forget the new holder's token.
void isolate_holder(virtual_fleet& fleet)
{
    virtual_time& time = fleet.time();
    const std::size_t data_centre = time.below(fleet.data_centres());
    if (!fleet.has_holder(data_centre)) {
        return;
    }
    const std::size_t holder = fleet.holder(data_centre);
    const milliseconds length = time.between(milliseconds(800), milliseconds(3000));
    fleet.cut_off_instance(holder, length);
    fleet.show_stale_store(holder, length);
    const std::size_t restarts = 1 + time.below(3);
    for (std::size_t i = 0; i < restarts; ++i) {
        const std::size_t worker =
            data_centre * virtual_fleet::workers_in_each + time.below(virtual_fleet::workers_in_each);
        time.after(time.between(milliseconds(300), length),
                   [&fleet, worker] { restart_worker(fleet, worker); });
    }
}

void restart_workers(virtual_fleet& fleet)
{
    if (fleet.time().chance(0.4)) {
        isolate_holder(fleet);
    } else {
        restart_worker(fleet, fleet.time().below(fleet.workers().size()));
    }
}

// Just below a time-out: the grant of an offer, the silence of a peer, and the owner's wait.
milliseconds length_below_timeout(virtual_time& time)
{
    constexpr std::array limits{milliseconds(840), milliseconds(690), milliseconds(1990)};
    return limits.at(time.below(limits.size())) - time.between({}, milliseconds(60));
}

void cut_once(virtual_fleet& fleet, std::size_t one, std::size_t other, std::uint64_t kind)
{
    const milliseconds length = length_below_timeout(fleet.time());
    if (kind == 0) {
        fleet.cut_off_instance(one, length);
        return;
    }
    fleet.cut(one, other, length);
    if (kind == 1) {
        fleet.cut(other, one, length);
    }
}

void cut_in_series(virtual_fleet& fleet)
{
    const std::size_t one = any_instance(fleet);
    const std::size_t other = other_instance(fleet, one);
    const std::uint64_t kind = fleet.time().below(3);
    cut_once(fleet, one, other, kind);
    const milliseconds second =
        length_below_timeout(fleet.time()) + fleet.time().between(milliseconds(10), milliseconds(400));
    fleet.time().after(second, [&fleet, one, other, kind] { cut_once(fleet, one, other, kind); });
}

void disturb_holder(virtual_fleet& fleet, std::size_t data_centre)
{
    if (!fleet.has_holder(data_centre)) {
        return;
    }
    const std::size_t holder = fleet.holder(data_centre);
    const std::uint64_t kind = fleet.time().below(4);
    if (kind < 2) {
        fleet.pause(holder, fleet.time().between(milliseconds(650), milliseconds(1400)));
    } else if (kind == 2) {
        fleet.cut_off_instance(holder, fleet.time().between(milliseconds(650), milliseconds(1950)));
    } else {
        fleet.kill(holder, fleet.time().between(milliseconds(300), milliseconds(1500)));
    }
}

void take_over_twice(virtual_fleet& fleet)
{
    const std::size_t data_centre = fleet.time().below(fleet.data_centres());
    disturb_holder(fleet, data_centre);
    fleet.time().after(fleet.time().between(milliseconds(800), milliseconds(2000)),
                       [&fleet, data_centre] { disturb_holder(fleet, data_centre); });
}

void send_burst(virtual_fleet& fleet)
{
    const std::size_t jobs = 2 + fleet.time().below(most_jobs_of_burst - 1);
    for (std::size_t i = 0; i < jobs; ++i) {
        fleet.callers().send_job();
    }
}

void disturb_in_series(virtual_fleet& fleet)
{
    constexpr std::array<fault, 3> all{cut_in_series, take_over_twice, send_burst};
    all.at(fleet.time().below(all.size()))(fleet);
}

void disturb_anything(virtual_fleet& fleet)
{
    constexpr std::array<fault, 6> all{resubmit,         lose_frames,     disturb_store,
                                       replace_instance, restart_workers, disturb_in_series};
    const std::size_t count = 1 + fleet.time().below(3);
    for (std::size_t i = 0; i < count; ++i) {
        all.at(fleet.time().below(all.size()))(fleet);
    }
}

void run_step(virtual_fleet& fleet, fault added)
{
    const std::uint64_t event = fleet.time().below(100);
    if (event < 40) {
        fleet.callers().send_job();
    } else if (event < 70) {
        added(fleet);
    } else if (event < 83) {
        disturb_links(fleet);
    } else if (event < 90) {
        disturb_processes(fleet);
    } else if (event < 97) {
        disturb_workers(fleet);
    } else {
        fleet.callers().give_up_one();
    }
}

fleet_shape shape_of(std::uint64_t seed)
{
    return {2 + seed % 2, 2 + seed / 2 % 2, 2};
}

void check_schedules(fault added)
{
    const std::uint64_t first = number_from("POPLARSHED_FIRST_SEED", default_first_seed);
    const std::uint64_t last = first + number_from("POPLARSHED_SCHEDULE_SEEDS", default_seeds);
    fleet_coverage coverage;
    for (std::uint64_t seed = first; seed < last; ++seed) {
        virtual_fleet fleet(seed, shape_of(seed));
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

BOOST_AUTO_TEST_SUITE(fleet_overlap)

BOOST_AUTO_TEST_SUITE(when_one_job_has_two_owners)

// Guards against two owners of a job whose caller has sent it again, of which the first works on, or wakes
// and reads a request that waited for longer than its caller.
BOOST_AUTO_TEST_CASE(a_resubmission_runs_alone)
{
    check_schedules(resubmit);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_messages_or_knowledge_are_behind)

// Guards against an instance that takes a job for known to its peer although the frames were lost.
BOOST_AUTO_TEST_CASE(lost_frames_start_no_task_twice)
{
    check_schedules(lose_frames);
}

// Guards against holders that act on a claim, a record or a directory that the store has changed since.
BOOST_AUTO_TEST_CASE(a_store_that_is_behind_starts_no_task_twice)
{
    check_schedules(disturb_store);
}

// Guards against knowledge of a worker that outlives the worker's process.
BOOST_AUTO_TEST_CASE(a_worker_that_restarts_unseen_runs_no_task_twice)
{
    check_schedules(restart_workers);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_pools_move_again_and_again)

// Guards against jobs and runs that are forgotten with an instance that never comes back.
BOOST_AUTO_TEST_CASE(a_replaced_instance_leaves_no_second_run)
{
    check_schedules(replace_instance);
}

// Guards against waits that count from the first of two faults in series.
BOOST_AUTO_TEST_CASE(faults_in_series_start_no_task_twice)
{
    check_schedules(disturb_in_series);
}

// Guards against faults that break a rule only together.
BOOST_AUTO_TEST_CASE(all_faults_together_break_no_rule)
{
    check_schedules(disturb_anything);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
