#pragma once

// A small deployment on loopback: the project's store stand-in, runners as PROTOCOL.md describes them, instances of
// the program under review as separate processes, and clients. Everything but the instances runs on one thread.

#include <sys/types.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "stand_ins/http_server.h"
#include "stand_ins/leased_store.h"
#include "stand_ins/relay.h"

namespace review {

using namespace poplarshed::stand_ins;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Writes record.txt: one line for each event, with milliseconds since the start.
class record {
public:
    explicit record(const std::string& path) : m_file(path) {}
    void line(const std::string& text);
    /// A broken rule. The run goes on.
    void broken(const std::string& rule, const std::string& text);
    const std::vector<std::string>& violations() const { return m_violations; }
    std::int64_t at() const { return std::chrono::duration_cast<milliseconds>(clock::now() - m_begin).count(); }

private:
    clock::time_point m_begin = clock::now();
    std::ofstream m_file;
    std::vector<std::string> m_violations;
};

struct resources {
    std::int64_t cpu = 0;
    std::int64_t mem_mb = 0;
    std::int64_t gpu = 0;
};

struct step {
    std::uint32_t count = 1;
    resources need{1000, 64, 0};
    std::int64_t estimate_ms = 100;
    std::int64_t work_ms = 100;  ///< what a sound runner takes
    std::vector<std::uint32_t> after;
    std::string constraints;
    std::uint32_t anti_affinity = 0;
};

/// A job as a client hands it in, and what has happened to it.
struct job {
    std::string id;
    std::string spec = "work";
    std::vector<step> steps;
    std::set<std::string> done;                             ///< tasks that have ended `done`
    std::optional<clock::time_point> cancel_acknowledged;   ///< first 2xx or 410 to a DELETE
    bool cancel_reported = false;

    json body() const;
    std::size_t task_count() const;
};

using job_table = std::map<std::string, job>;

/// Runners of one service, as PROTOCOL.md describes them ("Running tasks", "Service discovery").
class runners {
public:
    struct options {
        std::string service = "desk";
        std::string zone = "ollur";
        std::vector<std::string> labels{"a", "r1"};
        resources capacity{32'000, 65'536, 0};
        bool enforces_capacity = true;
    };

    runners(net::io_context& io, leased_store& store, job_table& jobs, record& log);
    std::size_t add(const options& wanted);
    std::size_t size() const { return m_all.size(); }
    /// Kills the runner and starts it under its id; down for a while, with other labels or another capacity if given.
    void crash(std::size_t index, milliseconds down, std::vector<std::string> labels = {},
               std::optional<resources> capacity = {});
    void set_draining(std::size_t index);
    /// Orders get no answer and aren't carried out; what runs goes on until its lease ends.
    void set_silent(std::size_t index, bool silent);
    /// To be called every few milliseconds.
    void advance();
    std::vector<std::string> running(const std::string& job_id) const;
    std::size_t running_count() const;
    std::size_t starts_of(const std::string& job_id) const;

private:
    struct run {
        std::uint64_t number = 0;
        clock::time_point ends_at;
        resources need;
    };

    struct runner {
        options about;
        std::string id;
        std::shared_ptr<http_server> server;
        std::unique_ptr<wake_list> ended;
        std::uint64_t born = 0;
        std::int64_t clock_offset_ms = 0;
        std::uint64_t token = 0;
        bool draining = false;
        bool silent = false;
        std::optional<clock::time_point> back_at;
        clock::time_point lease_until;
        std::map<std::string, run> runs;
        std::map<std::string, std::uint64_t> closed;
        std::vector<json> ends;
        std::uint64_t last_end = 0;
        std::uint64_t seq = 0;
    };

    net::awaitable<std::optional<http_response>> handle(std::size_t index, http_request request);
    http_response start(runner& on, const json& body);
    http_response stop(runner& on, const json& body);
    net::awaitable<http_response> hold(std::size_t index, json body);
    http_response conflict(const runner& on, const char* reason) const;
    void extend_lease(runner& on, std::int64_t expires_ms);
    void end(runner& on, const std::string& task, const std::string& how);
    void announce(runner& on);
    void check_start(runner& on, const std::string& task, const job& known, const step& of, std::uint32_t step_index);
    static std::int64_t clock_ms(const runner& on);

