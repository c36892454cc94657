#include <boost/test/unit_test.hpp>

#include "hostile/world.h"

namespace poplarshed::hostile::test {

namespace {

constexpr std::size_t members = 8;
constexpr std::size_t requests = 50'000;

void unread_answers(world& instance, const target& to)
{
    instance.withstands(to, members, {.bytes = pipelined_gets(to, requests), .reads = false});
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::hostile::test
