#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

struct fixture {
    fixture() : peers(endpoint("self"), data_centre_id("ollur")), tested_router({}, peers, now - seconds(10))
    {}

    void receive_status(const workers::instance_status& status)
    {
        peers.on_status(now, status);
        tested_router.on_status(status.address);
    }

    std::vector<routing_action> submit(const std::string& id, caller_id caller = caller_id(1))
    {
        route target;
        target.service = service_id("desk");
        target.stretch = 1.6;
        target.allowance = milliseconds(60);
        target.max_attempts = 3;
        caller_job job;
        job.job = job_id(id);
        job.steps.resize(1);
        job.steps[0].tasks = 2;
        job.steps[0].need = {14'000, 64, 0};
        job.steps[0].estimate = milliseconds(900);
        job.time_limit = milliseconds(4000);
        tested_router.on_job(now, caller, target, job);
        return take();
    }

    std::vector<routing_action> answer(const std::string& from, const std::string& id, workers::job_end end,
                                       bool may_have_run = false,
                                       std::vector<std::uint32_t> uncertain_tasks = {})
    {
        workers::job_result result;
        result.job = job_id(id);
        result.holder = endpoint(from);
        result.end = end;
        result.reason = refusal_reason::deadline_unreachable;
        result.retry_after = milliseconds(200);
        result.may_have_run = may_have_run;
        result.uncertain_tasks = std::move(uncertain_tasks);
        result.number = last_offers[result.job];
        tested_router.on_result(now, endpoint(from), result);
        return take();
    }

    std::vector<routing_action> advance(milliseconds time)
    {
        now += time;
        tested_router.on_tick(now);
        return take();
    }

    std::vector<routing_action> take()
    {
        std::vector<routing_action> actions = tested_router.take_actions();
        for (const send_to_holder& sent : all<send_to_holder>(actions)) {
            if (const auto* offer = std::get_if<workers::job_offer>(&sent.message)) {
                last_offers[offer->job] = offer->number;
            }
        }
        return actions;
    }

    time_point now{seconds(100)};
    peer_table peers;
    router tested_router;
    std::map<job_id, workers::offer_number> last_offers;
};

std::vector<workers::job_offer> offers(const std::vector<routing_action>& actions, const std::string& to)
{
    std::vector<workers::job_offer> found;
    for (const send_to_holder& sent : all<send_to_holder>(actions)) {
        const auto* offer = std::get_if<workers::job_offer>(&sent.message);
        if (offer != nullptr && sent.holder == endpoint(to)) {
            found.push_back(*offer);
        }
    }
    return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(jobs_of_callers)

BOOST_AUTO_TEST_SUITE(when_a_job_arrives)

// Guards against a queue in one pool while another has free capacity.
BOOST_AUTO_TEST_CASE(the_pool_with_free_capacity_gets_it)
{
    fixture f;
    auto busy = load_of(ollur_pool, 1, 0);
    busy.waiting_cpu_ms = 100'000'000;
    f.receive_status(status_of("near", "ollur", {busy}));
    f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
    BOOST_TEST(offers(f.submit("j"), "far").size() == 1U);
}

// Guards against all jobs being offered to one pool between two of its statuses.
BOOST_AUTO_TEST_CASE(offers_since_the_last_status_count_as_load)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool, 1, 28'000)}));
    f.receive_status(status_of("far", "punkunnam", {load_of(other_pool, 1, 28'000)}));
    BOOST_TEST(offers(f.submit("a", caller_id(1)), "near").size() == 1U);
    BOOST_TEST(offers(f.submit("b", caller_id(2)), "far").size() == 1U);
}

// Guards against jobs that are offered to a holder which has just become unreachable.
BOOST_AUTO_TEST_CASE(a_holder_with_a_stale_status_is_avoided)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.now += milliseconds(250);
    f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
    BOOST_TEST(offers(f.submit("j"), "far").size() == 1U);
}

// Guards against callers that wait although no pool exists.
BOOST_AUTO_TEST_CASE(it_is_refused_at_once_if_no_pool_has_had_a_holder)
{
    fixture f;
    const auto answers = all<answer_caller>(f.submit("j"));
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].kind == answer_kind::refused));
    BOOST_TEST(answers[0].retry_after.count() > 0);
}

// Guards against refusals in the short time between two holders.
BOOST_AUTO_TEST_CASE(it_waits_for_an_expected_holder)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("a", caller_id(1));
    f.receive_status(status_of("near", "ollur"));
    BOOST_TEST(all<answer_caller>(f.submit("b", caller_id(2))).empty());
    f.receive_status(status_of("next", "ollur", {load_of(ollur_pool, 2)}));
    const auto later = offers(f.advance(milliseconds(20)), "next");
    BOOST_TEST(std::any_of(later.begin(), later.end(), [](const auto& offer) {
        return offer.job == job_id("b") && !offer.may_have_run;
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_pool_answers)

// Guards against a missing or repeated answer.
BOOST_AUTO_TEST_CASE(the_caller_is_answered_once)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    BOOST_TEST(all<answer_caller>(f.answer("near", "j", workers::job_end::completed)).size() == 1U);
    BOOST_TEST(all<answer_caller>(f.answer("near", "j", workers::job_end::completed)).empty());
}

// Guards against a refusal although another pool would accept the job.
BOOST_AUTO_TEST_CASE(a_returned_job_goes_to_another_pool)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
    f.submit("j");
    BOOST_TEST(offers(f.answer("near", "j", workers::job_end::returned), "far").size() == 1U);
}

// Guards against the answer "not run" for a job that a former holder may have started.
BOOST_AUTO_TEST_CASE(a_refusal_after_a_possible_start_is_answered_as_an_unknown_end)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.receive_status(status_of("near", "ollur"));
    f.receive_status(status_of("next", "ollur", {load_of(ollur_pool, 2)}));
    BOOST_REQUIRE_EQUAL(offers(f.advance(milliseconds(20)), "next").size(), 1U);
    const auto answers = all<answer_caller>(f.answer("next", "j", workers::job_end::refused));
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].kind == answer_kind::unknown_end));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_holder_changes)

