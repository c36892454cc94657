#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

const std::vector<pool_id> both_pools{ollur_pool, other_pool};

// A job whose owners are ordered by the holder of a pool.
std::string job_ordered_by(const pool_id& pool)
{
    for (int i = 0;; ++i) {
        std::string id = "j" + std::to_string(i);
        if (both_pools.at(*choose_ordering_pool(both_pools, job_id(id))) == pool) {
            return id;
        }
    }
}

// An instance in ollur that holds the pool there; the other pool is held in punkunnam.
struct fixture {
    explicit fixture(bool orders_owners = true)
        : peers(endpoint("self"), data_centre_id("ollur")), tested_router({}, peers, now - seconds(10))
    {
        own = status_of("self", "ollur", {load_of(ollur_pool)});
        other = status_of("far", "punkunnam", {load_of(other_pool)});
        own.orders_owners = orders_owners;
        other.orders_owners = orders_owners;
        receive_statuses();
    }

    void receive_statuses()
    {
        own.clock = workers::clock_reading(now);
        other.clock = workers::clock_reading(now);
        peers.on_status(now, own);
        peers.on_status(now, other);
    }

    std::vector<routing_action> submit(const std::string& id)
    {
        route target;
        target.service = service_id("desk");
        target.stretch = 1.6;
        target.allowance = milliseconds(60);
        target.max_attempts = 3;
        caller_job job;
        job.job = job_id(id);
        job.steps.resize(1);
        job.steps[0].need = {14'000, 64, 0};
        job.steps[0].estimate = milliseconds(900);
        job.time_limit = milliseconds(4000);
        tested_router.on_job(now, caller_id(1), target, job);
        return tested_router.take_actions();
    }

    std::vector<routing_action> answer(const std::string& from, const workers::job_offer& offer,
                                       workers::job_end end)
    {
        workers::job_result result;
        result.job = offer.job;
        result.holder = endpoint(from);
        result.end = end;
        result.reason = refusal_reason::cancelled;
        result.may_have_run = false;
        result.number = offer.number;
        tested_router.on_result(now, endpoint(from), result);
        return tested_router.take_actions();
    }

    std::vector<routing_action> advance(milliseconds time, bool with_statuses = true)
    {
        now += time;
        if (with_statuses) {
            receive_statuses();
        }
        tested_router.on_tick(now);
        return tested_router.take_actions();
    }

    time_point now{seconds(100)};
    workers::instance_status own;
    workers::instance_status other;
    peer_table peers;
    router tested_router;
};

template <class Message>
std::vector<Message> messages(const std::vector<routing_action>& actions, const std::string& to)
{
    std::vector<Message> found;
    for (const send_to_holder& sent : all<send_to_holder>(actions)) {
        const auto* message = std::get_if<Message>(&sent.message);
        if (sent.holder == endpoint(to) && message != nullptr) {
            found.push_back(*message);
        }
    }
    return found;
}

const auto offers = messages<workers::job_offer>;
const auto cancels = messages<workers::job_cancel>;

}  // namespace

BOOST_AUTO_TEST_SUITE(ordering_of_owners)

BOOST_AUTO_TEST_SUITE(when_another_pool_orders_the_owners)

// Guards against two instances that have read the same request and have it started in their own pools.
BOOST_AUTO_TEST_CASE(the_job_is_offered_to_the_preferred_pool_only_after_the_answer)
{
    fixture f;
    const auto asked = f.submit(job_ordered_by(other_pool));
    BOOST_TEST(offers(asked, "self").empty());
    BOOST_REQUIRE_EQUAL(offers(asked, "far").size(), 1U);
    const workers::job_offer request = offers(asked, "far")[0];
    BOOST_TEST((request.order == workers::owner_order::only));
    BOOST_TEST((request.attempt == request.number));
    const auto offered = f.answer("far", request, workers::job_end::returned);
    BOOST_REQUIRE_EQUAL(offers(offered, "self").size(), 1U);
    BOOST_TEST((offers(offered, "self")[0].order == workers::owner_order::elsewhere));
    BOOST_TEST((offers(offered, "self")[0].attempt == request.attempt));
    BOOST_TEST(offers(offered, "self")[0].returns == 0U);
}

