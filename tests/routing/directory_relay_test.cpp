#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

struct fixture {
    explicit fixture(const std::string& self = "m") : peers(endpoint(self), data_centre_id("ollur")) {}

    void hear(const std::string& address, const std::string& data_centre, bool source)
    {
        auto status = status_of(address, data_centre);
        status.directory_source = source;
        status.directory_current = true;
        peers.on_status(now, status);
    }

    directory_relay::decision decide(bool works = false) { return relay.decide(now, peers, works); }

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
    f.hear("b", "ollur", true);
    f.hear("c", "ollur", true);
    f.hear("a", "punkunnam", true);
    BOOST_TEST((f.decide() == directory_relay::decision{false, endpoint("b")}));
}

// Guards against two instances that follow each other.
BOOST_AUTO_TEST_CASE(the_one_with_the_lowest_address_watches)
{
    fixture f("a");
    f.hear("b", "ollur", true);
    BOOST_TEST((f.decide(true) == directory_relay::decision{true, std::nullopt}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_source_goes)

// Guards against a data centre that hears of no configuration, and against all its instances reading the
// store at once.
BOOST_AUTO_TEST_CASE(the_next_ones_watch_one_after_the_other)
{
    fixture f;
    f.hear("a", "ollur", false);
    f.hear("b", "ollur", true);
    BOOST_TEST(!f.decide().watch);
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
    f.hear("a", "ollur", true);
    for (char name = 'b'; name < 'x'; ++name) {
        f.hear(std::string(1, name), "ollur", false);
    }
    BOOST_TEST(!f.decide().watch);
    f.hear("a", "ollur", false);
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
    BOOST_TEST((f.decide() == directory_relay::decision{true, endpoint("c")}));
    f.hear("d", "ollur", true);
    BOOST_TEST((f.decide() == directory_relay::decision{true, endpoint("d")}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
