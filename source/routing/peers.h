#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "routing/types.h"

namespace poplarshed::routing {

/// Least interval between two statuses to one peer.
inline constexpr milliseconds min_status_interval{60};
/// Longest interval between two instances that share a job: each must soon notice that the other is gone.
inline constexpr milliseconds job_peer_status_interval{150};
/// A peer without a status for its promised interval and this time counts as down. Nine lost statuses at the
/// least interval, or a pause of the sender.
inline constexpr milliseconds status_timeout_margin{540};
/// Longest silence after which an instance that shares a job counts as down.
inline constexpr milliseconds job_peer_status_timeout = job_peer_status_interval + status_timeout_margin;
static_assert(workers::offer_validity >= job_peer_status_timeout + job_peer_status_interval);
/// A peer that was heard in this time is expected to be there, for the count of those that should be heard.
inline constexpr milliseconds peer_retention_time{30'000};

/// What the instances say of themselves, and how long ago.
class peer_table {
public:
    struct peer {
        workers::instance_status status;
        time_point last_status_at;
        bool reported_unreachable = false;
        bool disconnected = false;  ///< the connection has ended since

        /// Time without a status after which the peer counts as down.
        milliseconds status_timeout() const
        {
            return std::max(status.next, min_status_interval) + status_timeout_margin;
        }

        bool is_live(time_point now) const
        {
            return !disconnected && now - last_status_at <= status_timeout();
        }
    };

    explicit peer_table(endpoint self, data_centre_id data_centre);

    void on_status(time_point now, const workers::instance_status& status);
    /// The connection was closed or refused; the peer counts as silent until its next status.
    void on_disconnected(const endpoint& address);
    /// Peers that have become silent since the last call.
    std::vector<endpoint> newly_unreachable(time_point now);

    bool is_live(time_point now, const endpoint& address) const;
    /// Clock of a peer in its last status; 0 for an unknown peer.
    milliseconds clock(const endpoint& address) const;
    /// Time since the last status; nothing for an unknown peer.
    std::optional<milliseconds> status_age(time_point now, const endpoint& address) const;
    /// Live instances that are not leaving, this one excluded.
    std::vector<const workers::instance_status*> live(time_point now) const;
    /// True if at least half of the other instances that should be there are heard.
    bool reaches_at_least_half(time_point now) const;
    /// True if no live instance that meets a condition has a lower address than this one.
    bool has_lowest_address(time_point now,
                            const std::function<bool(const workers::instance_status&)>& condition) const;
    /// The live instance that holds a pool with the highest token, and its load. Leaving holders come last.
    const workers::pool_load* holder(time_point now, const pool_id& pool, endpoint& address) const;
    /// Calls back for the best holder of each pool of a service.
    void for_each_pool(
        time_point now, const service_id& service,
        const std::function<void(const workers::instance_status&, const workers::pool_load&)>& call) const;
    /// This instance's own status stands in the table like a peer's.
    const endpoint& self() const { return m_self; }
    const data_centre_id& data_centre() const { return m_data_centre; }
    const std::map<endpoint, peer>& all() const { return m_peers; }

private:
    struct pool_holder {
        const workers::instance_status* peer = nullptr;
        const workers::pool_load* load = nullptr;
    };
    using holder_index = std::map<pool_id, pool_holder>;

    /// The best holder of each pool. Asked for several times for each job, so it is kept until a status
    /// arrives or time goes on.
    const holder_index& holders(time_point now) const;

    endpoint m_self;
    data_centre_id m_data_centre;
    std::map<endpoint, peer> m_peers;
    mutable holder_index m_holders;
    mutable std::optional<time_point> m_holders_at;
};

}  // namespace poplarshed::routing
