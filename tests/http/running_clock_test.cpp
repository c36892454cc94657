#include "http/running_clock.h"

#include <boost/test/unit_test.hpp>

namespace poplarshed::http::test {

BOOST_AUTO_TEST_SUITE(clock_of_the_server)

// Guards against time limits that never pass.
BOOST_AUTO_TEST_CASE(moves_with_the_steady_clock)
{
    running_clock clock;
    const time_point start = clock.at(time_point(seconds(100)));
    BOOST_TEST((clock.at(time_point(seconds(100)) + milliseconds(100)) == start + milliseconds(100)));
    BOOST_TEST((clock.at(time_point(seconds(100)) + milliseconds(600)) == start + milliseconds(600)));
}

// Guards against clients that are closed after a pause of the process because their bytes were not read in
// it.
BOOST_AUTO_TEST_CASE(stands_still_while_the_process_does)
{
    running_clock clock;
    const time_point start = clock.at(time_point(seconds(100)));
    BOOST_TEST((clock.at(time_point(seconds(120))) == start));
    BOOST_TEST((clock.at(time_point(seconds(120)) + milliseconds(100)) == start + milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::http::test
