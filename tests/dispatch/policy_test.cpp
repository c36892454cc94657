#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "dispatch/dispatch.h"

using namespace poplarshed;
using namespace poplarshed::dispatch;

namespace {

const service_id idempotent_service("safe");  ///< also hedged
const service_id non_idempotent_service("once");
const workspace_id small_workspace("small");
const workspace_id large_workspace("large");

template <class T>
std::vector<T> actions_of(const std::vector<action>& actions)
{
    std::vector<T> found;
    for (const action& next : actions) {
        if (const T* match = std::get_if<T>(&next)) {
            found.push_back(*match);
        }
    }
    return found;
}

std::vector<runner> make_runners(std::size_t count, std::uint32_t slots)
{
    std::vector<runner> made(count);
    for (std::size_t i = 0; i < count; ++i) {
        made[i].address = endpoint("r:" + std::to_string(i));
        made[i].rack = "rack" + std::to_string(i);
        made[i].slots = slots;
        made[i].services = {idempotent_service, non_idempotent_service};
        made[i].memory_mb = 1000;
    }
    return made;
}

struct fixture {
    explicit fixture(std::size_t runners = 2, std::uint32_t slots = 4)
    {
        bundle.services[idempotent_service].idempotent = true;
        bundle.services[idempotent_service].hedge = true;
        bundle.services[non_idempotent_service] = {};
        bundle.workspaces[small_workspace] = {.services = {idempotent_service, non_idempotent_service},
                                              .guaranteed_share = 0.25};
        bundle.workspaces[large_workspace] = {.services = {idempotent_service, non_idempotent_service}};
        policy->apply(bundle, now);
        policy->set_runners(make_runners(runners, slots), now);
    }

    job_request request(std::size_t tasks, const service_id& service, const workspace_id& workspace,
                        duration deadline)
    {
        job_request made;
        made.key = job_key(++keys);
        made.submission = submission_id("s" + std::to_string(keys));
        made.service = service;
        made.workspace = workspace;
        made.arrival = now;
        made.deadline = now + deadline;
        made.tasks.resize(tasks);
        return made;
    }

    std::vector<action> submit(std::size_t tasks, const service_id& service = idempotent_service,
                               const workspace_id& workspace = large_workspace,
                               duration deadline = seconds(20))
    {
        return policy->submit(request(tasks, service, workspace, deadline), now);
    }

    std::vector<action> end_attempt(const start_attempt& started_attempt,
                                    attempt_status status = attempt_status::succeeded,
                                    verdict ran = verdict::ran, bool leaving = false)
    {
        return policy->on_result({.attempt = started_attempt.attempt,
                                  .status = status,
                                  .ran = ran,
                                  .body = {},
                                  .runner_leaving = leaving},
                                 now);
    }

    /// Ends all started attempts and those that are started as a consequence. Attempts on the runner
    /// `failing` fail. @returns all attempts that were started
    std::vector<start_attempt> finish_all(const std::vector<action>& actions, const endpoint& failing)
    {
        std::vector<start_attempt> ended = actions_of<start_attempt>(actions);
        for (std::size_t i = 0; i < ended.size(); ++i) {
            const bool fails = ended[i].runner == failing;
            const auto more = actions_of<start_attempt>(
                end_attempt(ended[i], fails ? attempt_status::runner_failed : attempt_status::succeeded));
            ended.insert(ended.end(), more.begin(), more.end());
        }
        return ended;
    }

    /// Runs jobs of 8 tasks so that run times are observed; runner 0 takes `slow_factor` times as long as the
    /// others.
    void observe_run_times(int rounds, int slow_factor)
    {
        std::multimap<time_point, start_attempt> running;
        const auto collect_started = [&](const std::vector<action>& actions) {
            for (const auto& started_attempt : actions_of<start_attempt>(actions)) {
                running.emplace(
                    now + milliseconds(started_attempt.runner == endpoint("r:0") ? 100 * slow_factor : 100),
                    started_attempt);
            }
        };
        for (int i = 0; i < rounds; ++i) {
            collect_started(submit(8));
            while (!running.empty()) {
                const auto first = running.begin();
                now = first->first;
                const start_attempt started_attempt = first->second;
                running.erase(first);
                collect_started(end_attempt(started_attempt));
            }
        }
    }

    /// Cause of the refusal, which has to be the only answer.
    static refusal only_refusal(const std::vector<action>& actions)
    {
        const auto answers = actions_of<answer_job>(actions);
        BOOST_REQUIRE(answers.size() == 1);
        return std::get<job_refused>(answers[0].outcome).cause;
    }

    time_point now{seconds(100)};
    std::uint64_t keys = 0;
    configuration::bundle bundle;
    std::unique_ptr<dispatcher> policy = make_dispatcher(policy_kind::expected_finish, 1);
};

}  // namespace

BOOST_AUTO_TEST_SUITE(expected_finish_policy)

BOOST_AUTO_TEST_SUITE(admission)

