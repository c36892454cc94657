#include "coordinator/coordinator.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>

using namespace poplarshed;

namespace {

const data_centre_id home("ollur");
const service_id hold("hold");
const workspace_id desk("desk");

struct sent_message {
    instance_id from;
    instance_id to;
    wire::message message;
};

/// A coordinator that records its answers and started attempts and sends its messages to a simulated network.
class node : public coordinator::outbox {
public:
    node(const instance_id& self, std::deque<sent_message>& network) : m_self(self), m_network(network)
    {
        coordinator::options options;
        options.self = self;
        options.data_centre = home;
        options.policy = dispatch::policy_kind::round_robin_static;
        options.registry.data_centres = {home};
        core = std::make_unique<coordinator::coordinator>(options, *this);
    }

    void reply(jobs::caller_id caller, const jobs::submission& /*submission*/,
               const jobs::shared_outcome& outcome) override
    {
        answers.emplace(caller, *outcome);
    }
    void start(dispatch::start_attempt attempt) override { started.push_back(std::move(attempt)); }
    void abandon(dispatch::abandon_attempt /*attempt*/) override {}
    void count(const dispatch::count_retry& /*retry*/) override {}
    void send(const instance_id& to, wire::message message) override
    {
        m_network.push_back({m_self, to, std::move(message)});
    }
    void propose_view(const membership::view& /*view*/, membership::key_revision /*expected*/) override {}
    void read_membership() override {}

    std::unique_ptr<coordinator::coordinator> core;
    std::multimap<jobs::caller_id, dispatch::job_outcome> answers;
    std::vector<dispatch::start_attempt> started;

private:
    instance_id m_self;
    std::deque<sent_message>& m_network;
};

/// Three instances of one data centre with a settled view, one runner, and a network that delivers in order.
struct fixture {
    fixture()
    {
        membership::platform_snapshot snapshot;
        membership::view view{home, view_epoch(3), {}, {}, 1, true};
        for (std::uint64_t number = 0; number < 3; ++number) {
            const instance_id self{endpoint("10.0.0." + std::to_string(number) + ":1"),
                                   incarnation(number + 1)};
            ids.push_back(self);
            view.members.push_back({self, home});
            nodes.emplace(self, std::make_unique<node>(self, network));
        }
        snapshot.live = view.members;
        snapshot.views[home] = {view, membership::key_revision(1)};
        for (auto& [id, instance] : nodes) {
            instance->core->on_platform(snapshot, now);
            instance->core->apply(bundle(), now);
            instance->core->set_runners({runner()}, now);
        }
        settle();
    }

    static configuration::bundle bundle()
    {
        configuration::bundle content;
        content.version = configuration_version(1);
        content.services[hold] = {};
        content.workspaces[desk].services = {hold};
        return content;
    }

    static dispatch::runner runner()
    {
        dispatch::runner runner;
        runner.address = endpoint("10.0.1.1:1");
        runner.data_centre = home;
        runner.slots = 24;
        runner.services = {hold};
        return runner;
    }

    static jobs::job_submission job(const std::string& name, const std::string& body = "a")
    {
        jobs::job_submission submitted;
        submitted.submission = submission_id(name);
        submitted.service = hold;
        submitted.workspace = desk;
        submitted.body = digest::of(body);
        submitted.tasks = {{body, {}}};
        return submitted;
    }

    node& at(std::size_t number) { return *nodes.at(ids.at(number)); }

    jobs::caller_id submit(std::size_t number, jobs::job_submission job)
    {
        const jobs::caller_id caller(++last_caller);
        at(number).core->submit(caller, std::move(job), now);
        settle();
        return caller;
    }

    /// Advances the time by 50 ms in steps of 5 ms, runs the timers and delivers every message after each
    /// step.
    void settle()
    {
        for (int turn = 0; turn < 10; ++turn) {
            now += milliseconds(5);
            for (auto& [id, instance] : nodes) {
                instance->core->on_timer(now);
                instance->core->flush(now);
            }
            deliver();
        }
    }

    void deliver()
    {
        while (!network.empty()) {
            const sent_message next = std::move(network.front());
            network.pop_front();
            const auto found = nodes.find(next.to);
            if (found != nodes.end()) {
                found->second->core->on_message(next.from, next.message, now);
                found->second->core->flush(now);
            }
        }
    }

    void finish_all(verdict ran, dispatch::attempt_status status)
    {
        for (auto& [id, instance] : nodes) {
            for (const dispatch::start_attempt& attempt : std::exchange(instance->started, {})) {
                instance->core->on_result({attempt.attempt, status, ran, "done", false}, now);
                instance->core->flush(now);
            }
        }
        settle();
    }

