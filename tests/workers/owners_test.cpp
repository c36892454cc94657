#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

const endpoint first_owner("first:1");
const endpoint second_owner("second:1");

job_offer offer_of(const endpoint& owner, std::uint64_t number, owner_order order)
{
    job_offer value = pool_fixture::offer("j", 1);
    value.owner = owner;
    value.number = offer_number(number);
    value.attempt = offer_number(number);
    value.order = order;
    return value;
}

job_cancel cancel_of(const endpoint& owner, std::uint64_t number, bool nothing_runs)
{
    return {job_id("j"), owner, offer_number(number), nothing_runs};
}

// The first owner has been admitted, and the second one offers the same job.
struct two_owners {
    two_owners()
    {
        pool.list(0);
        pool.offer_job(offer_of(first_owner, 900, owner_order::only));
        pool.advance(milliseconds(2));
        pool.offer_job(offer_of(second_owner, 5, owner_order::here));
    }

    void advance(milliseconds time)
    {
        pool.advance(time);
        pool.list(0);
        pool.advance(milliseconds(0));
    }

    pool_fixture pool;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(owners_of_a_job)

BOOST_AUTO_TEST_SUITE(when_an_owner_asks_for_the_order_only)

// Guards against a job that starts in the pool that orders its owners and in the one that its owner prefers.
BOOST_AUTO_TEST_CASE(the_job_is_returned_and_nothing_starts)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(offer_of(first_owner, 900, owner_order::only));
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.results[0].end == job_end::returned));
    BOOST_TEST((f.results[0].number == offer_number(900)));
    BOOST_TEST(f.starts.empty());
    BOOST_TEST(f.get().job_count() == 0U);
}

// Guards against an owner that takes itself for superseded since its request was repeated.
BOOST_AUTO_TEST_CASE(a_repeated_request_gets_the_same_answer)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(offer_of(first_owner, 900, owner_order::only));
    f.offer_job(offer_of(first_owner, 900, owner_order::only));
    BOOST_REQUIRE_EQUAL(f.results.size(), 2U);
    BOOST_TEST((f.results[1].end == job_end::returned));
}

// Guards against a holder that waits for the owner to which it has just returned the job.
BOOST_AUTO_TEST_CASE(the_same_owner_may_have_the_job_started_here)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(offer_of(first_owner, 900, owner_order::only));
    job_offer later = offer_of(first_owner, 901, owner_order::here);
    later.attempt = offer_number(900);
    f.offer_job(later);
    BOOST_TEST(f.starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_second_owner_offers_the_job)

// Guards against two runs of a task of a job that two instances have read and offered to different pools.
BOOST_AUTO_TEST_CASE(nothing_starts_while_the_first_owner_works_on)
{
    two_owners f;
    BOOST_REQUIRE_EQUAL(f.pool.results.size(), 2U);
    BOOST_TEST((f.pool.result_receivers[1] == first_owner));
    BOOST_TEST((f.pool.results[1].end == job_end::gave_up));
    BOOST_TEST((f.pool.results[1].number == offer_number(900)));
    f.advance(milliseconds(2000));
    BOOST_TEST(f.pool.starts.empty());
}

// Guards against a start beside runs that the first owner's holder has not stopped yet.
BOOST_AUTO_TEST_CASE(its_tasks_start_when_the_runs_of_the_first_owner_have_ended)
{
    two_owners f;
    f.pool.get().on_cancel(f.pool.now(), cancel_of(first_owner, 900, false));
    f.advance(reassignment_delay - milliseconds(1));
    BOOST_TEST(f.pool.starts.empty());
    f.advance(milliseconds(1));
    BOOST_TEST(f.pool.starts.size() == 1U);
}

// Guards against callers that wait for runs which were never started.
BOOST_AUTO_TEST_CASE(its_tasks_start_at_once_if_the_first_owner_has_offered_the_job_to_nobody)
{
    two_owners f;
    f.pool.get().on_cancel(f.pool.now(), cancel_of(first_owner, 900, true));
    f.pool.collect_actions();
    BOOST_TEST(f.pool.starts.size() == 1U);
}

// Guards against a cancel of an earlier request that releases the present one.
BOOST_AUTO_TEST_CASE(a_cancel_of_another_request_releases_nothing)
{
    two_owners f;
    f.pool.get().on_cancel(f.pool.now(), cancel_of(first_owner, 899, true));
    f.advance(milliseconds(10));
    BOOST_TEST(f.pool.starts.empty());
}

// Guards against a start beside the runs of a first owner that cannot be asked.
BOOST_AUTO_TEST_CASE(nothing_starts_before_the_runs_of_a_first_owner_that_is_lost_have_lapsed)
{
    two_owners f;
    f.pool.get().on_owner_timed_out(f.pool.now(), first_owner);
    f.pool.collect_actions();
    f.advance(reassignment_delay - milliseconds(1));
    BOOST_TEST(f.pool.starts.empty());
    f.advance(milliseconds(1));
    BOOST_TEST(f.pool.starts.size() == 1U);
}

