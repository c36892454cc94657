#include "http/server.h"

#include <poll.h>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>

namespace poplarshed::http::test {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t mib = std::size_t{1} << 20U;
constexpr seconds patience{20};

/// Keeps requests for the test to answer; those for /now are answered at once.
class recorder : public request_handler {
public:
    struct arrival {
        exchange_id id;
        received_request request;
    };

    std::optional<server_answer> on_request(exchange_id id, received_request request,
                                            std::shared_ptr<void>) override
    {
        if (request.path == "/now") {
            server_answer answer;
            answer.body = std::string(1000, 'n');
            return answer;
        }
        const std::scoped_lock lock(m_mutex);
        m_arrivals.push_back({id, std::move(request)});
        m_changed.notify_all();
        return std::nullopt;
    }

    void on_left(exchange_id id) override
    {
        const std::scoped_lock lock(m_mutex);
        m_left.push_back(id);
        m_changed.notify_all();
    }

    arrival arrived(std::size_t index)
    {
        std::unique_lock lock(m_mutex);
        BOOST_REQUIRE(m_changed.wait_for(lock, patience, [&] { return m_arrivals.size() > index; }));
        return m_arrivals[index];
    }

    std::vector<exchange_id> left(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        BOOST_REQUIRE(m_changed.wait_for(lock, patience, [&] { return m_left.size() >= count; }));
        return m_left;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<arrival> m_arrivals;
    std::vector<exchange_id> m_left;
};

/// A client that sends any bytes.
class raw_client {
public:
    explicit raw_client(std::uint16_t port)
        : m_io(std::make_unique<boost::asio::io_context>()), m_socket(*m_io)
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    /// @returns false if the server has closed the connection
    bool send(const std::string& text)
    {
        boost::system::error_code failed;
        boost::asio::write(m_socket, boost::asio::buffer(text), failed);
        return !failed;
    }

    /// Reads until `end` has come. @returns what came, with `end` missing if the connection ended before
    std::string read_until(const std::string& end)
    {
        while (m_text.find(end) == std::string::npos && read()) {
        }
        return m_text;
    }

    /// Reads up to the end of the connection.
    std::string read_all()
    {
        while (read()) {
        }
        return m_text;
    }

    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

private:
    bool read()
    {
        pollfd state{m_socket.native_handle(), POLLIN, 0};
        const auto limit = std::chrono::duration_cast<milliseconds>(patience).count();
        BOOST_REQUIRE(poll(&state, 1, static_cast<int>(limit)) == 1);
        std::array<char, 65'536> buffer{};
        boost::system::error_code failed;
        const std::size_t count = m_socket.read_some(boost::asio::buffer(buffer), failed);
        m_text.append(buffer.data(), count);
        return !failed;
    }

    std::unique_ptr<boost::asio::io_context> m_io;  ///< stays in place when the client moves
    tcp::socket m_socket;
    std::string m_text;
};

class fixture {
public:
    explicit fixture(budget_limits share = {}, connection_limits limits = {})
        : m_server(
              {[this](close_reason reason, bool) { ++m_closed.at(static_cast<std::size_t>(reason)); }, {}})
    {
        for (int i = 0; i < 2; ++i) {
            const auto failed =
                m_server.listen({"127.0.0.1:0", share, limits, {"Request-Id"}, &requests, true});
            BOOST_REQUIRE(!failed);
        }
        m_server.start();
    }

    raw_client client(std::size_t listener = 0) const { return raw_client(m_server.port(listener)); }

    void respond(exchange_id id, const std::string& body)
    {
        server_answer answer;
        answer.body = body;
        m_server.respond(id, answer);
    }

    std::size_t closed_for(close_reason reason) const
    {
        return m_closed.at(static_cast<std::size_t>(reason));
    }
    server& subject() { return m_server; }

