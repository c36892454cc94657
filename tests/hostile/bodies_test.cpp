#include <boost/test/unit_test.hpp>
#include <string_view>

#include "hostile/world.h"

namespace poplarshed::hostile::test {

namespace {

constexpr std::size_t one_short = largest_body_bytes - 1;
// The bodies of these members are five times what clients may hold.
constexpr std::size_t members = 40;
constexpr std::size_t piece_bytes = std::size_t{16} * 1024;
constexpr std::size_t chunks = 256;
constexpr std::size_t chunk_bytes = 4096;
// Long enough that two writes are rarely one read.
constexpr std::chrono::milliseconds split_pause{5};
constexpr std::size_t far_over_bytes = std::size_t{400} << 20U;
constexpr std::size_t sent_of_far_over_bytes = std::size_t{8} << 20U;
constexpr std::size_t members_far_over = 8;

void unfinished_whole_bodies(world& instance, const target& to)
{
    instance.withstands(to, members, {.bytes = post_with_length(to, largest_body_bytes, one_short)});
}

void unfinished_bodies_in_pieces(world& instance, const target& to)
{
    instance.withstands(to, members,
                        {.bytes = post_with_length(to, largest_body_bytes, one_short),
                         .piece_bytes = piece_bytes,
                         .pause = std::chrono::milliseconds(1)});
}

void unfinished_chunked_bodies(world& instance, const target& to)
{
    instance.withstands(to, members, {.bytes = post_with_chunks(to, chunks - 1, chunk_bytes)});
}

void one_unfinished_chunked_body(world& instance, const target& to)
{
    instance.withstands(to, 1,
                        {.bytes = post_with_chunks(to, chunks, chunk_bytes),
                         .piece_bytes = chunk_bytes,
                         .pause = std::chrono::milliseconds(1)});
}

// The first write ends after the carriage return of the first size line, each further one a chunk later.
void send_chunks_split_in_size_lines(world& instance, const target& to)
{
    const std::size_t head_bytes = post_with_chunks(to, 0, chunk_bytes)->size();
    instance.withstands(to, 1,
                        {.bytes = post_with_chunks(to, chunks, chunk_bytes),
                         .first_bytes = head_bytes + std::string_view("1000\r").size(),
                         .piece_bytes = chunk_bytes + std::string_view("1000\r\n\r\n").size(),
                         .pause = split_pause});
}

// The first write ends before the line feed that follows the data of the first chunk.
void send_chunks_split_after_data(world& instance, const target& to)
{
    const std::size_t head_bytes = post_with_chunks(to, 0, chunk_bytes)->size();
    const std::size_t cycle = chunk_bytes + std::string_view("1000\r\n\r\n").size();
    instance.withstands(to, 1,
                        {.bytes = post_with_chunks(to, chunks, chunk_bytes),
                         .first_bytes = head_bytes + cycle - 1,
                         .piece_bytes = cycle,
                         .pause = split_pause});
}

void bodies_far_over_the_limit(world& instance, const target& to)
{
    instance.withstands(to, members_far_over,
                        {.bytes = post_with_length(to, far_over_bytes, sent_of_far_over_bytes)});
}

void endless_chunked_bodies(world& instance, const target& to)
{
    instance.withstands(to, members_far_over,
                        {.bytes = post_with_chunks(to, sent_of_far_over_bytes / chunk_bytes, chunk_bytes)});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(bodies)

// Guards against a process that outgrows its machine by bodies whose last byte never comes.
BOOST_AUTO_TEST_SUITE(one_byte_short)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    unfinished_whole_bodies(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    unfinished_whole_bodies(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    unfinished_whole_bodies(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    unfinished_whole_bodies(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against buffers that grow, and against work that is repeated, with each small read of a body.
BOOST_AUTO_TEST_SUITE(one_byte_short_in_pieces)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    unfinished_bodies_in_pieces(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    unfinished_bodies_in_pieces(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    unfinished_bodies_in_pieces(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    unfinished_bodies_in_pieces(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against chunked bodies that escape the count of what clients hold, since no length announces them.
BOOST_AUTO_TEST_SUITE(chunked_without_end)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    unfinished_chunked_bodies(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    unfinished_chunked_bodies(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    unfinished_chunked_bodies(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    unfinished_chunked_bodies(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a listener that one client occupies, since each read parses all chunks again.
BOOST_AUTO_TEST_SUITE(one_chunked_without_end)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    one_unfinished_chunked_body(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    one_unfinished_chunked_body(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    one_unfinished_chunked_body(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    one_unfinished_chunked_body(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a listener that one client occupies, since a size line that comes in two reads is parsed
// with all that follows.
BOOST_AUTO_TEST_SUITE(chunks_split_in_size_lines)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    send_chunks_split_in_size_lines(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    send_chunks_split_in_size_lines(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    send_chunks_split_in_size_lines(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    send_chunks_split_in_size_lines(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against the same where the line end of a chunk's data comes in two reads.
BOOST_AUTO_TEST_SUITE(chunks_split_after_data)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    send_chunks_split_after_data(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    send_chunks_split_after_data(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    send_chunks_split_after_data(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    send_chunks_split_after_data(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against reading and keeping a body whose announced length is refused anyway.
BOOST_AUTO_TEST_SUITE(far_over_the_limit)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    bodies_far_over_the_limit(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    bodies_far_over_the_limit(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    bodies_far_over_the_limit(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    bodies_far_over_the_limit(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a body without announced length that is read on after the limit is passed.
BOOST_AUTO_TEST_SUITE(chunked_far_over_the_limit)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    endless_chunked_bodies(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    endless_chunked_bodies(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    endless_chunked_bodies(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    endless_chunked_bodies(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::hostile::test
