#include "routing/peers.h"

#include <algorithm>

namespace poplarshed::routing {

peer_table::peer_table(endpoint self, data_centre_id data_centre)
    : m_self(std::move(self)), m_data_centre(std::move(data_centre))
{}

void peer_table::on_status(time_point now, const workers::instance_status& status)
{
    peer& entry = m_peers[status.address];
    entry.status = status;
    entry.last_status_at = now;
    entry.silent_since = now;
    entry.reported_unreachable = false;
    entry.reported_timed_out = false;
    entry.disconnected = false;
    clear_indices();
}

void peer_table::on_disconnected(const endpoint& address)
{
    const auto found = m_peers.find(address);
    if (found != m_peers.end()) {
        found->second.disconnected = true;
        clear_indices();
    }
}

std::vector<endpoint> peer_table::newly_unreachable(time_point now)
{
    std::vector<endpoint> unreachable;
    for (auto& [address, entry] : m_peers) {
        if (address != m_self && !entry.reported_unreachable && !entry.is_live(now)) {
            entry.reported_unreachable = true;
            unreachable.push_back(address);
        }
    }
    clear_indices();
    std::erase_if(m_peers, [now](const auto& entry) {
        return now - entry.second.last_status_at > peer_retention_time;
    });
    return unreachable;
}

std::vector<endpoint> peer_table::newly_timed_out(time_point now)
{
    std::vector<endpoint> timed_out;
    for (auto& [address, entry] : m_peers) {
        if (address != m_self && !entry.reported_timed_out && entry.has_timed_out(now)) {
            entry.reported_timed_out = true;
            timed_out.push_back(address);
        }
    }
    return timed_out;
}

std::vector<endpoint> peer_table::silent_connections(time_point now)
{
    std::vector<endpoint> silent;
    for (auto& [address, entry] : m_peers) {
        const milliseconds interval = std::max(entry.status.next_status_within, min_status_interval);
        if (address != m_self && now > entry.silent_since + interval + silent_connection_timeout) {
            entry.silent_since = now;
            silent.push_back(address);
        }
    }
    return silent;
}

bool peer_table::is_live(time_point now, const endpoint& address) const
{
    const auto found = m_peers.find(address);
    return found != m_peers.end() && found->second.is_live(now);
}

milliseconds peer_table::clock(const endpoint& address) const
{
    const auto found = m_peers.find(address);
    return found == m_peers.end() ? milliseconds(0) : found->second.status.clock;
}

std::optional<milliseconds> peer_table::status_age(time_point now, const endpoint& address) const
{
    const auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - found->second.last_status_at);
}

std::vector<const workers::instance_status*> peer_table::live(time_point now) const
{
    std::vector<const workers::instance_status*> found;
    for (const auto& [address, entry] : m_peers) {
        if (address != m_self && entry.is_live(now) && !entry.status.leaving) {
            found.push_back(&entry.status);
        }
    }
    return found;
}

bool peer_table::reaches_at_least_half(time_point now) const
{
    std::size_t live_count = 0;
    std::size_t others = 0;
    for (const auto& [address, entry] : m_peers) {
        if (address != m_self) {
            ++others;
            live_count += entry.is_live(now) ? 1 : 0;
        }
    }
    return live_count * 2 >= others;
}

bool peer_table::has_statuses_of_half(time_point now, time_point since) const
{
    std::size_t due = 0;
    std::size_t received = 0;
    for (const auto& [address, entry] : m_peers) {
        const milliseconds interval = std::max(entry.status.next_status_within, min_status_interval);
        if (address != m_self && now >= since + interval + status_delay) {
            ++due;
            received += entry.last_status_at > since ? 1 : 0;
        }
    }
    return received * 2 >= due;
}

bool peer_table::has_lowest_address(
    time_point now, const std::function<bool(const workers::instance_status&)>& condition) const
{
    const auto others = live(now);
    return std::none_of(others.begin(), others.end(), [&](const workers::instance_status* other) {
        return other->address < m_self && condition(*other);
    });
}

void peer_table::clear_indices()
{
    m_holders.at.reset();
    m_expected_holders.at.reset();
}

const peer_table::holder_index& peer_table::holders(time_point now) const
{
    if (m_holders.at == now) {
        return m_holders.holders;
    }
    m_holders = {{}, now};
    for (const auto& [from, entry] : m_peers) {
        if (!entry.is_live(now)) {
            continue;
        }
        for (const workers::pool_load& load : entry.status.pools) {
            pool_holder& best = m_holders.holders[load.pool];
            const bool better = best.load == nullptr || (best.peer->leaving && !entry.status.leaving) ||
                                (best.peer->leaving == entry.status.leaving && best.load->token < load.token);
            if (better) {
                best = {&entry.status, &load};
            }
        }
    }
    return m_holders.holders;
}

const peer_table::holder_index& peer_table::expected_holders(time_point now) const
{
    if (m_expected_holders.at == now) {
        return m_expected_holders.holders;
    }
    m_expected_holders = {{}, now};
    for (const auto& [from, entry] : m_peers) {
        if (entry.has_timed_out(now)) {
            continue;
        }
        for (const workers::pool_load& load : entry.status.pools) {
            pool_holder& best = m_expected_holders.holders[load.pool];
            if (best.load == nullptr || best.load->token < load.token) {
                best = {&entry.status, &load};
            }
        }
    }
    return m_expected_holders.holders;
}

const workers::pool_load* peer_table::holder(time_point now, const pool_id& pool, endpoint& address) const
{
    const holder_index& index = holders(now);
    const auto found = index.find(pool);
    if (found == index.end()) {
        return nullptr;
    }
    address = found->second.peer->address;
    return found->second.load;
}

void peer_table::for_each_pool(
    time_point now, const service_id& service,
    const std::function<void(const workers::instance_status&, const workers::pool_load&)>& visit) const
{
    for (const auto& [pool, best] : holders(now)) {
        if (best.load->service == service) {
            visit(*best.peer, *best.load);
        }
    }
}

void peer_table::for_each_expected_holder(
    time_point now, const service_id& service,
    const std::function<void(const workers::instance_status&, const workers::pool_load&)>& visit) const
{
    for (const auto& [pool, best] : expected_holders(now)) {
        if (best.load->service == service) {
            visit(*best.peer, *best.load);
        }
    }
}

}  // namespace poplarshed::routing
