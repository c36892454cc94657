#include <boost/test/unit_test.hpp>

#include "dispatch/dispatch.h"

using namespace poplarshed;
using namespace poplarshed::dispatch;

namespace {

const service_id hold("hold");
const workspace_id booking("booking");

struct fixture {
    explicit fixture(policy_kind kind = policy_kind::round_robin_static) : policy(make_dispatcher(kind, 1))
    {
        configuration::bundle bundle;
        bundle.services[hold] = {};
        bundle.workspaces[booking] = {.services = {hold}};
        policy->apply(bundle, now);
        runner only;
        only.address = endpoint("r:1");
        only.slots = 2;
        only.services = {hold};
        policy->set_runners({only}, now);
    }

    std::vector<action> submit(std::uint64_t key, std::size_t tasks)
    {
        return policy->submit({.key = job_key(key),
                               .submission = submission_id("s" + std::to_string(key)),
                               .service = hold,
                               .workspace = booking,
                               .arrival = now,
                               .deadline = now + seconds(5),
                               .tasks = std::vector<task_request>(tasks)},
                              now);
    }

    time_point now{seconds(100)};
    std::unique_ptr<dispatcher> policy;
};

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

attempt_result success(attempt_id id, std::string body)
{
    return {.attempt = id, .status = attempt_status::succeeded, .ran = verdict::ran, .body = std::move(body)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(job_life_cycle)

// Guards against results in order of completion instead of task order, and against more attempts in flight
// than the static limit.
BOOST_AUTO_TEST_CASE(complete_answer_has_task_order)
{
    fixture f;
    auto started = actions_of<start_attempt>(f.submit(1, 3));
    BOOST_REQUIRE(started.size() == 2);
    const auto next = actions_of<start_attempt>(f.policy->on_result(success(started[1].attempt, "b"), f.now));
    BOOST_REQUIRE(next.size() == 1);
    f.policy->on_result(success(next[0].attempt, "c"), f.now);
    const auto answers = actions_of<answer_job>(f.policy->on_result(success(started[0].attempt, "a"), f.now));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((answers[0].outcome == job_outcome(job_complete{{"a", "b", "c"}})));
    BOOST_TEST(f.policy->jobs_in_flight() == 0);
}

// Guards against the verdict may_have_run for a failed job whose other attempts were still connecting: these
// did not run, and their results say so.
BOOST_AUTO_TEST_CASE(verdict_waits_for_abandoned_attempts)
{
    for (const verdict other : {verdict::not_run, verdict::may_have_run}) {
        fixture f;
        const auto started = actions_of<start_attempt>(f.submit(1, 2));
        BOOST_REQUIRE(started.size() == 2);
        const auto refused = [&](std::size_t index, attempt_status status, verdict ran) {
            attempt_result result;
            result.attempt = started[index].attempt;
            result.status = status;
            result.ran = ran;
            return f.policy->on_result(result, f.now);
        };
        const auto first = refused(0, attempt_status::rejected, verdict::not_run);
        BOOST_TEST(actions_of<answer_job>(first).empty());
        BOOST_REQUIRE(actions_of<abandon_attempt>(first).size() == 1);
        const auto answers = actions_of<answer_job>(refused(1, attempt_status::abandoned, other));
        BOOST_REQUIRE(answers.size() == 1);
        BOOST_TEST((std::get<job_failed>(answers[0].outcome).cause.ran == other));
        BOOST_TEST(f.policy->jobs_in_flight() == 0);
    }
}

// Guards against the verdict not_run for a cancelled job while tasks of it may have run.
BOOST_AUTO_TEST_CASE(cancelled_job_reports_what_ran)
{
    fixture f;
    auto started = actions_of<start_attempt>(f.submit(1, 2));
    const auto actions = f.policy->cancel(job_key(1), refusal_reason::cancelled, f.now);
    BOOST_TEST(actions_of<abandon_attempt>(actions).size() == 2);
    const auto answers = actions_of<answer_job>(actions);
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((std::get<job_failed>(answers[0].outcome).cause.ran == verdict::may_have_run));
}

// Guards against a retry of a non-idempotent task that may have run.
BOOST_AUTO_TEST_CASE(ambiguous_failure_is_not_retried)
{
    for (const policy_kind kind : {policy_kind::random_choice, policy_kind::round_robin_static}) {
        fixture f(kind);
        auto started = actions_of<start_attempt>(f.submit(1, 1));
        const auto actions = f.policy->on_result(
            {.attempt = started[0].attempt, .status = attempt_status::connection_lost, .body = {}}, f.now);
        BOOST_TEST(actions_of<start_attempt>(actions).empty());
        BOOST_REQUIRE(actions_of<answer_job>(actions).size() == 1);
        BOOST_TEST(actions_of<start_attempt>(f.policy->on_timer(f.now + seconds(1))).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
