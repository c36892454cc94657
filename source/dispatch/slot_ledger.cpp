#include "dispatch/slot_ledger.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::dispatch {

void slot_ledger::set_position(peer_position position)
{
    m_position = position;
    m_peers.clear();
    m_borrowed = 0;
}

bool slot_ledger::is_current_view(std::uint32_t from, std::uint32_t peers) const
{
    return peers == m_position.count && from < peers && from != m_position.index;
}

void slot_ledger::record_demand(const slot_demand& message, time_point now)
{
    peer_entry& peer = m_peers[message.from];
    peer.last_message = now;
    peer.idle = message.idle;
    peer.held = message.held;
    peer.workspaces.clear();
    for (const workspace_demand& demand : message.workspaces) {
        peer.workspaces[demand.workspace] = std::max(demand.tasks, 1U);
    }
    peer.wanted.clear();
    for (const service_demand& demand : message.wanted) {
        peer.wanted[demand.service] = demand.wanted;
    }
}

service_demand slot_ledger::lendable_part(std::uint32_t borrower, service_demand demand) const
{
    const double own = static_cast<double>(m_runners->idle_slots());
    double all = own;
    for (const auto& [index, peer] : m_peers) {
        all += index == borrower ? 0.0 : peer.idle;
    }
    const double part = all > 0.0 ? demand.wanted * own / all : 0.0;
    demand.wanted = static_cast<std::uint32_t>(std::min(std::ceil(part), own));
    return demand;
}

double slot_ledger::tasks_at_peers(const workspace_id& workspace) const
{
    double work = 0.0;
    for (const auto& [index, peer] : m_peers) {
        const auto found = peer.workspaces.find(workspace);
        work += found == peer.workspaces.end() ? 0.0 : found->second;
    }
    return work;
}

void slot_ledger::update_targets(fair_queue& queue)
{
    const std::vector<workspace_demand> own = queue.demand();
    std::map<workspace_id, double> own_tasks;
    double own_claim = 0.0;
    for (const workspace_demand& demand : own) {
        const double local_share = demand.tasks / (demand.tasks + tasks_at_peers(demand.workspace));
        queue.set_local_share(demand.workspace, local_share);
        own_claim += queue.entitled_share(demand.workspace) * local_share;
        own_tasks[demand.workspace] = demand.tasks;
    }
    double claims = own_claim;
    double slots = own.empty() ? 0.0 : static_cast<double>(m_runners->held_slots());
    for (auto& [index, peer] : m_peers) {
        peer.target = 0.0;
        for (const auto& [workspace, tasks] : peer.workspaces) {
            const auto here = own_tasks.find(workspace);
            const double all = tasks_at_peers(workspace) + (here == own_tasks.end() ? 0.0 : here->second);
            peer.target += queue.entitled_share(workspace) * tasks / all;
        }
        claims += peer.target;
        slots += peer.workspaces.empty() ? 0.0 : peer.held;
    }
    const double unit = claims > 0.0 ? slots / claims : 0.0;
    m_target = own_claim * unit;
    for (auto& [index, peer] : m_peers) {
        peer.target *= unit;
    }
}

std::optional<std::uint32_t> slot_ledger::most_underserved_peer() const
{
    std::optional<std::uint32_t> found;
    double largest = 1.0;
    for (const auto& [index, peer] : m_peers) {
        const double deficit = peer.wanted.empty() ? 0.0 : peer.target - peer.held;
        if (deficit > largest) {
            largest = deficit;
            found = index;
        }
    }
    return found;
}

double slot_ledger::expected_share(const fair_queue& queue, const workspace_id& workspace, double tasks) const
{
    std::map<workspace_id, double> active{{workspace, queue.entitled_share(workspace)}};
    for (const workspace_demand& demand : queue.demand()) {
        active[demand.workspace] = queue.entitled_share(demand.workspace);
    }
    for (const auto& [index, peer] : m_peers) {
        for (const auto& [id, count] : peer.workspaces) {
            active[id] = queue.entitled_share(id);
        }
    }
    double claims = 0.0;
    for (const auto& [id, claim] : active) {
        claims += claim;
    }
    return active[workspace] / std::max(claims, 1e-9) * tasks / (tasks + tasks_at_peers(workspace));
}

