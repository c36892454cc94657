#include <boost/test/unit_test.hpp>

#include "common/common.h"

using namespace poplarshed;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(timer_service_story)

// Guards against a process that was paused and then runs every missed period in a burst.
BOOST_AUTO_TEST_CASE(a_late_run_calls_a_periodic_subscriber_once)
{
    timer_service timers;
    int calls = 0;
    timers.every(10ms, time_point{} + 10ms, [&](time_point) { ++calls; });
    timers.run(time_point{} + 1s);
    BOOST_TEST(calls == 1);
    BOOST_TEST((timers.next() == time_point{} + 1010ms));
}

// Guards against waits that end at once or never, because the two clocks of a machine differ by the time that
// it was suspended.
BOOST_AUTO_TEST_CASE(a_boot_time_is_converted_to_the_clock_of_waits)
{
    const time_point wait_until = steady_time_of(boot_time_now() + 1h);
    BOOST_TEST((wait_until > steady_clock::now() + 59min));
    BOOST_TEST((wait_until < steady_clock::now() + 61min));
    BOOST_TEST((steady_time_of(time_point::max()) == time_point::max()));
}

// Guards against a callback that runs after its subscriber went away.
BOOST_AUTO_TEST_CASE(a_cancelled_subscription_is_not_called)
{
    timer_service timers;
    int calls = 0;
    const auto second = timers.at(time_point{} + 2ms, [&](time_point) { ++calls; });
    timers.at(time_point{} + 1ms, [&](time_point) { timers.cancel(second); });
    timers.run(time_point{} + 5ms);
    BOOST_TEST(calls == 0);
    BOOST_TEST((timers.next() == time_point::max()));
}

BOOST_AUTO_TEST_SUITE_END()
