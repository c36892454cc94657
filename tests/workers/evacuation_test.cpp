#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

/// One worker with room for two tasks.
struct fixture : pool_fixture {
    fixture() { list(0); }

    void evacuate(bool evacuated)
    {
        get().set_evacuated(now(), evacuated);
        collect_actions();
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

BOOST_AUTO_TEST_SUITE(when_the_data_centre_is_evacuated)

// Guards against owners that go on sending jobs because the pool seems to have room.
BOOST_AUTO_TEST_CASE(the_load_shows_no_room)
{
    fixture f;
    BOOST_TEST(f.get().load(f.now()).free_cpu > 0);
    f.evacuate(true);
    BOOST_TEST(f.get().load(f.now()).free_cpu == 0);
    BOOST_TEST(f.get().load(f.now()).capacity_cpu == 0);
}

// Guards against a start for a job whose owner did not know of the order yet.
BOOST_AUTO_TEST_CASE(an_offer_goes_back_to_its_owner)
{
    fixture f;
    f.evacuate(true);
    f.offer_job(fixture::offer("a", 1));
    BOOST_TEST(f.starts.empty());
    BOOST_REQUIRE(f.results.size() == 1U);
    BOOST_TEST((f.results[0].end == job_end::returned));
    BOOST_TEST(!f.results[0].may_have_run);
}

// Guards against jobs that wait here until they are too late although another data centre has room.
BOOST_AUTO_TEST_CASE(a_job_that_has_not_started_goes_back)
{
    fixture f;
    f.offer_job(fixture::offer("a", 2));
    f.offer_job(fixture::offer("b", 1));
    BOOST_REQUIRE(f.starts.size() == 2U);
    f.evacuate(true);
    BOOST_REQUIRE(f.results.size() == 1U);
    BOOST_TEST(f.results[0].job.value() == "b");
    BOOST_TEST((f.results[0].end == job_end::returned));
}

// Guards against runs that are stopped although the order is only about starts.
BOOST_AUTO_TEST_CASE(runs_end_undisturbed)
{
    fixture f;
    f.offer_job(fixture::offer("a", 2));
    f.evacuate(true);
    f.advance(milliseconds(600));
    BOOST_TEST(f.stops.empty());
    BOOST_TEST(f.results.empty());
}

// Guards against the loss of what a job has done when only its last tasks wait for room.
BOOST_AUTO_TEST_CASE(a_started_job_may_start_its_other_tasks_for_a_moment)
{
    fixture f;
    f.offer_job(fixture::offer("a", 3));
    BOOST_REQUIRE(f.starts.size() == 2U);
    f.confirm(f.starts[0]);
    f.evacuate(true);
    f.advance(milliseconds(200));
    f.list(0, {{f.starts[1].task, f.starts[1].run}}, {{1, f.starts[0].task, f.starts[0].run, run_end::done}});
    BOOST_TEST(f.starts.size() == 3U);
}

// Guards against starts long after the order, and against jobs that are held without hope.
BOOST_AUTO_TEST_CASE(a_started_job_with_waiting_tasks_ends_after_that)
{
    fixture f;
    f.offer_job(fixture::offer("a", 3, milliseconds(900)));
    BOOST_REQUIRE(f.starts.size() == 2U);
    f.confirm(f.starts[0]);
    f.evacuate(true);
    f.advance(evacuation_grace);
    BOOST_REQUIRE(f.results.size() == 1U);
    BOOST_TEST((f.results[0].end == job_end::gave_up));
    BOOST_TEST(f.results[0].may_have_run);
    BOOST_TEST(f.starts.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_pool_is_taken_meanwhile)

// Guards against starts long after the order: a new holder cannot tell how old the order is, and the time for
// remaining tasks must not begin anew with each hand-over.
BOOST_AUTO_TEST_CASE(a_started_job_starts_nothing_more)
{
    const time_point now{seconds(1000)};
    pool_options values = pool_fixture::options();
    values.evacuated = true;
    pool taken(values, now);
    taken.on_directory_completeness(true);
    taken.on_directory(now, {pool_fixture::entry(0)});
    listing idle;
    idle.worker = pool_fixture::entry(0).id;
    idle.incarnation = 1;
    idle.clock_ms = 5000;
    taken.on_listing(now, idle);
    job_offer started = pool_fixture::offer("a", 1);
    started.may_have_run = true;
    taken.on_offer(now, started.owner, started);
    taken.on_tick(now);
    std::vector<job_end> ends;
    for (const action& item : taken.take_actions()) {
        BOOST_TEST(!std::holds_alternative<start_command>(item));
        if (const auto* out = std::get_if<owner_notification>(&item)) {
            ends.push_back(std::get<job_result>(out->message).end);
        }
    }
    BOOST_TEST((ends == std::vector<job_end>{job_end::gave_up}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_it_is_taken_back)

// Guards against workers that stay unused after the end of an evacuation.
BOOST_AUTO_TEST_CASE(jobs_start_again)
{
    fixture f;
    f.evacuate(true);
    f.evacuate(false);
    f.offer_job(fixture::offer("a", 1));
    BOOST_TEST(f.starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