// Guards against jobs that wait for a runner with more memory than any runner has.
BOOST_AUTO_TEST_CASE(impossible_requirements_are_refused_at_once)
{
    fixture f;
    f.bundle.services[idempotent_service].needs.memory_mb = 2000;
    f.policy->apply(f.bundle, f.now);
    BOOST_TEST((f.only_refusal(f.submit(1)).reason == refusal_reason::impossible));
    BOOST_TEST(actions_of<start_attempt>(f.submit(1, non_idempotent_service)).size() == 1);
}

// Guards against admission of jobs that cannot meet their deadline, and against checks that change the queue.
BOOST_AUTO_TEST_CASE(a_long_queue_causes_refusals_and_a_check_changes_nothing)
{
    fixture f;
    f.submit(200);
    for (int i = 0; i < 3; ++i) {
        const auto found =
            f.policy->check(f.request(1, idempotent_service, large_workspace, seconds(2)), f.now);
        BOOST_REQUIRE(found.has_value());
        BOOST_TEST((found->reason == refusal_reason::deadline_unreachable));
        BOOST_TEST((found->ran == verdict::not_run));
        BOOST_TEST(f.policy->jobs_in_flight() == 1);
    }
    // The queue of the other workspace is empty.
    BOOST_TEST(
        !f.policy->check(f.request(1, idempotent_service, small_workspace, seconds(2)), f.now).has_value());
}

// Guards against a workspace with more tasks in flight than its quota, and against a quota that is not
// released when jobs are answered.
BOOST_AUTO_TEST_CASE(quota_bounds_tasks_until_the_answer)
{
    fixture f;
    f.bundle.workspaces[large_workspace].max_tasks_in_flight = 3;
    f.policy->apply(f.bundle, f.now);
    const auto started = actions_of<start_attempt>(f.submit(3));
    BOOST_TEST((f.only_refusal(f.submit(1)).reason == refusal_reason::quota_exceeded));
    for (const auto& started_attempt : started) {
        f.end_attempt(started_attempt);
    }
    BOOST_TEST(actions_of<start_attempt>(f.submit(1)).size() == 1);
}

