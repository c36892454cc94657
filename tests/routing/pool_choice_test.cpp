#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

std::vector<pool_candidate> pools_with(const std::vector<std::int64_t>& free_cpu,
                                       milliseconds cost = milliseconds(100))
{
    std::vector<pool_candidate> found;
    for (std::size_t i = 0; i < free_cpu.size(); ++i) {
        found.push_back({pool_id("ollur/desk/6." + std::to_string(i)), cost, free_cpu[i]});
    }
    return found;
}

/// How many of a number of jobs each pool gets while its figures do not change.
std::vector<int> jobs_by_pool(const std::vector<pool_candidate>& candidates, int jobs)
{
    std::vector<int> counts(candidates.size());
    for (int i = 0; i < jobs; ++i) {
        ++counts.at(*choose_pool(candidates, job_id("job-" + std::to_string(i))));
    }
    return counts;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(choice_of_a_pool)

BOOST_AUTO_TEST_SUITE(when_many_instances_choose_by_the_same_figures)

// Guards against herding: all instances sent their jobs to the first of several free pools until its next
// status, while the others had room.
BOOST_AUTO_TEST_CASE(equally_free_pools_get_equally_many_jobs)
{
    for (const int count : jobs_by_pool(pools_with({90, 90, 90, 90, 90, 90}), 600)) {
        BOOST_TEST(count > 70);
        BOOST_TEST(count < 130);
    }
}

// Guards against a pool with little room that gets as much as one with a lot.
BOOST_AUTO_TEST_CASE(the_share_of_a_pool_follows_its_free_capacity)
{
    const auto counts = jobs_by_pool(pools_with({100, 300, 0}), 400);
    BOOST_TEST(counts[0] > 70);
    BOOST_TEST(counts[0] < 130);
    BOOST_TEST(counts[1] > 270);
    BOOST_TEST(counts[2] < 10);
}

// Guards against idle pools that are passed over in an overload, when no pool has room.
BOOST_AUTO_TEST_CASE(pools_without_room_share_the_jobs_as_well)
{
    for (const int count : jobs_by_pool(pools_with({0, 0, 0}), 300)) {
        BOOST_TEST(count > 70);
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a job in a pool that would end it clearly later.
BOOST_AUTO_TEST_CASE(a_pool_that_ends_the_job_later_is_not_chosen)
{
    auto candidates = pools_with({900, 10});
    candidates[0].cost += similar_cost;
    BOOST_TEST(jobs_by_pool(candidates, 100)[0] == 0);
    BOOST_TEST(!choose_pool({}, job_id("j")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
