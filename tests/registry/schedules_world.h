#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "registry/registry.h"

/// Simulation of instances, network and platform for one random schedule of claims and faults.
namespace poplarshed::schedules {

/// Protocol rules that a schedule disables, to verify that the checker detects the violation.
struct disabled_rule_sets {
    membership::disabled_rules membership;
    registry::disabled_rules registry;
};

/// Counts over all schedules, to show which cases they cover.
struct coverage {
    std::uint64_t granted = 0;
    std::uint64_t followed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    std::uint64_t claims = 0;
    std::uint64_t messages = 0;
    std::uint64_t epochs = 0;
    std::uint64_t amnesia = 0;
    std::uint64_t recognised_writes = 0;
    std::uint64_t reruns = 0;
    std::uint64_t borrowed = 0;
    std::uint64_t mistaken_removals = 0;
    std::uint64_t exits = 0;
    std::uint64_t skips = 0;
};

struct request {
    registry::claim_request claim;
    time_point arrival;
    instance_id at;
    int outcomes = 0;
    bool abandoned = false;  ///< its instance was killed, so no outcome is expected
};

struct job_start {
    instance_id owner;
    digest body;
    time_point at;
};

struct process {
    instance_id instance;
    data_centre_id data_centre;
    std::unique_ptr<membership::member> member;
    std::unique_ptr<registry::registrar> registrar;
    bool running = true;
    time_point paused_until;
    time_point platform_cut_until;
    std::map<submission_id, std::size_t> pending_claims;  ///< index of the waiting request
    std::map<submission_id, digest> jobs;                 ///< body digest of the jobs started here
};

class world {
public:
    world(std::uint64_t seed, const disabled_rule_sets& disabled, coverage& covered);

    /// Runs the schedule. @returns the first violation, or an empty string
    std::string run();
    /// Makes run() record an event log; meant for a single seed.
    void enable_log() { m_logging = true; }
    const std::string& log() const { return m_log; }

private:
    using packet = std::variant<membership::message, registry::message>;
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct cut {
        endpoint from;
        endpoint to;
        time_point until;
    };

    // schedules_world.cpp: processes and claims
    void at(milliseconds delay, std::function<void()> action);
    void for_process(const std::shared_ptr<process>& target, milliseconds delay,
                     std::function<void(process&)> action);
    void boot(const endpoint& address, const data_centre_id& home);
    void kill(process& target);
    void tick(process& target);
    void execute(process& source, std::vector<membership::action> actions);
    void execute_registrar_actions(process& source);
    void execute(process& source, const registry::action& next);
    void submit(process& target, const registry::claim_request& claim);
    void begin(process& target, std::size_t number);
    void finish(process& target, const submission_id& id, std::size_t number);
    void on_granted(process& owner, const registry::claim_granted& granted);
    void on_refused(process& owner, const registry::claim_refused& refused);
    void on_follow(process& follower, const registry::follow_owner& follow);
    void ask_owner(process& follower, const instance_id& owner, std::size_t number);
    void resolve(process& follower, std::size_t number, int answer, const instance_id& owner);
    void check_start(const job_start& start, const submission_id& id, bool rerun);
    void check_not_run(const request& refused, const char* why);
    void report_violation(const std::string& text);
    void log_event(const std::string& text);

    // schedules_faults.cpp: network, platform and faults
    void send(process& from, const instance_id& to, const packet& body);
    void deliver(const instance_id& from, const instance_id& to, const packet& body);
    bool is_cut(const endpoint& from, const endpoint& to) const;
    void read_platform(process& reader);
    void keep_lease(process& holder);
    void swap_view(process& writer, const membership::propose_view& proposal);
    membership::platform_snapshot snapshot() const;
    void plan();
    void plan_jobs();
    void plan_job(std::size_t number);
    void plan_fault();
    void fault_process(milliseconds when, std::uint64_t kind);
    void heal();
    void probe();
    std::shared_ptr<process> random_running_process();
    std::shared_ptr<process> find(const endpoint& address);
    bool chance(double probability) { return m_random.unit() < probability; }
    milliseconds between(int least, int most);

    time_point m_now{seconds(1000)};
    random_source m_random;
    disabled_rule_sets m_omitted;
    coverage& m_covered;
    std::uint64_t m_order = 0;
    std::vector<event> m_events;                        ///< heap, earliest first
    std::vector<std::shared_ptr<process>> m_processes;  ///< latest process at each address, running or not
    std::vector<cut> m_cuts;
    std::vector<request> m_requests;
    std::map<submission_id, std::vector<job_start>> m_starts;
    std::map<data_centre_id, membership::platform_view> m_views;
    std::map<instance_id, std::pair<data_centre_id, time_point>> m_leases;
    std::vector<membership::platform_snapshot> m_history;
    std::set<instance_id> m_killed;
    time_point m_platform_down_until;
    double m_loss = 0;
    double m_duplication = 0;
    double m_lost_answers = 0;
    int m_max_delay_ms = 5;
    std::uint64_t m_last_incarnation = 0;
    std::uint64_t m_revision = 0;
    bool m_healed = false;
    std::string m_violation;
    bool m_logging = false;
    std::string m_log;
};

/// Runs one schedule. @returns the first violation, or an empty string
std::string run_schedule(std::uint64_t seed, const disabled_rule_sets& disabled, coverage& covered);

}  // namespace poplarshed::schedules