// Guards against jobs that are lost with their holder, and against a second run of tasks that it started.
BOOST_AUTO_TEST_CASE(the_new_holder_gets_the_job_with_its_done_and_uncertain_tasks)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.tested_router.on_progress({job_id("j"), {0}});
    f.receive_status(status_of("near", "ollur"));
    f.receive_status(status_of("next", "ollur", {load_of(ollur_pool, 2)}));
    const auto again = offers(f.advance(milliseconds(20)), "next");
    BOOST_REQUIRE_EQUAL(again.size(), 1U);
    BOOST_TEST(again[0].may_have_run);
    BOOST_TEST((again[0].done_tasks == std::vector<std::uint32_t>{0}));
    BOOST_TEST((again[0].uncertain_tasks == std::vector<std::uint32_t>{1}));
    BOOST_TEST(again[0].uncertain_for.count() > 1000);
}

// Guards against a second run of a task: the second of two holders that give the job up omits a task that the
// first one has started, because it has not heard of that run.
BOOST_AUTO_TEST_CASE(a_task_that_one_answer_reports_stays_uncertain_when_the_next_answer_omits_it)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.receive_status(status_of("near", "ollur"));
    f.answer("near", "j", workers::job_end::not_held, true, {0, 1});
    f.receive_status(status_of("next", "ollur", {load_of(ollur_pool, 2)}));
    const auto second = offers(f.advance(milliseconds(20)), "next");
    BOOST_REQUIRE_EQUAL(second.size(), 1U);
    BOOST_TEST((second[0].uncertain_tasks == std::vector<std::uint32_t>{0, 1}));
    f.receive_status(status_of("next", "ollur"));
    f.answer("next", "j", workers::job_end::not_held, true, {0});
    f.receive_status(status_of("third", "ollur", {load_of(ollur_pool, 3)}));
    const auto last = offers(f.advance(milliseconds(20)), "third");
    BOOST_REQUIRE_EQUAL(last.size(), 1U);
    BOOST_TEST((last[0].uncertain_tasks == std::vector<std::uint32_t>{0, 1}));
    BOOST_TEST(last[0].uncertain_for.count() > 1900);
}

