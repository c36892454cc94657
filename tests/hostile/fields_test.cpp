#include <boost/test/unit_test.hpp>

#include "hostile/world.h"

namespace poplarshed::hostile::test {

namespace {

constexpr std::size_t json_members = 100'000;
constexpr std::size_t requests_with_members = 60;
constexpr std::size_t json_depth = 100'000;
// Heads of 250 kB, from fewer connections than the instance allows.
constexpr std::size_t header_lines = 50'000;
constexpr std::size_t requests_with_lines = 60;
// About 1 MB, the legal size of a request, of the shortest lines.
constexpr std::size_t lines_of_largest_head = 200'000;
constexpr std::size_t largest_heads = 4;
constexpr std::size_t piece_bytes = 4096;

void many_json_members(world& instance, const target& to)
{
    instance.withstands(to, requests_with_members, {.bytes = post_with_members(to, json_members)});
}

void deep_json(world& instance, const target& to)
{
    instance.withstands(to, requests_with_members, {.bytes = post_with_nesting(to, json_depth)});
}

void many_header_lines(world& instance, const target& to)
{
    instance.withstands(to, requests_with_lines, {.bytes = get_with_header_lines(to, header_lines, true)});
}

void large_head_in_pieces(world& instance, const target& to)
{
    instance.withstands(to, largest_heads,
                        {.bytes = get_with_header_lines(to, lines_of_largest_head, false),
                         .piece_bytes = piece_bytes,
                         .pause = std::chrono::milliseconds(1)});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fields)

// Guards against documents whose parsed form takes many times the size of their text.
BOOST_AUTO_TEST_SUITE(json_members)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    many_json_members(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    many_json_members(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a parser whose stack a document can exhaust.
BOOST_AUTO_TEST_SUITE(json_nesting)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    deep_json(instance, instance.route());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against heads whose many short lines occupy the listener and its memory.
BOOST_AUTO_TEST_SUITE(header_lines)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    many_header_lines(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    many_header_lines(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    many_header_lines(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    many_header_lines(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a head without end that is parsed from its beginning with each read.
BOOST_AUTO_TEST_SUITE(header_lines_in_pieces)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    large_head_in_pieces(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    large_head_in_pieces(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    large_head_in_pieces(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    large_head_in_pieces(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::hostile::test
