#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "dispatch/dispatch.h"

using namespace poplarshed;
using namespace poplarshed::dispatch;

namespace {

const service_id safe("safe");  ///< idempotent, hedged
const service_id once("once");  ///< not idempotent
const workspace_id small_workspace("small");
const workspace_id large_workspace("large");

template <class T>
std::vector<T> all(const std::vector<action>& actions)
{
    std::vector<T> found;
    for (const action& item : actions) {
        if (const T* match = std::get_if<T>(&item)) {
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
        made[i].services = {safe, once};
        made[i].memory_mb = 1000;
    }
    return made;
}

struct fixture {
    explicit fixture(std::size_t runners = 2, std::uint32_t slots = 4)
    {
        bundle.services[safe].idempotent = true;
        bundle.services[safe].hedge = true;
        bundle.services[once] = {};
        bundle.workspaces[small_workspace] = {.services = {safe, once}, .guaranteed_share = 0.25};
        bundle.workspaces[large_workspace] = {.services = {safe, once}};
        core->apply(bundle, now);
        core->set_runners(make_runners(runners, slots), now);
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

    std::vector<action> submit(std::size_t tasks, const service_id& service = safe,
                               const workspace_id& workspace = large_workspace,
                               duration deadline = seconds(20))
    {
        return core->submit(request(tasks, service, workspace, deadline), now);
    }

    std::vector<action> end(const start_attempt& item, attempt_status status = attempt_status::succeeded,
                            verdict ran = verdict::ran, bool leaving = false)
    {
        return core->on_result(
            {.attempt = item.attempt, .status = status, .ran = ran, .body = {}, .runner_leaving = leaving},
            now);
    }

    /// Ends every started attempt and those that their ends start. @returns the starts
    std::vector<start_attempt> finish(const std::vector<action>& actions, const endpoint& failing)
    {
        std::vector<start_attempt> ended = all<start_attempt>(actions);
        for (std::size_t i = 0; i < ended.size(); ++i) {
            const bool fails = ended[i].runner == failing;
            const auto more = all<start_attempt>(
                end(ended[i], fails ? attempt_status::runner_failed : attempt_status::succeeded));
            ended.insert(ended.end(), more.begin(), more.end());
        }
        return ended;
    }

    /// Runs jobs until run times are known; runner 0 needs `slow` times as long as the others.
    void teach(int rounds, int slow)
    {
        std::multimap<time_point, start_attempt> running;
        const auto note = [&](const std::vector<action>& actions) {
            for (const auto& item : all<start_attempt>(actions)) {
                running.emplace(now + milliseconds(item.runner == endpoint("r:0") ? 100 * slow : 100), item);
            }
        };
        for (int i = 0; i < rounds; ++i) {
            note(submit(8));
            while (!running.empty()) {
                const auto first = running.begin();
                now = first->first;
                const start_attempt item = first->second;
                running.erase(first);
                note(end(item));
            }
        }
    }

    static refusal refused(const std::vector<action>& actions)
    {
        const auto answers = all<answer_job>(actions);
        BOOST_REQUIRE(answers.size() == 1);
        return std::get<job_refused>(answers[0].outcome).cause;
    }

    time_point now{seconds(100)};
    std::uint64_t keys = 0;
    configuration::bundle bundle;
    std::unique_ptr<dispatcher> core = make_dispatcher(policy_kind::expected_finish, 1);
};

}  // namespace

BOOST_AUTO_TEST_SUITE(expected_finish_policy)

BOOST_AUTO_TEST_SUITE(admission)

// Guards against tasks that wait for a worker that does not exist.
BOOST_AUTO_TEST_CASE(impossible_requirements_are_refused_at_once)
{
    fixture f;
    f.bundle.services[safe].needs.memory_mb = 2000;
    f.core->apply(f.bundle, f.now);
    BOOST_TEST((f.refused(f.submit(1)).reason == refusal_reason::impossible));
    BOOST_TEST(all<start_attempt>(f.submit(1, once)).size() == 1);
}

// Guards against work that is accepted although it cannot be in time, and against checks that take a place.
BOOST_AUTO_TEST_CASE(a_long_queue_refuses_and_a_check_changes_nothing)
{
    fixture f;
    f.submit(200);
    for (int i = 0; i < 3; ++i) {
        const auto found = f.core->check(f.request(1, safe, large_workspace, seconds(2)), f.now);
        BOOST_REQUIRE(found.has_value());
        BOOST_TEST((found->reason == refusal_reason::deadline_unreachable));
        BOOST_TEST((found->ran == verdict::not_run));
        BOOST_TEST(f.core->jobs_in_flight() == 1);
    }
    // The other workspace has its own queue.
    BOOST_TEST(!f.core->check(f.request(1, safe, small_workspace, seconds(2)), f.now).has_value());
}

// Guards against a workspace that holds more tasks than its quota, and against a quota that is never given
// back.
BOOST_AUTO_TEST_CASE(quota_bounds_tasks_until_the_answer)
{
    fixture f;
    f.bundle.workspaces[large_workspace].max_tasks_in_flight = 3;
    f.core->apply(f.bundle, f.now);
    const auto started = all<start_attempt>(f.submit(3));
    BOOST_TEST((f.refused(f.submit(1)).reason == refusal_reason::quota_exceeded));
    for (const auto& item : started) {
        f.end(item);
    }
    BOOST_TEST(all<start_attempt>(f.submit(1)).size() == 1);
}

// Guards against starts of tasks whose caller no longer waits, and an untrue verdict for them.
BOOST_AUTO_TEST_CASE(a_job_that_cannot_be_in_time_is_dropped_unstarted)
{
    fixture f(1, 1);
    const auto first = all<start_attempt>(f.submit(1));
    f.submit(1, safe, large_workspace, milliseconds(900));
    f.now += milliseconds(850);
    const auto actions = f.end(first[0]);
    BOOST_TEST(all<start_attempt>(actions).empty());
    const auto answers = all<answer_job>(actions);
    BOOST_REQUIRE(answers.size() == 2);
    BOOST_TEST((std::get<job_refused>(answers[1].outcome).cause.ran == verdict::not_run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(placement)

// Guards against trust in declared speeds and against tasks on a slow runner beside an idle fast one.
BOOST_AUTO_TEST_CASE(observed_fast_runners_come_first)
{
    fixture f;
    f.teach(20, 5);
    for (const auto& item : all<start_attempt>(f.submit(4))) {
        BOOST_TEST(item.runner.value() == "r:1");
    }
}

// Guards against new work for a runner that announced that it leaves, whatever the lagging list says.
BOOST_AUTO_TEST_CASE(a_leaving_runner_gets_nothing_more)
{
    fixture f;
    const auto started = all<start_attempt>(f.submit(1));
    f.end(started[0], attempt_status::succeeded, verdict::ran, true);
    f.core->set_runners(make_runners(2, 4), f.now);
    f.now += seconds(12);
    f.core->on_timer(f.now);
    for (const auto& item : all<start_attempt>(f.submit(8))) {
        BOOST_TEST(item.runner.value() != started[0].runner.value());
    }
}

// Guards against a runner that fails every task and takes them all, and against one that never comes back.
BOOST_AUTO_TEST_CASE(a_failing_runner_is_ejected_and_probed_once)
{
    fixture f(3, 4);
    const endpoint bad("r:0");
    const auto on_bad = [&bad](const std::vector<start_attempt>& started) {
        return std::count_if(started.begin(), started.end(),
                             [&bad](const start_attempt& item) { return item.runner == bad; });
    };
    std::ptrdiff_t failures = 0;
    for (int i = 0; i < 90; ++i) {
        f.now += milliseconds(10);
        failures += on_bad(f.finish(i % 3 == 0 ? f.submit(12) : f.core->on_timer(f.now), bad));
    }
    BOOST_TEST(failures >= 3);
    BOOST_TEST(failures <= 8);
    f.now += milliseconds(300);
    f.finish(f.core->on_timer(f.now), bad);
    f.now += seconds(10);
    f.core->on_timer(f.now);
    const auto started = f.submit(12);
    BOOST_TEST(on_bad(all<start_attempt>(started)) == 1);
    f.finish(started, endpoint());
    f.core->on_timer(f.now);
    BOOST_TEST(all<start_attempt>(f.submit(12)).size() == 12);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retries)

// Guards against a faulty task that is sent to runner after runner while its job waits.
BOOST_AUTO_TEST_CASE(a_task_that_fails_on_healthy_runners_fails_its_job)
{
    fixture f(4, 4);
    f.bundle.services[safe].attempts = 10;
    f.core->apply(f.bundle, f.now);
    f.teach(20, 1);
    auto started = all<start_attempt>(f.submit(1));
    std::size_t attempts = 0;
    std::vector<answer_job> answers;
    while (answers.empty() && !started.empty()) {
        ++attempts;
        answers = all<answer_job>(f.end(started[0], attempt_status::runner_failed));
        f.now += milliseconds(500);
        started = all<start_attempt>(f.core->on_timer(f.now));
    }
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(attempts == 2);
    BOOST_TEST((std::get<job_failed>(answers[0].outcome).cause.reason == refusal_reason::task_failed));
}

// Guards against retries that multiply the load when everything fails.
BOOST_AUTO_TEST_CASE(retries_stay_within_their_budget)
{
    fixture f(2, 4);
    f.bundle.services[safe].attempts = 100;
    f.core->apply(f.bundle, f.now);
    std::size_t first = 0;
    std::size_t retries = 0;
    for (int i = 0; i < 2000; ++i) {
        auto started = all<start_attempt>(i % 2 == 0 ? f.submit(1) : f.core->on_timer(f.now));
        for (std::size_t j = 0; j < started.size(); ++j) {
            ++(started[j].attempt_number == 1 ? first : retries);
            const auto more =
                all<start_attempt>(f.end(started[j], attempt_status::connection_lost, verdict::may_have_run));
            started.insert(started.end(), more.begin(), more.end());
        }
        f.now += milliseconds(200);
    }
    BOOST_TEST(retries >= 50);
    BOOST_TEST(retries <= 50 + first / 10);
}

// Guards against stragglers that are never hedged, and hedges on the rack of the first attempt.
BOOST_AUTO_TEST_CASE(a_straggler_is_hedged_on_another_rack)
{
    fixture f(2, 4);
    f.teach(30, 1);
    const auto started = all<start_attempt>(f.submit(1));
    BOOST_TEST(all<start_attempt>(f.core->on_timer(f.now + milliseconds(80))).empty());
    f.now += milliseconds(400);
    const auto hedges = all<start_attempt>(f.core->on_timer(f.now));
    BOOST_REQUIRE(hedges.size() == 1);
    BOOST_TEST(hedges[0].runner.value() != started[0].runner.value());
    const auto actions = f.end(hedges[0]);
    BOOST_TEST(all<abandon_attempt>(actions).size() == 1);
    BOOST_TEST(all<answer_job>(actions).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sharing)

// Guards against a flood that takes the slots of a workspace with a guaranteed share.
BOOST_AUTO_TEST_CASE(a_guaranteed_share_is_served_first)
{
    fixture f(2, 4);
    auto running = all<start_attempt>(f.submit(40));
    BOOST_REQUIRE(running.size() == 8);
    f.submit(2, safe, small_workspace);
    const auto next = all<start_attempt>(f.end(running[0]));
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next[0].submission.value() == "s2");
}

// Guards against slots that are lost or used twice when they change hands.
BOOST_AUTO_TEST_CASE(idle_slots_are_lent_and_come_back)
{
    fixture lender(2, 4);
    fixture borrower(2, 4);
    lender.core->set_peers(0, 2, lender.now);
    borrower.core->set_peers(1, 2, borrower.now);
    auto actions = borrower.submit(8);
    BOOST_TEST(all<start_attempt>(actions).size() == 4);
    const auto demands = all<send_slot_demand>(actions);
    BOOST_REQUIRE(demands.size() == 1);
    const auto grants = all<send_slot_grant>(lender.core->on_slot_demand(demands[0].message, lender.now));
    BOOST_REQUIRE(grants.size() == 1);
    BOOST_TEST(grants[0].to == 1);
    BOOST_TEST(all<start_attempt>(lender.submit(1)).empty());
    const auto started = all<start_attempt>(borrower.core->on_slot_grant(grants[0].message, borrower.now));
    BOOST_TEST(started.size() == 4);
    for (const auto& item : started) {
        borrower.end(item);
    }
    const auto back = all<send_slot_grant>(borrower.core->on_timer(borrower.now + milliseconds(10)));
    BOOST_REQUIRE(back.size() == 1);
    BOOST_TEST(back[0].message.returned);
    BOOST_TEST(all<start_attempt>(lender.core->on_slot_grant(back[0].message, lender.now)).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
