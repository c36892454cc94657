#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "common/common.h"
#include "telemetry/telemetry.h"

namespace poplarshed::instance {

/// A log line on its way to the writer's thread.
struct log_line {
    severity level = severity::info;
    telemetry::category part = telemetry::category::process;
    std::string message;
    std::string job;  ///< id of the request; empty for lines about the process
    std::vector<std::pair<std::string_view, std::variant<std::int64_t, std::string>>> fields;
};

/// Structured log lines, written by a thread of its own so that the core never waits for the output. Lines
/// beyond the bound are dropped and counted; those of failures have a reserve.
class decision_log {
public:
    decision_log(const telemetry::log_options& options, bool decisions);
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    /// A decision about a request.
    /// @param routine it explains no failure; such lines are the first to be dropped under load
    void decision(time_point now, log_line line, bool routine = true);
    /// A failed request, or a change of what the process believes.
    void event(log_line line);
    /// Lines dropped since the last call.
    std::uint64_t take_dropped() { return m_dropped.exchange(0); }

private:
    void run();
    void write(const log_line& line);

    bool m_decisions;
    std::unique_ptr<telemetry::logger> m_logger;
    std::atomic<std::uint64_t> m_dropped{0};
    time_point m_window;
    std::size_t m_in_window = 0;
    bounded_ring<log_line> m_lines;
    std::jthread m_thread;
};

}  // namespace poplarshed::instance
