#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

const time_point start_of_day{seconds(10)};
const resources half{14'000, 64, 0};
const resources whole{28'000, 64, 0};

time_point at(int ms)
{
    return start_of_day + milliseconds(ms);
}

near_run run_at(int ms, int duration = 200)
{
    return {at(ms), at(ms + duration)};
}

/// A task of 200 ms near its data and 300 ms elsewhere.
wait_terms terms(int due, bool scarce)
{
    return {start_of_day, at(due), milliseconds(300), scarce};
}

/// w0 is on rack r0, the others are on rack r1; each has room for two tasks.
struct fixture : pool_fixture {
    explicit fixture(std::size_t workers = 3) : pool_fixture(workers), m_workers(workers)
    {
        set_racks("r0");
        for (std::size_t i = 0; i < workers; ++i) {
            list(i);
        }
    }

    void set_racks(const std::string& first)
    {
        change_directory(m_workers, [&first](std::vector<worker_entry>& entries) {
            for (worker_entry& entry : entries) {
                entry.labels = {entry.id.value() == "w0" ? first : "r1"};
            }
        });
    }

    static job_offer labelled(const std::string& id, std::uint32_t tasks, milliseconds objective,
                              const std::string& rack = "r0")
    {
        job_offer value = offer(id, tasks);
        value.steps[0].preferred_label = rack;
        value.objective = objective;
        return value;
    }

    std::size_t starts_on(const std::string& worker) const
    {
        return static_cast<std::size_t>(std::count_if(
            starts.begin(), starts.end(),
            [&worker](const start_command& start) { return start.target.worker.value() == worker; }));
    }

private:
    std::size_t m_workers;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(locality)

BOOST_AUTO_TEST_SUITE(forecast_of_a_room)

// Guards against a wait for a room that is too small for the task.
BOOST_AUTO_TEST_CASE(a_task_fits_when_enough_runs_have_ended)
{
    const room_forecast room(start_of_day, {4'000, 64, 0}, {{at(90), half}, {at(50), half}});
    BOOST_TEST((room.available({4'000, 64, 0}) == at(0)));
    BOOST_TEST((room.available(half) == at(50)));
    BOOST_TEST((room.available(whole) == at(90)));
    BOOST_TEST(!room.available({40'000, 64, 0}).has_value());
}

// Guards against two tasks that wait for the same room.
BOOST_AUTO_TEST_CASE(a_task_that_waits_occupies_it)
{
    room_forecast room(start_of_day, {}, {{at(50), half}, {at(90), half}});
    room.occupy(at(50), half, milliseconds(200));
    BOOST_TEST((room.available(half) == at(90)));
    room.occupy(at(90), half, milliseconds(200));
    BOOST_TEST((room.available(half) == at(250)));
}

// Guards against a wait that goes on because a run which takes seven times the mean is always about to end.
BOOST_AUTO_TEST_CASE(the_time_left_of_a_late_run_grows)
{
    BOOST_TEST((expected_run_end(at(50), at(0), milliseconds(200)) == at(200)));
    BOOST_TEST((expected_run_end(at(200), at(0), milliseconds(200)) == at(250)));
    BOOST_TEST((expected_run_end(at(800), at(0), milliseconds(200)) == at(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_wait_pays)

// Guards against a start elsewhere that ends later than the wait and the run near the data.
BOOST_AUTO_TEST_CASE(the_run_near_the_data_ends_first)
{
    BOOST_TEST(wait_pays(run_at(100), terms(1000, false)));
    BOOST_TEST(!wait_pays(run_at(101), terms(1000, false)));
}

// Guards against runs that take a multiple of the room while room is short.
BOOST_AUTO_TEST_CASE(room_is_short_and_the_job_is_in_time)
{
    BOOST_TEST(wait_pays(run_at(200), terms(500, true)));
    BOOST_TEST(!wait_pays(run_at(200), terms(499, true)));
    BOOST_TEST(!wait_pays(run_at(200), terms(500, false)));
}

// Guards against a wait after which the job is late elsewhere, too, if the room does not become free.
BOOST_AUTO_TEST_CASE(the_wait_ends_while_the_start_elsewhere_is_in_time)
{
    BOOST_TEST((wait_end(terms(380, true)) == at(80)));
    BOOST_TEST(wait_pays(run_at(80), terms(380, true)));
    BOOST_TEST(!wait_pays(run_at(81), terms(380, true)));
}

// Guards against a start elsewhere that is late for certain while the rack is about to have room.
BOOST_AUTO_TEST_CASE(the_job_is_late_elsewhere_already)
{
    BOOST_TEST(wait_pays(run_at(50), terms(299, false)));
    BOOST_TEST(!wait_pays(run_at(150), terms(299, true)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(plan_of_a_step)

// Guards against tasks that each count on the first free room, so that the last one makes the job late.
BOOST_AUTO_TEST_CASE(tasks_wait_together)
{
    room_forecast one(start_of_day, {}, {{at(50), half}});
    room_forecast other(start_of_day, {}, {{at(90), half}});
    const std::vector<near_worker> rack{{&one, milliseconds(200)}, {&other, milliseconds(200)}};
    BOOST_TEST((plan_wait(rack, half, 3, terms(1000, false)) == rack_plan{2, run_at(50)}));
    // A later job finds the rooms taken.
    BOOST_TEST((plan_wait(rack, half, 1, terms(1000, false)) == rack_plan{0, run_at(250)}));
}

// Guards against a decision whose cost grows with the number of tasks that a caller asks for.
BOOST_AUTO_TEST_CASE(its_cost_is_bounded)
{
    room_forecast room(start_of_day, {}, {{at(0), half}});
    const std::vector<near_worker> rack{{&room, milliseconds(0)}};
    BOOST_TEST(plan_wait(rack, half, 1'000'000, terms(1000, false)).waiting == max_tasks_together);
}

// Guards against a first step that spends the time of the steps after it.
BOOST_AUTO_TEST_CASE(later_steps_need_time_of_the_job)
{
    std::vector<job_step> steps(4);
    steps[0].estimate = milliseconds(10);
    steps[1] = {1, {}, milliseconds(100), {0}, {}, {}, 0};
    steps[2] = {1, {}, milliseconds(30), {0}, {}, {}, 0};
    steps[3] = {1, {}, milliseconds(50), {2}, {}, {}, 0};
    BOOST_TEST(time_after(steps, 0).count() == 100);
    BOOST_TEST(time_after(steps, 2).count() == 50);
    BOOST_TEST(time_after(steps, 3).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_a_pool)

// Six of eight slots are in use; one near the data is free, and one elsewhere. Guards against the slowest
// worker that is in time, which is the remote one, when room is short.
BOOST_AUTO_TEST_CASE(free_workers_near_the_data_go_first_when_room_is_short)
{
    fixture f(4);
    f.offer_job(fixture::labelled("near", 5, milliseconds(2000), "r1"));
    f.offer_job(fixture::labelled("other", 1, milliseconds(2000), "r0"));
    BOOST_REQUIRE(f.starts_on("w0") == 1U);
    f.offer_job(fixture::labelled("a", 1, milliseconds(2000), "r1"));
    BOOST_TEST(f.starts.size() == 7U);
    BOOST_TEST(f.starts_on("w0") == 1U);
}

// Guards against a start elsewhere while the rack is about to be free, against a wait that blocks jobs behind
// it, and against a log line at each schedule.
BOOST_AUTO_TEST_CASE(a_task_waits_for_its_rack_and_others_pass)
{
    fixture f;
    f.offer_job(fixture::labelled("first", 2, milliseconds(2000)));
    BOOST_REQUIRE(f.starts_on("w0") == 2U);
    f.offer_job(fixture::labelled("waits", 1, milliseconds(2000)));
    f.offer_job(fixture::offer("passes", 1));
    BOOST_TEST(f.starts.size() == 3U);
    f.advance(milliseconds(100));
    BOOST_TEST(f.count(decision::waits_for_rack) == 1U);
    f.confirm(f.starts[0]);
    f.confirm(f.starts[1]);
    f.advance(milliseconds(100));
    f.list(0, {}, {{1, f.starts[0].task, f.starts[0].run, run_end::done}});
    BOOST_REQUIRE(f.starts.size() == 4U);
    BOOST_TEST(f.starts[3].task.job.value() == "waits");
    BOOST_TEST(f.starts[3].target.worker.value() == "w0");
    BOOST_TEST(f.count(decision::left_rack) == 0U);
}

// The objective allows a start elsewhere (600 ms) for 190 ms. Guards against a wait without an end.
BOOST_AUTO_TEST_CASE(a_task_leaves_its_rack_when_the_runs_there_are_late)
{
    fixture f;
    f.offer_job(fixture::labelled("first", 2, milliseconds(2000)));
    f.offer_job(fixture::labelled("waits", 1, milliseconds(810)));
    // The runs were to take 200 ms.
    for (int i = 0; i < 12 && f.starts.size() < 3; ++i) {
        f.advance(milliseconds(20));
    }
    BOOST_REQUIRE(f.starts.size() == 3U);
    BOOST_TEST(f.starts[2].target.worker.value() != "w0");
    BOOST_TEST((f.now() <= time_point(seconds(1000)) + milliseconds(200)));
    BOOST_TEST(f.count(decision::left_rack) == 1U);
}

// Guards against waits for a rack that does not exist.
BOOST_AUTO_TEST_CASE(a_label_without_workers_is_ignored)
{
    fixture f;
    f.offer_job(fixture::labelled("unknown", 1, milliseconds(2000), "none"));
    BOOST_TEST(f.starts.size() == 1U);
    BOOST_TEST(f.count(decision::rack_missing) == 1U);
    BOOST_TEST(f.count(decision::left_rack) == 0U);
}

// Guards against a job that waits for a rack after its workers are gone.
BOOST_AUTO_TEST_CASE(a_label_that_vanishes_ends_the_wait)
{
    fixture f;
    f.offer_job(fixture::labelled("first", 2, milliseconds(2000)));
    f.offer_job(fixture::labelled("waits", 2, milliseconds(2000)));
    BOOST_REQUIRE(f.count(decision::waits_for_rack) == 1U);
    const std::size_t before = f.starts.size();
    f.set_racks("renamed");
    f.advance(milliseconds(20));
    BOOST_TEST(f.starts.size() == before + 2);
    BOOST_TEST(f.count(decision::rack_missing) == 1U);
}

// Guards against a job that loses its rack for good because another data centre has room.
BOOST_AUTO_TEST_CASE(a_job_that_waits_for_its_rack_is_not_returned)
{
    fixture f;
    f.offer_job(fixture::labelled("first", 2, milliseconds(2000)));
    f.offer_job(fixture::labelled("waits", 1, milliseconds(2000)));
    pool_load idle;
    idle.capacity_cpu = 100'000;
    idle.free_cpu = 100'000;
    f.get().on_other_pools({idle});
    f.advance(milliseconds(20));
    BOOST_TEST(f.results.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::test
