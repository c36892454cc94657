#include <boost/test/unit_test.hpp>

#include "instance/directory.h"
#include "platform_protocol.h"

namespace poplarshed::users_platform::test {

namespace {

using instance::directory;
using instance::store_item;

const platform_protocol codec;

store_item worker(const std::string& id, std::uint64_t revision, int beat, const char* state = "ready")
{
    return {codec.workers_prefix() + id,
            std::string(R"({"service":"s","address":"10.0.1.1:1","zone":"ollur","state":")") + state +
                R"(","capacity":{"cpu":32000},"seq":)" + std::to_string(beat) + "}",
            revision, false};
}

store_item gone(const std::string& key, std::uint64_t revision)
{
    return {key, {}, revision, true};
}

struct fixture {
    time_point now{seconds(1000)};
    directory source{codec, "front-1", 1000};
    directory follower{codec, "front-2", 5000};
    std::uint64_t followed = 0;

    void pull()
    {
        const auto push = source.changes_since(followed);
        followed = push.sequence;
        follower.on_relay(now, push);
    }
};

/// A worker and the layout of its group, known for long.
struct complete_fixture : fixture {
    complete_fixture()
    {
        layout = {source.own().layout_key({data_centre_id("ollur"), service_id("s")}),
                  instance::own_records::value(1), 4, false};
        source.on_list(now, codec.workers_prefix(), {worker("i-1", 5, 1)});
        source.on_events(now, {layout});
        now += seconds(31);
        BOOST_REQUIRE(source.complete(now));
    }

    store_item layout;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(directory_of_the_store)

BOOST_AUTO_TEST_SUITE(when_workers_send_signs_of_life)

// Load pattern: thousands of workers that write their entries every 1.5 s. Guards against work for entries in
// which nothing has changed.
BOOST_AUTO_TEST_CASE(nothing_changes)
{
    fixture f;
    f.source.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1)});
    BOOST_TEST(f.source.take_changes().workers);
    const auto before = f.source.sequence();
    f.source.on_events(f.now, {worker("i-1", 9, 2)});
    BOOST_TEST(!f.source.take_changes().workers);
    BOOST_TEST(f.source.sequence() == before);
    f.source.on_events(f.now, {worker("i-1", 10, 3, "draining")});
    BOOST_TEST(f.source.take_changes().workers);
    BOOST_TEST(f.source.workers().at(0).draining);
}

// Guards against an entry of another writer that is reported at each of its changes.
BOOST_AUTO_TEST_CASE(an_unreadable_entry_is_reported_once)
{
    fixture f;
    f.source.on_events(f.now, {{codec.workers_prefix() + "i-1", "{}", 5, false}});
    BOOST_TEST(f.source.take_skipped().size() == 1U);
    f.source.on_events(f.now, {{codec.workers_prefix() + "i-1", "{} ", 6, false}});
    BOOST_TEST(f.source.take_skipped().empty());
    BOOST_TEST(f.source.workers().empty());
    f.source.on_events(f.now, {worker("i-1", 7, 1)});
    BOOST_TEST(f.source.workers().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_peer_follows)

// Guards against a follower that misses a change, whatever the order of revisions in which its source heard
// of them.
BOOST_AUTO_TEST_CASE(it_gets_every_change_and_no_more)
{
    fixture f;
    f.source.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1), worker("i-2", 6, 1)});
    f.pull();
    BOOST_TEST(f.follower.workers().size() == 2U);
    f.source.on_events(f.now, {worker("i-3", 20, 1)});
    f.source.on_events(f.now, {{codec.configuration_key(), "{}", 15, false}});
    BOOST_TEST(f.source.changes_since(f.followed).items.size() == 2U);
    f.pull();
    BOOST_TEST(f.follower.workers().size() == 3U);
    BOOST_TEST(f.follower.configuration_value() == "{}");
    BOOST_TEST(f.source.changes_since(f.followed).items.empty());
}

// Guards against workers that stay at a follower for good.
BOOST_AUTO_TEST_CASE(removals_reach_it)
{
    fixture f;
    f.source.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1), worker("i-2", 6, 1)});
    f.pull();
    f.source.on_events(f.now, {gone(codec.workers_prefix() + "i-1", 8)});
    f.pull();
    BOOST_TEST(f.follower.workers().size() == 1U);
}

// Guards against an index of changes that grows with time, or that names what is gone.
BOOST_AUTO_TEST_CASE(each_key_is_told_once_with_its_last_state)
{
    fixture f;
    f.source.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1), worker("i-2", 6, 1)});
    f.pull();
    const std::string key = codec.workers_prefix() + "i-1";
    f.source.on_events(f.now, {worker("i-1", 7, 2, "draining"), gone(key, 8), worker("i-1", 9, 1),
                               gone(key, 10), worker("i-2", 11, 1, "draining")});
    const auto push = f.source.changes_since(f.followed);
    BOOST_REQUIRE_EQUAL(push.items.size(), 2U);
    BOOST_TEST(!push.complete);
    f.pull();
    BOOST_REQUIRE_EQUAL(f.follower.workers().size(), 1U);
    BOOST_TEST(f.follower.workers()[0].draining);
    f.source.on_events(f.now, {worker("i-1", 12, 1)});
    f.pull();
    BOOST_TEST(f.follower.workers().size() == 2U);
}

