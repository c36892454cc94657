#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

struct fixture {
    explicit fixture(const std::string& self = "m") : peers(endpoint(self), data_centre_id("ollur")) {}

    void hear(const std::string& address, const std::string& data_centre, bool source,
              std::uint64_t sequence = 7)
    {
        auto status = status_of(address, data_centre);
        status.directory_source = source;
        status.directory_sequence = sequence;
        status.directory_current = true;
        peers.on_status(now, status);
    }

    directory_relay::decision decide(bool works = false) { return relay.decide(now, peers, works); }

    /// Hears a source for as long as an instance watches beside it, and follows it.
    directory_relay::decision follow(const std::string& address)
    {
        for (int turn = 0; turn < 30; ++turn) {
            hear(address, "ollur", true);
            decide(true);
            now += milliseconds(100);
        }
        hear(address, "ollur", true);
        return decide(true);
    }

    time_point now{seconds(100)};
    peer_table peers;
    directory_relay relay;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_of_the_directory)

BOOST_AUTO_TEST_SUITE(when_an_instance_starts)

// Guards against an instance that waits for peers that are not there.
BOOST_AUTO_TEST_CASE(it_watches_the_store)
{
    fixture f;
    BOOST_TEST(f.decide().watch);
}

// Guards against hundreds of watches for one data centre.
BOOST_AUTO_TEST_CASE(it_follows_the_first_source_of_its_data_centre)
{
    fixture f;
    f.hear("c", "ollur", true);
    f.hear("a", "punkunnam", true);
    BOOST_TEST((f.follow("b") == directory_relay::decision{false, endpoint("b"), 7}));
}

// Load pattern: hundreds of instances start at once, and one would have to send all items to each of them.
BOOST_AUTO_TEST_CASE(it_watches_until_it_knows_what_the_source_knew_and_takes_only_later_changes)
{
    fixture f;
    f.hear("b", "ollur", true, 7);
    BOOST_TEST((f.decide() == directory_relay::decision{}));
    for (int turn = 0; turn < 29; ++turn) {
        f.now += milliseconds(100);
        f.hear("b", "ollur", true, 8);
        BOOST_TEST((f.decide(true) == directory_relay::decision{}));
    }
    f.now += milliseconds(100);
    BOOST_TEST((f.decide(true) == directory_relay::decision{false, endpoint("b"), 7}));
}

// Guards against an instance that cannot read the store and waits for its own watch.
BOOST_AUTO_TEST_CASE(it_takes_all_from_the_source_where_its_own_watch_does_not_begin)
{
    fixture f;
    for (int turn = 0; turn < 40; ++turn) {
        f.hear("b", "ollur", true);
        BOOST_TEST(f.decide().watch);
        f.now += milliseconds(100);
    }
    f.hear("b", "ollur", true);
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

BOOST_AUTO_TEST_CASE(the_others_are_no_sources_as_soon_as_they_hear_it)
{
    fixture f;
    f.decide(true);
    BOOST_TEST(f.relay.is_source());
    f.hear("b", "ollur", true);
    f.decide(true);
    BOOST_TEST(!f.relay.is_source());
}

// Guards against followers that all read the store anew because an instance has started.
BOOST_AUTO_TEST_CASE(a_source_that_serves_others_stays_one)
{
    fixture newcomer("a");
    BOOST_TEST((newcomer.follow("b") == directory_relay::decision{false, endpoint("b"), 7}));
    fixture follower;
    follower.follow("c");
    follower.hear("b", "ollur", true);
    BOOST_TEST(follower.decide().source->value() == "c");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_source_goes)

// Guards against a data centre that hears of no configuration, and against all its instances reading the
// store at once.
BOOST_AUTO_TEST_CASE(the_next_ones_watch_one_after_the_other)
{
    fixture f;
    f.hear("a", "ollur", false);
    f.follow("b");
    f.hear("a", "ollur", false);
    f.hear("b", "ollur", false);
    BOOST_TEST(!f.decide().watch);
    f.now += milliseconds(350);
    f.hear("a", "ollur", false);
    f.hear("b", "ollur", false);
    BOOST_TEST(!f.decide().watch);
    f.now += milliseconds(60);
    BOOST_TEST(f.decide().watch);
}

// Guards against a wait beyond the time within which a configuration must be in force (2 s): the loss shows
// after 600 ms.
BOOST_AUTO_TEST_CASE(every_instance_watches_in_time)
{
    fixture f("z");
    BOOST_TEST(!f.follow("a").watch);
    for (char name = 'b'; name < 'x'; ++name) {
        f.hear(std::string(1, name), "ollur", false);
    }
    f.hear("a", "ollur", false);
    BOOST_TEST(!f.decide().watch);
    f.now += milliseconds(800);
    BOOST_TEST(f.decide().watch);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_store_cannot_be_reached)

// Guards against an instance that is cut off from the store and stays behind.
BOOST_AUTO_TEST_CASE(changes_come_from_any_instance_that_is_current)
{
    fixture f("a");
    f.hear("b", "punkunnam", false);
    f.hear("c", "punkunnam", true);
    BOOST_TEST((f.decide() == directory_relay::decision{true, endpoint("c"), 0}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
