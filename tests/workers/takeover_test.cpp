#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

BOOST_AUTO_TEST_SUITE(takeover)

BOOST_AUTO_TEST_SUITE(when_a_job_is_offered_again_before_the_workers_are_listed)

// Guards against a second run of a task that a former holder has started.
BOOST_AUTO_TEST_CASE(a_listed_run_is_adopted_and_not_started_again)
{
    pool_fixture world(2);
    job_offer again = pool_fixture::offer("j", 1);
    again.may_have_run = true;
    again.uncertain_tasks = {0};
    again.uncertain_for = milliseconds(1100);
    world.offer_job(again);
    world.list(0, {{{job_id("j"), 0, 0}, run_number(5), 0}});
    world.list(1);
    world.advance(milliseconds(20));
    BOOST_TEST(world.starts.empty());
    world.list(0, {}, {{1, {job_id("j"), 0, 0}, run_number(5), run_end::done}});
    BOOST_REQUIRE_EQUAL(world.results.size(), 1U);
    BOOST_TEST((world.results[0].end == job_end::completed));
}

// The resource need of a listed run is an estimate until its job is known. Guards against a worker that is
// loaded beyond its capacity.
BOOST_AUTO_TEST_CASE(an_adopted_run_takes_the_room_of_its_task)
{
    pool_fixture world(1, 36'000);
    world.list(0, {{{job_id("j"), 0, 0}, run_number(5), 0}});
    job_offer again = pool_fixture::offer("j", 3, milliseconds(900));
    again.may_have_run = true;
    again.uncertain_tasks = {0, 1, 2};
    again.uncertain_for = milliseconds(1100);
    world.offer_job(again);
    BOOST_TEST(world.starts.size() == 1U);
}

// Guards against a second run of a task that has ended under the former holder.
BOOST_AUTO_TEST_CASE(a_listed_end_counts_for_the_job)
{
    pool_fixture world(1);
    job_offer again = pool_fixture::offer("j", 1);
    again.may_have_run = true;
    again.uncertain_tasks = {0};
    again.uncertain_for = milliseconds(1100);
    world.offer_job(again);
    world.list(0, {}, {{1, {job_id("j"), 0, 0}, run_number(5), run_end::done}});
    BOOST_TEST(world.starts.empty());
    BOOST_REQUIRE_EQUAL(world.results.size(), 1U);
    BOOST_TEST((world.results[0].end == job_end::completed));
}

// Guards against a start while an unlisted worker may still run the task.
BOOST_AUTO_TEST_CASE(nothing_starts_before_every_worker_is_listed_or_its_lease_has_lapsed)
{
    pool_fixture world(2);
    job_offer again = pool_fixture::offer("j", 1, milliseconds(900));
    again.may_have_run = true;
    again.uncertain_tasks = {0};
    again.uncertain_for = milliseconds(1100);
    world.offer_job(again);
    world.list(0);
    world.advance(milliseconds(500));
    BOOST_TEST(world.starts.empty());
    world.advance(milliseconds(700));
    BOOST_TEST(world.starts.size() == 1U);
}

// Guards against a second run after a partition: the pool has existed for long, but its workers were
// unreachable throughout, and the former holder has renewed their leases.
BOOST_AUTO_TEST_CASE(the_age_of_the_pool_says_nothing_about_workers_that_were_never_listed)
{
    pool_fixture world(2);
    world.list(0);
    world.advance(milliseconds(5000));
    job_offer again = pool_fixture::offer("j", 1, milliseconds(900));
    again.may_have_run = true;
    again.uncertain_tasks = {0};
    again.uncertain_for = milliseconds(1200);
    world.offer_job(again);
    world.advance(milliseconds(100));
    BOOST_TEST(world.starts.empty());
    world.list(1, {{{job_id("j"), 0, 0}, run_number(5), 0}});
    world.advance(milliseconds(200));
    BOOST_TEST(world.starts.empty());
}

// Guards against a start of a task whose worker expired from the directory in an outage and is not listed
// yet.
BOOST_AUTO_TEST_CASE(an_incomplete_directory_makes_uncertain_tasks_wait_for_the_lease)
{
    pool_fixture world(1);
    world.list(0);
    world.get().on_directory_completeness(false);
    world.get().on_directory(world.now(), {pool_fixture::entry(0)});
    job_offer again = pool_fixture::offer("j", 2, milliseconds(900));
    again.may_have_run = true;
    again.uncertain_tasks = {0};
    again.uncertain_for = milliseconds(1100);
    world.offer_job(again);
    BOOST_REQUIRE_EQUAL(world.starts.size(), 1U);
    BOOST_TEST(world.starts[0].task.index == 1U);
    world.get().on_directory(world.now() + milliseconds(600),
                             {pool_fixture::entry(0), pool_fixture::entry(1)});
    world.list(1, {{{job_id("j"), 0, 0}, run_number(5), 0}});
    world.advance(milliseconds(1500));
    BOOST_TEST(world.starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_former_holder_may_still_act)

/// An offer of a job whose former holder can start tasks for some more time.
job_offer offer_with_former_holder(milliseconds may_start_for)
{
    job_offer again = pool_fixture::offer("j", 1, milliseconds(900));
    again.may_have_run = true;
    again.uncertain_tasks = {0};
    again.uncertain_for = may_start_for + expired_grant_delay;
    return again;
}

// A worker that restarts after its list has forgotten the token, so a former holder that is cut off can start
// a task there. Guards against a second run of it (seed 5079 of the fleet schedules).
BOOST_AUTO_TEST_CASE(a_list_sent_before_its_grant_ends_does_not_count)
{
    pool_fixture world(2);
    world.list(0);
    world.list(1);
    world.offer_job(offer_with_former_holder(milliseconds(100)));
    world.advance(milliseconds(90));
    BOOST_TEST(world.starts.empty());
    world.advance(milliseconds(20));
    world.list(0, {{{job_id("j"), 0, 0}, run_number(5), 0}}, {}, 2, 300);
    world.list(1, {}, {}, 1, 5110);
    BOOST_TEST(world.starts.empty());
    world.list(0, {}, {{1, {job_id("j"), 0, 0}, run_number(5), run_end::done}}, 2, 320);
    BOOST_TEST(world.starts.empty());
    BOOST_REQUIRE_EQUAL(world.results.size(), 1U);
    BOOST_TEST((world.results[0].end == job_end::completed));
}

// The former holder may have stopped the adopted run and started its task on another worker. Guards against a
// second run of it (seed 23224 of the hostile schedules).
BOOST_AUTO_TEST_CASE(an_adopted_run_that_ends_does_not_restart_its_task_at_once)
{
    pool_fixture world(2);
    const listed_run adopted{{job_id("j"), 0, 0}, run_number(5), 0};
    world.offer_job(offer_with_former_holder(milliseconds(100)));
    world.list(0, {adopted});
    world.list(0, {}, {{1, adopted.task, adopted.run, run_end::stopped}});
    world.list(0);
    world.list(1);
    BOOST_TEST(world.starts.empty());
    world.advance(milliseconds(110));
    world.list(0, {}, {}, 1, 5110);
    world.list(1, {}, {}, 1, 5110);
    BOOST_TEST(world.starts.size() == 1U);
}

// Guards against tasks that wait for the next regular list of an idle worker.
BOOST_AUTO_TEST_CASE(all_workers_are_listed_as_soon_as_its_grant_has_ended)
{
    pool_fixture world(2);
    world.list(0);
    world.list(1);
    world.lists.clear();
    world.offer_job(offer_with_former_holder(milliseconds(100)));
    world.advance(milliseconds(90));
    BOOST_TEST(world.lists.empty());
    world.advance(milliseconds(20));
    BOOST_REQUIRE_EQUAL(world.lists.size(), 2U);
    BOOST_TEST(world.lists[0].wait.count() == 0);
    world.list(0, {}, {}, 1, 5110);
    world.list(1, {}, {}, 1, 5110);
    BOOST_TEST(world.starts.size() == 1U);
}

// Guards against tasks that wait for a long poll of a busy worker.
BOOST_AUTO_TEST_CASE(a_long_poll_ends_with_its_grant)
{
    pool_fixture world(1);
    world.list(0);
    world.offer_job(pool_fixture::offer("own", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(world.starts.size(), 1U);
    world.offer_job(offer_with_former_holder(milliseconds(100)));
    world.list(0, {{world.starts[0].task, world.starts[0].run, 0}});
    BOOST_TEST(world.lists.back().wait.count() == 100);
    world.advance(milliseconds(101));
    world.list(0, {{world.starts[0].task, world.starts[0].run, 0}}, {}, 1, 5101);
    BOOST_TEST(world.lists.back().wait.count() == 0);
    BOOST_TEST(world.starts.size() == 1U);
    world.list(0, {{world.starts[0].task, world.starts[0].run, 0}}, {}, 1, 5102);
    BOOST_TEST(world.lists.back().wait == pool_fixture::options().list_wait);
    BOOST_TEST(world.starts.size() == 2U);
}

// Guards against a start while the owner may already have assigned the job to another holder.
BOOST_AUTO_TEST_CASE(nothing_starts_after_the_own_grant_has_ended)
{
    pool_fixture world(1);
    job_offer offer = pool_fixture::offer("j", 3, milliseconds(900));
    offer.echoed_clock = clock_reading(world.now());
    world.list(0);
    world.offer_job(offer);
    BOOST_REQUIRE_EQUAL(world.starts.size(), 2U);
    world.get().on_listing(world.now() + offer_validity + milliseconds(10),
                           {pool_fixture::entry(0).id,
                            1,
                            5850,
                            {},
                            {{1, world.starts[0].task, world.starts[0].run, run_end::done}}});
    world.collect_actions();
    BOOST_TEST(world.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_pool_is_handed_over)

// Guards against restarting tasks that still run, and against waiting for tasks that never started.
BOOST_AUTO_TEST_CASE(owners_receive_the_tasks_that_may_run)
{
    pool_fixture world(1);
    world.list(0);
    world.offer_job(pool_fixture::offer("j", 3));
    world.offer_job(pool_fixture::offer("k", 1));
    world.get().hand_over(world.now());
    world.collect_actions();
    BOOST_REQUIRE_EQUAL(world.results.size(), 2U);
    for (const job_result& result : world.results) {
        const bool first = result.job == job_id("j");
        BOOST_TEST((result.end == job_end::not_held));
        BOOST_TEST(result.may_have_run == first);
        BOOST_TEST(result.uncertain_tasks.size() == (first ? 2U : 0U));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_job_is_given_back_after_a_run_of_a_former_holder_has_ended)

// Guards against an owner that takes a finished task for one that was never started.
BOOST_AUTO_TEST_CASE(the_owner_learns_that_the_task_is_done_before_the_result)
{
    pool_fixture world(2);
    job_offer again = pool_fixture::offer("j", 2);
    again.may_have_run = true;
    again.uncertain_tasks = {0, 1};
    again.uncertain_for = milliseconds(1100);
    world.offer_job(again);
    world.get().on_listing(
        world.now(),
        {pool_fixture::entry(0).id, 1, 5000, {}, {{1, {job_id("j"), 0, 0}, run_number(5), run_end::done}}});
    world.get().hand_over(world.now());
    world.collect_actions();
    BOOST_REQUIRE_EQUAL(world.progress.size(), 1U);
    BOOST_TEST((world.progress[0].done_tasks == std::vector<std::uint32_t>{0}));
    BOOST_REQUIRE_EQUAL(world.results.size(), 1U);
    BOOST_TEST((world.results[0].uncertain_tasks == std::vector<std::uint32_t>{1}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_no_owner_claims_a_run)

// Guards against capacity that remains occupied by runs whose callers have disconnected.
BOOST_AUTO_TEST_CASE(the_run_is_stopped)
{
    pool_fixture world(1);
    world.list(0, {{{job_id("j"), 0, 0}, run_number(5), 0}});
    world.advance(milliseconds(300));
    BOOST_TEST(world.stops.empty());
    world.advance(milliseconds(400));
    BOOST_TEST(world.stops.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_an_unknown_run_appears_on_a_listed_worker)

// A late start, or one of a former holder on a restarted worker. Guards against a second run of its task,
// which waits for room.
BOOST_AUTO_TEST_CASE(it_is_adopted_if_its_task_waits)
{
    pool_fixture world(1);
    world.list(0);
    world.offer_job(pool_fixture::offer("j", 3, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(world.starts.size(), 2U);
    const listed_run first{world.starts[0].task, world.starts[0].run, 0};
    const listed_run second{world.starts[1].task, world.starts[1].run, 0};
    const listed_run late{{job_id("j"), 0, 2}, run_number(1), 0};
    world.list(0, {first, second, late});
    world.list(0, {late},
               {{1, first.task, first.run, run_end::done}, {2, second.task, second.run, run_end::done}});
    BOOST_TEST(world.starts.size() == 2U);
    BOOST_TEST(world.stops.empty());
    world.list(0, {}, {{3, late.task, late.run, run_end::done}});
    BOOST_REQUIRE_EQUAL(world.results.size(), 1U);
    BOOST_TEST((world.results[0].end == job_end::completed));
}

// Guards against a run of an ended job that continues because the lease of its worker is renewed for other
// runs.
BOOST_AUTO_TEST_CASE(it_is_stopped_and_its_lease_is_not_renewed_if_no_job_claims_it)
{
    pool_fixture world(1);
    world.list(0);
    world.offer_job(pool_fixture::offer("j", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(world.starts.size(), 1U);
    const listed_run own{world.starts[0].task, world.starts[0].run, 0};
    world.list(0, {own, {{job_id("gone"), 0, 0}, run_number(1), 0}});
    BOOST_REQUIRE_EQUAL(world.stops.size(), 1U);
    BOOST_TEST((world.stops[0].task.job == job_id("gone")));
    BOOST_TEST(!world.lists.back().lease_until_ms.has_value());
    world.list(0, {own});
    BOOST_TEST(world.lists.back().lease_until_ms.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_dropped_job_is_offered_again)

// Guards against a second run of a task whose first run is still being stopped: the pool considered the owner
// lost, and the owner offers the job again.
BOOST_AUTO_TEST_CASE(a_task_that_is_being_stopped_is_not_started_elsewhere)
{
    pool_fixture world(2);
    world.list(0);
    world.list(1);
    job_offer offer = pool_fixture::offer("j", 1, milliseconds(900));
    world.offer_job(offer);
    BOOST_REQUIRE_EQUAL(world.starts.size(), 1U);
    world.get().on_owner_lost(world.now(), offer.owner);
    world.collect_actions();
    BOOST_REQUIRE_EQUAL(world.stops.size(), 1U);
    offer.may_have_run = true;
    offer.uncertain_tasks = {0};
    offer.uncertain_for = milliseconds(1900);
    world.offer_job(offer);
    BOOST_TEST(world.starts.size() == 1U);
    const stop_command& stop = world.stops[0];
    world.get().on_stop_reply(world.now(), {stop.target.worker, stop.task, stop.run, stop_outcome::stopped});
    world.advance(milliseconds(150));
    BOOST_TEST(world.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_worker_restarts_after_its_leases_have_expired)

// Guards against finished tasks that are started again: the new incarnation numbers its ends from 1, and the
// pool ignored them as acknowledged.
BOOST_AUTO_TEST_CASE(the_ends_of_the_new_incarnation_count)
{
    pool_fixture f;
    f.list(0);
    f.offer_job(pool_fixture::offer("j", 1));
    f.list(0, {}, {{5, f.starts.at(0).task, f.starts.at(0).run, run_end::done}});
    BOOST_TEST(f.results.size() == 1U);
    f.offer_job(pool_fixture::offer("k", 1, milliseconds(900)));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 2U);
    for (int i = 0; i < 3; ++i) {
        f.get().on_list_failure(f.now(), pool_fixture::entry(0).id, list_failure::unanswered);
    }
    f.advance(milliseconds(1300));
    f.list(0, {}, {}, 2, 100);
    BOOST_REQUIRE_EQUAL(f.starts.size(), 3U);
    f.list(0, {}, {{1, f.starts[2].task, f.starts[2].run, run_end::done}}, 2, 200);
    BOOST_TEST(f.results.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_commands_are_reordered)

// A list command sent after a start may reach the worker first, and its answer may be processed after the
// answer to the start. Guards against a second run of a task that is missing from such a list.
BOOST_AUTO_TEST_CASE(a_list_that_may_predate_a_start_does_not_end_it)
{
    pool_fixture f(2);
    f.list(0);
    f.list(1);
    f.offer_job(pool_fixture::offer("j", 1));
    BOOST_REQUIRE_EQUAL(f.starts.size(), 1U);
    const start_command start = f.starts[0];
    const std::size_t worker = start.target.worker.value() == "w0" ? 0 : 1;
    f.get().on_list_failure(f.now(), start.target.worker, list_failure::unanswered);
    f.advance(milliseconds(20));
    f.get().on_start_reply(f.now(),
                           {start.target.worker, start.task, start.run, start_outcome::started, 5000});
    f.list(worker);
    f.advance(milliseconds(20));
    BOOST_TEST(f.starts.size() == 1U);
}

// Guards against waiting for the lease of a run that its worker has lost.
BOOST_AUTO_TEST_CASE(a_later_list_without_the_run_ends_it)
{
    pool_fixture f(2);
    f.list(0);
    f.list(1);
    f.offer_job(pool_fixture::offer("j", 1));
    const start_command start = f.starts.at(0);
    const std::size_t worker = start.target.worker.value() == "w0" ? 0 : 1;
    f.advance(milliseconds(20));
    f.get().on_start_reply(f.now(),
                           {start.target.worker, start.task, start.run, start_outcome::started, 5000});
    f.list(worker);
    f.list(worker);
    BOOST_TEST(f.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
