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

/// One coordinator with everything that it sends and answers.
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

    void reply(jobs::caller_id caller, const jobs::submission& /*item*/,
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

/// Three instances of one data centre in a settled view, one runner, and a network that delivers in order.
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
        for (auto& [id, item] : nodes) {
            item->core->on_platform(snapshot, now);
            item->core->apply(bundle(), now);
            item->core->set_runners({runner()}, now);
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
        dispatch::runner item;
        item.address = endpoint("10.0.1.1:1");
        item.data_centre = home;
        item.slots = 24;
        item.services = {hold};
        return item;
    }

    static jobs::job_submission job(const std::string& name, const std::string& body = "a")
    {
        jobs::job_submission item;
        item.submission = submission_id(name);
        item.service = hold;
        item.workspace = desk;
        item.body = digest::of(body);
        item.tasks = {{body, {}}};
        return item;
    }

    node& at(std::size_t number) { return *nodes.at(ids.at(number)); }

    jobs::caller_id submit(std::size_t number, jobs::job_submission item)
    {
        const jobs::caller_id caller(++last_caller);
        at(number).core->submit(caller, std::move(item), now);
        settle();
        return caller;
    }

    /// Delivers every message, then lets 5 ms pass, until the instances are quiet for 50 ms.
    void settle()
    {
        for (int turn = 0; turn < 10; ++turn) {
            now += milliseconds(5);
            for (auto& [id, item] : nodes) {
                item->core->on_timer(now);
                item->core->flush(now);
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
        for (auto& [id, item] : nodes) {
            for (const dispatch::start_attempt& attempt : std::exchange(item->started, {})) {
                item->core->on_result({attempt.attempt, status, ran, "done", false}, now);
                item->core->flush(now);
            }
        }
        settle();
    }

    std::size_t starts() const
    {
        std::size_t count = 0;
        for (const auto& [id, item] : nodes) {
            count += item->started.size();
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

BOOST_FIXTURE_TEST_SUITE(coordinator_story, fixture)

BOOST_AUTO_TEST_SUITE(when_a_caller_resubmits_to_every_instance)

// Guards against a second start while the job runs, and against a caller that is left without its answer.
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

// Guards against a job that runs again when its id comes back after the answer.
BOOST_AUTO_TEST_CASE(a_late_one_gets_the_kept_answer)
{
    submit(0, job("x"));
    finish_all(verdict::ran, dispatch::attempt_status::succeeded);
    const jobs::caller_id late = submit(1, job("x"));
    BOOST_TEST(starts() == 0U);
    BOOST_TEST(std::holds_alternative<dispatch::job_complete>(at(1).answers.find(late)->second));
}

// Guards against the answer of one job going to the caller of another.
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

// Guards against a resubmission that is told "not run" by a leaving instance although the job runs elsewhere.
BOOST_AUTO_TEST_CASE(a_resubmission_still_gets_the_answer_of_the_owner)
{
    submit(0, job("x"));
    at(1).core->drain(now);
    const jobs::caller_id again = submit(1, job("x"));
    finish_all(verdict::ran, dispatch::attempt_status::succeeded);
    BOOST_TEST(std::holds_alternative<dispatch::job_complete>(at(1).answers.find(again)->second));
}

// Guards against a refused job whose claim stays, so that it could run nowhere.
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

BOOST_AUTO_TEST_SUITE(when_the_owner_dies)

// Guards against a second start of a non-idempotent job whose owner may have run it.
BOOST_AUTO_TEST_CASE(a_follower_is_told_that_it_may_have_run)
{
    submit(0, job("x"));
    const jobs::caller_id follower = submit(1, job("x"));
    const instance_id dead = ids[0];
    nodes.erase(dead);
    for (const std::size_t number : {1U, 2U}) {
        at(number).core->on_evidence(dead, membership::evidence::connection_refused, now);
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
