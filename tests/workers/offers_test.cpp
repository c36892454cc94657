#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

job_offer numbered(std::uint64_t number)
{
    job_offer value = pool_fixture::offer("j", 1);
    value.number = offer_number(number);
    return value;
}

const endpoint owner_address("10.0.0.2:1");

active_offers active(time_point owner_echo, std::vector<offer_number> numbers, std::uint64_t last)
{
    return {owner_address, clock_reading(owner_echo), std::move(numbers), offer_number(last)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(offers_of_a_job)

BOOST_AUTO_TEST_SUITE(when_the_job_is_offered_again)

// Guards against an owner that mistakes the result of its first offer for the result of the second.
BOOST_AUTO_TEST_CASE(the_answer_names_the_later_offer)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(numbered(1));
    f.offer_job(numbered(2));
    BOOST_TEST(f.starts.size() == 1U);
    const start_command start = f.starts.at(0);
    f.list(0, {}, {{1, start.task, start.run, run_end::done}});
    BOOST_TEST(f.results.size() == 1U);
    BOOST_TEST((f.results.at(0).number == offer_number(2)));
}

// Guards against a delayed cancel that ends the job under a later offer.
BOOST_AUTO_TEST_CASE(the_cancel_of_the_first_offer_is_ignored)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(numbered(1));
    f.offer_job(numbered(2));
    f.get().on_cancel(f.now(), {job_id("j"), endpoint("10.0.0.2:1"), offer_number(1)});
    BOOST_TEST(f.get().job_count() == 1U);
    f.get().on_cancel(f.now(), {job_id("j"), endpoint("10.0.0.2:1"), offer_number(2)});
    BOOST_TEST(f.get().job_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_owner_knows_more_than_the_holder)

// Guards against a second run of a task that a holder in between has started: the owner lost this holder,
// offered the job to another one, and offers it here again.
BOOST_AUTO_TEST_CASE(its_uncertain_tasks_wait_and_its_done_tasks_are_not_started)
{
    pool_fixture f(2);
    f.list(0);
    job_offer first = pool_fixture::offer("j", 6);
    first.number = offer_number(1);
    f.offer_job(first);
    BOOST_REQUIRE_EQUAL(f.starts.size(), 2U);
    job_offer again = first;
    again.number = offer_number(3);
    again.may_have_run = true;
    again.done_tasks = {2};
    again.uncertain_tasks = {3};
    again.uncertain_for = milliseconds(1100);
    f.offer_job(again);
    for (const start_command& start : std::vector<start_command>(f.starts)) {
        f.list(0, {}, {{start.run.value(), start.task, start.run, run_end::done}});
    }
    std::vector<std::uint32_t> started;
    for (const start_command& start : f.starts) {
        started.push_back(start.task.index);
    }
    BOOST_TEST(started == (std::vector<std::uint32_t>{0, 1, 4, 5}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_caller_sends_the_job_again_through_another_instance)

job_offer through(const std::string& owner, std::uint64_t number, milliseconds age)
{
    job_offer value = numbered(number);
    value.owner = endpoint(owner);
    value.age = age;
    return value;
}

// Guards against a former owner that waits for a job which continues under another owner, and offers it to
// another pool after its own grant has expired.
BOOST_AUTO_TEST_CASE(the_former_owner_learns_that_it_is_superseded)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(through("former:1", 900, milliseconds(0)));
    f.advance(milliseconds(100));
    f.offer_job(through("later:1", 5, milliseconds(0)));
    BOOST_TEST(f.starts.size() == 1U);
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.result_receivers[0] == endpoint("former:1")));
    BOOST_TEST((f.results[0].end == job_end::gave_up));
    BOOST_TEST((f.results[0].number == offer_number(900)));
    f.get().on_cancel(f.now(), {job_id("j"), endpoint("former:1"), offer_number(901)});
    BOOST_TEST(f.get().job_count() == 1U);
}

// Guards against a delayed offer that returns the job to an owner whose caller has left, so that the cancels
// and statuses of the present owner have no effect.
BOOST_AUTO_TEST_CASE(a_delayed_offer_of_the_former_owner_does_not_take_the_job_back)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(through("later:1", 5, milliseconds(0)));
    f.offer_job(through("former:1", 901, milliseconds(1300)));
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.result_receivers[0] == endpoint("former:1")));
    BOOST_TEST((f.results[0].number == offer_number(901)));
    f.get().on_cancel(f.now(), {job_id("j"), endpoint("later:1"), offer_number(5)});
    BOOST_TEST(f.get().job_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_an_offer_was_delayed)

// Guards against a start by a former holder: the offer arrives after the owner has assigned the job to
// another pool.
BOOST_AUTO_TEST_CASE(it_is_not_started)
{
    pool_fixture f;
    f.list(0);
    job_offer late = numbered(1);
    late.echoed_clock = clock_reading(f.now());
    f.advance(offer_validity + milliseconds(1));
    f.list(0);
    f.offer_job(late);
    BOOST_TEST(f.starts.empty());
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.results[0].end == job_end::not_held));
    BOOST_TEST(!f.results[0].may_have_run);
}

// Guards against another owner that takes the job for one of which nothing runs, and offers it to another
// pool.
BOOST_AUTO_TEST_CASE(the_answer_names_the_tasks_that_run_under_another_offer)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(numbered(1));
    job_offer late = numbered(9);
    late.owner = endpoint("other:1");
    late.echoed_clock = clock_reading(f.now()) - offer_validity - milliseconds(1);
    f.offer_job(late);
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST(f.results[0].may_have_run);
    BOOST_TEST((f.results[0].uncertain_tasks == std::vector<std::uint32_t>{0}));
    BOOST_TEST((f.results[0].number == offer_number(9)));
}

