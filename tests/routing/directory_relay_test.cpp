#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

struct fixture {
    explicit fixture(const std::string& self = "m") : peers(endpoint(self), data_centre_id("ollur")) {}

    void receive_status(const std::string& address, const std::string& data_centre, bool source,
                        std::uint64_t sequence = 7)
    {
        auto status = status_of(address, data_centre);
        status.directory_source = source;
        status.directory_sequence = sequence;
        status.directory_current = true;
        peers.on_status(now, status);
    }

    directory_relay::decision decide(bool own_watch_ready = false)
    {
        return relay.decide(now, peers, own_watch_ready);
    }

    /// Receives statuses of a source for as long as an instance keeps its own watch, and then follows the
    /// source.
    directory_relay::decision follow(const std::string& address)
    {
        for (int i = 0; i < 30; ++i) {
            receive_status(address, "ollur", true);
            decide(true);
            now += milliseconds(100);
        }
        receive_status(address, "ollur", true);
        return decide(true);
    }

    time_point now{seconds(100)};
    peer_table peers;
    directory_relay relay;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_of_the_directory)

BOOST_AUTO_TEST_SUITE(when_an_instance_starts)

// Guards against an instance that waits for peers although none is reachable.
BOOST_AUTO_TEST_CASE(it_watches_the_store)
{
    fixture f;
    BOOST_TEST(f.decide().watch);
}

// Guards against hundreds of watches of the store from one data centre.
BOOST_AUTO_TEST_CASE(it_follows_the_first_source_of_its_data_centre)
{
    fixture f;
    f.receive_status("c", "ollur", true);
    f.receive_status("a", "punkunnam", true);
    BOOST_TEST((f.follow("b") == directory_relay::decision{false, endpoint("b"), 7}));
}

// When hundreds of instances start at once, the source would otherwise send all items to each of them.
BOOST_AUTO_TEST_CASE(it_watches_until_it_has_all_items_of_the_source_and_takes_only_later_changes)
{
    fixture f;
    f.receive_status("b", "ollur", true, 7);
    BOOST_TEST((f.decide() == directory_relay::decision{}));
    for (int i = 0; i < 29; ++i) {
        f.now += milliseconds(100);
        f.receive_status("b", "ollur", true, 8);
        BOOST_TEST((f.decide(true) == directory_relay::decision{}));
    }
    f.now += milliseconds(100);
    BOOST_TEST((f.decide(true) == directory_relay::decision{false, endpoint("b"), 7}));
}

// Guards against an instance that cannot read the store and waits for its own watch without end.
BOOST_AUTO_TEST_CASE(it_takes_all_items_from_the_source_if_its_own_watch_is_not_established)
{
    fixture f;
    for (int i = 0; i < 40; ++i) {
        f.receive_status("b", "ollur", true);
        BOOST_TEST(f.decide().watch);
        f.now += milliseconds(100);
    }
    f.receive_status("b", "ollur", true);
    BOOST_TEST((f.decide() == directory_relay::decision{false, endpoint("b"), 0}));
}

// Guards against two instances that follow each other.
BOOST_AUTO_TEST_CASE(the_one_with_the_lowest_address_watches)
{
    fixture f("a");
    BOOST_TEST(f.decide(true).watch);
    BOOST_TEST((f.follow("b") == directory_relay::decision{}));
    BOOST_TEST(f.relay.is_source());
}

BOOST_AUTO_TEST_CASE(the_others_stop_being_sources_on_its_first_status)
{
    fixture f;
    f.decide(true);
    BOOST_TEST(f.relay.is_source());
    f.receive_status("b", "ollur", true);
    f.decide(true);
    BOOST_TEST(!f.relay.is_source());
}

// Guards against followers that all read the store again because an instance has started.
BOOST_AUTO_TEST_CASE(a_followed_source_remains_the_source)
{
    fixture newcomer("a");
    BOOST_TEST((newcomer.follow("b") == directory_relay::decision{false, endpoint("b"), 7}));
    fixture follower;
    follower.follow("c");
    follower.receive_status("b", "ollur", true);
    BOOST_TEST(follower.decide().source->value() == "c");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_source_becomes_unreachable)

// Guards against a data centre that receives no new configuration, and against all its instances reading the
// store at once.
BOOST_AUTO_TEST_CASE(followers_start_to_watch_one_after_the_other)
{
    fixture f;
    f.receive_status("a", "ollur", false);
    f.follow("b");
    f.receive_status("a", "ollur", false);
    f.receive_status("b", "ollur", false);
    BOOST_TEST(!f.decide().watch);
    f.now += milliseconds(350);
    f.receive_status("a", "ollur", false);
    f.receive_status("b", "ollur", false);
    BOOST_TEST(!f.decide().watch);
    f.now += milliseconds(60);
    BOOST_TEST(f.decide().watch);
}

// Guards against a delay beyond the time within which a configuration must be in force (2 s): the loss of the
// source is detected after 600 ms.
BOOST_AUTO_TEST_CASE(every_instance_watches_in_time)
{
    fixture f("z");
    BOOST_TEST(!f.follow("a").watch);
    for (char name = 'b'; name < 'x'; ++name) {
        f.receive_status(std::string(1, name), "ollur", false);
    }
    f.receive_status("a", "ollur", false);
    BOOST_TEST(!f.decide().watch);
    f.now += milliseconds(800);
    BOOST_TEST(f.decide().watch);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_store_cannot_be_reached)

// Guards against an instance that cannot reach the store and keeps an outdated directory.
BOOST_AUTO_TEST_CASE(changes_come_from_any_instance_with_a_current_directory)
{
    fixture f("a");
    f.receive_status("b", "punkunnam", false);
    f.receive_status("c", "punkunnam", true);
    BOOST_TEST((f.decide() == directory_relay::decision{true, endpoint("c"), 0}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
