#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"
#include "http/budget.h"
#include "http/request_parser.h"

/// HTTP/1.1 server on Boost.Asio with Boost.Beast's parser. One thread for all listeners.
namespace poplarshed::http {

/// Names one request of a server.
using exchange_id = number_id<struct exchange_id_tag>;

struct server_answer {
    int status = 200;
    std::string body;
    std::string_view content_type = "application/json";  ///< of static storage
    milliseconds retry_after{};                          ///< sent in whole seconds where above 0
    bool close = false;                                  ///< the connection is to be used no more
};

/// Why the server closed a connection on its own account.
enum class close_reason { memory, connections, head_timeout, slow_body, unread_answers };
inline constexpr std::size_t close_reason_count = 5;
std::string_view to_string(close_reason value);

/// Why the server refused a request, which has not run.
enum class request_refusal { memory, body_too_large, head_too_large, malformed };
inline constexpr std::size_t request_refusal_count = 4;
std::string_view to_string(request_refusal value);

/// Bounds on each connection.
struct connection_limits {
    request_limits request;
    milliseconds head_timeout{10'000};       ///< from the first byte of a head to its last
    std::size_t pipelined_requests = 16;     ///< read ahead on one connection
    std::size_t unsent_bytes = 256U << 10U;  ///< of answers that wait for the client to read
    std::size_t body_progress_bytes_per_s = 512;

    bool operator==(const connection_limits&) const = default;
};

/// Serves the requests of a listener. Called on the server's thread.
class request_handler {
public:
    virtual ~request_handler() = default;
    /// @param held keeps the bytes of the body in the server's budget until it is destroyed
    /// @returns the answer; nothing if server::respond() will give it later
    virtual std::optional<server_answer> on_request(exchange_id id, received_request request,
                                                    std::shared_ptr<void> held) = 0;
    /// The connection of a request that waits for its answer has closed.
    virtual void on_left(exchange_id id) = 0;
};

struct listener_options {
    std::string address;  ///< "ip:port"; port 0 takes a free one
    budget_limits share;  ///< what the clients of this listener may hold
    connection_limits limits;
    std::vector<std::string> kept_fields;  ///< names of the header fields that the handler gets
    request_handler* handler = nullptr;    ///< outlives the server
    bool answers_later = true;             ///< false if the handler answers every request at once
};

struct server_observer {
    /// Called on the server's thread. @param report a log line is due: the first one, and one each 10 s
    std::function<void(close_reason, bool report)> on_closed;
    std::function<void(request_refusal, bool report)> on_refused;
};

/// Clients that send or read slowly, hold much memory or many connections cost others nothing; see
/// docs/design/http-server.md.
class server {
public:
    explicit server(server_observer observer);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// Opens a listener. Before start(). @returns why it failed
    std::optional<error> listen(listener_options options);
    /// Starts the server's thread. Once.
    void start();
    /// Answers a request; does nothing if its connection has closed. Any thread.
    void respond(exchange_id id, server_answer answer);
    /// Requests that wait for respond(). Any thread.
    std::size_t waiting() const;
    /// False if the request is answered, or its connection is closed or reset. Asks the kernel, which knows
    /// this before the server's thread has read it. Any thread.
    bool is_connected(exchange_id id) const;
    /// Closes everything and ends the thread.
    void shutdown();
    /// Port of the listener that was opened as number `index`.
    std::uint16_t port(std::size_t index) const;

private:
    class engine;
    std::unique_ptr<engine> m_engine;
};

}  // namespace poplarshed::http