    net::io_context& m_io;
    leased_store& m_store;
    job_table& m_jobs;
    record& m_log;
    std::vector<std::unique_ptr<runner>> m_all;
    std::map<std::string, std::size_t> m_starts;
};

struct answer {
    int status = 0;  ///< 0: no complete answer
    std::string body;
    std::string error;
    std::string connection;  ///< header
};

/// One TCP connection of a client.
class connection {
public:
    connection(net::io_context& io, const std::string& address);
    net::awaitable<bool> open();
    net::awaitable<answer> call(http::verb method, std::string target, std::string body, milliseconds limit);
    /// The two halves of call(): requests may be sent before earlier ones are answered.
    net::awaitable<bool> send(http::verb method, std::string target, std::string body, milliseconds limit);
    net::awaitable<answer> receive(milliseconds limit);
    void close();

private:
    net::io_context& m_io;
    tcp::endpoint m_address;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

/// An instance of the program, run by the command of deploy/system.toml with settings from its template.
class instance {
public:
    struct place {
        std::string name;
        std::string zone;
        std::string ip;
    };

    instance(place at, std::string folder) : m_at(std::move(at)), m_folder(std::move(folder)) {}
    ~instance();
    void start(const std::string& store, const std::vector<std::string>& seeds);
    void signal(int number) const;
    bool running();
    void kill();
    std::string front() const { return m_at.ip + ":" + std::to_string(front_port); }
    std::string ready() const { return m_at.ip + ":" + std::to_string(ready_port); }
    std::string control() const { return m_at.ip + ":" + std::to_string(control_port); }
    const std::string& name() const { return m_at.name; }
    /// How the process has ended, if it has.
    std::string end() const { return m_end; }

    static int front_port;
    static int ready_port;
    static int control_port;

private:
    place m_at;
    std::string m_folder;
    pid_t m_pid = -1;
    int m_life = 0;
    std::string m_end;
};

struct layout {
    std::size_t instances = 2;
    std::vector<std::string> zones{"ollur"};
    std::vector<runners::options> workers;
    std::int64_t timeout_ms = 30'000;  ///< of the route
};

/// Thrown where a case can't run.
struct cannot_run : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class deployment {
public:
    deployment(const std::string& record_path, const layout& wanted);
    ~deployment();

    /// Runs a case to its end, or to the limit. @returns the exit code
    int play(const std::function<net::awaitable<void>(deployment&)>& story, milliseconds limit);

    net::awaitable<void> wait(milliseconds time) { return sleep_for(m_io, time); }
    net::awaitable<void> wait_ready();
    net::awaitable<void> wait_until(const std::string& what, std::function<bool()> condition, milliseconds limit);
    /// Sends a job on a new connection, and records the answer.
    net::awaitable<answer> submit(std::size_t at, const std::string& id, milliseconds client_limit);
    net::awaitable<answer> submit_on(connection& with, std::size_t at, const std::string& id, milliseconds client_limit);
    /// Records the answer to a job, and checks it against what has run.
    void check_answer(const std::string& id, const answer& got);
    net::awaitable<answer> cancel(std::size_t at, const std::string& id);
    net::awaitable<answer> state(std::size_t at, const std::string& id);
    job& add_job(std::vector<step> steps);

    net::io_context& io() { return m_io; }
    record& log() { return m_log; }
    job_table& jobs() { return m_jobs; }
    runners& workers() { return m_runners; }
    leased_store& store() { return m_store; }
    instance& at(std::size_t index) { return *m_instances.at(index); }
    std::size_t size() const { return m_instances.size(); }
    std::string store_address() const { return "127.0.0.1:" + std::to_string(m_store.port()); }
    void start_instance(std::size_t index);
    /// Writes a configuration as the operator does, with another route beside that of the jobs.
    void configure(std::uint64_t version, bool with_jobs = true);
    static std::string prefix() { return "/hold/"; }
    std::uint64_t random(std::uint64_t below);
    void seed(std::uint64_t value) { m_random = value * 2 + 1; }

private:
    net::awaitable<void> tick();
    void check_cancelled();

    net::io_context m_io{1};
    record m_log;
    layout m_layout;
    std::string m_folder;
    job_table m_jobs;
    leased_store m_store;
    runners m_runners;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<std::string> m_seeds;
    std::uint64_t m_random = 1;
    bool m_over = false;
};

/// True unless the environment has TROUBLE=0.
bool with_trouble();

}  // namespace review
