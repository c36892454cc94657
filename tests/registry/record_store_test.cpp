#include "registry/record_store.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

using namespace poplarshed;
using namespace poplarshed::registry;

BOOST_AUTO_TEST_SUITE(record_store_of_claims)

// Guards against an erase that hides other records of its probe sequence, whose ids would then be granted
// again.
BOOST_AUTO_TEST_CASE(behaves_as_a_map_under_random_changes)
{
    record_store store;
    std::map<digest, std::uint64_t> model;
    random_source random(7);
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        const digest id = digest::of(std::to_string(random.below(700)));
        if (random.below(2) == 0) {
            BOOST_REQUIRE_EQUAL(store.erase(id), model.erase(id) == 1);
        } else if (store.find(id) == nullptr) {
            record added;
            added.id = id;
            added.sequence = i;
            store.insert(added);
            model[id] = i;
        }
        BOOST_REQUIRE_EQUAL(store.size(), model.size());
    }
    for (const auto& [id, sequence] : model) {
        BOOST_REQUIRE(store.find(id) != nullptr);
        BOOST_REQUIRE_EQUAL(store.find(id)->sequence, sequence);
    }
}

// Guards against records that exceed the memory budget for 300,000 claims.
BOOST_AUTO_TEST_CASE(a_record_takes_well_under_100_bytes)
{
    record_store store;
    for (int i = 0; i < 300'000; ++i) {
        record added;
        added.id = digest::of(std::to_string(i));
        store.insert(added);
    }
    BOOST_TEST_MESSAGE("bytes per record: " << store.bytes() / store.size());
    BOOST_TEST(store.bytes() / store.size() < 70U);
}

BOOST_AUTO_TEST_SUITE_END()
