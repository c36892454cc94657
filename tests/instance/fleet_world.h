#pragma once

#include "instance/fleet_callers.h"
#include "instance/fleet_instance.h"

namespace poplarshed::instance::test {

/// What a schedule has reached, to show that it covers the cases that matter.
struct fleet_coverage {
    std::size_t jobs = 0;
    std::size_t completed = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t starts = 0;
    std::size_t resent = 0;  ///< while the first instance may have worked on

    void add(const fleet_coverage& other);
};

/// How many of each kind a fleet has.
struct fleet_shape {
    std::size_t data_centres = 2;
    std::size_t instances_in_each = 2;
    std::size_t spares_in_each = 0;  ///< addresses of instances that replace others
};

/// Instances of several data centres with their links, workers, store and callers.
class virtual_fleet {
public:
    static constexpr std::size_t workers_in_each = 3;

    virtual_fleet(std::uint64_t seed, const fleet_shape& shape);

    void advance(milliseconds time);
    virtual_time& time() { return m_time; }
    virtual_callers& callers() { return m_callers; }
    virtual_workers& workers() { return m_workers; }
    virtual_store& store() { return m_store; }
    /// Includes the spare addresses.
    std::size_t size() const { return m_identities.size(); }
    std::size_t data_centres() const { return m_data_centres.size(); }
    /// The instance that the store names as the holder of a data centre's pool.
    std::size_t holder(std::size_t data_centre) const;
    bool has_holder(std::size_t data_centre) const;
    bool is_alive(std::size_t index) const { return m_instances.at(index) != nullptr; }

    void cut(std::size_t from, std::size_t to, milliseconds length);
    void cut_off_instance(std::size_t index, milliseconds length);
    /// Frames in one direction are lost; the other one and new connections work.
    void lose_frames(std::size_t from, std::size_t to, milliseconds length);
    void slow_down(std::size_t from, std::size_t to, milliseconds extra, milliseconds length);
    /// Every connection is reset at both ends: of callers, between instances, and to workers.
    void reset_connections();
    void pause(std::size_t index, milliseconds length);
    /// The time of day of an instance jumps; it stays so after a restart.
    void step_clock(std::size_t index, milliseconds by);
    void kill(std::size_t index, milliseconds until_start);
    /// Ends an instance for good; one at another address of its data centre starts later, if there is one.
    void replace(std::size_t index, milliseconds until_start);
    void cut_off_worker(std::size_t index, milliseconds length);
    void crash_worker(std::size_t index, milliseconds until_start);
    /// The worker restarts under its id; the directory shows it `until_shown` after that.
    void restart_worker(std::size_t index, milliseconds until_start, milliseconds until_shown);
    /// Orders the evacuation of a data centre, and takes it back after a time.
    void evacuate(std::size_t data_centre, milliseconds length);
    void revoke_record();
    void show_stale_store(std::size_t index, milliseconds length);

    /// Breaks a rule for what is left when every job has ended.
    void check_end();
    /// Each with the history of its job.
    const std::vector<std::string>& violations() const { return m_violations; }
    fleet_coverage coverage() const;

private:
    void add_instance(std::size_t data_centre, std::size_t number);
    void end_instance(std::size_t index);
    void start_again(std::size_t index, milliseconds until_start);
    void start_instance(std::size_t index, bool knows_all_workers);
    std::optional<std::size_t> submit(std::optional<std::size_t> to, routing::caller_id caller,
                                      const routing::route& target, const routing::caller_job& job);
    virtual_links::receivers link_events();
    virtual_workers::receivers worker_events();
    virtual_callers::receivers caller_events();
    void break_rule(const std::string& job, const std::string& what);
    /// Breaks a rule if the worker's data centre has been evacuated for too long.
    void check_evacuation(const workers::task_ref& task, const std::string& worker);
    void note_fault(const std::string& text, milliseconds length);
    const std::string& name(std::size_t index) const { return m_addresses.at(index).value(); }

    virtual_time m_time;
    std::vector<std::string> m_data_centres;
    std::vector<instance_identity> m_identities;
    std::vector<endpoint> m_addresses;
    std::vector<std::shared_ptr<virtual_instance>> m_instances;
    std::vector<std::uint64_t> m_lives;
    std::vector<std::uint64_t> m_worker_cuts;
    std::vector<std::size_t> m_spares;  ///< that have not started yet
    virtual_store m_store;
    virtual_workers m_workers;
    virtual_links m_links;
    virtual_callers m_callers;
    std::size_t m_starts = 0;
    std::map<std::string, time_point> m_evacuated_at;  ///< by data centre
    time_point m_resetting_until;                      ///< connections to workers
    std::vector<std::string> m_violations;
};

}  // namespace poplarshed::instance::test
