#include "ctl/evacuations.h"

#include <boost/test/unit_test.hpp>

using namespace poplarshed::ctl;

BOOST_AUTO_TEST_SUITE(evacuations)

// Guards against an order that operators take for in force, or over, at an instance where it is not.
BOOST_AUTO_TEST_CASE(each_data_centre_is_read_with_its_figures)
{
    const auto found = read_evacuations(
        "# TYPE poplarshed_data_centre_evacuated gauge\n"
        "poplarshed_data_centre_evacuated{data_centre=\"adur\"} 0\n"
        "poplarshed_data_centre_evacuated{data_centre=\"ollur\"} 1\n"
        "poplarshed_evacuated_runs{data_centre=\"ollur\"} 7\n"
        "poplarshed_evacuation_seconds{data_centre=\"ollur\"} 2.5\n");
    const std::vector<evacuation_state> expected{{"adur", false, 0, 0}, {"ollur", true, 2.5, 7}};
    BOOST_TEST((found == expected));
}

// Guards against a crash of the command on metrics that it does not know.
BOOST_AUTO_TEST_CASE(what_cannot_be_read_is_left_out)
{
    BOOST_TEST(read_evacuations("").empty());
    BOOST_TEST(read_evacuations("poplarshed_data_centre_evacuated{data_centre=\"} 1").empty());
    BOOST_TEST(
        read_evacuations("poplarshed_ready 1\npoplarshed_evacuated_runs{data_centre=\"a\"} x\n").empty());
}

BOOST_AUTO_TEST_SUITE_END()
