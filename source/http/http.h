#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/common.h"

/// HTTP/1.1 client on libcurl's multi interface.
namespace poplarshed::http {

/// Names one call of a client; unique among the calls in flight.
using call_id = number_id<struct call_id_tag>;

enum class method { get, post, remove };

using header = std::pair<std::string, std::string>;

struct request {
    http::method method = http::method::get;
    endpoint host;
    std::string target;  ///< path and query
    std::vector<header> headers;
    std::string body;
    milliseconds timeout{1000};  ///< of the whole call, connecting included

    bool operator==(const request&) const = default;
};

enum class outcome_kind {
    answered,
    not_sent,   ///< no byte was written: connection refused, or not made in time
    timed_out,  ///< written, and no whole answer in time
    lost,       ///< written, and the connection ended without a whole answer
    too_large,  ///< the answer is longer than the limit
    abandoned,
};

/// Result of a call. Unless `written` is false, the server may have acted on the request.
struct response {
    outcome_kind outcome = outcome_kind::not_sent;
    bool written = false;         ///< at least one byte of the request was written
    bool refused = false;         ///< the last connection was refused, by the host or by a network in between
    int status = 0;               ///< where answered
    std::vector<header> headers;  ///< names in lower case; empty unless the client keeps headers
    std::string body;
    std::string detail;  ///< cause of a failure, for logs

    bool answered() const { return outcome == outcome_kind::answered; }
};

struct client_options {
    std::size_t connections_per_host = 10;
    std::size_t queue_capacity = 65'536;  ///< commands that wait for the client's thread
    std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
    milliseconds connect_timeout{250};
    bool keep_headers = false;
};

/// Sends requests and never sends one twice. Runs one thread of its own.
class client {
public:
    /// Called on the client's thread, once for each accepted call.
    using handler = std::function<void(call_id, response)>;

    client(client_options options, handler on_response);
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    /// Ends the thread. Calls in flight get no response.
    ~client();

    /// Queues a call. Any thread. A host, target or header with characters that would change the request is
    /// not sent. @returns false if the queue is full; nothing was sent
    bool start(call_id id, request call);
    /// Closes a call's connection; its outcome is `abandoned`. Any thread. @returns false if the queue is
    /// full
    bool abandon(call_id id);

private:
    class loop;
    std::unique_ptr<loop> m_loop;
};

}  // namespace poplarshed::http
