#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "http/http.h"
#include "stand_ins/http_server.h"

using namespace poplarshed;
using namespace poplarshed::http;

namespace {

/// A server on a thread of its own that keeps the requests which reach it, and a client.
class fixture {
public:
    fixture() : m_work(stand_ins::net::make_work_guard(m_io))
    {
        m_server = std::make_shared<stand_ins::http_server>(
            m_io,
            [this](stand_ins::http_request request)
                -> stand_ins::net::awaitable<std::optional<stand_ins::http_response>> {
                m_has_other = m_has_other || request.find("X-Other") != request.end();
                ++m_requests;
                co_return stand_ins::json_response({});
            });
        m_address = "127.0.0.1:" + std::to_string(m_server->open(0));
        m_thread = std::jthread([this] { m_io.run(); });
    }

    ~fixture()
    {
        m_io.stop();
        m_thread.join();
    }

    response call(request wanted)
    {
        std::promise<response> done;
        auto ended = done.get_future();
        client caller({}, [&done](call_id, response answer) { done.set_value(std::move(answer)); });
        const bool started = caller.start(call_id(1), std::move(wanted));
        BOOST_REQUIRE(started);
        BOOST_REQUIRE((ended.wait_for(seconds(10)) == std::future_status::ready));
        return ended.get();
    }

    request good() const
    {
        request wanted;
        wanted.host = endpoint(m_address);
        wanted.target = "/x?y=1";
        wanted.headers = {{"X-Name", "a"}};
        return wanted;
    }

    const std::string& address() const { return m_address; }
    int requests() const { return m_requests; }
    bool has_other() const { return m_has_other; }

private:
    stand_ins::net::io_context m_io;
    stand_ins::net::executor_work_guard<stand_ins::net::io_context::executor_type> m_work;
    std::shared_ptr<stand_ins::http_server> m_server;
    std::string m_address;
    std::atomic<int> m_requests = 0;
    std::atomic<bool> m_has_other = false;
    std::jthread m_thread;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_client)

BOOST_AUTO_TEST_SUITE(when_texts_of_others_go_into_a_request)

// Guards against a worker's id that adds a header, and an address that names another host, user or path.
BOOST_FIXTURE_TEST_CASE(they_cannot_add_to_it, fixture)
{
    BOOST_TEST(call(good()).status == 200);
    BOOST_TEST(requests() == 1);
    std::vector<request> odd(7, good());
    odd[0].headers = {{"X-Name", "a\r\nX-Other: 1"}};
    odd[1].headers = {{"X-Name\r\nX-Other", "1"}};
    odd[2].host = endpoint("a@" + address());
    odd[3].host = endpoint(address() + "/x?");
    odd[4].host = endpoint(address() + " ");
    odd[5].target = "x";
    odd[6].target = "/x HTTP/1.1\r\nX-Other: 1\r\n";
    for (const request& wanted : odd) {
        const response answer = call(wanted);
        BOOST_TEST((answer.outcome == outcome_kind::not_sent), wanted.host.value() + wanted.target);
        BOOST_TEST(!answer.written);
    }
    BOOST_TEST(requests() == 1);
    BOOST_TEST(!has_other());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_no_process_listens_at_an_address)

// Guards against a refused connection being taken for silence.
BOOST_FIXTURE_TEST_CASE(the_call_is_refused, fixture)
{
    request wanted = good();
    {
        stand_ins::net::io_context io;
        stand_ins::net::ip::tcp::acceptor listener(io, {stand_ins::net::ip::address_v4::loopback(), 0});
        wanted.host = endpoint("127.0.0.1:" + std::to_string(listener.local_endpoint().port()));
    }
    const response answer = call(wanted);
    BOOST_TEST((answer.outcome == outcome_kind::not_sent));
    BOOST_TEST(answer.refused);
    BOOST_TEST(!call(good()).refused);
}

// Guards against a listener that accepts and says nothing being taken for a process that has ended.
BOOST_FIXTURE_TEST_CASE(a_silent_server_does_not_refuse, fixture)
{
    stand_ins::net::io_context io;
    stand_ins::net::ip::tcp::acceptor listener(io, {stand_ins::net::ip::address_v4::loopback(), 0});
    request wanted = good();
    wanted.host = endpoint("127.0.0.1:" + std::to_string(listener.local_endpoint().port()));
    wanted.timeout = milliseconds(100);
    const response answer = call(wanted);
    BOOST_TEST((answer.outcome == outcome_kind::timed_out));
    BOOST_TEST(!answer.refused);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