// Guards against tasks that wait for runs which have ended long ago.
BOOST_AUTO_TEST_CASE(a_reported_task_is_uncertain_only_until_its_runs_have_ended)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.receive_status(status_of("near", "ollur"));
    f.answer("near", "j", workers::job_end::not_held, true, {0});
    f.receive_status(status_of("next", "ollur", {load_of(ollur_pool, 2)}));
    f.advance(milliseconds(20));
    for (int i = 0; i < 10; ++i) {
        f.now += milliseconds(200);
        f.receive_status(status_of("next", "ollur", {load_of(ollur_pool, 2)}));
        workers::instance_status to_next;
        f.tested_router.add_offers_in_force(f.now, endpoint("next"), to_next);
    }
    f.receive_status(status_of("next", "ollur"));
    f.answer("next", "j", workers::job_end::not_held, true, {1});
    f.receive_status(status_of("third", "ollur", {load_of(ollur_pool, 3)}));
    const auto last = offers(f.advance(milliseconds(20)), "third");
    BOOST_REQUIRE_EQUAL(last.size(), 1U);
    BOOST_TEST((last[0].uncertain_tasks == std::vector<std::uint32_t>{1}));
}

// Guards against jobs that wait at an instance which holds the pool but reaches none of its workers.
BOOST_AUTO_TEST_CASE(a_holder_without_workers_does_not_get_it)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.receive_status(status_of("near", "ollur"));
    auto unreachable = load_of(ollur_pool, 2, 0);
    unreachable.capacity_cpu = 0;
    f.receive_status(status_of("foreign", "punkunnam", {unreachable, load_of(other_pool)}));
    BOOST_TEST(offers(f.advance(milliseconds(20)), "foreign").empty());
    f.now += router_options().lost_holder_timeout - milliseconds(300);
    f.receive_status(status_of("foreign", "punkunnam", {unreachable, load_of(other_pool)}));
    f.advance(milliseconds(20));
    f.now += milliseconds(280);
    f.receive_status(status_of("foreign", "punkunnam", {unreachable, load_of(other_pool)}));
    const auto again = offers(f.advance(milliseconds(20)), "foreign");
    BOOST_REQUIRE_EQUAL(again.size(), 1U);
    BOOST_TEST((again[0].pool == other_pool));
}

// A holder may receive messages of the owner although its own do not arrive. Guards against tasks that start
// elsewhere while such a holder continues them.
BOOST_AUTO_TEST_CASE(a_lost_holder_gets_a_cancel_before_the_job_starts_elsewhere)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
    f.submit("j");
    std::optional<time_point> cancelled;
    std::optional<time_point> offered;
    for (milliseconds waited{}; !offered && waited < milliseconds(3000); waited += milliseconds(20)) {
        f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
        const auto actions = f.advance(milliseconds(20));
        for (const send_to_holder& message : all<send_to_holder>(actions)) {
            const bool cancel = std::holds_alternative<workers::job_cancel>(message.message);
            BOOST_TEST(message.holder.value() == (cancel ? "near" : "far"));
            (cancel ? cancelled : offered) = f.now;
        }
    }
    BOOST_REQUIRE(cancelled.has_value());
    BOOST_REQUIRE(offered.has_value());
    BOOST_TEST((*offered - *cancelled >= milliseconds(300)));
}

