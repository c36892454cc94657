#include <utility>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

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

// Guards against tasks that start for a caller whose connection has broken: it sends the job again through
// another instance at once, and the tasks run twice at one time.
BOOST_AUTO_TEST_CASE(a_caller_is_connected_until_its_connection_ends)
{
    integration::reserved_port port;
    core_inbox inbox(16);
    front_options options;
    options.address = port.address();
    caller_front front(options, inbox, [] { return std::string(); });
    BOOST_REQUIRE(!front.listen());
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    const auto colon = options.address.find(':');
    socket.connect({boost::asio::ip::address_v4::loopback(),
                    static_cast<std::uint16_t>(std::stoul(options.address.substr(colon + 1)))});
    boost::asio::write(
        socket, boost::asio::buffer(std::string("GET /p/0000000000000001 HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::vector<core_event> batch;
    inbox.drain_until(steady_clock::now() + seconds(10), batch);
    BOOST_REQUIRE_EQUAL(batch.size(), 1U);
    const routing::caller_id caller = std::get<request_arrived>(batch[0]).caller;
    BOOST_TEST(front.is_connected(caller));
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
    const time_point limit = steady_clock::now() + seconds(10);
    while (front.is_connected(caller) && steady_clock::now() < limit) {
        std::this_thread::yield();
    }
    BOOST_TEST(!front.is_connected(caller));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::instance::test