// Guards against running jobs that are given up each time a connection between instances is reset.
BOOST_AUTO_TEST_CASE(a_first_owner_whose_connection_was_closed_keeps_the_job)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(offer_of(first_owner, 900, owner_order::only));
    f.get().on_owner_lost(f.now(), first_owner);
    f.collect_actions();
    BOOST_TEST(f.results.size() == 1U);
    f.offer_job(offer_of(first_owner, 900, owner_order::only));
    BOOST_REQUIRE_EQUAL(f.results.size(), 2U);
    BOOST_TEST((f.results[1].end == job_end::returned));
}

// Guards against two owners after a time without statuses: the first one comes back and works on.
BOOST_AUTO_TEST_CASE(a_first_owner_that_is_back_is_told_again)
{
    two_owners f;
    f.pool.get().on_owner_timed_out(f.pool.now(), first_owner);
    f.pool.get().on_active_offers(
        f.pool.now(), {first_owner, clock_reading(f.pool.now()), {offer_number(900)}, offer_number(900)});
    f.pool.collect_actions();
    BOOST_REQUIRE_EQUAL(f.pool.results.size(), 3U);
    BOOST_TEST((f.pool.result_receivers[2] == first_owner));
    BOOST_TEST((f.pool.results[2].end == job_end::gave_up));
}

// Guards against running work that is given up because its owner was silent for a while.
BOOST_AUTO_TEST_CASE(an_only_owner_that_is_back_keeps_the_job)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(offer_of(first_owner, 900, owner_order::only));
    f.get().on_owner_timed_out(f.now(), first_owner);
    f.get().on_active_offers(f.now(),
                             {first_owner, clock_reading(f.now()), {offer_number(900)}, offer_number(900)});
    f.collect_actions();
    BOOST_TEST(f.results.size() == 1U);
    f.advance(reassignment_delay);
    f.offer_job(offer_of(second_owner, 5, owner_order::only));
    BOOST_REQUIRE_EQUAL(f.results.size(), 2U);
    BOOST_TEST((f.result_receivers[1] == first_owner));
}

// Guards against a second owner that starts the job at the next holder, which knows nothing of the first one.
BOOST_AUTO_TEST_CASE(a_hand_over_ends_the_wait_as_unknown)
{
    two_owners f;
    f.pool.get().hand_over(f.pool.now());
    f.pool.collect_actions();
    BOOST_TEST((f.pool.result_receivers.back() == second_owner));
    BOOST_TEST((f.pool.results.back().end == job_end::gave_up));
}

// Guards against a job that waits for an owner whose cancel was lost with its connection.
BOOST_AUTO_TEST_CASE(a_first_owner_that_no_longer_lists_the_job_is_released)
{
    two_owners f;
    const milliseconds echo = clock_reading(f.pool.now());
    f.pool.get().on_active_offers(f.pool.now(), {first_owner, echo, {offer_number(900)}, offer_number(901)});
    f.advance(milliseconds(100));
    BOOST_TEST(f.pool.starts.empty());
    f.pool.get().on_active_offers(f.pool.now(), {first_owner, echo, {}, offer_number(901)});
    f.advance(reassignment_delay - milliseconds(1));
    BOOST_TEST(f.pool.starts.empty());
    f.advance(milliseconds(1));
    BOOST_TEST(f.pool.starts.size() == 1U);
}

// Guards against a delayed offer of the former owner that supersedes the present one.
BOOST_AUTO_TEST_CASE(the_owner_of_the_earlier_request_gives_up)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(offer_of(first_owner, 900, owner_order::only));
    job_offer earlier = offer_of(second_owner, 5, owner_order::here);
    earlier.age = milliseconds(500);
    f.offer_job(earlier);
    BOOST_REQUIRE_EQUAL(f.results.size(), 2U);
    BOOST_TEST((f.result_receivers[1] == second_owner));
    BOOST_TEST((f.results[1].number == offer_number(5)));
    BOOST_TEST(f.get().job_count() == 0U);
}

// Guards against a refusal that says "not run" of a job that another instance may have started.
BOOST_AUTO_TEST_CASE(the_job_is_not_refused_as_not_run)
{
    two_owners f;
    for (int i = 0; i < 400; ++i) {
        f.advance(milliseconds(10));
    }
    for (const job_result& result : f.pool.results) {
        BOOST_TEST((result.end != job_end::refused));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_runs_of_a_dropped_job_are_being_stopped)

// Guards against a start in another pool beside a run that has not stopped here.
BOOST_AUTO_TEST_CASE(the_next_owner_does_not_get_the_job_back)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(offer_of(first_owner, 900, owner_order::here));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    f.get().on_cancel(f.now(), cancel_of(first_owner, 900, false));
    f.collect_actions();
    f.offer_job(offer_of(second_owner, 5, owner_order::only));
    BOOST_TEST(f.results.empty());
    BOOST_TEST(f.progress.size() == 1U);  // tells the owner that the job stays here
    BOOST_TEST(f.get().job_count() == 1U);
    const start_command start = f.starts[0];
    f.list(0, {}, {{1, start.task, start.run, run_end::stopped}});
    BOOST_TEST(f.starts.size() == 1U);  // the owner may have asked elsewhere meanwhile
    job_offer real = offer_of(second_owner, 6, owner_order::here);
    real.attempt = offer_number(5);
    f.offer_job(real);
    BOOST_TEST(f.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
