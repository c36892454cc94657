#include <boost/test/unit_test.hpp>
#include <future>

#include "instance/instance.h"
#include "integration/harness/reserved_port.h"

namespace poplarshed::instance::test {

BOOST_AUTO_TEST_SUITE(listeners_for_callers)

// Guards against requests without an answer that arrive between the last turn of the core thread and the end
// of the process. Found by a hunted day of restarts on crs-endcap.
BOOST_AUTO_TEST_CASE(after_the_last_turn_requests_are_refused_at_once)
{
    integration::reserved_port port;
    core_inbox inbox(16);
    front_options options;
    options.address = port.address();
    caller_front front(options, inbox, [] { return std::string(); });
    BOOST_REQUIRE(!front.listen());
    front.refuse_new({503, R"({"reason":"draining"})", milliseconds(100)});
    std::promise<http::response> done;
    http::client caller({},
                        [&done](http::call_id, http::response answer) { done.set_value(std::move(answer)); });
    http::request request;
    request.host = endpoint(port.address());
    request.target = "/p/0000000000000001";
    BOOST_REQUIRE(caller.start(http::call_id(1), request));
    auto ended = done.get_future();
    BOOST_REQUIRE((ended.wait_for(seconds(10)) == std::future_status::ready));
    const http::response answer = ended.get();
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.body.find("draining") != std::string::npos);
    std::vector<core_event> batch;
    inbox.drain(batch);
    BOOST_TEST(batch.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
