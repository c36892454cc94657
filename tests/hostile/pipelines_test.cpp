#include <boost/test/unit_test.hpp>

#include "hostile/world.h"

namespace poplarshed::hostile::test {

namespace {

constexpr std::size_t members = 8;
constexpr std::size_t requests = 50'000;
constexpr std::size_t requests_one_by_one = 2'000;

void unread_answers(world& instance, const target& to)
{
    instance.withstands(to, members, {.bytes = pipelined_gets(to, requests), .reads = false});
}

// Each request is a write of its own, so that the instance reads and answers them singly.
void send_one_by_one(world& instance, const target& to)
{
    instance.withstands(to, members,
                        {.bytes = pipelined_gets(to, requests_one_by_one),
                         .piece_bytes = pipelined_gets(to, 1)->size(),
                         .pause = std::chrono::milliseconds(1),
                         .reads = false});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(pipelines)

// Guards against requests and answers that pile up for a client which only sends.
BOOST_AUTO_TEST_SUITE(answers_not_read)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    unread_answers(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    unread_answers(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    unread_answers(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    unread_answers(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against unsent answers of any size that wait for a client which does not read.
BOOST_AUTO_TEST_SUITE(answers_not_read_one_by_one)

BOOST_AUTO_TEST_CASE(at_a_route)
{
    world instance;
    send_one_by_one(instance, instance.route());
}

BOOST_AUTO_TEST_CASE(at_an_unknown_path)
{
    world instance;
    send_one_by_one(instance, instance.unknown_path());
}

BOOST_AUTO_TEST_CASE(at_readiness)
{
    world instance;
    send_one_by_one(instance, instance.readiness());
}

BOOST_AUTO_TEST_CASE(at_metrics)
{
    world instance;
    send_one_by_one(instance, instance.metrics());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::hostile::test