// Guards against a follower that has read the store itself and takes all items again.
BOOST_AUTO_TEST_CASE(changes_since_a_number_that_was_heard_are_enough)
{
    fixture f;
    f.source.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1)});
    const std::uint64_t heard = f.source.sequence();
    BOOST_TEST(f.source.remembers(heard));
    BOOST_TEST(!f.source.remembers(0));
    BOOST_TEST(f.source.changes_since(heard).items.empty());
    f.source.on_events(f.now, {worker("i-2", 6, 1)});
    BOOST_TEST(f.source.changes_since(heard).items.size() == 1U);
}

// Guards against removals that a follower misses when it turns to another source.
BOOST_AUTO_TEST_CASE(a_new_source_tells_all)
{
    fixture f;
    f.source.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1)});
    f.pull();
    directory other{codec, "front-3", 9000};
    other.on_list(f.now, codec.workers_prefix(), {worker("i-2", 7, 1)});
    const auto push = other.changes_since(0);
    BOOST_TEST(push.complete);
    f.follower.on_relay(f.now, push);
    f.now += milliseconds(2400);
    f.follower.forget_vanished(f.now);
    BOOST_REQUIRE_EQUAL(f.follower.workers().size(), 1U);
    BOOST_TEST(f.follower.workers()[0].id.value() == "i-2");
}

// Guards against a source that was cut off and takes from a follower what it does not know itself.
BOOST_AUTO_TEST_CASE(a_source_that_is_behind_removes_nothing)
{
    fixture f;
    f.source.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1)});
    f.follower.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1), worker("i-2", 9, 1)});
    f.pull();
    f.now += milliseconds(2400);
    f.follower.forget_vanished(f.now);
    BOOST_TEST(f.follower.workers().size() == 2U);
}

// A list of the store that was answered before the last changes of a peer drops an item of theirs; the watch
// brings it again. Guards against a layout or pool record that is taken for removed from then on.
BOOST_AUTO_TEST_CASE(an_item_that_a_late_list_has_dropped_is_taken_again)
{
    fixture f;
    const store_item layout{f.source.own().layout_key({data_centre_id("ollur"), service_id("s")}),
                            instance::own_records::value(1), 7, false};
    f.source.on_events(f.now, {layout});
    f.pull();
    f.follower.on_list(f.now, codec.own_prefix(), {});
    BOOST_REQUIRE(!f.follower.contains(layout.key));
    f.follower.on_events(f.now, {layout});
    BOOST_TEST(f.follower.contains(layout.key));
}

// The source of a data centre is lost, and its followers take everything from an instance elsewhere that has
// not learned of the last removals yet. Guards against a worker that has left and is used again.
BOOST_AUTO_TEST_CASE(a_source_that_is_behind_brings_no_removed_worker_back)
{
    fixture f;
    f.source.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1), worker("i-2", 6, 1)});
    f.follower.on_list(f.now, codec.workers_prefix(), {worker("i-1", 5, 1), worker("i-2", 6, 1)});
    f.source.on_events(f.now, {worker("i-1", 8, 2)});
    f.follower.on_events(f.now, {gone(codec.workers_prefix() + "i-1", 9)});
    BOOST_REQUIRE_EQUAL(f.follower.workers().size(), 1U);
    BOOST_TEST(!f.follower.on_relay(f.now, f.source.changes_since(0)));
    BOOST_TEST(f.follower.workers().size() == 1U);
    // The worker registers again under its id.
    f.source.on_events(f.now, {worker("i-1", 12, 1)});
    BOOST_TEST(f.follower.on_relay(f.now, f.source.changes_since(0)));
    BOOST_TEST(f.follower.workers().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_worker_may_run_on_out_of_sight)

// Each guards against a new holder that starts a task while a worker it does not list runs it under the lease
// of the former one.

BOOST_AUTO_TEST_CASE(a_worker_whose_entry_is_overwritten_counts_as_missing)
{
    complete_fixture f;
    f.source.on_events(f.now, {{codec.workers_prefix() + "i-1", "{}", 7, false}});
    f.now += milliseconds(1500);
    BOOST_TEST(!f.source.complete(f.now));
}

BOOST_AUTO_TEST_CASE(a_worker_that_changes_its_data_centre_counts_as_missing)
{
    complete_fixture f;
    store_item moved = worker("i-1", 7, 2);
    moved.value.replace(moved.value.find("ollur"), 5, "salix");
    f.source.on_events(f.now, {moved});
    f.now += milliseconds(1500);
    BOOST_TEST(!f.source.complete(f.now));
}

BOOST_AUTO_TEST_CASE(a_new_division_into_pools_is_incomplete)
{
    complete_fixture f;
    store_item layout = f.layout;
    layout.revision = 9;
    f.source.on_events(f.now, {layout});
    BOOST_TEST(f.source.complete(f.now));
    layout.value = instance::own_records::value(2);
    layout.revision = 10;
    f.source.on_events(f.now, {layout});
    f.now += milliseconds(1500);
    BOOST_TEST(!f.source.complete(f.now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::users_platform::test