// Guards against a second run in another pool before the lease of the first run has expired.
BOOST_AUTO_TEST_CASE(another_pool_gets_it_only_after_the_lease_has_expired)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
    BOOST_REQUIRE_EQUAL(offers(f.submit("j"), "near").size(), 1U);
    milliseconds waited{};
    std::vector<workers::job_offer> again;
    while (again.empty() && waited < milliseconds(3000)) {
        f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
        again = offers(f.advance(milliseconds(20)), "far");
        waited += milliseconds(20);
    }
    BOOST_REQUIRE_EQUAL(again.size(), 1U);
    // The holder stops the job after 600 ms without a status; then the longest lease must expire.
    BOOST_TEST(waited.count() >= 600 + 1000);
    BOOST_TEST(again[0].may_have_run);
}

// Guards against a job that runs in two pools: the holder process was paused for a second, then continued the
// job, while the owner offered it elsewhere. Found in a simulated day of crs-endcap from the search for
// faults.
BOOST_AUTO_TEST_CASE(a_holder_that_is_reachable_again_keeps_it)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    BOOST_REQUIRE_EQUAL(offers(f.submit("j"), "near").size(), 1U);
    for (int i = 0; i < 50; ++i) {
        f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
        BOOST_TEST(offers(f.advance(milliseconds(20)), "far").empty());
    }
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    const auto again = offers(f.advance(milliseconds(20)), "near");
    BOOST_REQUIRE_EQUAL(again.size(), 1U);
    BOOST_TEST(again[0].may_have_run);
    for (int i = 0; i < 100; ++i) {
        f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
        f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
        const auto actions = f.advance(milliseconds(20));
        BOOST_TEST(offers(actions, "far").empty());
        BOOST_TEST(offers(actions, "near").empty());
    }
}

// Guards against a paused holder that continues a job after it was offered to another pool.
BOOST_AUTO_TEST_CASE(a_holder_that_has_lost_it_gets_a_cancel)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    bool cancel_sent = false;
    for (int i = 0; i < 150; ++i) {
        f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
        for (const send_to_holder& sent : all<send_to_holder>(f.advance(milliseconds(20)))) {
            cancel_sent = cancel_sent || (sent.holder == endpoint("near") &&
                                          std::holds_alternative<workers::job_cancel>(sent.message));
        }
    }
    BOOST_TEST(cancel_sent);
}

// Guards against a grant that is extended while the job is about to start elsewhere.
BOOST_AUTO_TEST_CASE(a_lost_holder_that_returns_without_the_pool_is_not_granted_the_job)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    const auto in_force = [&f] {
        workers::instance_status status;
        f.tested_router.add_offers_in_force(f.now, endpoint("near"), status);
        return status.offers.size();
    };
    BOOST_TEST(in_force() == 1U);
    f.advance(job_peer_status_timeout + milliseconds(20));
    BOOST_TEST(in_force() == 1U);
    f.receive_status(status_of("near", "ollur"));
    f.advance(milliseconds(20));
    BOOST_TEST(in_force() == 0U);
}

// Guards against a reading of this instance's clock, or a stale one, in place of the holder's latest.
BOOST_AUTO_TEST_CASE(offers_and_statuses_echo_the_clock_of_the_holder)
{
    fixture f;
    workers::instance_status near = status_of("near", "ollur", {load_of(ollur_pool)});
    near.clock = milliseconds(7000);
    f.receive_status(near);
    const auto sent = offers(f.submit("j"), "near");
    BOOST_REQUIRE_EQUAL(sent.size(), 1U);
    BOOST_TEST(sent[0].echoed_clock.count() == 7000);
    near.clock = milliseconds(7100);
    f.receive_status(near);
    workers::instance_status status;
    f.tested_router.add_offers_in_force(f.now, endpoint("near"), status);
    BOOST_TEST(status.echoed_clock.count() == 7100);
    BOOST_REQUIRE_EQUAL(status.offers.size(), 1U);
    BOOST_TEST((status.offers[0] == sent[0].number));
    BOOST_TEST((status.last_offer == sent[0].number));
}

