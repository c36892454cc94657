#include "workers/room.h"

#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

constexpr std::int64_t worker_room = 16'000;

/// Needs spread evenly between two bounds.
need_distribution even_needs(std::int64_t least, std::int64_t most)
{
    need_distribution needs;
    for (int i = 0; i <= 1000; ++i) {
        needs.observe(least + (most - least) * (i * 7 % 1001) / 1000, 1);
    }
    return needs;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(room_of_workers)

BOOST_AUTO_TEST_SUITE(equal_needs)

// Guards against rounding that makes exact multiples of a need miss a task, or count one that does not fit.
BOOST_AUTO_TEST_CASE(whole_tasks_are_counted)
{
    need_distribution needs;
    needs.observe(14'000, 8);
    BOOST_TEST(needs.expected_tasks(0) == 0.0);
    BOOST_TEST(needs.expected_tasks(13'999) == 0.0);
    BOOST_TEST(needs.expected_tasks(14'000) == 1.0);
    BOOST_TEST(needs.expected_tasks(32'000) == 2.0);
    BOOST_TEST(needs.expected_cpu(32'000) == 28'000);
    BOOST_TEST(needs.expected_cpu(-1'000) == 0);
}

// Guards against a table that ends below the largest workers.
BOOST_AUTO_TEST_CASE(a_room_for_very_many_tasks_is_counted)
{
    need_distribution needs;
    needs.observe(1, 1);
    BOOST_TEST(needs.expected_tasks(1'000'000) == 1'000'000.0, boost::test_tools::tolerance(0.001));
    BOOST_TEST(needs.expected_cpu(1'000'000) <= 1'000'000);
}

BOOST_AUTO_TEST_CASE(a_usual_need_is_assumed_before_the_first_offer)
{
    BOOST_TEST(need_distribution().mean() == 8000.0);
    BOOST_TEST(need_distribution().expected_tasks(worker_room) == 2.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(varying_needs)

// Guards against a count in whole mean needs: two tasks of 8 cores give or take a fifth fit into 16 cores
// every other time, whether the mean is just above or just below 8.
BOOST_AUTO_TEST_CASE(half_a_task_is_counted_where_it_fits_every_other_time)
{
    BOOST_TEST(even_needs(6'400, 9'600).expected_tasks(worker_room) == 1.5,
               boost::test_tools::tolerance(0.03));
    BOOST_TEST(even_needs(6'350, 9'550).expected_tasks(worker_room) == 1.5,
               boost::test_tools::tolerance(0.06));
    BOOST_TEST(even_needs(6'450, 9'650).expected_tasks(worker_room) == 1.5,
               boost::test_tools::tolerance(0.06));
}

// Guards against a room that shrinks when a worker grows, and against more processors than the room has.
BOOST_AUTO_TEST_CASE(more_room_is_never_less)
{
    need_distribution needs = even_needs(6'400, 9'600);
    needs.observe(500, 300);
    needs.observe(64'000, 10);
    double before = 0;
    for (std::int64_t room = 0; room < 200'000; room += 50) {
        const double tasks = needs.expected_tasks(room);
        BOOST_REQUIRE(tasks >= before);
        BOOST_REQUIRE(needs.expected_cpu(room) <= room);
        before = tasks;
    }
}

// Two sizes of which each fits exactly: cells that do not divide them would lose the last task.
BOOST_AUTO_TEST_CASE(sizes_that_divide_the_room_fill_it)
{
    need_distribution needs;
    needs.observe(4'000, 30);
    needs.observe(16'000, 10);
    // 0.25 for the wide task, and sums of one to four narrow ones.
    const double narrow = 0.75;
    const double expected =
        0.25 + narrow + narrow * narrow + narrow * narrow * narrow + narrow * narrow * narrow * narrow;
    BOOST_TEST(needs.expected_tasks(worker_room) == expected, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(bounds)

// Guards against a distribution that keeps the needs of a load that has gone.
BOOST_AUTO_TEST_CASE(old_needs_decay)
{
    need_distribution needs;
    needs.observe(2'000, 64);
    for (int i = 0; i < 400; ++i) {
        needs.observe(8'000, 32);
    }
    BOOST_TEST(needs.mean() == 8'000.0, boost::test_tools::tolerance(0.01));
}

// Guards against one step of very many tasks, or needs far apart, that displace all others.
BOOST_AUTO_TEST_CASE(one_offer_changes_little)
{
    need_distribution needs = even_needs(6'400, 9'600);
    needs.observe(0, 100);
    needs.observe(8'000, 0);
    needs.observe(-5, 1);
    needs.observe(1'000, 4'000'000'000);
    BOOST_TEST(needs.mean() > 7'000.0);
    BOOST_TEST(needs.expected_tasks(worker_room) < 2.5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(room_of_a_pool)

// Guards against a capacity that halves when the mean need is just above half of a worker.
BOOST_AUTO_TEST_CASE(capacity_does_not_jump_with_the_mean_need)
{
    pool_fixture f(1, worker_room);
    f.list(0);
    for (int i = 0; i < 200; ++i) {
        job_offer job = pool_fixture::offer("j" + std::to_string(i), 1);
        job.steps[0].need.cpu_milli = 6'400 + 16 * (i * 7 % 201);
        f.offer_job(job);
    }
    const auto capacity = static_cast<double>(f.get().load(f.now()).capacity_cpu);
    BOOST_TEST(capacity == 12'000.0, boost::test_tools::tolerance(0.05));
}

// Guards against a job that waits for its deadline although no worker can ever run it.
BOOST_AUTO_TEST_CASE(a_need_greater_than_every_worker_is_refused_at_once)
{
    pool_fixture f(2, worker_room);
    f.list(0);
    f.list(1);
    job_offer job = pool_fixture::offer("wide", 1);
    job.steps[0].need.cpu_milli = worker_room + 1;
    f.offer_job(job);
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.results[0].end == job_end::refused));
    BOOST_TEST((f.results[0].reason == refusal_reason::impossible));
    BOOST_TEST(!f.results[0].may_have_run);
    BOOST_TEST(f.get().load(f.now()).capacity_cpu == 2 * worker_room);
}

// Another pool may have larger workers; two moves at most, as for other jobs.
BOOST_AUTO_TEST_CASE(a_need_greater_than_the_workers_here_goes_to_another_pool_first)
{
    pool_fixture f(1, worker_room);
    f.list(0);
    pool_load other;
    other.capacity_cpu = 64'000;
    f.get().on_other_pools({other});
    job_offer job = pool_fixture::offer("wide", 1);
    job.steps[0].need.cpu_milli = worker_room + 1;
    f.offer_job(job);
    BOOST_REQUIRE_EQUAL(f.results.size(), 1U);
    BOOST_TEST((f.results[0].end == job_end::returned));
    job.job = job_id("moved");
    job.returns = max_returns;
    f.offer_job(job);
    BOOST_REQUIRE_EQUAL(f.results.size(), 2U);
    BOOST_TEST((f.results[1].end == job_end::refused));
}

// Guards against a false refusal while the directory may lack the larger workers.
BOOST_AUTO_TEST_CASE(nothing_is_impossible_while_the_directory_is_incomplete)
{
    pool_fixture f(1, worker_room);
    f.list(0);
    f.get().on_directory_completeness(false);
    job_offer job = pool_fixture::offer("wide", 1);
    job.steps[0].need.cpu_milli = worker_room + 1;
    f.offer_job(job);
    BOOST_TEST(f.results.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
