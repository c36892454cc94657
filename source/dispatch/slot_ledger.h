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

/// What one other instance of the data centre last told, and the slots that have changed hands with it.
struct peer_entry {
    time_point last_message;
    std::map<service_id, std::uint32_t> wanted;
    std::uint32_t idle = 0;
    std::uint32_t held = 0;
    std::map<workspace_id, std::uint32_t> workspaces;
    double target = 0.0;  ///< slots that the peer should hold
    std::map<runner_index, std::uint32_t> lent_to;
    std::map<runner_index, std::uint32_t> borrowed_from;
};

/// Slots lent to and borrowed from other instances. The owner of a slot counts it as lent until it is
/// returned or the borrower has been silent for `silence`, so that a slot has one user at a time.
class slot_ledger {
public:
    /// Longest silence of a borrower or lender before its loans end.
    static constexpr seconds peer_timeout{3};

    explicit slot_ledger(runner_table& runners) : m_runners(&runners) {}

    void set_position(peer_position position);
    peer_position position() const { return m_position; }
    bool is_current_view(std::uint32_t from, std::uint32_t peers) const;

    void record_demand(const slot_demand& message, time_point now);
    /// Idle slots kept back from lending: the first `spared` that are faster than `fast_seconds`.
    struct reserve {
        double slots = 0.0;
        double fast_seconds = 0.0;
    };
    /// Lends idle slots to a peer that wants them. @returns a grant, empty if nothing was lent
    slot_grant lend(std::uint32_t to, service_index service, const service_demand& demand, reserve reserved);
    /// Part of `demand` that this instance should lend out of its idle slots.
    service_demand lendable_part(std::uint32_t borrower, service_demand demand) const;
    /// Takes lent or returned slots. @returns slots of runners not known here, to be given back
    slot_grant apply_grant(const slot_grant& message, time_point now);
    /// Idle borrowed slots, to be returned.
    /// @param only_wanted only to owners that want slots themselves, as far as this instance holds too many
    std::vector<std::pair<std::uint32_t, slot_grant>> return_borrowed(bool only_if_wanted);
    /// Divides the slots among the instances that want more, by the claims of the workspaces that have work
    /// there.
    void update_targets(fair_queue& queue);
    /// Slots beyond this instance's part while others lack theirs.
    double surplus() const { return static_cast<double>(m_runners->held_slots()) - m_target; }
    /// Peer that lacks most of its part; nothing if none does.
    std::optional<std::uint32_t> most_underserved_peer() const;
    /// Part of the slots of the data centre that falls to a workspace's work at this instance.
    double expected_share(const fair_queue& queue, const workspace_id& workspace, double tasks) const;
    /// Ends loans with silent peers.
    void on_timer(time_point now);

    bool has_borrowed() const { return m_borrowed > 0; }
    std::uint32_t idle_elsewhere() const;
    const std::map<std::uint32_t, peer_entry>& peers() const { return m_peers; }

private:
    void end_loans(peer_entry& peer);
    double work_of(const workspace_id& workspace) const;

    runner_table* m_runners;
    peer_position m_position;
    std::map<std::uint32_t, peer_entry> m_peers;
    std::size_t m_borrowed = 0;
    double m_target = 0.0;
};

}  // namespace poplarshed::dispatch