slot_grant slot_ledger::lend(std::uint32_t to, service_index service, const service_demand& demand,
                             reserve reserved)
{
    slot_grant grant{.from = m_position.index, .peers = m_position.count, .returned = false, .slots = {}};
    std::vector<std::pair<runner_index, std::uint32_t>> chosen;
    std::uint32_t wanted = demand.wanted;
    const double longest = std::chrono::duration<double>(demand.longest_run).count();
    for (const auto& [time, index] : m_runners->idle(service)) {
        if (wanted == 0 || (longest > 0.0 && time > longest)) {
            break;
        }
        const std::uint32_t free = m_runners->free_slots(index);
        const auto reserved_here =
            time < reserved.fast_seconds ? std::min(free, static_cast<std::uint32_t>(reserved.slots)) : 0;
        reserved.slots -= reserved_here;
        const std::uint32_t slots = std::min(free - reserved_here, wanted);
        if (slots > 0 && m_runners->state(index) == runner_state::open) {
            chosen.emplace_back(index, slots);
            wanted -= slots;
        }
    }
    peer_entry& peer = m_peers[to];
    for (const auto& [index, slots] : chosen) {
        m_runners->lend(index, static_cast<std::int32_t>(slots));
        peer.lent_to[index] += slots;
        peer.held += slots;
        grant.slots.push_back({m_runners->listed(index).address, slots});
    }
    return grant;
}

slot_grant slot_ledger::apply_grant(const slot_grant& message, time_point now)
{
    slot_grant unknown{.from = m_position.index, .peers = m_position.count, .returned = true, .slots = {}};
    peer_entry& peer = m_peers[message.from];
    peer.last_message = now;
    for (const lent_slots& moved : message.slots) {
        const auto index = m_runners->find(moved.runner);
        if (!index) {
            unknown.slots.push_back(moved);
            continue;
        }
        if (!message.returned) {
            peer.borrowed_from[*index] += moved.slots;
            m_borrowed += moved.slots;
            m_runners->lend(*index, -static_cast<std::int32_t>(moved.slots));
            continue;
        }
        // Slots of a loan that has already ended here must not be counted as returned again.
        const auto loan = peer.lent_to.find(*index);
        const std::uint32_t back = loan == peer.lent_to.end() ? 0 : std::min(loan->second, moved.slots);
        if (back > 0) {
            m_runners->lend(*index, -static_cast<std::int32_t>(back));
            loan->second -= back;
            peer.held -= std::min(peer.held, back);
        }
    }
    return unknown;
}

std::vector<std::pair<std::uint32_t, slot_grant>> slot_ledger::return_borrowed(bool only_if_wanted)
{
    std::vector<std::pair<std::uint32_t, slot_grant>> grants;
    double remaining = only_if_wanted ? surplus() : 1e9;
    for (auto& [lender, peer] : m_peers) {
        if (only_if_wanted && (peer.wanted.empty() || remaining < 1.0)) {
            continue;
        }
        slot_grant grant{.from = m_position.index, .peers = m_position.count, .returned = true, .slots = {}};
        for (auto loan = peer.borrowed_from.begin(); loan != peer.borrowed_from.end();) {
            const std::uint32_t idle = std::min({m_runners->unused_slots(loan->first), loan->second,
                                                 static_cast<std::uint32_t>(std::max(remaining, 0.0))});
            if (idle > 0) {
                m_runners->lend(loan->first, static_cast<std::int32_t>(idle));
                grant.slots.push_back({m_runners->listed(loan->first).address, idle});
                loan->second -= idle;
                m_borrowed -= idle;
                peer.held += idle;
                remaining -= idle;
            }
            loan = loan->second == 0 ? peer.borrowed_from.erase(loan) : std::next(loan);
        }
        if (!grant.slots.empty()) {
            grants.emplace_back(lender, std::move(grant));
        }
    }
    return grants;
}

void slot_ledger::end_loans(peer_entry& peer)
{
    for (const auto& [index, slots] : peer.lent_to) {
        m_runners->lend(index, -static_cast<std::int32_t>(slots));
    }
    for (const auto& [index, slots] : peer.borrowed_from) {
        m_runners->lend(index, static_cast<std::int32_t>(slots));
        m_borrowed -= slots;
    }
    peer = {};
}

void slot_ledger::on_timer(time_point now)
{
    for (auto& [index, peer] : m_peers) {
        if (peer.last_message != time_point() && now - peer.last_message > peer_timeout) {
            end_loans(peer);
        }
    }
}

std::uint32_t slot_ledger::idle_elsewhere() const
{
    std::uint32_t idle = 0;
    for (const auto& [index, peer] : m_peers) {
        idle += peer.wanted.empty() ? peer.idle : 0;
    }
    return idle;
}

}  // namespace poplarshed::dispatch
