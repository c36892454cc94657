#include "routing/peers.h"

#include <algorithm>

namespace poplarshed::routing {

peer_table::peer_table(endpoint self, data_centre_id data_centre)
    : m_self(std::move(self)), m_data_centre(std::move(data_centre))
{}

void peer_table::on_status(time_point now, const workers::instance_status& status)
{
    peer& item = m_peers[status.address];
    item.status = status;
    item.heard = now;
    item.reported_down = false;
    item.closed = false;
}

void peer_table::on_down(const endpoint& address)
{
    const auto found = m_peers.find(address);
    if (found != m_peers.end()) {
        found->second.closed = true;
    }
}

std::vector<endpoint> peer_table::newly_silent(time_point now)
{
    std::vector<endpoint> silent;
    for (auto& [address, item] : m_peers) {
        if (address != m_self && !item.reported_down && !is_live(now, address)) {
            item.reported_down = true;
            silent.push_back(address);
        }
    }
    std::erase_if(m_peers, [now](const auto& item) { return now - item.second.heard > remembered_time; });
    return silent;
}

bool peer_table::is_live(time_point now, const endpoint& address) const
{
    const auto found = m_peers.find(address);
    return found != m_peers.end() && !found->second.closed &&
           now - found->second.heard <= found->second.silence_limit();
}

std::optional<milliseconds> peer_table::silence(time_point now, const endpoint& address) const
{
    const auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - found->second.heard);
}

std::vector<const workers::instance_status*> peer_table::live(time_point now) const
{
    std::vector<const workers::instance_status*> found;
    for (const auto& [address, item] : m_peers) {
        if (address != m_self && is_live(now, address) && !item.status.leaving) {
            found.push_back(&item.status);
        }
    }
    return found;
}

bool peer_table::hears_most(time_point now) const
{
    std::size_t heard = 0;
    std::size_t others = 0;
    for (const auto& [address, item] : m_peers) {
        if (address != m_self) {
            ++others;
            heard += is_live(now, address) ? 1 : 0;
        }
    }
    return heard * 2 >= others;
}

bool peer_table::is_first(time_point now,
                          const std::function<bool(const workers::instance_status&)>& condition) const
{
    const auto others = live(now);
    return std::none_of(others.begin(), others.end(), [&](const workers::instance_status* other) {
        return other->address < m_self && condition(*other);
    });
}

const workers::pool_load* peer_table::holder(time_point now, const pool_id& pool, endpoint& address) const
{
    const workers::pool_load* best = nullptr;
    bool best_leaves = false;
    for (const auto& [from, item] : m_peers) {
        if (!is_live(now, from)) {
            continue;
        }
        for (const workers::pool_load& load : item.status.pools) {
            if (load.pool != pool) {
                continue;
            }
            const bool leaves = item.status.leaving;
            if (best == nullptr || (best_leaves && !leaves) ||
                (best_leaves == leaves && best->token < load.token)) {
                best = &load;
                best_leaves = leaves;
                address = from;
            }
        }
    }
    return best;
}

void peer_table::each_pool(
    time_point now, const service_id& service,
    const std::function<void(const workers::instance_status&, const workers::pool_load&)>& call) const
{
    for (const auto& [from, item] : m_peers) {
        if (!is_live(now, from)) {
            continue;
        }
        for (const workers::pool_load& load : item.status.pools) {
            endpoint best;
            if (load.service == service && holder(now, load.pool, best) == &load) {
                call(item.status, load);
            }
        }
    }
}

}  // namespace poplarshed::routing
