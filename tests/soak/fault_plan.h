#pragma once

#include <functional>
#include <string>
#include <vector>

#include "common/random_source.h"
#include "soak/callers.h"

namespace poplarshed::soak {

/// Which kinds of events a run has.
enum class plan_kind {
    planned,  ///< restarts by SIGTERM, configuration changes, leaving workers: no request may be lost
    faults,   ///< faults alone and overlapping
    both
};

/// Draws events from a seed and brings them about. Each kind of event is a row of a table.
class fault_plan {
public:
    fault_plan(deployment& world, promises& checks, plan_kind kind, std::uint64_t seed);

    /// Draws events until `stop` is called, then heals everything.
    net::awaitable<void> run(clock::time_point until);
    /// No event is in progress and every instance runs.
    net::awaitable<void> heal();

private:
    struct event {
        const char* name;
        bool planned;
        /// Brings the event about and undoes it.
        net::awaitable<void> (fault_plan::*run)();
    };

    static const std::vector<event>& events();
    net::awaitable<void> guarded(event chosen);

    // Instances
    net::awaitable<void> kill_one();
    net::awaitable<void> kill_all();
    net::awaitable<void> pause_one();
    net::awaitable<void> stop_one();
    net::awaitable<void> roll();
    // Network
    net::awaitable<void> cut_data_centre();
    net::awaitable<void> cut_one();
    net::awaitable<void> cut_one_way();
    net::awaitable<void> delay_peers();
    net::awaitable<void> reset_peers();
    net::awaitable<void> silence_peers();
    // Store
    net::awaitable<void> store_silent();
    net::awaitable<void> store_refuses();
    net::awaitable<void> store_resets();
    net::awaitable<void> store_slow();
    net::awaitable<void> store_loses_answers();
    net::awaitable<void> store_revokes();
    net::awaitable<void> store_forgets();
    net::awaitable<void> cut_from_store();
    net::awaitable<void> entries_lapse();
    // Workers
    net::awaitable<void> worker_crash();
    net::awaitable<void> worker_leaves();
    net::awaitable<void> change_capacities();
    net::awaitable<void> workers_silent();
    net::awaitable<void> workers_slow();
    net::awaitable<void> workers_fail();
    net::awaitable<void> workers_hang();
    net::awaitable<void> workers_lose_answers();
    net::awaitable<void> workers_late();
    // Operator
    net::awaitable<void> configure();
    net::awaitable<void> configure_often();

    net::awaitable<void> store_fault(stand_ins::store_faults faults);
    net::awaitable<void> worker_fault(const std::function<void(stand_ins::worker_faults&)>& change);
    net::awaitable<void> peer_fault(const std::vector<std::size_t>& side, stand_ins::direction_faults there,
                                    stand_ins::direction_faults back);
    net::awaitable<void> wait(milliseconds least, milliseconds most);
    std::optional<std::size_t> pick(deployment::state wanted);
    std::size_t pick_worker() { return m_random.below(m_world.workers().size()); }

    deployment& m_world;
    promises& m_checks;
    plan_kind m_kind;
    random_source m_random;
    random_source m_capacity_random;
    std::size_t m_in_progress = 0;
    bool m_stopping = false;
    bool m_store_faulty = false;
    bool m_capacities_change = false;
};

}  // namespace poplarshed::soak
