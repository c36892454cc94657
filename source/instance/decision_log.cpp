#include "instance/decision_log.h"

#include <iostream>

namespace poplarshed::instance {

namespace {

constexpr std::size_t capacity = 4096;
// Kept free for events; decisions are dropped earlier.
constexpr std::size_t reserve = 1024;
// A line costs about 10 us; this bounds the cost to 2% of a core.
constexpr std::size_t decisions_per_second = 2000;
constexpr milliseconds idle_wait{500};

}  // namespace

decision_log::decision_log(const telemetry::log_options& options, bool decisions)
    : m_decisions(decisions), m_lines(capacity)
{
    auto opened = telemetry::logger::open(options);
    if (opened) {
        m_logger = std::move(opened).value();
    } else {
        std::cerr << "log: " << opened.error().message << '\n';
    }
    m_thread = std::jthread([this] { run(); });
}

decision_log::~decision_log()
{
    m_lines.close();
    m_thread.join();
}

void decision_log::decision(time_point now, log_line line, bool routine)
{
    if (!routine) {
        event(std::move(line));
        return;
    }
    if (!m_decisions) {
        return;
    }
    if (now > m_window + seconds(1)) {
        m_window = now;
        m_in_window = 0;
    }
    if (++m_in_window > decisions_per_second || m_lines.size() > capacity - reserve) {
        ++m_dropped;
        return;
    }
    event(std::move(line));
}

void decision_log::event(log_line line)
{
    if (!m_lines.try_push(std::move(line))) {
        ++m_dropped;
    }
}

void decision_log::run()
{
    std::vector<log_line> batch;
    bool open = true;
    while (open) {
        m_lines.drain_until(steady_clock::now() + idle_wait, batch);
        open = !batch.empty() || m_lines.is_open();
        for (const log_line& line : batch) {
            write(line);
        }
    }
}

void decision_log::write(const log_line& line)
{
    if (m_logger == nullptr) {
        return;
    }
    std::vector<telemetry::log_field> fields;
    for (const auto& [key, value] : line.fields) {
        std::visit([&fields, name = key](const auto& item) { fields.emplace_back(name, item); }, value);
    }
    m_logger->write(line.level, line.part, line.message, fields, submission_id(line.job));
}

}  // namespace poplarshed::instance
