#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

constexpr milliseconds tick_interval{20};
const milliseconds delay = router_options().offer_delay_after_pause;

/// The owner of jobs, just after a pause that it has noticed.
struct woken_owner {
    woken_owner() : peers(endpoint("owner"), data_centre_id("ollur")), owner({}, peers, now - seconds(10))
    {
        receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    }

    void receive_status(const workers::instance_status& status)
    {
        peers.on_status(now, status);
        owner.on_status(status.address);
    }

    void pause()
    {
        now += seconds(1);
        owner.on_pause(now);
        receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    }

    void submit(milliseconds time_limit = milliseconds(4000))
    {
        route target;
        target.service = service_id("desk");
        target.stretch = 1.6;
        target.allowance = milliseconds(60);
        caller_job job;
        job.job = job_id("j");
        job.steps.resize(1);
        job.steps[0].need = {14'000, 64, 0};
        job.steps[0].estimate = milliseconds(20);
        job.time_limit = time_limit;
        owner.on_job(now, caller_id(1), target, job);
        collect();
    }

    void answer(workers::job_end end, bool may_have_run)
    {
        workers::job_result result;
        result.job = job_id("j");
        result.holder = endpoint("near");
        result.end = end;
        result.may_have_run = may_have_run;
        result.number = offers.back().second.number;
        owner.on_result(now, result.holder, result);
        collect();
    }

    void advance(milliseconds time)
    {
        for (const time_point until = now + time; now < until;) {
            now += std::min<duration>(tick_interval, until - now);
            owner.on_tick(now);
            collect();
        }
    }

    void collect()
    {
        const auto actions = owner.take_actions();
        for (const send_to_holder& sent : all<send_to_holder>(actions)) {
            if (const auto* offer = std::get_if<workers::job_offer>(&sent.message)) {
                offers.emplace_back(sent.holder.value(), *offer);
            }
        }
        for (const answer_caller& sent : all<answer_caller>(actions)) {
            answers.push_back(sent.kind);
        }
    }

    time_point now{seconds(100)};
    peer_table peers;
    router owner;
    std::vector<std::pair<std::string, workers::job_offer>> offers;
    std::vector<answer_kind> answers;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(when_this_instance_was_paused)

BOOST_AUTO_TEST_SUITE(and_a_request_has_waited)

// Guards against a task that runs twice: the caller has closed the connection and sent the job again
// elsewhere, and this instance reads the request before the end of the connection.
BOOST_AUTO_TEST_CASE(it_is_not_offered_if_the_caller_has_left)
{
    woken_owner f;
    f.pause();
    f.submit();
    f.advance(delay - milliseconds(1));
    f.owner.on_caller_left(f.now, caller_id(1));
    f.advance(seconds(1));
    BOOST_TEST(f.offers.empty());
    BOOST_TEST(f.owner.job_count() == 0U);
}

// Guards against a request that is refused, forgotten or offered as one that may have run after the delay.
BOOST_AUTO_TEST_CASE(it_is_offered_once_as_new_when_the_delay_is_over)
{
    woken_owner f;
    f.pause();
    f.submit();
    f.advance(delay - milliseconds(1));
    BOOST_TEST(f.offers.empty());
    f.advance(tick_interval);
    BOOST_REQUIRE_EQUAL(f.offers.size(), 1U);
    BOOST_TEST(!f.offers[0].second.may_have_run);
    BOOST_TEST(f.answers.empty());
}

// Guards against a caller that waits beyond its time limit because nothing is done during the delay.
BOOST_AUTO_TEST_CASE(it_ends_at_its_deadline)
{
    woken_owner f;
    f.pause();
    f.submit(delay / 2);
    f.advance(delay - milliseconds(1));
    BOOST_REQUIRE_EQUAL(f.answers.size(), 1U);
    BOOST_TEST((f.answers[0] == answer_kind::unknown_end));
}

// Guards against a delay of every request.
BOOST_AUTO_TEST_CASE(later_requests_are_offered_at_once)
{
    woken_owner f;
    f.pause();
    f.advance(delay);
    f.submit();
    BOOST_TEST(f.offers.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_a_job_was_offered_before)

// Guards against a second run beside the resend: another instance holds the pool since, and the job is
// offered to it before the end of the caller's connection is read.
BOOST_AUTO_TEST_CASE(a_new_holder_gets_it_only_after_the_delay)
{
    woken_owner f;
    f.submit();
    BOOST_REQUIRE_EQUAL(f.offers.size(), 1U);
    f.pause();
    f.receive_status(status_of("near", "ollur"));
    f.receive_status(status_of("next", "ollur", {load_of(ollur_pool, 2)}));
    f.advance(delay - milliseconds(1));
    BOOST_TEST(f.offers.size() == 1U);
    f.advance(tick_interval);
    BOOST_REQUIRE_EQUAL(f.offers.size(), 2U);
    BOOST_TEST(f.offers[1].first == "next");
    BOOST_TEST(f.offers[1].second.may_have_run);
}

// Guards against a second run beside the resend: the holder's answer, read after the pause, makes the job
// start elsewhere.
BOOST_AUTO_TEST_CASE(an_answer_that_gives_it_up_does_not_move_it_at_once)
{
    for (const auto end : {workers::job_end::returned, workers::job_end::not_held}) {
        woken_owner f;
        f.submit();
        f.pause();
        f.receive_status(status_of("far", "punkunnam", {load_of(other_pool)}));
        f.answer(end, false);
        f.advance(delay - milliseconds(1));
        BOOST_TEST(f.offers.size() == 1U);
        f.advance(tick_interval);
        BOOST_TEST(f.offers.size() == 2U);
        BOOST_TEST(f.answers.empty());
    }
}

// Guards against the answer "refused" for a job that may have run and was returned during the delay.
BOOST_AUTO_TEST_CASE(its_end_is_unknown_if_no_pool_takes_it_after_a_possible_start)
{
    woken_owner f;
    f.submit();
    f.receive_status(status_of("near", "ollur"));
    f.answer(workers::job_end::not_held, true);
    f.receive_status(status_of("near", "ollur", {load_of(ollur_pool)}));
    f.advance(milliseconds(200));
    BOOST_REQUIRE_EQUAL(f.offers.size(), 2U);
    f.pause();
    f.answer(workers::job_end::returned, false);
    f.receive_status(status_of("near", "ollur"));
    f.advance(seconds(4));
    BOOST_TEST(f.offers.size() == 2U);
    BOOST_REQUIRE_EQUAL(f.answers.size(), 1U);
    BOOST_TEST((f.answers[0] == answer_kind::unknown_end));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
