#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

#include "dispatch/estimates.h"
#include "dispatch/job.h"
#include "dispatch/slot_sharing.h"

namespace poplarshed::dispatch {

/// Index of a service in runner_table, assigned in order of first use.
using service_index = std::uint32_t;

/// Whether a runner gets tasks, and if not, why.
enum class runner_state {
    open,     ///< gets tasks
    ejected,  ///< most of its recent attempts failed; a single task probes it from time to time
    refused,  ///< refused a connection; probed like an ejected runner once the platform's list has had time
              ///< to drop it
    leaving,  ///< announced that it is leaving, or is listed as leaving
    absent,   ///< not listed by the platform
};

/// The runners of the data centre: free slots, expected run times and health. Operations on one runner take
/// O(s log n) for the s services that it offers and n runners.
class runner_table {
public:
    explicit runner_table(const slot_sharing& sharing) : m_sharing(&sharing) {}

    /// Index of a service; a new one for a service that has none yet.
    service_index intern(const service_id& service);
    /// Sets the requirements of a service and whether its tasks may probe ejected runners.
    void configure(service_index service, const configuration::service& settings);
    /// Replaces the list of runners. Runners that are no longer listed stay in the table as absent.
    void set_runners(const std::vector<runner>& runners, time_point now);
    /// Sets the position of this instance; all loans of slots end.
    void set_position(peer_position position);

    /// Idle runner that is expected to finish a task of the service first.
    /// @param avoid a runner on which the task failed; taken only if there is no other
    /// @param excluded_rack rack whose runners are not used; null for none
    std::optional<runner_index> best_idle(service_index service, std::optional<runner_index> avoid = {},
                                          const std::string* excluded_rack = nullptr) const;
    /// Like best_idle, but does not use the first `reserved_slots` idle slots that are faster than
    /// `fast_seconds`.
    std::optional<runner_index> best_idle_unreserved(service_index service, std::optional<runner_index> avoid,
                                                     double reserved_slots, double fast_seconds) const;
    /// Better of two random idle runners, judged by the attempts of this instance in flight; the best idle
    /// one if a few draws find none.
    std::optional<runner_index> better_of_two(service_index service, random_source& random) const;
    bool has_idle(service_index service) const { return !m_services[service].idle.empty(); }
    std::size_t idle_runners(service_index service) const { return m_services[service].idle.size(); }

    /// Expected run time of a task of the service on the runner, in seconds.
    double estimate(runner_index index, service_index service) const;
    /// Occupies a slot of the runner.
    void attempt_started(runner_index index, time_point now);
    /// Frees the slot and updates the estimates, the concurrency limit and the state of the runner.
    void attempt_ended(const attempt& ended, service_index service, const attempt_result& result,
                       time_point now);
    /// Makes runners available for a probe, and reopens runners whose announced leave has expired.
    void on_timer(time_point now);

    const runner& listed(runner_index index) const { return m_runners[index].listed; }
    /// True if the runner succeeded with most of its recent attempts.
    bool healthy(runner_index index) const;
    service_times& times(service_index service) { return m_services[service].times; }
    const service_times& times(service_index service) const { return m_services[service].times; }
    /// Slots that this instance owns or has borrowed and that the service can use, busy or not. Lent slots
    /// are included, since they are returned when this instance needs them.
    double capacity(service_index service) const { return m_services[service].capacity; }
    /// Slots of the service in the whole data centre.
    double total_slots(service_index service) const { return m_services[service].total; }
    /// Whether a listed runner offers the service, and whether such a runner meets its requirements.
    bool offered(service_index service) const { return m_services[service].offered > 0; }
    bool fits(service_index service) const { return m_services[service].fitting > 0; }
    /// Attempts in flight on all runners.
    std::size_t in_flight() const { return m_in_flight; }
    /// Mean time for which an attempt of any service occupies its slot, in seconds.
    double mean_slot_time() const { return m_slot_time.mean(0.3, 1.0); }

