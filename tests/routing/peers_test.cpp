#include <boost/test/unit_test.hpp>

#include "routing_fixture.h"

namespace poplarshed::routing::test {

namespace {

struct fixture {
    void receive_status(milliseconds next_within)
    {
        auto status = status_of("other", "ollur");
        status.next_status_within = next_within;
        peers.on_status(now, status);
    }

    std::vector<endpoint> silent_after(milliseconds passed)
    {
        now += passed;
        return peers.silent_connections(now);
    }

    time_point now{seconds(100)};
    peer_table peers{endpoint("self"), data_centre_id("ollur")};
};

const std::vector<endpoint> other{endpoint("other")};
const std::vector<endpoint> none;

}  // namespace

BOOST_AUTO_TEST_SUITE(connections_to_peers)

BOOST_AUTO_TEST_SUITE(when_statuses_stop)

// Guards against a connection that has lost its data without an error and is kept for ever.
BOOST_AUTO_TEST_CASE(the_connection_is_replaced_once_in_each_time_limit)
{
    fixture f;
    f.receive_status(min_status_interval);
    BOOST_TEST((f.silent_after(min_status_interval + silent_connection_timeout) == none));
    BOOST_TEST((f.silent_after(milliseconds(1)) == other));
    BOOST_TEST((f.silent_after(silent_connection_timeout) == none));
    BOOST_TEST((f.silent_after(min_status_interval + milliseconds(1)) == other));
}

// Guards against connections that are replaced again and again because a peer rarely sends a status.
BOOST_AUTO_TEST_CASE(a_peer_that_announced_a_long_interval_is_given_that_time)
{
    fixture f;
    f.receive_status(seconds(4));
    BOOST_TEST((f.silent_after(seconds(5)) == none));
    f.receive_status(seconds(4));
    BOOST_TEST((f.silent_after(seconds(5)) == none));
    BOOST_TEST((f.silent_after(seconds(1)) == other));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an instance that closes connections for its own status.
BOOST_AUTO_TEST_CASE(the_own_status_needs_no_connection)
{
    fixture f;
    f.peers.on_status(f.now, status_of("self", "ollur"));
    BOOST_TEST((f.silent_after(seconds(10)) == none));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(statuses_of_half_of_the_instances)

// With hundreds of instances most send a status only once in a second or two. Guards against an instance that
// is cut off, still counts these as live, and takes the pools of the holders that it no longer receives.
BOOST_AUTO_TEST_CASE(are_missing_at_an_instance_that_was_cut_off)
{
    fixture f;
    const time_point cut = f.now;
    for (int i = 0; i < 60; ++i) {
        auto status = status_of("peer" + std::to_string(i), "ollur");
        status.next_status_within = i < 10 ? milliseconds(100) : milliseconds(1900);
        f.peers.on_status(cut - milliseconds(i % 10), status);
    }
    f.now = cut + milliseconds(700);
    BOOST_TEST(!f.peers.is_live(f.now, endpoint("peer0")));
    BOOST_TEST(f.peers.reaches_at_least_half(f.now));
    BOOST_TEST(!f.peers.has_statuses_of_half(f.now, cut));
}

// Guards against a pool whose holder is lost and that nobody takes.
BOOST_AUTO_TEST_CASE(are_there_when_one_holder_is_lost)
{
    fixture f;
    const time_point lost = f.now;
    f.now += milliseconds(700);
    for (int i = 0; i < 10; ++i) {
        auto status = status_of("peer" + std::to_string(i), "ollur");
        status.next_status_within = milliseconds(100);
        f.peers.on_status(i == 0 ? lost : f.now - milliseconds(50), status);
    }
    BOOST_TEST(f.peers.has_statuses_of_half(f.now, lost));
}

BOOST_AUTO_TEST_SUITE_END()
}  // namespace poplarshed::routing::test
