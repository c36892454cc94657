#pragma once

// A small deployment on loopback for the cases of the review: the platform's store (the project's stand-in),
// runners written from the platform's pages, clients on plain sockets, and the program under review as child
// processes.

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/http_server.h"
#include "stand_ins/leased_store.h"

namespace review {

namespace net = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Writes record.txt; every line carries the milliseconds since the start of the case. Thread-safe.
class record {
public:
    explicit record(const std::string& path);
    void line(const std::string& text);
    std::int64_t now_ms() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady_clock::time_point m_start;
};

/// What a runner is; a later life under the same id may differ.
struct runner_kind {
    std::string id;
    std::string zone;
    std::vector<std::string> labels;  ///< hardware kind and rack
    std::int64_t cpu = 32'000;
    bool guards = true;  ///< rejects what does not fit
};

/// A start that a runner has carried out.
struct observed_start {
    std::string task;
    std::string runner;
    std::vector<std::string> labels;
    json spec;
    std::int64_t at_ms = 0;
    std::int64_t used_cpu = 0;  ///< of the runner, this task included
    std::int64_t capacity_cpu = 0;
};

/// Runners of one service. A task's spec is JSON text: {"ms": duration, "cpu": need, "label": required}.
/// Runs on the thread of the io_context.
class runners {
public:
    runners(net::io_context& io, poplarshed::stand_ins::leased_store& store, record& log,
            std::vector<runner_kind> kinds);

    /// Everything that runs there ends; the port refuses connections and the entry gets no heartbeats.
    void crash(const std::string& id);
    /// A new life under the same id, which knows nothing of before.
    void restart(const std::string& id, runner_kind kind);
    /// Cuts a runner off: calls do not reach it, or only its answers are lost. What runs there goes on.
    void set_cut(const std::string& id, bool calls, bool answers);
    /// The next start of a job is held on its way: it gets no answer, and the runner carries it out later.
    void hold_next_start(std::string job, milliseconds lateness);
    /// The runner that the held start was sent to; empty before it.
    const std::string& held_for() const { return m_held_for; }
    /// Ends runs that are done or whose lease has lapsed; writes heartbeats. To be called every few ms.
    void advance();

    const std::vector<observed_start>& starts() const { return m_starts; }
    std::vector<std::string> running() const;
    /// Tasks that had two runs at a time.
    const std::vector<std::string>& overlaps() const { return m_overlaps; }

private:
    struct run {
        std::uint64_t number = 0;
        std::int64_t cpu = 0;
        steady_clock::time_point ends_at;
    };

    struct runner {
        runner_kind kind;
        std::shared_ptr<poplarshed::stand_ins::http_server> server;
        std::unique_ptr<poplarshed::stand_ins::wake_list> ended;
        bool up = true;
        bool listed = false;  ///< has an entry in the store
        bool calls_cut = false;
        bool answers_cut = false;
        std::uint64_t born = 0;
        steady_clock::time_point started;
        std::uint64_t token = 0;
        steady_clock::time_point lease_until;
        std::map<std::string, run> runs;
        std::map<std::string, std::uint64_t> closed;  ///< highest run that was stopped or has ended
        std::vector<json> ends;
        std::uint64_t last_end = 0;
        std::uint64_t seq = 0;
        steady_clock::time_point next_beat;
    };

    net::awaitable<std::optional<poplarshed::stand_ins::http_response>> handle(
        runner& on, poplarshed::stand_ins::http_request request);
    net::awaitable<void> execute_late(runner& on, poplarshed::stand_ins::http_request request);
    bool is_held(const poplarshed::stand_ins::http_request& request);
    net::awaitable<std::optional<poplarshed::stand_ins::http_response>> execute(
        runner& on, poplarshed::stand_ins::http_request request);
    poplarshed::stand_ins::http_response start(runner& on, const json& body);
    poplarshed::stand_ins::http_response stop(runner& on, const json& body);
    net::awaitable<poplarshed::stand_ins::http_response> hold(runner& on, json body);
    static std::int64_t clock_ms(const runner& on);
    static void extend_lease(runner& on, std::int64_t expires_ms);
    json answer(const runner& on) const;
    poplarshed::stand_ins::http_response conflict(const runner& on, const char* reason) const;
    void end(runner& on, const std::string& task, const std::string& how);
    void announce(runner& on);

    net::io_context& m_io;
    poplarshed::stand_ins::leased_store& m_store;
    record& m_log;
    std::map<std::string, std::unique_ptr<runner>> m_runners;
    std::vector<observed_start> m_starts;
    std::vector<std::string> m_overlaps;
    std::string m_held_job;
    milliseconds m_lateness{};
    std::string m_held_for;
};

/// Answer to a client's request.
struct client_answer {
    int status = 0;  ///< 0: no complete answer
    std::string body;
    bool ended = false;  ///< the connection has ended
    bool timed_out = false;
};

/// A client's connection, kept open between requests.
class client {
public:
    explicit client(const std::string& address);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    client_answer call(const std::string& method, const std::string& path, const std::string& body,
                       milliseconds limit);

private:
    int m_socket = -1;
    std::string m_address;
};

/// One process of the program under review.
class instance {
public:
    instance(std::string name, std::string zone, const std::string& folder, const std::string& store,
             std::vector<std::string> seeds, std::string peer_address);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    void start();
    void signal(int number) const;
    bool running();
    bool ready() const;
    const std::string& front() const { return m_front; }

private:
    std::string m_name;
    std::string m_settings;
    std::string m_output;
    std::string m_front;
    std::string m_ready;
    int m_process = -1;
};

/// A route of the service "desk".
json route(const std::string& name, const std::string& prefix);
/// Body of a job: one step for each entry of `steps`.
std::string job_body(const json& spec, const json& steps);
std::string free_address();

/// The whole deployment.
class world {
public:
    /// @param instances number of processes, all of one zone
    world(const std::string& folder, std::size_t instances, std::vector<runner_kind> kinds, json routes);
    ~world();

    /// Waits until every instance is ready. @returns false if one is not
    bool wait_ready(milliseconds limit);
    instance& at(std::size_t index) { return *m_instances.at(index); }
    record& log() { return m_log; }

    /// Calls on the thread of the stand-ins. @returns what the call returns
    template <class Call>
    auto on_runners(Call call)
    {
        return net::post(m_io, net::use_future([this, call] { return call(m_runners); })).get();
    }

    /// Submits a job and records the request and its answer.
    client_answer submit(client& on, const std::string& path, const std::string& body, milliseconds limit);

private:
    net::awaitable<void> advance();

    record m_log;
    net::io_context m_io{1};
    net::executor_work_guard<net::io_context::executor_type> m_work;
    poplarshed::stand_ins::leased_store m_store;
    runners m_runners;
    std::jthread m_thread;
    std::string m_scratch;  ///< settings and logs of the instances; removed unless KEEP_LOGS is set
    std::vector<std::unique_ptr<instance>> m_instances;
};

/// False where the environment has TROUBLE=0.
bool with_trouble();

/// Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// Runs a case; an exception counts as a case that could not run.
int run_case(const std::function<int()>& run);

}  // namespace review