// Guards against a job that waits until its deadline since the request was lost with a connection, and
// against instances that ask different holders while some of their connections are closed.
BOOST_AUTO_TEST_CASE(an_unanswered_request_is_repeated_also_after_its_connection_was_closed)
{
    fixture f;
    const auto request = offers(f.submit(job_ordered_by(other_pool)), "far").at(0);
    f.peers.on_disconnected(endpoint("far"));
    BOOST_TEST(f.advance(milliseconds(20), false).empty());
    const auto repeated = f.advance(milliseconds(20), false);
    BOOST_TEST(offers(repeated, "self").empty());
    BOOST_REQUIRE_EQUAL(offers(repeated, "far").size(), 1U);
    BOOST_TEST((offers(repeated, "far")[0].number == request.number));
    BOOST_TEST((offers(repeated, "far")[0].age == milliseconds(40)));
}

// Guards against jobs that no instance starts since the holder that orders their owners is lost.
BOOST_AUTO_TEST_CASE(the_next_holder_is_asked_when_statuses_have_stopped)
{
    fixture f;
    f.submit(job_ordered_by(other_pool));
    const milliseconds timeout = min_status_interval + status_timeout_margin;
    f.now += timeout;
    f.own.clock = workers::clock_reading(f.now);
    f.peers.on_status(f.now, f.own);
    BOOST_TEST(offers(f.advance(milliseconds(0), false), "self").empty());
    const auto offered = f.advance(milliseconds(1), false);
    BOOST_REQUIRE_EQUAL(offers(offered, "self").size(), 1U);
    BOOST_TEST((offers(offered, "self")[0].order == workers::owner_order::here));
}

// Guards against a request whose sender does not know whether the job has been kept and refuses it as not
// run.
BOOST_AUTO_TEST_CASE(a_request_that_nobody_answers_in_time_ends_as_unknown)
{
    fixture f;
    f.submit(job_ordered_by(other_pool));
    std::vector<answer_caller> answers;
    for (int i = 0; i < 250 && answers.empty(); ++i) {
        answers = all<answer_caller>(f.advance(milliseconds(20)));
    }
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].kind == answer_kind::unknown_end));
}

// Guards against an owner that waits for the order of a job which the holder has kept and works on.
BOOST_AUTO_TEST_CASE(a_job_that_the_holder_keeps_is_offered_to_it)
{
    fixture f;
    const auto request = offers(f.submit(job_ordered_by(other_pool)), "far").at(0);
    f.tested_router.on_progress({request.job, {}});
    const auto offered = offers(f.advance(milliseconds(20)), "far");
    BOOST_REQUIRE_EQUAL(offered.size(), 1U);
    BOOST_TEST((offered[0].order == workers::owner_order::here));
    BOOST_TEST((offered[0].attempt == request.attempt));
    BOOST_TEST(offers(f.advance(milliseconds(100)), "far").empty());
    const auto answers = all<answer_caller>(f.answer("far", offered[0], workers::job_end::completed));
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].kind == answer_kind::completed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_preferred_pool_orders_the_owners)

// Guards against a round trip for jobs that need none.
BOOST_AUTO_TEST_CASE(the_job_is_offered_at_once)
{
    fixture f;
    const auto offered = offers(f.submit(job_ordered_by(ollur_pool)), "self");
    BOOST_REQUIRE_EQUAL(offered.size(), 1U);
    BOOST_TEST((offered[0].order == workers::owner_order::here));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_job_runs_in_another_pool)

struct running : fixture {
    running()
    {
        request = offers(submit(job_ordered_by(other_pool)), "far").at(0);
        offer = offers(answer("far", request, workers::job_end::returned), "self").at(0);
    }

    workers::job_offer request;
    workers::job_offer offer;
};

// Guards against a former owner that works on beside the present one.
BOOST_AUTO_TEST_CASE(an_owner_that_is_superseded_cancels_it_and_tells_its_caller_that_the_end_is_unknown)
{
    running f;
    const auto actions = f.answer("far", f.request, workers::job_end::gave_up);
    BOOST_REQUIRE_EQUAL(cancels(actions, "self").size(), 1U);
    BOOST_TEST((cancels(actions, "self")[0].number == f.offer.number));
    BOOST_REQUIRE_EQUAL(cancels(actions, "far").size(), 1U);
    BOOST_TEST((cancels(actions, "far")[0].number == f.request.attempt));
    BOOST_TEST(!cancels(actions, "far")[0].nothing_runs);
    BOOST_REQUIRE_EQUAL(all<answer_caller>(actions).size(), 1U);
    BOOST_TEST((all<answer_caller>(actions)[0].kind == answer_kind::unknown_end));
}

