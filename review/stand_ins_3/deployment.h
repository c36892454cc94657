#pragma once

// A small deployment of poplarshed-instance on loopback with the project's stand-ins of the users' platform:
// its store and its workers. Used by the scripts of review/11 to review/15.

#include <sys/types.h>

#include <chrono>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/leased_store.h"
#include "stand_ins/leased_workers.h"

namespace poplarshed::review {

using stand_ins::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Bounds of a small site (sites/crs-endcap.toml and its sheet in SYSTEM.md).
inline constexpr milliseconds cancel_bound{3000};      // cancel_ms
inline constexpr milliseconds contact_time{3000};      // contact_ms
inline constexpr milliseconds heartbeat{1500};         // heartbeat_ms
inline constexpr int grace_ms = 6000;                  // grace_s
inline constexpr std::size_t memory_mb = 260;          // limits.memory_mb

/// Writes lines with their time to record.txt and to standard output.
class record {
public:
    explicit record(const std::string& file);
    void line(const std::string& text);
    double seconds() const;

private:
    clock::time_point m_begin = clock::now();
    std::ofstream m_file;
    std::mutex m_mutex;
};

struct answer {
    int status = 0;  ///< 0: the connection ended without a complete answer
    std::string body;
    clock::time_point at;
};

/// An open connection of a caller, on which it sends one request after the other.
class open_connection {
public:
    explicit open_connection(int port);
    ~open_connection();
    open_connection(const open_connection&) = delete;
    open_connection& operator=(const open_connection&) = delete;
    /// Sends a request and waits for its answer.
    answer call(const std::string& method, const std::string& path, const std::string& body, milliseconds wait);

private:
    int m_socket = -1;
};

/// A request of a caller on a connection of its own.
class request {
public:
    request(int port, const std::string& method, const std::string& path, const std::string& body,
            milliseconds wait);
    ~request();
    request(const request&) = delete;
    request& operator=(const request&) = delete;
    /// Waits for the answer, at most for the time that the caller waits.
    answer finish();

private:
    int m_socket = -1;
    std::promise<answer> m_promise;
    std::future<answer> m_answer;
    std::jthread m_reader;
};

/// Free ports on the loopback address of this run, all different.
std::vector<int> free_ports(std::size_t count);
/// Address of such a port, as ip:port.
std::string loopback(int port);

class deployment {
public:
    deployment(record& out, std::size_t instances, std::size_t workers);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Waits until every instance says that it is ready. @returns false if one does not
    bool wait_ready(milliseconds limit);
    int callers_port(std::size_t index) const { return m_instances.at(index).callers; }
    pid_t pid(std::size_t index) const { return m_instances.at(index).process; }
    /// Bytes in memory of an instance; 0 if it does not run.
    std::size_t resident(std::size_t index) const;
    /// Kills an instance, as the platform does above its memory, and starts it again a short time later.
    void kill_and_restart(std::size_t index);
    bool is_ready(std::size_t index) const;
    std::vector<stand_ins::observed_start> starts();
    std::size_t running();

private:
    struct instance {
        int callers = 0;
        int ready = 0;
        int peers = 0;
        int metrics = 0;
        pid_t process = -1;
    };

    void start(std::size_t index);
    stand_ins::net::awaitable<void> advance();

    template <class Call>
    auto on_thread(Call call)
    {
        return stand_ins::net::post(m_io, stand_ins::net::use_future(std::move(call))).get();
    }

    record& m_record;
    std::string m_folder;
    stand_ins::net::io_context m_io{1};
    stand_ins::net::executor_work_guard<stand_ins::net::io_context::executor_type> m_work;
    stand_ins::leased_store m_store;
    stand_ins::leased_workers m_workers;
    std::vector<instance> m_instances;
    std::jthread m_thread;
};

}  // namespace poplarshed::review
