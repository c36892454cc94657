#pragma once

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "integration/harness/http.h"
#include "integration/harness/process.h"

namespace poplarshed::integration {

/// What a scenario needs beside its entry instances.
struct cluster_options {
    std::size_t entries = 2;
    std::size_t runners = 4;
    std::vector<std::string> runner_arguments = {};  ///< further arguments of stand-in-upstream
    milliseconds list_lag{10'000};                   ///< of the platform's instance list, after the first one
    milliseconds lease_ttl{2'000};
};

/// Services of the configuration that each cluster starts with; workspace "booking" may use all of them.
inline constexpr const char* hold_service = "hold";      ///< not idempotent
inline constexpr const char* render_service = "render";  ///< idempotent, refuses after a lost owner
inline constexpr const char* rerun_service = "rerun";    ///< idempotent, runs again after a lost owner

/// A job as a caller sends it.
struct job_call {
    std::string submission;
    std::string service = hold_service;
    std::size_t tasks = 4;
    std::uint64_t run_ms = 50;
    std::string tag = "a";  ///< echoed in each result; another tag is another body
    milliseconds deadline{8'000};
};

/// A job's answer, taken apart.
struct job_answer {
    long status = 0;
    std::string outcome;  ///< complete, failed, refused; empty without an answer
    std::string verdict;
    std::string reason;
    json results;
    std::string text;

    bool complete() const { return status == 200 && outcome == "complete"; }
    bool not_run() const { return verdict == "not_run"; }
};

/// One entry instance behind a route of the fault proxy, which is the address that its peers know.
class entry_instance {
public:
    entry_instance(std::size_t index, std::string advertised)
        : m_index(index), m_advertised(std::move(advertised))
    {}

    /// Starts the daemon; a later call starts a new run at the same advertised address.
    void start(const json& settings, const std::filesystem::path& folder);
    child_process& process() { return *m_process; }
    const std::string& http() const { return m_http; }
    const std::string& advertised() const { return m_advertised; }
    bool is_ready() const;

private:
    std::size_t m_index;
    std::string m_advertised;
    std::string m_http;
    int m_runs = 0;
    std::unique_ptr<child_process> m_process;
};

/// Platform, upstreams, fault proxy and entry instances of one data centre, as real processes.
class cluster {
public:
    explicit cluster(cluster_options options = {});

    /// Starts every entry instance and waits until all are ready members of the same view.
    void start_entries();
    /// Starts one entry instance without waiting for it to be ready.
    void start_entry(std::size_t index);
    /// Kills an entry instance; its advertised address refuses connections until it is started again.
    void kill_entry(std::size_t index);
    entry_instance& entry(std::size_t index) { return *m_entries.at(index); }
    std::size_t entries() const { return m_entries.size(); }

    job_answer submit(std::size_t entry_index, const job_call& job) const;
    std::future<job_answer> submit_later(std::size_t entry_index, const job_call& job) const;
    /// Waits until a task of the submission runs.
    void await_start(const std::string& submission) const;

    /// Start records of a submission: "started", "tasks_started_more_than_once", "records".
    json starts(const std::string& submission) const;
    /// Checks that no task of the submission started twice and, for a complete answer, that each result is
    /// that of its own task. @returns what is wrong, empty if nothing
    std::string check_answer(const job_call& job, const job_answer& answer) const;
    /// Checks only that each result of a complete answer is that of its own task.
    static std::string check_results(const job_call& job, const job_answer& answer);
    const std::string& runner_address(std::size_t index) const { return m_runners.at(index); }

    void set_runner_faults(const json& fields) const { post(m_upstream_control, "/faults", fields); }
    void set_platform_faults(const json& fields) const { post(m_platform_control, "/faults", fields); }
    /// Faults on the links between all entry instances.
    void set_peer_link_faults(const json& fields) const;
    /// Faults on the link from one entry instance to the platform.
    void set_platform_link_faults(std::size_t entry_index, const json& fields) const;
    void restore_links() const { post(m_proxy_control, "/restore", json::object()); }
    /// Hands the upstreams' present list to the platform, visible after its lag or at once.
    void publish_instances(bool at_once) const;
    /// Puts a configuration in force through the platform. @param changes merged into the first bundle
    void publish_bundle(std::uint64_t version, const json& changes = json::object());
    /// Version in force in an entry instance; 0 without one or without an answer.
    std::uint64_t version_of(std::size_t entry_index) const;
    /// Body of GET /v1/status; an empty object without an answer.
    json status_of(std::size_t entry_index) const;
    /// Whether all entry instances are ready, in the same view and with two registrars.
    bool is_settled() const;

private:
    json entry_settings(std::size_t index) const;
    std::uint64_t write_key(const std::string& key, const std::string& value, std::uint64_t expected) const;
    // Routes of the proxy: to the entry instances, then from each of these to the platform.
    void set_route_faults(std::size_t route, json fields) const;

    cluster_options m_options;
    scratch_folder m_folder;
    std::uint64_t m_pointer_revision = 0;
    std::string m_platform_address;
    std::string m_platform_control;
    std::string m_upstream_control;
    std::string m_proxy_control;
    std::vector<std::string> m_platform_routes;
    std::vector<std::string> m_runners;
    std::unique_ptr<child_process> m_platform;
    std::unique_ptr<child_process> m_upstream;
    std::unique_ptr<child_process> m_proxy;
    std::vector<std::unique_ptr<entry_instance>> m_entries;
};

}  // namespace poplarshed::integration
