#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"
#include "virtual_workers.h"

namespace poplarshed::workers::test {

namespace {

constexpr std::size_t workers = 12;
constexpr milliseconds long_deadline{15'000};
// Two workers may crash under a task (users' target); a silent worker is told from a crashed one only later.
constexpr std::size_t max_proven_crashes = 2;
constexpr std::size_t max_silent_crashes = 3;
// Two leases and their margin, until the second worker is back after 3 s, and a list to it.
constexpr milliseconds proof_of_two_crashes{2 * 820 + 3000 + 250 + 100};

job_offer lasting_offer(const std::string& id, std::uint32_t tasks)
{
    job_offer offer = pool_fixture::offer(id, tasks, milliseconds(60));
    offer.objective = long_deadline;
    offer.deadline = long_deadline;
    return offer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crashing_tasks)

BOOST_AUTO_TEST_SUITE(when_a_task_crashes_each_worker_that_runs_it)

// Guards against a task that takes down one worker after the other until its deadline.
BOOST_AUTO_TEST_CASE(it_is_given_up_after_two_workers)
{
    virtual_site site(workers);
    site.offer(lasting_offer("j", 8), milliseconds(60), crashing_task{0, milliseconds(20)});
    site.advance(long_deadline);
    BOOST_TEST(site.crashes_under(job_id("j")) <= max_proven_crashes);
    BOOST_REQUIRE(site.outcomes().contains(job_id("j")));
    const virtual_site::outcome& ended = site.outcomes().at(job_id("j"));
    BOOST_TEST((ended.result.end == job_end::failed));
    BOOST_TEST(ended.after < proof_of_two_crashes);
    BOOST_TEST(site.violations().empty(), (site.violations().empty() ? "" : site.violations().front()));
}

// Guards against the same while the machines of the workers go dark, so that a crash looks like a cut.
BOOST_AUTO_TEST_CASE(it_is_given_up_if_the_workers_fall_silent)
{
    virtual_site site(workers);
    site.offer(lasting_offer("j", 8), milliseconds(60),
               crashing_task{0, milliseconds(20), milliseconds(3000), crash_kind::dark});
    site.advance(long_deadline);
    BOOST_TEST(site.crashes_under(job_id("j")) <= max_silent_crashes);
    BOOST_REQUIRE(site.outcomes().contains(job_id("j")));
    BOOST_TEST((site.outcomes().at(job_id("j")).result.end == job_end::failed));
}

// Guards against a crash before the answer to the start, which looks like an unanswered start.
BOOST_AUTO_TEST_CASE(it_is_given_up_if_it_crashes_them_at_once)
{
    virtual_site site(workers);
    site.offer(lasting_offer("j", 1), milliseconds(60), crashing_task{0, milliseconds(0)});
    site.advance(long_deadline);
    BOOST_TEST(site.crashes_under(job_id("j")) <= max_proven_crashes);
    BOOST_REQUIRE(site.outcomes().contains(job_id("j")));
    BOOST_TEST((site.outcomes().at(job_id("j")).result.end == job_end::failed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_cut_refuses_connections)

// Guards against a start elsewhere while the task runs on behind the cut, and against a job that fails for
// it.
BOOST_AUTO_TEST_CASE(no_task_runs_twice_and_none_is_given_up)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        virtual_site site(workers, seed);
        for (int i = 0; i < 12; ++i) {
            site.offer(lasting_offer("j" + std::to_string(i), 2), milliseconds(400 + 50 * i));
        }
        site.advance(milliseconds(static_cast<std::int64_t>(10 * seed)));
        for (std::size_t i = 0; i < workers / 2; ++i) {
            site.behaviour(i).refuses_connections = true;
        }
        site.advance(milliseconds(2500));
        for (std::size_t i = 0; i < workers / 2; ++i) {
            site.behaviour(i).refuses_connections = false;
        }
        site.advance(long_deadline);
        BOOST_TEST(site.count(job_end::completed) == 12U);
        BOOST_TEST(site.violations().empty(),
                   "seed " << seed << ": " << (site.violations().empty() ? "" : site.violations().front()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_many_tasks_crash_their_workers)

// Guards against jobs that are lost, or answered as failed, since they shared a worker with such a task.
BOOST_AUTO_TEST_CASE(the_other_jobs_are_completed)
{
    constexpr int jobs = 60;
    virtual_site site(workers);
    for (int i = 0; i < jobs; ++i) {
        const bool crashing = i % 6 == 5;
        job_offer offer = lasting_offer("j" + std::to_string(i), 2);
        site.offer(offer, milliseconds(60),
                   crashing ? std::optional(crashing_task{0, milliseconds(20)}) : std::nullopt);
        site.advance(milliseconds(100));
    }
    site.advance(long_deadline);
    for (int i = 0; i < jobs; ++i) {
        const job_id id("j" + std::to_string(i));
        const job_end expected = i % 6 == 5 ? job_end::failed : job_end::completed;
        BOOST_TEST_CONTEXT(id.value())
        {
            BOOST_REQUIRE(site.outcomes().contains(id));
            const job_end reached = site.outcomes().at(id).result.end;
            BOOST_TEST((reached == expected), to_string(reached));
            BOOST_TEST(site.crashes_under(id) <= max_proven_crashes);
        }
    }
    BOOST_TEST(site.violations().empty(), (site.violations().empty() ? "" : site.violations().front()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
