#include <boost/test/unit_test.hpp>

#include "instance/directory.h"
#include "platform_protocol.h"

namespace poplarshed::users_platform::test {

namespace {

using instance::directory;
using instance::store_item;

const platform_protocol codec;

store_item order(const std::string& data_centre, std::uint64_t revision, const std::string& value = "{}")
{
    return {codec.evacuation_prefix() + data_centre, value, revision, false};
}

store_item removal(const std::string& data_centre, std::uint64_t revision)
{
    return {codec.evacuation_prefix() + data_centre, {}, revision, true};
}

std::set<data_centre_id> names(std::initializer_list<const char*> values)
{
    std::set<data_centre_id> found;
    for (const char* value : values) {
        found.emplace(value);
    }
    return found;
}

struct fixture {
    time_point now{seconds(1000)};
    directory items{codec, "front-1", 1000};
    directory follower{codec, "front-2", 5000};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(evacuations_in_the_store)

// Guards against an order that is not noticed, and one that outlives its removal.
BOOST_AUTO_TEST_CASE(an_order_is_in_force_until_its_removal)
{
    fixture f;
    f.items.on_events(f.now, {order("ollur", 5)});
    BOOST_TEST(f.items.take_changes().evacuations);
    BOOST_TEST((f.items.evacuated() == names({"ollur"})));
    f.items.on_events(f.now, {removal("ollur", 6)});
    BOOST_TEST(f.items.take_changes().evacuations);
    BOOST_TEST(f.items.evacuated().empty());
}

// Guards against a removal that is missed because the watch was lost: the list that follows lacks the key.
BOOST_AUTO_TEST_CASE(a_list_without_the_order_ends_it)
{
    fixture f;
    f.items.on_list(f.now, codec.operator_prefix(), {order("ollur", 5), order("adur", 6)});
    f.items.on_list(f.now, codec.operator_prefix(), {order("adur", 6)});
    BOOST_TEST((f.items.evacuated() == names({"adur"})));
}

// Guards against an order that is in force again because an earlier event arrives after its removal.
BOOST_AUTO_TEST_CASE(the_greater_revision_counts)
{
    fixture f;
    f.items.on_events(f.now, {order("ollur", 5), removal("ollur", 7), order("ollur", 6)});
    BOOST_TEST(f.items.evacuated().empty());
    f.items.on_events(f.now, {order("ollur", 8)});
    BOOST_TEST((f.items.evacuated() == names({"ollur"})));
}

BOOST_AUTO_TEST_SUITE(when_it_comes_from_a_peer)

// Guards against instances without a path to the store that go on using the data centre. An order without a
// value must not look like a removal.
BOOST_AUTO_TEST_CASE(orders_and_removals_are_passed_on)
{
    fixture f;
    f.items.on_events(f.now, {order("ollur", 5, "")});
    const auto first = f.items.changes_since(1000);
    f.follower.on_relay(f.now, first);
    BOOST_TEST((f.follower.evacuated() == names({"ollur"})));
    f.items.on_events(f.now, {removal("ollur", 6)});
    f.follower.on_relay(f.now, f.items.changes_since(first.sequence));
    BOOST_TEST(f.follower.evacuated().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_operators_write_something_odd)

// Guards against one odd key that hides the other orders, or is reported at each list.
BOOST_AUTO_TEST_CASE(it_is_skipped_and_reported_once)
{
    fixture f;
    for (int i = 0; i < 2; ++i) {
        f.items.on_list(f.now, codec.operator_prefix(),
                        {order("", 4), order("ollur", 5, "[odd"), order("a/b", 6), order("adur", 7)});
    }
    BOOST_TEST((f.items.evacuated() == names({"adur", "ollur"})));
    BOOST_TEST(f.items.take_skipped().size() == 2U);
}

// Guards against reports of operators' items that this system does not use.
BOOST_AUTO_TEST_CASE(other_items_are_ignored)
{
    fixture f;
    f.items.on_events(f.now, {{codec.operator_prefix() + "wave/1", "{}", 5, false}});
    BOOST_TEST(f.items.take_skipped().empty());
    BOOST_TEST(!f.items.take_changes().evacuations);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::users_platform::test
