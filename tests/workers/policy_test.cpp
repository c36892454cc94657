#include <boost/test/unit_test.hpp>

#include "workers/workers.h"

namespace poplarshed::workers::test {

namespace {

const time_point now{seconds(10)};

}  // namespace

BOOST_AUTO_TEST_SUITE(policy)

BOOST_AUTO_TEST_SUITE(expected_finish_of_a_job)

// Guards against refusals of work that would start at once.
BOOST_AUTO_TEST_CASE(work_that_fits_takes_its_own_time)
{
    const auto finish =
        expected_finish({100'000, 50'000, 0}, {28'000, std::int64_t{28'000} * 200, milliseconds(200)});
    BOOST_TEST(finish->count() == 200);
}

// Guards against an admission that ignores the queue.
BOOST_AUTO_TEST_CASE(work_ahead_delays_it)
{
    const auto finish =
        expected_finish({100'000, 0, 10'000'000}, {28'000, std::int64_t{28'000} * 200, milliseconds(200)});
    BOOST_TEST(finish->count() == 200 + 156);
}

BOOST_AUTO_TEST_CASE(no_capacity_means_no_finish)
{
    BOOST_TEST(!expected_finish({}, {1, 1, milliseconds(1)}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(order_of_the_queue)

// Guards against late jobs that delay the others.
BOOST_AUTO_TEST_CASE(jobs_that_can_be_in_time_go_before_overdue_ones)
{
    const queue_rank overdue{true, now - seconds(1), 1};
    const queue_rank urgent{false, now, 1'000'000};
    const queue_rank relaxed{false, now + seconds(1), 1};
    BOOST_TEST((urgent < relaxed));
    BOOST_TEST((relaxed < overdue));
    BOOST_TEST((queue_rank{true, now, 5} < queue_rank{true, now - seconds(2), 6}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(choice_of_a_worker)

const std::vector<placement_candidate> mixed{{0, milliseconds(100), 4000}, {1, milliseconds(200), 4000}};

// Guards against slow answers while capacity is free.
BOOST_AUTO_TEST_CASE(the_fastest_is_taken_while_there_is_room)
{
    const auto chosen = choose_worker(mixed, {now, now + seconds(1), now + seconds(3), false});
    BOOST_TEST(chosen.value() == 0U);
}

// Guards against fast workers that are occupied by tasks that slow workers can finish in time.
BOOST_AUTO_TEST_CASE(the_slowest_that_is_in_time_is_taken_when_room_is_scarce)
{
    BOOST_TEST(choose_worker(mixed, {now, now + seconds(1), now + seconds(3), true}).value() == 1U);
    BOOST_TEST(choose_worker(mixed, {now, now + milliseconds(150), now + seconds(3), true}).value() == 0U);
}

// Load pattern: tasks of 10 to 24 cores on workers of 32 cores, most of them in use. Guards against small
// tasks that are spread over empty workers to gain a few milliseconds, so that large tasks fit nowhere.
BOOST_AUTO_TEST_CASE(of_workers_of_like_speed_the_one_with_the_least_room_left_is_taken)
{
    const std::vector<placement_candidate> similar{{0, milliseconds(100), 18'000},
                                                   {1, milliseconds(105), 4'000}};
    for (const bool scarce : {false, true}) {
        BOOST_TEST(choose_worker(similar, {now, now + seconds(1), now + seconds(3), scarce}).value() == 1U);
    }
}

// Guards against a start whose result is useless to the caller.
BOOST_AUTO_TEST_CASE(no_worker_is_taken_that_ends_after_the_useful_time)
{
    BOOST_TEST(
        !choose_worker(mixed, {now, now + milliseconds(20), now + milliseconds(60), false}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(speed_of_a_worker)

// Guards against a single wrong estimate that changes the placement of all tasks.
BOOST_AUTO_TEST_CASE(it_converges_over_several_runs)
{
    speed_estimate speed;
    speed.observe(now, milliseconds(100), milliseconds(180));
    BOOST_TEST(speed.ratio(now) < 1.2);
    for (int i = 0; i < 20; ++i) {
        speed.observe(now, milliseconds(100), milliseconds(180));
    }
    BOOST_TEST(speed.ratio(now) > 1.7);
}

// Guards against a worker that is not used again after it was slow for a few seconds.
BOOST_AUTO_TEST_CASE(a_slow_phase_decays)
{
    speed_estimate speed;
    speed.observe_running(now, milliseconds(100), milliseconds(900));
    BOOST_TEST(speed.ratio(now) > 8);
    BOOST_TEST(speed.ratio(now + seconds(12)) < 2.5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(lines_about_decisions)

// Routine log lines are dropped first under load. Guards against dropping the lines of failed requests.
BOOST_AUTO_TEST_CASE(only_decisions_of_successful_jobs_are_routine)
{
    decision_record record{decision::run_ended, job_id("j"), worker_id("w"), "done", 0, 0};
    BOOST_TEST(is_routine(record));
    record.detail = "lapsed";
    BOOST_TEST(!is_routine(record));
    record.kind = decision::job_ended;
    record.detail = "completed";
    BOOST_TEST(is_routine(record));
    record.kind = decision::refused_too_late;
    BOOST_TEST(!is_routine(record));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
