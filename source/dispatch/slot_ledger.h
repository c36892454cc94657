#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "dispatch/fair_queue.h"
#include "dispatch/messages.h"
#include "dispatch/runner_table.h"

namespace poplarshed::dispatch {

/// Last report of one other entry instance of the data centre, and the slots lent to and borrowed from it.
struct peer_entry {
    time_point last_message;                           ///< arrival of its last message
    std::map<service_id, std::uint32_t> wanted;        ///< waiting tasks by service
    std::uint32_t idle = 0;                            ///< its free slots
    std::uint32_t held = 0;                            ///< slots that it may use, busy or not
    std::map<workspace_id, std::uint32_t> workspaces;  ///< waiting and running tasks by workspace
    double target = 0.0;  ///< slots that the peer should have by the shares of its workspaces
    std::map<runner_index, std::uint32_t> lent_to;
    std::map<runner_index, std::uint32_t> borrowed_from;
};

/// Slots lent to and borrowed from other instances. The owner of a slot counts it as lent until the slot is
/// returned or no message of the borrower arrived for `peer_timeout`, so that a slot has one user at a time.
class slot_ledger {
public:
    /// Time without a message of a borrower or lender after which the loans to and from it end.
    static constexpr seconds peer_timeout{3};

    explicit slot_ledger(runner_table& runners) : m_runners(&runners) {}

    /// Sets the position of this instance and drops all loans.
    void set_position(peer_position position);
    peer_position position() const { return m_position; }
    /// True if a message comes from another instance with the same number of instances in its view.
    bool is_current_view(std::uint32_t from, std::uint32_t peers) const;

    /// Stores the report of a peer.
    void record_demand(const slot_demand& message, time_point now);
    /// Idle slots that are not lent: the first `slots` of those with an expected run time below
    /// `fast_seconds`.
    struct reserve {
        double slots = 0.0;
        double fast_seconds = 0.0;
    };
    /// Lends idle slots to a peer with demand for them. @returns a grant without slots if nothing was lent
    slot_grant lend(std::uint32_t to, service_index service, const service_demand& demand, reserve reserved);
    /// Part of `demand` that this instance should lend, in proportion to its part of all idle slots.
    service_demand lendable_part(std::uint32_t borrower, service_demand demand) const;
    /// Applies a grant of lent or returned slots. @returns slots of runners that are not listed here, to be
    ///     returned to their owner
    slot_grant apply_grant(const slot_grant& message, time_point now);
    /// Ends the loans of idle borrowed slots. @returns grants that return the slots, by index of the owner
    /// @param only_if_wanted returns only the surplus of this instance, and only to owners with demand
    std::vector<std::pair<std::uint32_t, slot_grant>> return_borrowed(bool only_if_wanted);
    /// Computes the target number of slots of each instance from the shares of the workspaces that have tasks
    /// there.
    void update_targets(fair_queue& queue);
    /// Slots of this instance beyond its target; negative below it.
    double surplus() const { return static_cast<double>(m_runners->held_slots()) - m_target; }
    /// Peer with demand that is furthest below its target; nothing if none is more than one slot below it.
    std::optional<std::uint32_t> most_underserved_peer() const;
    /// Expected part of the data centre's slots for the tasks of a workspace at this instance, if it has
    /// `tasks` tasks here.
    double expected_share(const fair_queue& queue, const workspace_id& workspace, double tasks) const;
    /// Ends the loans to and from peers that are unreachable for `peer_timeout`.
    void on_timer(time_point now);

    bool has_borrowed() const { return m_borrowed > 0; }
    /// Idle slots reported by peers without demand.
    std::uint32_t idle_elsewhere() const;
    const std::map<std::uint32_t, peer_entry>& peers() const { return m_peers; }

private:
    /// Ends the loans to and from a peer and drops its report.
    void end_loans(peer_entry& peer);
    /// Tasks of the workspace at all peers.
    double tasks_at_peers(const workspace_id& workspace) const;

    runner_table* m_runners;
    peer_position m_position;
    std::map<std::uint32_t, peer_entry> m_peers;
    std::size_t m_borrowed = 0;  ///< slots
    double m_target = 0.0;       ///< slots that this instance should have
};

}  // namespace poplarshed::dispatch
