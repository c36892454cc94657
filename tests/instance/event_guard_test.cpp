#include <boost/test/unit_test.hpp>
#include <stdexcept>

#include "instance/event_guard.h"

namespace poplarshed::instance::test {

BOOST_AUTO_TEST_SUITE(handlers_of_events)

// Guards against one message whose handler fails and that takes the whole process down.
BOOST_AUTO_TEST_CASE(an_exception_costs_one_event)
{
    int handled = 0;
    const auto handler = [&handled](int event) {
        if (event == 2) {
            throw std::out_of_range("no such task");
        }
        ++handled;
    };
    std::vector<std::string> failures;
    for (int event = 1; event <= 3; ++event) {
        if (auto failed = failure_of([&] { handler(event); })) {
            failures.push_back(std::move(*failed));
        }
    }
    BOOST_TEST(handled == 2);
    BOOST_TEST((failures == std::vector<std::string>{"no such task"}));
}

// Guards against a counter that names another kind of event.
BOOST_AUTO_TEST_CASE(each_event_has_its_name)
{
    BOOST_TEST(name_of(core_event(request_arrived{})) == "request");
    BOOST_TEST(name_of(core_event(peer_message{})) == "peer_message");
    BOOST_TEST(name_of(core_event(call_ended{})) == "call_ended");
    BOOST_TEST(name_of(core_event(signal_received{})) == "signal");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
