#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "http/server.h"
#include "instance/events.h"

namespace poplarshed::instance {

struct front_options {
    std::string address;          ///< "ip:port" for callers
    std::string ready_address;    ///< "ip:port" for readiness; empty: not served
    std::string metrics_address;  ///< "ip:port" for metrics; empty: not served
    std::string ready_path = "/readyz";
    std::string time_limit_header;
    std::string request_id_header = "Request-Id";
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    http::budget_limits share;  ///< what callers may hold; readiness and metrics have shares of their own
    http::connection_limits limits;  ///< of each connection; max_body_bytes replaces the bound on its bodies
    http::server_observer observer;  ///< told of connections closed and requests refused; any listener
};

/// HTTP listeners. A thread of theirs hands requests to the core thread; any thread may answer.
class caller_front {
public:
    using metrics_source = std::function<std::string()>;

    caller_front(front_options options, core_inbox& inbox, metrics_source metrics);
    caller_front(const caller_front&) = delete;
    caller_front& operator=(const caller_front&) = delete;
    ~caller_front();

    /// @returns why a listener failed; the metrics listener may fail without effect
    std::optional<error> listen();
    /// Answers a request. @param close the connection is to be used no more
    void respond(routing::caller_id caller, const caller_answer& answer, bool close);
    void set_ready(bool ready);
    /// Answers every request that arrives from now on without the core thread, and closes its connection.
    void refuse_new(const caller_answer& answer);
    std::size_t waiting() const;
    /// False if the request is answered, or its connection is closed or reset. Asks the kernel, which knows
    /// this before the listener's thread has read it. Any thread.
    bool is_connected(routing::caller_id caller) const;
    void shutdown();

private:
    class caller_handler;
    class control_handler;

    http::listener_options caller_listener() const;
    /// Of readiness or of metrics.
    http::listener_options control_listener(const std::string& address) const;

    front_options m_options;
    std::unique_ptr<caller_handler> m_callers;
    std::unique_ptr<control_handler> m_control;
    http::server m_server;  ///< last: its thread ends before what its handlers use
};

}  // namespace poplarshed::instance
