#pragma once

#include <future>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/leased_workers.h"

namespace poplarshed::stand_ins {

/// An operator's configuration with one route of the service "desk" for each prefix.
json desk_configuration(std::uint64_t version, const std::vector<std::string>& prefixes);

/// The users' platform on loopback: its store, and workers of one data centre, on a thread of their own.
/// Every call may come from any thread.
class users_platform {
public:
    explicit users_platform(std::size_t workers);
    ~users_platform();
    users_platform(const users_platform&) = delete;
    users_platform& operator=(const users_platform&) = delete;

    /// Address of the store.
    std::string store_address() const { return "127.0.0.1:" + std::to_string(m_store.port()); }
    /// Writes an item as the operator does.
    void put(const std::string& key, const json& value);
    /// While down, the store closes connections unanswered.
    void set_store_down(bool down);
    std::size_t running();
    std::size_t starts();
    /// Tasks that had two runs at work at one time.
    std::vector<std::string> overlaps();

private:
    net::awaitable<void> advance();

    /// Calls on the platform's thread. @returns what the call returns
    template <class Call>
    auto on_thread(Call call)
    {
        return net::post(m_io, net::use_future(std::move(call))).get();
    }

    net::io_context m_io{1};
    net::executor_work_guard<net::io_context::executor_type> m_work;
    leased_store m_store;
    leased_workers m_workers;
    std::jthread m_thread;
};

}  // namespace poplarshed::stand_ins
