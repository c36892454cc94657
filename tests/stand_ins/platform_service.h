#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "stand_ins/http_server.h"
#include "stand_ins/platform_store.h"

namespace poplarshed::stand_ins {

enum class outage_mode {
    off,
    refuse,  ///< the listener is closed and connections are dropped
    hang,    ///< calls are accepted and not answered; when the outage ends their connections are closed
};

/// Faults of the platform, switched at the control port.
struct platform_faults {
    outage_mode outage = outage_mode::off;
    std::chrono::milliseconds delay{1};  ///< before each answer; a write has taken effect before it
    std::chrono::milliseconds stale{0};  ///< reads of a key show the state of this long ago
    std::chrono::milliseconds list_lag{10'000};
    std::uint64_t lose_write_answers = 0;  ///< next writes whose answer is lost after they took effect
};

/// Calls served, by kind; a waiting watch counts as one.
enum class call_kind { read, write, watch, lease, list };

/// Counters of calls, with the highest count of one second.
class call_counters {
public:
    void count(call_kind kind, store_time now);
    void clear() { *this = {}; }
    json to_json() const;

private:
    static constexpr std::size_t kinds = 5;
    struct per_second {
        std::uint64_t total = 0;
        std::uint64_t this_second = 0;
        std::uint64_t peak = 0;
    };

    std::array<per_second, kinds> m_calls{};
    std::int64_t m_second = 0;
};

/// The platform's HTTP interface (docs/design.md 4.3) and its control interface.
class platform_service {
public:
    platform_service(net::io_context& io, platform_faults faults);

    std::uint16_t open(std::uint16_t port);
    /// Answers a call at the control port.
    http_response control(const http_request& request);
    /// Replaces the instance list, visible after the lag or at once.
    void set_instances(json instances, bool at_once);

private:
    using reply = std::optional<http_response>;

    net::awaitable<reply> handle(http_request request);
    net::awaitable<reply> watch(std::string target);
    net::awaitable<void> expire_leases();
    reply call(const http_request& request);
    reply call_key(const http_request& request, const std::string& key);
    reply call_lease(const http_request& request, std::string_view path);
    http_response read(const std::string& key) const;
    http_response list(std::string_view target) const;
    reply write(const http_request& request, const std::string& key);
    reply erase(const http_request& request, const std::string& key);
    reply write_answer(const write_result& result);
    json visible_instances();
    void set_faults(const json& fields);
    json status() const;

    net::io_context& m_io;
    platform_faults m_faults;
    platform_store m_store;
    call_counters m_counters;
    wake_list m_changed;
    std::shared_ptr<http_server> m_server;
    json m_instances = json::array();
    std::deque<std::pair<store_time, json>> m_later_instances;
};

}  // namespace poplarshed::stand_ins