    recorder requests;

private:
    std::array<std::atomic<std::size_t>, close_reason_count> m_closed{};
    server m_server;
};

std::string get(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a.example:80\r\n\r\n";
}

std::string post_head(std::size_t length)
{
    return "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

bool is_served(raw_client client)
{
    return client.send(get("/now")) && client.read_until("nnn").starts_with("HTTP/1.1 200");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(server_for_callers)

BOOST_AUTO_TEST_SUITE(a_well_behaved_client)

// Guards against requests that reach the core with parts missing, in whatever pieces they come.
BOOST_AUTO_TEST_CASE(is_read_whole_from_pieces)
{
    fixture f;
    raw_client client = f.client();
    std::string text =
        "POST /p/1?x=1 HTTP/1.1\r\nHost: a.example:80\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string body;
    for (int i = 0; i < 300; ++i) {
        text += "3\r\nabc\r\n";
        body += "abc";
    }
    text += "0\r\n\r\n";
    for (const char piece : text) {
        BOOST_REQUIRE(client.send({piece}));
    }
    const recorder::arrival arrival = f.requests.arrived(0);
    BOOST_TEST(arrival.request.method == "POST");
    BOOST_TEST(arrival.request.host == "a.example");
    BOOST_TEST(arrival.request.path == "/p/1");
    BOOST_TEST(arrival.request.fields.at(0) == "r");
    BOOST_TEST(arrival.request.body == body);
    f.respond(arrival.id, "done");
    BOOST_TEST(client.read_until("done").starts_with("HTTP/1.1 200 OK\r\n"));
}

// Guards against answers that a pipelining client takes for those of other requests.
BOOST_AUTO_TEST_CASE(gets_answers_in_the_order_of_its_requests)
{
    fixture f;
    raw_client client = f.client();
    BOOST_REQUIRE(client.send(get("/1") + get("/2") + get("/now")));
    const exchange_id first = f.requests.arrived(0).id;
    f.respond(f.requests.arrived(1).id, "second");
    f.respond(first, "first");
    const std::string text = client.read_until("nnn");
    BOOST_TEST(text.find("first") < text.find("second"));
    BOOST_TEST(text.find("second") < text.find("nnn"));
    BOOST_TEST(f.subject().waiting() == 0U);
}

// Guards against clients that wait for the permission to send their body, or for the end of the connection.
BOOST_AUTO_TEST_CASE(may_ask_before_its_body_and_close_after_it)
{
    fixture f;
    raw_client client = f.client();
    BOOST_REQUIRE(
        client.send("POST /now HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nConnection: close\r\n"
                    "Content-Length: 2\r\n\r\n"));
    BOOST_TEST(client.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    BOOST_REQUIRE(client.send("ab"));
    BOOST_TEST(client.read_all().find("Connection: close\r\n") != std::string::npos);
}

// Guards against jobs that go on for a caller that has gone.
BOOST_AUTO_TEST_CASE(is_reported_when_it_leaves)
{
    fixture f;
    raw_client client = f.client();
    BOOST_REQUIRE(client.send(get("/1") + get("/2")));
    const exchange_id second = f.requests.arrived(1).id;
    BOOST_TEST(f.subject().is_connected(second));
    client.reset();
    BOOST_TEST(f.requests.left(2).size() == 2U);
    BOOST_TEST(!f.subject().is_connected(second));
    BOOST_TEST(f.subject().waiting() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_over_the_limits)

// Guards against bodies that are read although they will be refused.
BOOST_AUTO_TEST_CASE(is_refused_with_a_reason_and_ends_the_connection)
{
    fixture f;
    const std::string chunked = "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string fields = "GET /now HTTP/1.1\r\n";
    for (int i = 0; i < 101; ++i) {
        fields += "a: b\r\n";
    }
    const std::vector<std::pair<std::string, std::string>> cases{
        {post_head(400 * mib), "413"},
        {chunked + "80000\r\n" + std::string(mib / 2, 'x') + "\r\n80001\r\n", "413"},
        {fields + "\r\n", "431"},
        {"GET /now HTTP/1.1\r\nA: " + std::string(40'000, 'a'), "431"},
        {chunked + "1;" + std::string(40'000, 'a'), "431"},
        {"nonsense\r\n\r\n", "400"},
    };
    for (const auto& [text, status] : cases) {
        raw_client client = f.client();
        client.send(text);
        const std::string answer = client.read_all();
        BOOST_TEST(answer.starts_with("HTTP/1.1 " + status), answer);
        BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
    }
    BOOST_TEST(f.subject().waiting() == 0U);
}

// Guards against a refusal that overtakes the answer to an earlier request of the connection.
BOOST_AUTO_TEST_CASE(is_refused_after_the_answers_before_it)
{
    fixture f;
    raw_client client = f.client();
    BOOST_REQUIRE(client.send(get("/1") + post_head(2 * mib)));
    f.respond(f.requests.arrived(0).id, "first");
    const std::string text = client.read_all();
    BOOST_TEST(text.find("first") < text.find("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_crowd)

// Guards against bodies that stop just short of their end and take the memory for ever.
BOOST_AUTO_TEST_CASE(of_unfinished_bodies_leaves_room_for_others)
{
    fixture f({4 * mib, 64, 512});
    std::vector<raw_client> crowd;
    for (int i = 0; i < 16; ++i) {
        crowd.push_back(f.client());
        // Part of the crowd is refused or closed while it sends.
        crowd.back().send(post_head(mib / 2) + std::string(mib / 2 - 1, 'x'));
        BOOST_TEST(is_served(f.client()));
    }
    BOOST_TEST(is_served(f.client()));
    // Large requests have room again once the stalled ones are closed.
    const time_point limit = steady_clock::now() + patience;
    std::string answer;
    while (!answer.starts_with("HTTP/1.1 200") && steady_clock::now() < limit) {
        raw_client client = f.client();
        client.send("POST /now HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
                    std::string(100'000, 'x'));
        answer = client.read_until("\r\n\r\n");
    }
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(f.closed_for(close_reason::memory) > 0U);
}

// Guards against clients that hold every connection with a head that never ends.
BOOST_AUTO_TEST_CASE(of_unfinished_heads_leaves_room_for_others)
{
    fixture f({4 * mib, 8, 512});
    std::vector<raw_client> crowd;
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(f.client());
        crowd.back().send("GET /now HTTP/1.1\r\nHost");
    }
    BOOST_TEST(is_served(f.client()));
    BOOST_TEST(f.closed_for(close_reason::connections) > 0U);
}

// Guards against a crowd at one listener that takes the connections of another.
BOOST_AUTO_TEST_CASE(at_one_listener_takes_nothing_of_another)
{
    fixture f({4 * mib, 4, 512});
    std::vector<raw_client> crowd;
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(f.client(0));
        // Waiting for an answer: none of these may be closed for another client.
        BOOST_REQUIRE(crowd.back().send(get("/1")));
        f.requests.arrived(static_cast<std::size_t>(i));
    }
    BOOST_TEST(is_served(f.client(1)));
}

// Guards against answers without a bound for clients that do not read them, and against a server that waits
// for such a client.
BOOST_AUTO_TEST_CASE(that_does_not_read_blocks_nobody)
{
    fixture f({4 * mib, 64, 512});
    std::string many;
    for (int i = 0; i < 400; ++i) {
        many += get("/now");
    }
    std::vector<raw_client> crowd;
    for (int i = 0; i < 8; ++i) {
        crowd.push_back(f.client());
        crowd.back().send(many);
    }
    BOOST_TEST(is_served(f.client()));
    for (raw_client& client : crowd) {
        BOOST_REQUIRE(client.send("GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
    }
    for (std::size_t i = 0; i < crowd.size(); ++i) {
        f.respond(f.requests.arrived(i).id, "last");
    }
    for (raw_client& client : crowd) {
        const std::string text = client.read_all();
        BOOST_TEST(text.size() > 400U * 1000U);
        BOOST_TEST(text.ends_with("last"));
    }
}

// Guards against incomplete heads that are kept for ever where connections are plenty.
BOOST_AUTO_TEST_CASE(that_is_slow_with_its_heads_is_closed)
{
    connection_limits limits;
    limits.head_timeout = milliseconds(50);
    fixture f({}, limits);
    raw_client client = f.client();
    BOOST_REQUIRE(client.send("GET /now HTTP/1.1\r\n"));
    BOOST_TEST(client.read_all().empty());
    BOOST_TEST(f.closed_for(close_reason::head_timeout) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_ends)

// Guards against answers that are given just before the end of the process and lost with their connections.
// Whether the server's thread has sent them by then differs from try to try.
BOOST_AUTO_TEST_CASE(sends_the_answers_that_were_given)
{
    constexpr int tries = 50;
    for (int i = 0; i < tries; ++i) {
        fixture f;
        raw_client client = f.client();
        BOOST_REQUIRE(client.send(get("/p")));
        const exchange_id id = f.requests.arrived(0).id;
        f.respond(id, "last");
        f.subject().shutdown();
        BOOST_TEST(client.read_all().ends_with("last"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::http::test
