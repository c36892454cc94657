#include <boost/test/unit_test.hpp>
#include <string>

#include "membership/membership.h"

using namespace poplarshed;
using namespace poplarshed::membership;

namespace {

std::vector<view_member> members(std::size_t count)
{
    std::vector<view_member> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(
            {{endpoint("127.0.0.1:" + std::to_string(7000 + i)), incarnation(i)}, data_centre_id("a")});
    }
    return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ranking_of_members)

// Guards against a chain that changes by more than one member when one member is removed; no registrar would
// then hold the earlier claims.
BOOST_AUTO_TEST_CASE(removal_of_one_member_keeps_the_other_registrar)
{
    const ranking all(members(6));
    for (int i = 0; i < 2000; ++i) {
        const digest id = digest::of(std::to_string(i));
        const ranking::chain before = all.chain_of(id);
        BOOST_REQUIRE_EQUAL(before.size, 2U);
        BOOST_REQUIRE_NE(before.index[0], before.index[1]);
        std::vector<bool> skipped(6, false);
        skipped[before.index[0]] = true;
        BOOST_REQUIRE_EQUAL(all.chain_of(id, skipped).index[0], before.index[1]);
        skipped.assign(6, false);
        skipped[before.index[1]] = true;
        BOOST_REQUIRE_EQUAL(all.chain_of(id, skipped).index[0], before.index[0]);
    }
}

// Guards against a hash that assigns one member much more than its share of the ids.
BOOST_AUTO_TEST_CASE(ids_are_spread_over_the_members)
{
    const ranking all(members(6));
    std::vector<int> heads(6, 0);
    for (int i = 0; i < 6000; ++i) {
        ++heads[all.chain_of(digest::of(std::to_string(i))).index[0]];
    }
    for (const int count : heads) {
        BOOST_TEST(count > 800);
        BOOST_TEST(count < 1200);
    }
}

// Guards against chains of the wrong length in views of fewer than three members.
BOOST_AUTO_TEST_CASE(small_views_have_short_chains)
{
    const digest id = digest::of("x");
    BOOST_TEST(ranking().chain_of(id).size == 0U);
    BOOST_TEST(ranking(members(1)).chain_of(id).size == 1U);
    BOOST_TEST(ranking(members(2)).chain_of(id).size == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(home_data_centre)

// Guards against an issued id whose home is not the data centre that issued it.
BOOST_AUTO_TEST_CASE(prefix_decides_if_it_names_a_data_centre)
{
    const std::vector<data_centre_id> all{data_centre_id("a"), data_centre_id("b")};
    BOOST_TEST((home_of(submission_id("b.3.x"), all) == data_centre_id("b")));
    const data_centre_id hashed = home_of(submission_id("c.3.x"), all);
    BOOST_TEST((hashed == all[0] || hashed == all[1]));
}

BOOST_AUTO_TEST_SUITE_END()