// Guards against starts of tasks that cannot meet the deadline, and against a wrong verdict for their job.
BOOST_AUTO_TEST_CASE(a_job_that_cannot_meet_its_deadline_is_refused_before_its_start)
{
    fixture f(1, 1);
    const auto first = actions_of<start_attempt>(f.submit(1));
    f.submit(1, idempotent_service, large_workspace, milliseconds(900));
    f.now += milliseconds(850);
    const auto actions = f.end_attempt(first[0]);
    BOOST_TEST(actions_of<start_attempt>(actions).empty());
    const auto answers = actions_of<answer_job>(actions);
    BOOST_REQUIRE(answers.size() == 2);
    BOOST_TEST((std::get<job_refused>(answers[1].outcome).cause.ran == verdict::not_run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(placement)

// Guards against placement by declared speed, and against tasks on a slow runner while a fast one is idle.
BOOST_AUTO_TEST_CASE(observed_fast_runners_come_first)
{
    fixture f;
    f.observe_run_times(20, 5);
    for (const auto& started_attempt : actions_of<start_attempt>(f.submit(4))) {
        BOOST_TEST(started_attempt.runner.value() == "r:1");
    }
}

// Guards against new tasks for a runner that announced its leave while the platform's delayed list still
// shows it.
BOOST_AUTO_TEST_CASE(a_leaving_runner_gets_no_more_tasks)
{
    fixture f;
    const auto started = actions_of<start_attempt>(f.submit(1));
    f.end_attempt(started[0], attempt_status::succeeded, verdict::ran, true);
    f.policy->set_runners(make_runners(2, 4), f.now);
    f.now += seconds(12);
    f.policy->on_timer(f.now);
    for (const auto& started_attempt : actions_of<start_attempt>(f.submit(8))) {
        BOOST_TEST(started_attempt.runner.value() != started[0].runner.value());
    }
}

// Guards against a runner that fails every task immediately and so attracts all tasks, and against a
// recovered runner that is never used again.
BOOST_AUTO_TEST_CASE(a_failing_runner_is_ejected_and_probed_once)
{
    fixture f(3, 4);
    const endpoint failing_runner("r:0");
    const auto attempts_on_failing = [&failing_runner](const std::vector<start_attempt>& started) {
        return std::count_if(started.begin(), started.end(),
                             [&failing_runner](const start_attempt& started_attempt) {
                                 return started_attempt.runner == failing_runner;
                             });
    };
    std::ptrdiff_t failures = 0;
    for (int i = 0; i < 90; ++i) {
        f.now += milliseconds(10);
        failures += attempts_on_failing(
            f.finish_all(i % 3 == 0 ? f.submit(12) : f.policy->on_timer(f.now), failing_runner));
    }
    BOOST_TEST(failures >= 3);
    BOOST_TEST(failures <= 8);
    f.now += milliseconds(300);
    f.finish_all(f.policy->on_timer(f.now), failing_runner);
    f.now += seconds(10);
    f.policy->on_timer(f.now);
    const auto started = f.submit(12);
    BOOST_TEST(attempts_on_failing(actions_of<start_attempt>(started)) == 1);
    f.finish_all(started, endpoint());
    f.policy->on_timer(f.now);
    BOOST_TEST(actions_of<start_attempt>(f.submit(12)).size() == 12);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retries)

// Guards against a faulty task that is retried on one runner after another while its job waits.
BOOST_AUTO_TEST_CASE(a_task_that_fails_on_healthy_runners_fails_its_job)
{
    fixture f(4, 4);
    f.bundle.services[idempotent_service].attempts = 10;
    f.policy->apply(f.bundle, f.now);
    f.observe_run_times(20, 1);
    auto started = actions_of<start_attempt>(f.submit(1));
    std::size_t attempts = 0;
    std::vector<answer_job> answers;
    while (answers.empty() && !started.empty()) {
        ++attempts;
        answers = actions_of<answer_job>(f.end_attempt(started[0], attempt_status::runner_failed));
        f.now += milliseconds(500);
        started = actions_of<start_attempt>(f.policy->on_timer(f.now));
    }
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(attempts == 2);
    BOOST_TEST((std::get<job_failed>(answers[0].outcome).cause.reason == refusal_reason::task_failed));
}

// Guards against retries that multiply the load when all attempts fail.
BOOST_AUTO_TEST_CASE(retries_stay_within_their_budget)
{
    fixture f(2, 4);
    f.bundle.services[idempotent_service].attempts = 100;
    f.policy->apply(f.bundle, f.now);
    std::size_t first = 0;
    std::size_t retries = 0;
    for (int i = 0; i < 2000; ++i) {
        auto started = actions_of<start_attempt>(i % 2 == 0 ? f.submit(1) : f.policy->on_timer(f.now));
        for (std::size_t j = 0; j < started.size(); ++j) {
            ++(started[j].attempt_number == 1 ? first : retries);
            const auto more = actions_of<start_attempt>(
                f.end_attempt(started[j], attempt_status::connection_lost, verdict::may_have_run));
            started.insert(started.end(), more.begin(), more.end());
        }
        f.now += milliseconds(200);
    }
    BOOST_TEST(retries >= 50);
    BOOST_TEST(retries <= 50 + first / 10);
}

// Guards against slow attempts that are never hedged, and against hedges on the rack of the first attempt.
BOOST_AUTO_TEST_CASE(a_straggler_is_hedged_on_another_rack)
{
    fixture f(2, 4);
    f.observe_run_times(30, 1);
    const auto started = actions_of<start_attempt>(f.submit(1));
    BOOST_TEST(actions_of<start_attempt>(f.policy->on_timer(f.now + milliseconds(80))).empty());
    f.now += milliseconds(400);
    const auto hedges = actions_of<start_attempt>(f.policy->on_timer(f.now));
    BOOST_REQUIRE(hedges.size() == 1);
    BOOST_TEST(hedges[0].runner.value() != started[0].runner.value());
    const auto actions = f.end_attempt(hedges[0]);
    BOOST_TEST(actions_of<abandon_attempt>(actions).size() == 1);
    BOOST_TEST(actions_of<answer_job>(actions).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sharing)

// Guards against a workspace with many tasks that takes the guaranteed slots of another workspace.
BOOST_AUTO_TEST_CASE(a_guaranteed_share_is_served_first)
{
    fixture f(2, 4);
    auto running = actions_of<start_attempt>(f.submit(40));
    BOOST_REQUIRE(running.size() == 8);
    f.submit(2, idempotent_service, small_workspace);
    const auto next = actions_of<start_attempt>(f.end_attempt(running[0]));
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next[0].submission.value() == "s2");
}

// Guards against slots that are lost or used by two instances when they are lent and returned.
BOOST_AUTO_TEST_CASE(idle_slots_are_lent_and_returned)
{
    fixture lender(2, 4);
    fixture borrower(2, 4);
    lender.policy->set_peers(0, 2, lender.now);
    borrower.policy->set_peers(1, 2, borrower.now);
    auto actions = borrower.submit(8);
    BOOST_TEST(actions_of<start_attempt>(actions).size() == 4);
    const auto demands = actions_of<send_slot_demand>(actions);
    BOOST_REQUIRE(demands.size() == 1);
    const auto grants =
        actions_of<send_slot_grant>(lender.policy->on_slot_demand(demands[0].message, lender.now));
    BOOST_REQUIRE(grants.size() == 1);
    BOOST_TEST(grants[0].to == 1);
    BOOST_TEST(actions_of<start_attempt>(lender.submit(1)).empty());
    const auto started =
        actions_of<start_attempt>(borrower.policy->on_slot_grant(grants[0].message, borrower.now));
    BOOST_TEST(started.size() == 4);
    for (const auto& started_attempt : started) {
        borrower.end_attempt(started_attempt);
    }
    const auto back = actions_of<send_slot_grant>(borrower.policy->on_timer(borrower.now + milliseconds(10)));
    BOOST_REQUIRE(back.size() == 1);
    BOOST_TEST(back[0].message.returned);
    BOOST_TEST(actions_of<start_attempt>(lender.policy->on_slot_grant(back[0].message, lender.now)).size() ==
               1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
