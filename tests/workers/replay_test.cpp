#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "replay/policies.h"

namespace poplarshed::workers::replay::test {

namespace {

/// Two workers for two seconds; a job is four tasks that fill them for 100 ms.
trace small_day()
{
    trace day;
    day.name = "small";
    day.length = milliseconds(2000);
    day.workers = 2;
    day.kinds = {{"short", 4, 16'000, milliseconds(100), milliseconds(200), milliseconds(1000), 0, 1, 1}};
    return day;
}

std::vector<arrival> arrivals(std::size_t count, milliseconds gap)
{
    std::vector<arrival> jobs;
    for (std::size_t i = 0; i < count; ++i) {
        jobs.push_back({gap * static_cast<std::int64_t>(i), 0});
    }
    return jobs;
}

std::size_t count(const in_time& served)
{
    return static_cast<std::size_t>(std::count(served.begin(), served.end(), true));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(replay_of_days)

BOOST_AUTO_TEST_SUITE(what_is_possible)

BOOST_AUTO_TEST_CASE(all_jobs_where_they_fit)
{
    BOOST_TEST(possible_worth(small_day(), arrivals(10, milliseconds(100))) == 10.0,
               boost::test_tools::tolerance(1e-9));
}

// Ten jobs at once, with room for one each 100 ms and 200 ms to the objective. Windows are rounded in favour
// of the jobs, so three fit.
BOOST_AUTO_TEST_CASE(no_more_than_the_capacity_between_arrival_and_objective)
{
    BOOST_TEST(possible_worth(small_day(), arrivals(10, milliseconds(0))) == 3.0,
               boost::test_tools::tolerance(1e-9));
}

// Guards against a bound that fills the capacity in order of arrival.
BOOST_AUTO_TEST_CASE(the_jobs_with_most_worth_for_their_work)
{
    trace day = small_day();
    day.kinds.push_back(day.kinds[0]);
    day.kinds[1].worth = 4;
    std::vector<arrival> jobs = arrivals(10, milliseconds(0));
    jobs[8].kind = 1;
    jobs[9].kind = 1;
    BOOST_TEST(possible_worth(day, jobs) == 9.0, boost::test_tools::tolerance(1e-9));
}

// Guards against a bound that includes workers that run nothing.
BOOST_AUTO_TEST_CASE(less_where_workers_are_slow_or_unreachable)
{
    trace day = small_day();
    day.faults = {{worker_fault::kind::silent, milliseconds(0), milliseconds(2000), 0, 1, 1}};
    BOOST_TEST(possible_worth(day, arrivals(10, milliseconds(0))) == 1.5, boost::test_tools::tolerance(1e-9));
    day.faults = {{worker_fault::kind::slow, milliseconds(0), milliseconds(2000), 0, 2, 3}};
    BOOST_TEST(possible_worth(day, arrivals(10, milliseconds(0))) == 1.0, boost::test_tools::tolerance(1e-9));
}

// Guards against a bound that counts every worker as one of the default size or speed.
BOOST_AUTO_TEST_CASE(as_much_as_workers_of_unlike_size_and_speed_do)
{
    trace day = small_day();
    day.worker_cpu = {32'000, 16'000};
    BOOST_TEST(possible_worth(day, arrivals(10, milliseconds(0))) == 2.25,
               boost::test_tools::tolerance(1e-9));
    day.worker_slowness = {1, 0.5};
    BOOST_TEST(possible_worth(day, arrivals(10, milliseconds(0))) == 3.0, boost::test_tools::tolerance(1e-9));
}

// Guards against a bound that serves a job one task of which exceeds the objective on every worker.
BOOST_AUTO_TEST_CASE(no_job_with_a_task_longer_than_the_objective)
{
    std::vector<arrival> jobs = arrivals(2, milliseconds(500));
    jobs[0].run_factors = {1, 7, 1, 1};
    BOOST_TEST(possible_worth(small_day(), jobs) == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(count(serve_in_order(small_day(), jobs)) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(baselines)

BOOST_AUTO_TEST_CASE(every_job_is_in_time_while_there_is_room)
{
    BOOST_TEST(count(serve_in_order(small_day(), arrivals(10, milliseconds(100)))) == 10U);
}

// Without refusals, a backlog delays all later jobs.
BOOST_AUTO_TEST_CASE(an_overload_makes_the_jobs_behind_it_late)
{
    std::vector<arrival> jobs = arrivals(10, milliseconds(0));
    jobs.push_back({milliseconds(500), 0});
    const in_time served = serve_in_order(small_day(), jobs);
    BOOST_TEST(count(served) == 2U);
    BOOST_TEST(!served[10]);
}

BOOST_AUTO_TEST_CASE(urgent_jobs_pass_the_others)
{
    trace day = small_day();
    day.kinds.push_back(day.kinds[0]);
    day.kinds[1].priority = 0;
    std::vector<arrival> jobs = arrivals(10, milliseconds(0));
    jobs.push_back({milliseconds(50), 1});
    BOOST_TEST(!serve_in_order(day, jobs)[10]);
    BOOST_TEST(serve_by_priority(day, jobs)[10]);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(traces)

BOOST_AUTO_TEST_CASE(a_seed_draws_the_same_arrivals)
{
    trace day = small_day();
    day.kinds[0].per_second = 50;
    const auto first = draw_arrivals(day, 7);
    const auto second = draw_arrivals(day, 7);
    BOOST_REQUIRE_EQUAL(first.size(), second.size());
    BOOST_TEST(first.size() > 60U);
    BOOST_TEST(first.size() < 140U);
    BOOST_TEST(draw_arrivals(day, 8).size() != 0U);
}

// Guards against needs, estimates and tails that a trace names but that no job shows, and against a variation
// that changes the arrivals of a seed.
BOOST_AUTO_TEST_CASE(jobs_vary_as_the_trace_says)
{
    trace day = small_day();
    day.kinds[0].per_second = 200;
    const std::size_t plain = draw_arrivals(day, 7).size();
    day.need_spread = 0.2;
    day.estimate_error = 0.4;
    day.tail = {0.25, 7};
    const auto jobs = draw_arrivals(day, 7);
    BOOST_REQUIRE_EQUAL(jobs.size(), plain);
    std::int64_t least = 16'000;
    std::int64_t most = 0;
    std::size_t long_runs = 0;
    for (const arrival& job : jobs) {
        least = std::min(least, task_cpu(day, job));
        most = std::max(most, task_cpu(day, job));
        const auto work = task_work(day, job);
        long_runs += static_cast<std::size_t>(std::count(work.begin(), work.end(), milliseconds(700)));
    }
    BOOST_TEST((least >= 12'800 && least < 13'500 && most <= 19'200 && most > 18'500));
    BOOST_TEST((long_runs > jobs.size() / 2 && long_runs < jobs.size() * 2));
}

// Guards against a wave that changes the demand of the whole day instead of moving it.
BOOST_AUTO_TEST_CASE(a_wave_moves_demand_into_its_first_half)
{
    trace day = small_day();
    day.kinds[0].per_second = 200;
    day.wave = {0.5, milliseconds(2000)};
    const auto jobs = draw_arrivals(day, 7);
    const auto first = std::count_if(jobs.begin(), jobs.end(),
                                     [](const arrival& job) { return job.at < milliseconds(1000); });
    const auto second = static_cast<std::ptrdiff_t>(jobs.size()) - first;
    BOOST_TEST((first > second * 3 / 2 && jobs.size() > 320U && jobs.size() < 480U));
}

// Guards against a misspelt key that silently removes a fault from a trace.
BOOST_AUTO_TEST_CASE(faults_of_a_file_are_named)
{
    const std::string path = std::filesystem::temp_directory_path() / "poplarshed-trace.json";
    std::ofstream(path) << R"({"name": "x", "length_ms": 10, "workers": 1, "fault": [],
        "kinds": [{"name": "k", "per_second": 1, "cpu_milli": 90000}]})";
    const auto read = read_trace(path);
    std::filesystem::remove(path);
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST(read.error().message.find("fault") != std::string::npos);
    BOOST_TEST(read.error().message.find("k does not fit a worker") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::workers::replay::test
