#include <boost/test/unit_test.hpp>

#include "hostile/world.h"

namespace poplarshed::hostile::test {

namespace {

constexpr std::chrono::milliseconds slow_pause{20};
constexpr std::size_t requests_of_slow_reader = 500;
constexpr std::size_t raw_byte_count = std::size_t{1} << 20U;

void send_half_heads(world& instance, const target& to)
{
    instance.withstands(to, many_connections, {.bytes = half_head(to)});
}

void send_slow_heads(world& instance, const target& to)
{
    instance.withstands(
        to, many_connections,
        {.bytes = get_with_header_lines(to, 50, true), .piece_bytes = 1, .pause = slow_pause});
}

void send_slow_bodies(world& instance, const target& to)
{
    instance.withstands(to, many_connections,
                        {.bytes = post_with_length(to, largest_body_bytes, 1000),
                         .first_bytes = post_with_length(to, largest_body_bytes, 0)->size(),
                         .piece_bytes = 1,
                         .pause = slow_pause});
}

void read_slowly(world& instance, const target& to)
{
    instance.withstands(to, many_connections,
                        {.bytes = pipelined_gets(to, requests_of_slow_reader), .read_pause = slow_pause});
}

void connections_without_a_byte(world& instance, const target& to)
{
    instance.withstands(to, many_connections, {.bytes = std::make_shared<const std::string>()});
}

void raw_messages(world& instance, const target& to)
{
    instance.withstands(to, many_connections, {.bytes = raw_bytes(raw_byte_count)});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crowds)

// Guards against descriptors that connections without any request use up.
BOOST_AUTO_TEST_SUITE(silent)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    connections_without_a_byte(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    connections_without_a_byte(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    connections_without_a_byte(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    connections_without_a_byte(instance, instance.metrics());
}

BOOST_AUTO_TEST_CASE(at_the_peers_port)
{
    world instance;
    connections_without_a_byte(instance, instance.peers());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against descriptors that incomplete heads hold for ever.
BOOST_AUTO_TEST_SUITE(half_heads)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    send_half_heads(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    send_half_heads(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    send_half_heads(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    send_half_heads(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against heads that stay incomplete, though bytes keep coming.
BOOST_AUTO_TEST_SUITE(slow_heads)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    send_slow_heads(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    send_slow_heads(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    send_slow_heads(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    send_slow_heads(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against bodies that arrive too slowly ever to end.
BOOST_AUTO_TEST_SUITE(slow_bodies)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    send_slow_bodies(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    send_slow_bodies(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    send_slow_bodies(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    send_slow_bodies(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against answers that wait for clients which take them byte by byte.
BOOST_AUTO_TEST_SUITE(slow_readers)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    read_slowly(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    read_slowly(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    read_slowly(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    read_slowly(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against the peers' port keeping what does not follow its protocol.
BOOST_AUTO_TEST_SUITE(raw_bytes)

BOOST_AUTO_TEST_CASE(at_the_peers_port)
{
    world instance;
    raw_messages(instance, instance.peers());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::hostile::test