    /// Slots that can take a task now: the runner is open or to be probed, and the slots are within the
    /// limit.
    std::uint32_t free_slots(runner_index index) const;
    /// Slots of this instance without an attempt, regardless of the runner's state and concurrency limit.
    std::uint32_t unused_slots(runner_index index) const;
    /// Changes the balance of lent slots: positive for slots that this instance lends or returns, negative
    /// for slots that it borrows or gets back.
    void lend(runner_index index, std::int32_t slots);
    /// Slots of the runner that this instance owns.
    std::uint32_t own_share(runner_index index) const { return m_runners[index].share; }
    /// Slots of the runner that this instance may use: its own, less those lent, plus those borrowed.
    std::uint32_t allowed(runner_index index) const;
    std::optional<runner_index> find(const endpoint& address) const;
    /// Idle runners of the service by expected run time in seconds.
    const std::set<std::pair<double, runner_index>>& idle(service_index service) const
    {
        return m_services[service].idle;
    }
    std::size_t size() const { return m_runners.size(); }
    /// Free slots of all open runners.
    std::size_t idle_slots() const { return m_idle_slots; }
    /// Slots of open runners that this instance may use, busy or not.
    std::size_t held_slots() const { return m_held_slots; }
    runner_state state(runner_index index) const { return m_runners[index].state; }

private:
    struct offer {
        service_index service = 0;
        bool fits = false;
        window_mean times{256.0};
        double key = -1.0;      ///< key in the idle index, in seconds; negative if not in the index
        double capacity = 0.0;  ///< slots that are included in service_entry::capacity
    };
    struct runner_entry {
        runner listed;
        runner_state state = runner_state::absent;
        std::vector<offer> offers;
        runner_slowdown slowdown;
        std::uint32_t share = 0;  ///< slots that this instance owns
        std::int32_t lent = 0;    ///< slots lent minus slots borrowed
        std::uint32_t in_flight = 0;
        std::uint32_t counted_idle = 0;  ///< slots included in m_idle_slots
        std::uint32_t counted_held = 0;  ///< slots included in m_held_slots
        double limit = 0.0;              ///< adaptive limit of concurrent attempts
        time_point limit_lowered;
        double failures = 0.0;        ///< exponentially decayed count
        double attempts = 0.0;        ///< exponentially decayed count
        std::uint32_t ejections = 0;  ///< consecutive ejections
        time_point state_expiry;      ///< time of the next probe, or end of an announced leave
        bool probe_due = false;
    };
    struct service_entry {
        service_times times;
        configuration::requirements needs;
        bool idempotent = false;
        std::set<std::pair<double, runner_index>> idle;
        double capacity = 0.0;
        double total = 0.0;
        std::size_t offered = 0;  ///< runners that offer the service
        std::size_t fitting = 0;  ///< runners of these that meet its requirements
    };
    using state_timer = std::pair<time_point, runner_index>;

    void update_listing(runner_entry& entry, const runner& listed);
    /// Counts the runners and slots of each service anew.
    void recount();
    /// Updates the slot counts and the idle index after a change of a runner.
    void refresh(runner_index index);
    /// @param until time of the next change of state by on_timer; the greatest time for none
    void set_state(runner_index index, runner_state state, time_point until);
    /// Counts a success or failure of a runner, and ejects or reopens the runner.
    void record_outcome(runner_index index, bool failed, time_point now);
    void record_run_time(runner_entry& entry, service_index service, double run_seconds);
    void adjust_limit(runner_entry& entry, const attempt_result& result, time_point now);
    /// True if fewer runners are ejected than the greatest share.
    bool may_eject() const;
    double estimate(const runner_entry& entry, const offer& offered) const;
    std::uint32_t usable_slots(const runner_entry& entry) const;
    /// True if a task of the offered service may probe the runner.
    bool may_probe(const runner_entry& entry, const offer& offered) const;
    bool fits(const runner& listed, service_index service) const;

    const slot_sharing* m_sharing;
    peer_position m_position;
    std::vector<runner_entry> m_runners;
    std::map<endpoint, runner_index> m_by_address;
    std::unordered_map<service_id, service_index> m_service_index;
    std::vector<service_entry> m_services;
    std::priority_queue<state_timer, std::vector<state_timer>, std::greater<>> m_state_timers;
    window_mean m_slot_time{500.0};
    std::size_t m_in_flight = 0;
    std::size_t m_idle_slots = 0;
    std::size_t m_held_slots = 0;
    std::size_t m_available = 0;  ///< runners that are listed and not leaving
    std::size_t m_ejected = 0;
};

}  // namespace poplarshed::dispatch
