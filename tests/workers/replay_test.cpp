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
