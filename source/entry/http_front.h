#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "entry/answer_text.h"
#include "entry/events.h"
#include "entry/job_parser.h"

namespace poplarshed::entry {

/// Settings of the HTTP listener.
struct http_options {
    std::string address;  ///< "ip:port"; port 0 lets the kernel choose
    int threads = 2;
    job_limits limits;
    std::string operator_token;  ///< empty: the operator interface is closed
};

/// The HTTP interface for callers and operators. Its threads parse requests and hand them to the core thread;
/// any thread may answer.
class http_front {
public:
    /// Text of GET /metrics; called on a listener thread.
    using metrics_source = std::function<std::string()>;
    /// Told of every refusal that never reaches the core thread; called on a listener thread.
    using refusal_counter = std::function<void(refusal_reason)>;

    http_front(http_options options, core_inbox& inbox, metrics_source metrics, refusal_counter count);
    http_front(const http_front&) = delete;
    http_front& operator=(const http_front&) = delete;
    ~http_front();

    /// Starts to listen. @returns the address in use, or why it failed
    result<endpoint> listen();
    /// Stops listening. Requests without an answer lose their connection.
    void shutdown();

    /// Answers a request. Any thread; the second answer to a request is ignored.
    void respond(jobs::caller_id caller, const http_answer& answer);
    /// What GET /readyz says.
    void set_ready(bool ready);
    /// Requests that wait for an answer.
    std::size_t waiting() const;

private:
    class handler;
    class writer_table;

    http_options m_options;
    std::shared_ptr<handler> m_handler;
    std::shared_ptr<writer_table> m_writers;
    class server;
    std::unique_ptr<server> m_server;
};

}  // namespace poplarshed::entry
