#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

const worker_group ollur_desk{data_centre_id("ollur"), service_id("desk")};

std::vector<workers::worker_entry> entries(std::size_t count)
{
    std::vector<workers::worker_entry> found;
    for (std::size_t i = 0; i < count; ++i) {
        workers::worker_entry entry;
        entry.id = workers::worker_id("w" + std::to_string(i));
        entry.service = ollur_desk.service;
        entry.data_centre = ollur_desk.data_centre;
        found.push_back(entry);
    }
    return found;
}

std::map<workers::worker_id, pool_id> pool_of_each(const pool_map& pools)
{
    std::map<workers::worker_id, pool_id> found;
    for (const auto& [pool, members] : pools) {
        for (const workers::worker_entry& entry : members) {
            found.emplace(entry.id, pool);
        }
    }
    return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(layout_of_pools)

BOOST_AUTO_TEST_SUITE(when_the_store_has_no_record)

// Guards against instances that divide the workers into different numbers of pools.
BOOST_AUTO_TEST_CASE(there_are_no_pools_and_a_number_is_proposed)
{
    BOOST_TEST(divide_into_pools(entries(117), {}).empty());
    const auto changes = layout_changes(entries(117), {});
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST((changes[0] == layout_change{ollur_desk, 3, 0}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_workers_are_added_and_removed)

// The number of workers may grow by a third within seconds while others leave. Guards against workers that
// change their pool while tasks run there: 117 workers had three pools, and 121 had four.
BOOST_AUTO_TEST_CASE(no_worker_changes_its_pool)
{
    const pool_layout layout{{ollur_desk, {3, 9}}};
    const auto before = pool_of_each(divide_into_pools(entries(117), layout));
    const auto after = pool_of_each(divide_into_pools(entries(160), layout));
    for (const auto& [worker, pool] : before) {
        BOOST_TEST((after.at(worker) == pool));
    }
    BOOST_TEST(layout_changes(entries(160), layout).empty());
    BOOST_TEST(layout_changes(entries(3), layout).empty());
}

// Guards against pools that grow too large for their holder.
BOOST_AUTO_TEST_CASE(the_number_grows_when_a_pool_has_doubled)
{
    const pool_layout layout{{ollur_desk, {3, 9}}};
    const auto changes = layout_changes(entries(241), layout);
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST((changes[0] == layout_change{ollur_desk, 7, 9}));
}

// Guards against pools with different workers under the same name.
BOOST_AUTO_TEST_CASE(pools_of_another_number_have_other_names)
{
    const pool_map three = divide_into_pools(entries(117), {{ollur_desk, {3, 9}}});
    for (const auto& [pool, members] : divide_into_pools(entries(117), {{ollur_desk, {7, 12}}})) {
        BOOST_TEST(!three.contains(pool));
        BOOST_TEST((data_centre_of(pool) == ollur_desk.data_centre));
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a worker that stays in a pool of the former number of pools.
BOOST_AUTO_TEST_CASE(a_division_follows_the_number_of_pools_and_the_workers)
{
    pool_division division;
    for (const std::size_t pools : {std::size_t{3}, std::size_t{7}, std::size_t{3}}) {
        const pool_layout layout{{ollur_desk, {pools, 9}}};
        for (const std::size_t count : {std::size_t{117}, std::size_t{30}, std::size_t{160}}) {
            BOOST_TEST(
                (division.divide(entries(count), layout) == divide_into_pools(entries(count), layout)));
        }
    }
}

BOOST_AUTO_TEST_CASE(the_name_of_a_pool_contains_its_data_centre_and_service)
{
    BOOST_TEST(data_centre_of(pool_id("ollur/desk/1.0")).value() == "ollur");
    BOOST_TEST(service_of(pool_id("ollur/desk/1.0")).value() == "desk");
    BOOST_TEST(service_of(pool_id("ollur/desk")).value() == "desk");
}

BOOST_AUTO_TEST_SUITE(when_a_record_is_invalid)

// Guards against a core thread that computes the pools of the workers without end because the number is huge,
// and against instances that divide workers by a number that no instance has written.
BOOST_AUTO_TEST_CASE(it_is_rewritten_and_not_used)
{
    for (const std::size_t invalid : {std::size_t{0}, max_pools_per_group + 1, std::size_t{1} << 60U}) {
        const pool_layout layout{{ollur_desk, {invalid, 9}}};
        BOOST_TEST(divide_into_pools(entries(117), layout).empty());
        const auto changes = layout_changes(entries(117), layout);
        BOOST_REQUIRE_EQUAL(changes.size(), 1U);
        BOOST_TEST((changes[0] == layout_change{ollur_desk, 3, 9}));
    }
}

// Guards against a last valid number that is used in place of an invalid record and never written to it.
BOOST_AUTO_TEST_CASE(the_last_valid_number_is_used_and_written_again)
{
    group_layout kept{5, 9};
    kept.record_invalid = true;
    const pool_layout layout{{ollur_desk, kept}};
    BOOST_TEST(!divide_into_pools(entries(117), layout).empty());
    const auto changes = layout_changes(entries(117), layout);
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST((changes[0] == layout_change{ollur_desk, 5, 9}));
}

// Guards against endless layout changes when there are more workers than the maximum number of pools can
// take.
BOOST_AUTO_TEST_CASE(no_more_than_the_maximum_number_is_proposed)
{
    const auto changes = layout_changes(entries(30'000), {});
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST(changes[0].pools == max_pools_per_group);
    BOOST_TEST(layout_changes(entries(30'000), {{ollur_desk, {max_pools_per_group, 9}}}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
