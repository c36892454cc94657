#include "http/budget.h"

#include <boost/test/unit_test.hpp>

namespace poplarshed::http::test {

namespace {

constexpr std::size_t mib = std::size_t{1} << 20U;

/// Connections 1 to `count` of a budget of 8 MiB, in virtual time.
struct fixture {
    explicit fixture(std::uint64_t count = 8)
    {
        for (std::uint64_t i = 1; i <= count; ++i) {
            clients.open(connection_id(i), now);
        }
    }

    void hold_large(std::uint64_t id, std::size_t bytes)
    {
        BOOST_REQUIRE(clients.try_make_large(connection_id(id)));
        clients.set_held(connection_id(id), bytes);
    }

    time_point now = time_point() + seconds(100);
    budget clients{{8 * mib, 8, 512}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(budget_of_clients)

BOOST_AUTO_TEST_SUITE(when_memory_runs_short)

// Guards against large bodies that take the memory which small requests need.
BOOST_AUTO_TEST_CASE(new_large_requests_are_refused_first)
{
    fixture f;
    f.hold_large(1, 5 * mib);
    BOOST_TEST(f.clients.try_make_large(connection_id(2)));
    f.clients.set_held(connection_id(2), 1 * mib);
    BOOST_TEST(!f.clients.try_make_large(connection_id(3)));
    BOOST_TEST(f.clients.accepts_new());
    BOOST_TEST(f.clients.may_receive(connection_id(3)));
    f.clients.set_handed_over(2 * mib);
    BOOST_TEST(f.clients.accepts_new());
    f.clients.set_handed_over(5 * mib);
    BOOST_TEST(!f.clients.accepts_new());
}

// Guards against large requests that all wait for each other's memory: none would ever end.
BOOST_AUTO_TEST_CASE(the_oldest_large_request_goes_on)
{
    fixture f;
    f.hold_large(1, 1 * mib);
    f.hold_large(2, 4 * mib);
    f.clients.set_held(connection_id(2), 6 * mib);
    BOOST_TEST(f.clients.under_pressure());
    BOOST_TEST(f.clients.may_receive(connection_id(1)));
    BOOST_TEST(!f.clients.may_receive(connection_id(2)));
    BOOST_TEST(f.clients.may_receive(connection_id(3)));
    f.clients.close(connection_id(1));
    BOOST_TEST(f.clients.may_receive(connection_id(2)));
}

// Guards against a crowd of small requests that uses up the memory on its own.
BOOST_AUTO_TEST_CASE(small_requests_of_all_connections_take_half_at_most)
{
    for (const std::size_t connections : {std::size_t{8}, std::size_t{512}, std::size_t{2048}}) {
        const budget clients({16 * mib, connections, 512});
        BOOST_TEST(clients.small_request_bytes() * connections <= 8 * mib);
    }
}

// Guards against bytes that stay counted after their connection has gone.
BOOST_AUTO_TEST_CASE(a_closed_connection_gives_back_what_it_held)
{
    fixture f(0);
    f.clients.open(connection_id(1), f.now);
    f.hold_large(1, 3 * mib);
    f.clients.close(connection_id(1));
    f.clients.close(connection_id(1));
    BOOST_TEST(f.clients.used() == 0U);
    BOOST_TEST(f.clients.connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_connection_must_be_closed)

// Guards against a victim that costs the crowd nothing.
BOOST_AUTO_TEST_CASE(it_is_the_one_that_held_most_for_the_longest)
{
    fixture f(3);
    f.clients.set_held(connection_id(1), 1 * mib);
    f.clients.set_held(connection_id(2), 2 * mib);
    f.now += seconds(10);
    f.clients.restart(connection_id(2), f.now);
    f.now += seconds(2);
    BOOST_TEST((f.clients.memory_victim(f.now) == connection_id(1)));
    f.clients.close(connection_id(1));
    BOOST_TEST((f.clients.memory_victim(f.now) == connection_id(2)));
    f.clients.close(connection_id(2));
    // An idle connection holds no memory, but it holds a place.
    BOOST_TEST(!f.clients.memory_victim(f.now).has_value());
    BOOST_TEST((f.clients.connection_victim(f.now) == connection_id(3)));
}

// Guards against the loss of a request that is within the limits and makes progress.
BOOST_AUTO_TEST_CASE(it_is_none_that_makes_progress_or_waits_for_the_server)
{
    fixture f(2);
    f.clients.set_held(connection_id(1), 1 * mib);
    f.clients.set_held(connection_id(2), 1 * mib);
    f.clients.set_owed(connection_id(2), true, f.now);
    for (int i = 0; i < 100; ++i) {
        f.now += milliseconds(100);
        f.clients.on_moved(connection_id(1), 60, f.now);
        BOOST_TEST(!f.clients.connection_victim(f.now).has_value());
    }
    // Once the answer is there, its time begins anew.
    f.clients.set_owed(connection_id(2), false, f.now);
    BOOST_TEST(!f.clients.connection_victim(f.now).has_value());
    f.now += budget::stall_time;
    f.clients.on_moved(connection_id(1), 600, f.now);
    BOOST_TEST((f.clients.connection_victim(f.now) == connection_id(2)));
}

// Guards against a client that keeps its place with a byte now and then.
BOOST_AUTO_TEST_CASE(it_may_be_one_that_moves_less_than_the_least_rate)
{
    fixture f(1);
    for (int i = 0; i < 20; ++i) {
        f.now += milliseconds(100);
        f.clients.on_moved(connection_id(1), 1, f.now);
    }
    BOOST_TEST((f.clients.connection_victim(f.now) == connection_id(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::http::test