// Guards against callers that wait for holders which dropped the jobs because this instance was unreachable
// while paused.
BOOST_AUTO_TEST_CASE(after_a_pause_of_this_instance_jobs_are_offered_again)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.tested_router.on_pause(f.now);
    std::size_t again = 0;
    for (int i = 0; i < 20; ++i) {
        f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
        again += offers(f.advance(milliseconds(20)), "near").size();
    }
    BOOST_TEST(again == 1U);
}

// Guards against a delay for tasks that were never started.
BOOST_AUTO_TEST_CASE(a_job_that_was_not_started_is_offered_as_new)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.receive_status(status_of("near", "ollur"));
    f.receive_status(status_of("next", "ollur", {load_of(ollur_pool, 2)}));
    const auto again = offers(f.answer("near", "j", workers::job_end::not_held, false), "next");
    BOOST_REQUIRE_EQUAL(again.size(), 1U);
    BOOST_TEST(!again[0].may_have_run);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_caller_leaves)

// Guards against work for callers that have disconnected.
BOOST_AUTO_TEST_CASE(the_holder_gets_a_cancel)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.tested_router.on_caller_left(f.now, caller_id(1));
    const auto messages = all<send_to_holder>(f.tested_router.take_actions());
    BOOST_REQUIRE_EQUAL(messages.size(), 1U);
    BOOST_TEST(std::holds_alternative<workers::job_cancel>(messages[0].message));
    BOOST_TEST(f.tested_router.job_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_end_is_reported)

// Guards against counters and histograms without the service and the waiting time of the answer.
BOOST_AUTO_TEST_CASE(an_answer_names_the_service_and_the_time_waited)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.advance(milliseconds(40));
    const auto answers = all<answer_caller>(f.answer("near", "j", workers::job_end::completed, false));
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST(answers[0].service.value() == "desk");
    BOOST_TEST(answers[0].waited.count() == 40);
}

// Under load, log lines of routine decisions are dropped first. Guards against lines of failed requests among
// them.
BOOST_AUTO_TEST_CASE(only_decisions_about_completed_jobs_are_routine)
{
    routing_record record{routing_decision::answered, job_id("j"), {}, "completed", {}, {}};
    BOOST_TEST(is_routine(record));
    record.detail = "refused: deadline_unreachable";
    BOOST_TEST(!is_routine(record));
    record.decision = routing_decision::waits_for_lapse;
    BOOST_TEST(!is_routine(record));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_data_centre_is_evacuated)

// Guards against a job that goes to a holder that has not heard of the order yet.
BOOST_AUTO_TEST_CASE(the_other_one_gets_the_job)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
    f.tested_router.set_evacuated({data_centre_id("ollur")});
    BOOST_TEST(offers(f.submit("j"), "far").size() == 1U);
}

// Guards against callers that wait although no pool may take their job.
BOOST_AUTO_TEST_CASE(a_job_that_no_pool_may_take_is_refused_at_once)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("first");
    f.tested_router.set_evacuated({data_centre_id("ollur")});
    const auto answers = all<answer_caller>(f.submit("second", caller_id(2)));
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].kind == answer_kind::refused));
    BOOST_TEST((answers[0].reason == refusal_reason::no_runners));
}

// Guards against an answer that leaves open whether the job has run, which a caller must not send again
// without care.
BOOST_AUTO_TEST_CASE(a_returned_job_without_another_pool_has_not_run)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.submit("j");
    f.tested_router.set_evacuated({data_centre_id("ollur")});
    const auto answers = all<answer_caller>(f.answer("near", "j", workers::job_end::returned));
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].kind == answer_kind::refused));
}

// Guards against a data centre that stays unused after its evacuation.
BOOST_AUTO_TEST_CASE(its_pools_are_used_again_when_it_is_taken_back)
{
    fixture f;
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.tested_router.set_evacuated({data_centre_id("ollur")});
    f.tested_router.set_evacuated({});
    BOOST_TEST(offers(f.submit("j"), "near").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
