#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/random_source.h"
#include "stand_ins/http_server.h"
#include "stand_ins/leased_store.h"

namespace poplarshed::stand_ins {

/// How a worker carries out orders.
struct worker_faults {
    double slowness = 1;          ///< durations are multiplied by it
    bool fails = false;           ///< every run fails at once
    bool hangs = false;           ///< runs do not progress
    bool unhealthy = false;       ///< starts get 503
    bool silent = false;          ///< orders get lost
    double unanswered_share = 0;  ///< part of the orders that are carried out and not answered
    double late_share = 0;        ///< part of the starts that get no answer and are carried out later
    double clock_rate = 1;        ///< of the worker's clock against the true one
    std::int64_t clock_offset_ms = 0;
};

/// The spec of a task that crashes its worker begins with the milliseconds that it takes, and contains this.
inline constexpr std::string_view crashing_spec = "crashes its worker";

/// A start that a worker has carried out.
struct observed_start {
    std::string task;
    std::string spec;
    std::size_t worker = 0;
    net::steady_timer::time_point at;
    bool late = false;  ///< carried out after the caller had given the call up
};

/// A start that brought a worker over its capacity.
struct overload {
    std::string task;
    std::size_t worker = 0;
    std::int64_t cpu = 0;    ///< of all runs, in thousandths of a core
    std::int64_t limit = 0;  ///< the capacity, or a greater one that it has had lately
};

/// Workers that run tasks under leases and are listed in the store. A task runs for as many milliseconds as
/// the job's spec says. Runs on the thread of the io_context.
class leased_workers {
public:
    /// @param data_centres one name a worker
    leased_workers(net::io_context& io, leased_store& store, std::vector<std::string> data_centres,
                   std::uint64_t seed = 1);

    std::size_t size() const { return m_workers.size(); }
    void set_faults(std::size_t index, const worker_faults& faults);
    const worker_faults& faults(std::size_t index) const { return m_workers.at(index).faults; }
    /// Everything that runs ends, and the worker starts anew under its id with nothing known.
    void crash(std::size_t index);
    /// The same; until the worker is back it closes connections without an answer.
    void crash(std::size_t index, std::chrono::milliseconds down);
    /// Workers that a task has crashed.
    std::size_t crashes_under(const std::string& task) const;
    void set_draining(std::size_t index, bool draining);
    /// Changes the capacity that the worker tells the store, in thousandths of a core.
    void set_capacity(std::size_t index, std::int64_t cpu);
    /// Whether workers reject starts beyond their capacity; otherwise they carry them out.
    void set_guards_capacity(bool guards) { m_guards_capacity = guards; }
    /// Takes the worker's entry out of the store, or puts it back.
    void set_listed(std::size_t index, bool listed);
    /// Ends runs that are done or have lapsed. To be called every few milliseconds.
    void advance();

    std::size_t running() const;
    std::vector<std::string> running_tasks() const;
    const std::vector<observed_start>& starts() const { return m_starts; }
    /// Tasks that had two runs at work at one time.
    const std::vector<std::string>& overlaps() const { return m_overlaps; }
    /// Starts beyond the capacity of workers that do not guard it.
    const std::vector<overload>& overloads() const { return m_overloads; }
    bool has_completed(const std::string& task) const { return m_completed.contains(task); }

private:
    struct run {
        std::uint64_t number = 0;
        net::steady_timer::time_point ends_at;
        std::optional<net::steady_timer::time_point> crashes_at;  ///< its worker
    };

    struct worker {
        std::string data_centre;
        std::shared_ptr<http_server> server;
        std::unique_ptr<wake_list> ended;
        worker_faults faults;
        bool draining = false;
        std::int64_t cpu = 0;  ///< capacity
        /// Former capacities, and when they were replaced.
        std::vector<std::pair<net::steady_timer::time_point, std::int64_t>> former_cpu;
        std::optional<net::steady_timer::time_point> back_at;  ///< while it is down
        std::uint64_t born = 0;
        std::uint64_t token = 0;
        net::steady_timer::time_point lease_until;
        std::map<std::string, run> runs;
        std::map<std::string, std::uint64_t> closed;
        std::vector<json> ends;
        std::uint64_t last_end = 0;
    };

    net::awaitable<std::optional<http_response>> handle(std::size_t index, http_request request);
    net::awaitable<void> start_late(std::size_t index, json body);
    net::awaitable<http_response> list(std::size_t index, json body);
    http_response start(std::size_t index, const json& body, bool late);
    /// The greatest capacity that callers may count on.
    static std::int64_t known_capacity(const worker& on);
    http_response stop(worker& on, const json& body);
    http_response conflict(const worker& on, const char* reason) const;
    void extend_lease(worker& on, std::int64_t expires_ms);
    void end(worker& on, const std::string& task, const std::string& how);
    void announce(std::size_t index);
    void restart(std::size_t index);
    static std::int64_t clock_ms(const worker& on);

    net::io_context& m_io;
    leased_store& m_store;
    random_source m_random;
    std::deque<worker> m_workers;
    std::vector<observed_start> m_starts;
    std::vector<std::string> m_overlaps;
    std::vector<overload> m_overloads;
    bool m_guards_capacity = true;
    std::map<std::string, std::size_t> m_completed;  ///< ends `done` by task
    std::map<std::string, std::size_t> m_crashes;    ///< by task
    std::uint64_t m_last_beat = 0;
};

}  // namespace poplarshed::stand_ins
