#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/http_server.h"

namespace poplarshed::stand_ins {

/// The users' platform on loopback: its store, and workers that run tasks under leases. A task runs for as
/// many milliseconds as the job's spec says. Runs on a thread of its own; every call may come from any
/// thread.
class users_platform {
public:
    explicit users_platform(std::size_t workers);
    ~users_platform();
    users_platform(const users_platform&) = delete;
    users_platform& operator=(const users_platform&) = delete;

    /// Address of the store.
    std::string store_address() const;
    /// Writes an item as the operator does.
    void put(const std::string& key, const json& value);
    /// While down, the store closes connections unanswered.
    void set_store_down(bool down);
    /// What runs, and whether two runs of one task were ever at work at one time.
    std::size_t running() const;
    std::size_t starts() const;
    std::vector<std::string> overlaps() const;

private:
    struct item {
        std::string value;  ///< base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct event {
        std::uint64_t revision = 0;
        std::string key;
        bool removed = false;
        item content;
    };

    struct run {
        std::uint64_t number = 0;
        std::chrono::steady_clock::time_point ends_at;
    };

    struct worker {
        std::shared_ptr<http_server> server;
        std::unique_ptr<wake_list> ended;
        std::uint64_t token = 0;
        std::chrono::steady_clock::time_point lease_until;
        std::map<std::string, run> runs;
        std::map<std::string, std::uint64_t> closed;
        std::vector<json> ends;
        std::uint64_t last_end = 0;
    };

    net::awaitable<std::optional<http_response>> handle_store(http_request request);
    net::awaitable<std::optional<http_response>> handle_worker(std::size_t index, http_request request);
    http_response range(std::string_view target) const;
    net::awaitable<http_response> watch(std::string target);
    http_response transaction(const json& body);
    void write(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove(const std::string& key);
    net::awaitable<void> advance();
    void end(worker& on, const std::string& task, const std::string& how);
    json start(worker& on, const json& body, http::status& status);
    void announce(std::size_t index);

    mutable std::mutex m_mutex;
    net::io_context m_io{1};
    net::executor_work_guard<net::io_context::executor_type> m_work;
    wake_list m_changed{m_io};
    std::shared_ptr<http_server> m_store;
    bool m_down = false;
    std::uint64_t m_revision = 1;
    std::map<std::string, item> m_items;
    std::vector<event> m_history;
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> m_leases;
    std::map<std::uint64_t, std::chrono::milliseconds> m_ttls;
    std::uint64_t m_last_lease = 0;
    std::vector<worker> m_workers;
    std::size_t m_starts = 0;
    std::vector<std::string> m_overlaps;
    std::jthread m_thread;
};

}  // namespace poplarshed::stand_ins
