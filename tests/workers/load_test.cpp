#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"
#include "virtual_workers.h"

namespace poplarshed::workers::test {

namespace {

/// Offers a job every `gap` for `time`. @returns the number of jobs
std::size_t offer_evenly(virtual_site& site, milliseconds time, milliseconds gap, std::uint32_t tasks,
                         milliseconds work)
{
    static std::uint64_t number = 0;
    std::size_t offered = 0;
    for (milliseconds at{}; at < time; at += gap) {
        site.offer(pool_fixture::offer("load-" + std::to_string(++number), tasks, work), work);
        site.advance(gap);
        ++offered;
    }
    return offered;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(under_load)

BOOST_AUTO_TEST_SUITE(when_work_fits_the_capacity)

// Load is half of the capacity. Guards against needless refusals and delays.
BOOST_AUTO_TEST_CASE(every_job_is_in_time)
{
    virtual_site site(4);
    const std::size_t offered =
        offer_evenly(site, milliseconds(4000), milliseconds(100), 2, milliseconds(200));
    site.advance(milliseconds(1000));
    BOOST_TEST(site.in_time() == offered);
    BOOST_TEST(site.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_burst_goes_beyond_the_capacity)

// 8 task slots run 40 tasks of 200 ms per second, which is 20 jobs; 50 are offered. Guards against a backlog
// in which every job is late: as many jobs as the workers can run must finish in time.
BOOST_AUTO_TEST_CASE(what_can_be_served_is_served_in_time_and_the_rest_is_refused)
{
    virtual_site site(4);
    const std::size_t offered =
        offer_evenly(site, milliseconds(4000), milliseconds(20), 2, milliseconds(200));
    site.advance(milliseconds(2000));
    const std::size_t possible = std::size_t{20} * 4;
    BOOST_TEST(site.outcomes().size() == offered);
    BOOST_TEST(site.in_time() >= possible * 6 / 10);
    BOOST_TEST(site.count(job_end::completed) >= possible * 9 / 10);
    BOOST_TEST(site.count(job_end::refused) > 0U);
    BOOST_TEST(site.violations().empty());
}

// Guards against refusals that arrive when the caller can no longer use them: a refused job must not be held
// for longer than its useful time minus the duration of its work.
BOOST_AUTO_TEST_CASE(a_refusal_comes_while_the_caller_can_go_elsewhere)
{
    virtual_site site(2);
    offer_evenly(site, milliseconds(3000), milliseconds(20), 2, milliseconds(200));
    site.advance(milliseconds(2000));
    for (const auto& [id, outcome] : site.outcomes()) {
        if (outcome.result.end == job_end::refused) {
            BOOST_TEST(outcome.after.count() <= outcome.objective.count() * max_objective_multiple - 100,
                       id.value());
            BOOST_TEST(outcome.result.retry_after.count() >= 100);
        }
    }
}

// Guards against long jobs with slack that delay short ones: both must be served.
BOOST_AUTO_TEST_CASE(short_jobs_go_before_long_ones_with_slack)
{
    virtual_site site(4);
    for (int i = 0; i < 4; ++i) {
        site.offer(pool_fixture::offer("long-" + std::to_string(i), 2, milliseconds(900)), milliseconds(900));
    }
    site.offer(pool_fixture::offer("waits", 2, milliseconds(900)), milliseconds(900));
    site.advance(milliseconds(500));
    site.offer(pool_fixture::offer("short", 2, milliseconds(300)), milliseconds(300));
    site.advance(milliseconds(3000));
    const auto& outcomes = site.outcomes();
    BOOST_REQUIRE(outcomes.contains(job_id("short")));
    BOOST_TEST(outcomes.at(job_id("short")).after < outcomes.at(job_id("waits")).after);
    BOOST_TEST(outcomes.at(job_id("short")).after <= milliseconds(750));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_workers_misbehave)

// Guards against a worker that fails all tasks quickly and therefore attracts more of them.
BOOST_AUTO_TEST_CASE(a_failing_worker_is_ejected)
{
    virtual_site site(4);
    site.behaviour(0).fails = true;
    const std::size_t offered =
        offer_evenly(site, milliseconds(4000), milliseconds(100), 2, milliseconds(200));
    site.advance(milliseconds(2000));
    BOOST_TEST(site.count(job_end::completed) == offered);
    BOOST_TEST(site.starts_on(0) <= 8U);
}

// Guards against a worker that stays ejected after it has recovered.
BOOST_AUTO_TEST_CASE(an_ejected_worker_is_used_again)
{
    virtual_site site(4);
    site.behaviour(0).fails = true;
    offer_evenly(site, milliseconds(2000), milliseconds(100), 2, milliseconds(200));
    site.behaviour(0).fails = false;
    const std::size_t before = site.starts_on(0);
    site.advance(milliseconds(4000));
    offer_evenly(site, milliseconds(3000), milliseconds(60), 2, milliseconds(200));
    BOOST_TEST(site.starts_on(0) > before + 5);
}

// Guards against jobs that wait for a hanging task.
BOOST_AUTO_TEST_CASE(a_hanging_task_is_started_elsewhere)
{
    virtual_site site(3);
    site.behaviour(0).slowness = 1000;
    site.behaviour(1).slowness = 1000;
    site.offer(pool_fixture::offer("j", 1, milliseconds(200)), milliseconds(200));
    site.advance(milliseconds(2800));
    BOOST_REQUIRE(site.outcomes().contains(job_id("j")));
    BOOST_TEST((site.outcomes().at(job_id("j")).result.end == job_end::completed));
    BOOST_TEST(site.violations().empty());
}

// Load pattern: a third of the commands to workers get no answer. Guards against workers that get no work, or
// whose leases expire, because of a single lost answer.
BOOST_AUTO_TEST_CASE(lost_answers_do_not_idle_the_workers)
{
    virtual_site site(6);
    for (std::size_t i = 0; i < 6; ++i) {
        site.behaviour(i).lost_lists = 0.3;
    }
    const std::size_t offered =
        offer_evenly(site, milliseconds(6000), milliseconds(100), 2, milliseconds(300));
    site.advance(milliseconds(2000));
    // The jobs whose end is in a list that is not lost.
    BOOST_TEST(site.in_time() * 10 >= offered * 7);
    BOOST_TEST(site.violations().empty());
}

// Guards against endless retries of a job that fails on every worker.
BOOST_AUTO_TEST_CASE(a_job_that_fails_everywhere_is_answered_as_failed)
{
    virtual_site site(6);
    for (std::size_t i = 0; i < 6; ++i) {
        site.behaviour(i).fails = true;
    }
    site.offer(pool_fixture::offer("poison", 1), milliseconds(200));
    site.advance(milliseconds(1000));
    BOOST_REQUIRE(site.outcomes().contains(job_id("poison")));
    BOOST_TEST((site.outcomes().at(job_id("poison")).result.end == job_end::failed));
    BOOST_TEST(site.starts() == 3U);
}

// Guards against waiting until the deadline for tasks on an unreachable worker.
BOOST_AUTO_TEST_CASE(tasks_on_an_unreachable_worker_start_elsewhere_after_its_lease)
{
    virtual_site site(2);
    site.offer(pool_fixture::offer("j", 4, milliseconds(500)), milliseconds(500));
    site.advance(milliseconds(100));
    site.behaviour(0).unreachable = true;
    site.advance(milliseconds(2400));
    BOOST_REQUIRE(site.outcomes().contains(job_id("j")));
    BOOST_TEST((site.outcomes().at(job_id("j")).result.end == job_end::completed));
    BOOST_TEST(site.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_another_pool_has_room)

// Guards against a backlog in one data centre while another is idle.
BOOST_AUTO_TEST_CASE(waiting_jobs_are_returned_to_their_owners)
{
    virtual_site site(1);
    pool_load idle;
    idle.pool = pool_id("punkunnam/desk/0");
    idle.service = service_id("desk");
    idle.capacity_cpu = 100'000;
    idle.free_cpu = 100'000;
    site.offer(pool_fixture::offer("a", 2, milliseconds(900)), milliseconds(900));
    site.offer(pool_fixture::offer("b", 2, milliseconds(900)), milliseconds(900));
    site.holder().on_other_pools({idle});
    site.advance(milliseconds(40));
    BOOST_REQUIRE(site.outcomes().contains(job_id("b")));
    BOOST_TEST((site.outcomes().at(job_id("b")).result.end == job_end::returned));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
