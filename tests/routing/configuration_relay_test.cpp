#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

struct fixture {
    void receive_version(const std::string& address, std::uint64_t version)
    {
        auto status = status_of(address, "ollur");
        status.configuration_version = version;
        status.next_status_within = seconds(10);
        peers.on_status(now, status);
    }

    /// The instance that is asked first within a time.
    std::optional<endpoint> asked_within(milliseconds time, std::uint64_t own_version)
    {
        for (const time_point end = now + time; now < end; now += milliseconds(20)) {
            if (auto asked = relay.decide(now, peers, own_version)) {
                return asked;
            }
        }
        return std::nullopt;
    }

    time_point now{seconds(100)};
    peer_table peers{endpoint("m"), data_centre_id("ollur")};
    configuration_relay relay;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_of_the_configuration)

BOOST_AUTO_TEST_SUITE(when_a_peer_has_a_newer_version)

// The store turns away the source of a data centre. Guards against instances that use an old configuration
// more than two seconds after the new one was acknowledged.
BOOST_AUTO_TEST_CASE(it_is_asked_within_a_second)
{
    fixture f;
    f.receive_version("a", 12);
    f.receive_version("z", 16);
    BOOST_TEST((f.asked_within(seconds(1), 12) == endpoint("z")));
}

// Guards against a configuration that each instance sends to each other although the directory brings it.
BOOST_AUTO_TEST_CASE(it_is_not_asked_if_the_directory_brings_the_version)
{
    fixture f;
    f.receive_version("z", 16);
    BOOST_TEST(!f.asked_within(milliseconds(500), 12).has_value());
    BOOST_TEST(!f.asked_within(seconds(3), 16).has_value());
}

// Guards against an answer that is lost, and against all instances that ask the same one.
BOOST_AUTO_TEST_CASE(the_others_with_this_version_are_asked_in_turn)
{
    fixture f;
    for (const char* address : {"a", "n", "z"}) {
        f.receive_version(address, 16);
    }
    BOOST_TEST((f.asked_within(seconds(1), 12) == endpoint("n")));
    BOOST_TEST((f.asked_within(seconds(1), 12) == endpoint("z")));
    BOOST_TEST((f.asked_within(seconds(1), 12) == endpoint("a")));
}

// Guards against a version that is out of date when it arrives.
BOOST_AUTO_TEST_CASE(only_instances_with_the_newest_version_are_asked)
{
    fixture f;
    f.receive_version("n", 14);
    f.receive_version("z", 16);
    BOOST_TEST((f.asked_within(seconds(1), 12) == endpoint("z")));
    BOOST_TEST((f.asked_within(seconds(1), 12) == endpoint("z")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::routing::test