// Guards against an ordering holder that admits another owner since this one does not list the job.
BOOST_AUTO_TEST_CASE(the_statuses_for_the_ordering_holder_list_the_attempt)
{
    running f;
    workers::instance_status status;
    f.tested_router.add_offers_in_force(f.now, endpoint("far"), status);
    BOOST_TEST((status.offers == std::vector{f.request.attempt}));
    BOOST_TEST((status.last_offer == f.offer.number));
}

// Guards against a caller's next attempt that waits for an owner whose job has ended.
BOOST_AUTO_TEST_CASE(the_ordering_holder_learns_of_the_end)
{
    running f;
    const auto actions = f.answer("self", f.offer, workers::job_end::completed);
    BOOST_REQUIRE_EQUAL(cancels(actions, "far").size(), 1U);
    BOOST_TEST((cancels(actions, "far")[0].number == f.request.attempt));
    BOOST_TEST(cancels(actions, "far")[0].nothing_runs);
}

// Guards against a caller's next attempt that waits for runs of a job which was refused as not run.
BOOST_AUTO_TEST_CASE(the_ordering_holder_learns_that_a_refused_job_has_not_run)
{
    running f;
    const auto actions = f.answer("self", f.offer, workers::job_end::refused);
    BOOST_REQUIRE_EQUAL(cancels(actions, "far").size(), 1U);
    BOOST_TEST(cancels(actions, "far")[0].nothing_runs);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_process_was_paused)

// Guards against a process that acts on an admission that another owner may have got meanwhile.
BOOST_AUTO_TEST_CASE(the_order_is_requested_again_before_the_job_is_offered)
{
    fixture f;
    const auto request = offers(f.submit(job_ordered_by(other_pool)), "far").at(0);
    f.tested_router.on_pause(f.now);
    f.answer("far", request, workers::job_end::returned);
    f.tested_router.on_pause(f.now);
    const auto after = f.advance(milliseconds(100));
    BOOST_TEST(offers(after, "self").empty());
    BOOST_REQUIRE_EQUAL(offers(after, "far").size(), 1U);
    BOOST_TEST((offers(after, "far")[0].attempt == request.attempt));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_caller_leaves_before_the_order_is_known)

// Guards against a second owner that waits for runs which the first one has not started.
BOOST_AUTO_TEST_CASE(the_ordering_holder_learns_that_nothing_was_offered)
{
    fixture f;
    const auto request = offers(f.submit(job_ordered_by(other_pool)), "far").at(0);
    f.tested_router.on_caller_left(f.now, caller_id(1));
    const auto sent = cancels(f.tested_router.take_actions(), "far");
    BOOST_REQUIRE(!sent.empty());
    BOOST_TEST((sent.back().number == request.attempt));
    BOOST_TEST(sent.back().nothing_runs);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_holders_are_of_a_former_release)

// Guards against requests of the order that a former release would take for offers.
BOOST_AUTO_TEST_CASE(the_job_is_offered_to_the_preferred_pool_at_once)
{
    fixture f(false);
    const auto offered = offers(f.submit(job_ordered_by(other_pool)), "self");
    BOOST_REQUIRE_EQUAL(offered.size(), 1U);
    BOOST_TEST((offered[0].order == workers::owner_order::elsewhere));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_two_instances_read_the_same_request)

// Guards against two orders by two holders: each instance prefers its own pool, and knows other load figures.
BOOST_AUTO_TEST_CASE(both_ask_the_same_holder)
{
    for (int i = 0; i < 100; ++i) {
        const std::string id = "j" + std::to_string(i);
        fixture one;
        fixture another;
        another.own.pools = {load_of(ollur_pool, 1, 0)};
        another.other.pools = {load_of(other_pool, 1, 0)};
        another.receive_statuses();
        const auto first_receiver = [](const std::vector<routing_action>& actions) {
            return all<send_to_holder>(actions).at(0).holder;
        };
        BOOST_TEST((first_receiver(one.submit(id)) == first_receiver(another.submit(id))));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