    std::size_t starts() const
    {
        std::size_t count = 0;
        for (const auto& [id, instance] : nodes) {
            count += instance->started.size();
        }
        return count;
    }

    time_point now{std::chrono::hours(1)};
    std::deque<sent_message> network;
    std::map<instance_id, std::unique_ptr<node>> nodes;
    std::vector<instance_id> ids;
    std::uint64_t last_caller = 0;
};

const refusal& cause_of(const dispatch::job_outcome& outcome)
{
    const auto* failed = std::get_if<dispatch::job_failed>(&outcome);
    return failed != nullptr ? failed->cause : std::get<dispatch::job_refused>(outcome).cause;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(coordinator_behaviour, fixture)

BOOST_AUTO_TEST_SUITE(when_a_caller_resubmits_to_every_instance)

// Guards against a second start while the job runs, and against a caller that gets no answer.
BOOST_AUTO_TEST_CASE(one_task_starts_and_each_caller_gets_the_answer)
{
    const jobs::caller_id first = submit(0, job("x"));
    const jobs::caller_id second = submit(1, job("x"));
    const jobs::caller_id third = submit(2, job("x"));
    BOOST_TEST(starts() == 1U);
    finish_all(verdict::ran, dispatch::attempt_status::succeeded);
    const dispatch::job_outcome expected = dispatch::job_complete{{"done"}};
    BOOST_TEST((at(0).answers.find(first)->second == expected));
    BOOST_TEST((at(1).answers.find(second)->second == expected));
    BOOST_TEST((at(2).answers.find(third)->second == expected));
}

// Guards against a second run when a job is resubmitted after its answer.
BOOST_AUTO_TEST_CASE(a_resubmission_after_the_answer_gets_the_retained_outcome)
{
    submit(0, job("x"));
    finish_all(verdict::ran, dispatch::attempt_status::succeeded);
    const jobs::caller_id late = submit(1, job("x"));
    BOOST_TEST(starts() == 0U);
    BOOST_TEST(std::holds_alternative<dispatch::job_complete>(at(1).answers.find(late)->second));
}

// Guards against an answer that is sent to the caller of a different job with the same id.
BOOST_AUTO_TEST_CASE(another_body_is_refused_as_not_run)
{
    submit(0, job("x"));
    for (const std::size_t number : {0U, 1U}) {
        const jobs::caller_id other = submit(number, job("x", "b"));
        const refusal& cause = cause_of(at(number).answers.find(other)->second);
        BOOST_TEST((cause.reason == refusal_reason::id_reused));
        BOOST_TEST((cause.ran == verdict::not_run));
    }
    BOOST_TEST(starts() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_an_instance_drains)

// Guards against a draining instance that answers a resubmission with not_run while the job runs at its
// owner.
BOOST_AUTO_TEST_CASE(a_resubmission_gets_the_outcome_from_the_owner)
{
    submit(0, job("x"));
    at(1).core->drain(now);
    const jobs::caller_id again = submit(1, job("x"));
    finish_all(verdict::ran, dispatch::attempt_status::succeeded);
    BOOST_TEST(std::holds_alternative<dispatch::job_complete>(at(1).answers.find(again)->second));
}

// Guards against a claim that is not released after a refusal, so that the job could not run at any instance.
BOOST_AUTO_TEST_CASE(a_new_job_is_refused_and_runs_elsewhere)
{
    at(1).core->drain(now);
    const jobs::caller_id refused = submit(1, job("x"));
    BOOST_TEST((cause_of(at(1).answers.find(refused)->second).reason == refusal_reason::draining));
    BOOST_TEST((cause_of(at(1).answers.find(refused)->second).ran == verdict::not_run));
    submit(0, job("x"));
    BOOST_TEST(starts() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_owner_ends)

// Guards against a second start of a non-idempotent job whose owner may have run it.
BOOST_AUTO_TEST_CASE(the_follower_answers_may_have_run)
{
    submit(0, job("x"));
    const jobs::caller_id follower = submit(1, job("x"));
    const instance_id owner = ids[0];
    nodes.erase(owner);
    for (const std::size_t number : {1U, 2U}) {
        at(number).core->on_evidence(owner, membership::evidence::connection_refused, now);
    }
    for (int turn = 0; turn < 100; ++turn) {
        settle();
    }
    BOOST_TEST(starts() == 0U);
    BOOST_REQUIRE(at(1).answers.contains(follower));
    BOOST_TEST((cause_of(at(1).answers.find(follower)->second).ran == verdict::may_have_run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