// Guards against tasks that are stopped right after their start because the grant expires before the next
// status of the owner can arrive.
BOOST_AUTO_TEST_CASE(it_is_not_started_with_little_time_left)
{
    pool_fixture f;
    f.list(0);
    job_offer late = numbered(1);
    late.echoed_clock = clock_reading(f.now() - (offer_validity - min_new_grant) - milliseconds(1));
    f.offer_job(late);
    BOOST_TEST(f.starts.empty());
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.results[0].end == job_end::not_held));
    late.echoed_clock = late.echoed_clock + milliseconds(1);
    f.offer_job(late);
    BOOST_TEST(f.starts.size() == 1U);
}

// Guards against an offer sent before a restart of this machine, when its clock was ahead.
BOOST_AUTO_TEST_CASE(an_echo_from_the_future_does_not_count)
{
    pool_fixture f;
    f.list(0);
    job_offer other = numbered(1);
    other.echoed_clock = clock_reading(f.now() + milliseconds(1));
    f.offer_job(other);
    BOOST_TEST(f.starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_the_job_is_held)

struct held_job : pool_fixture {
    held_job()
    {
        list(0);
        job_offer value = numbered(5);
        value.echoed_clock = clock_reading(now());
        offer_job(value);
    }
};

// Guards against a holder that continues a job after its owner has assigned it elsewhere.
BOOST_AUTO_TEST_CASE(it_is_dropped_without_a_status_from_the_owner)
{
    held_job f;
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    f.advance(offer_validity);
    BOOST_TEST(f.get().job_count() == 1U);
    f.advance(milliseconds(1));
    BOOST_TEST(f.get().job_count() == 0U);
    BOOST_TEST(f.stops.size() == 1U);
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.results[0].end == job_end::not_held));
    BOOST_TEST((f.results[0].uncertain_tasks == std::vector<std::uint32_t>{0}));
}

// Guards against a delayed status that counts as recent when it arrives.
BOOST_AUTO_TEST_CASE(only_the_echoed_clock_renews_the_grant)
{
    held_job f;
    const time_point echoed = f.now();
    f.advance(milliseconds(500));
    f.get().on_active_offers(f.now(), active(echoed, {offer_number(5)}, 5));
    f.advance(milliseconds(400));
    BOOST_TEST(f.get().job_count() == 0U);
}

BOOST_AUTO_TEST_CASE(a_status_of_the_owner_renews_the_grant)
{
    held_job f;
    f.advance(milliseconds(500));
    f.get().on_active_offers(f.now(), active(f.now(), {offer_number(5)}, 6));
    f.advance(milliseconds(400));
    BOOST_TEST(f.get().job_count() == 1U);
}

// In a one-way partition the owner still receives messages from this instance. Guards against an owner that
// waits until the deadline for a job that no instance holds.
BOOST_AUTO_TEST_CASE(the_owner_is_notified_when_it_counts_as_lost)
{
    held_job f;
    f.get().on_owner_lost(f.now(), owner_address);
    f.collect_actions();
    BOOST_TEST(f.get().job_count() == 0U);
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.results[0].end == job_end::not_held));
    BOOST_TEST((f.results[0].uncertain_tasks == std::vector<std::uint32_t>{0}));
}

// Guards against a cancel that was lost when its connection closed.
BOOST_AUTO_TEST_CASE(an_offer_that_is_no_longer_active_ends_the_job)
{
    held_job f;
    f.get().on_active_offers(f.now(), active(f.now(), {}, 4));
    BOOST_TEST(f.get().job_count() == 1U);
    f.get().on_active_offers(f.now(), active(f.now(), {offer_number(6)}, 6));
    f.collect_actions();
    BOOST_TEST(f.get().job_count() == 0U);
    BOOST_TEST(f.stops.size() == 1U);
}

// Guards against a run whose stop is lost while other runs on the worker keep the lease renewed.
BOOST_AUTO_TEST_CASE(leases_end_soon_after_the_grant)
{
    held_job f;
    const std::int64_t usual = f.starts.at(0).lease_until_ms;
    f.advance(milliseconds(600));
    f.list(0, {{f.starts[0].task, f.starts[0].run, 0}});
    BOOST_REQUIRE(!f.lists.empty());
    BOOST_REQUIRE(f.lists.back().lease_until_ms.has_value());
    // The worker's clock reads 5000 at each listing, and may be 2% slow from then on.
    BOOST_TEST(usual == 5000 + 700 - 14);
    const std::int64_t left = (offer_validity + run_grace_period).count() - 600;
    BOOST_TEST(*f.lists.back().lease_until_ms == 5000 + left - left / 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_owner_sends_no_clock)

// An owner of an earlier release; its grant does not expire. Guards against an unwanted run that goes on
// while every stop is lost, because each list renews its lease (seed 93897 of the hostile schedules).
BOOST_AUTO_TEST_CASE(the_leases_of_a_cancelled_job_end)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    const std::vector<listed_run> running{{f.starts[0].task, f.starts[0].run, 0}};
    f.list(0, running);
    f.get().on_cancel(f.now(), {job_id("j"), owner_address, offer_number()});
    f.collect_actions();
    const milliseconds longest = offer_validity + run_grace_period;
    for (milliseconds passed{}; passed < 2 * longest; passed += milliseconds(100)) {
        f.advance(milliseconds(100));
        f.list(0, running);
    }
    BOOST_REQUIRE(!f.lists.empty());
    BOOST_TEST(!f.lists.back().lease_until_ms.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
