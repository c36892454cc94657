#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "routing/types.h"

namespace poplarshed::routing {

/// Minimum interval between two statuses to one peer.
inline constexpr milliseconds min_status_interval{60};
/// Maximum status interval between two instances that share a job, so that each soon detects when the other
/// is unreachable.
inline constexpr milliseconds job_peer_status_interval{150};
/// A peer counts as unreachable when no status has arrived for its announced interval plus this time. Allows
/// for nine lost statuses at the minimum interval, or for a pause of the sending process.
inline constexpr milliseconds status_timeout_margin{540};
/// An instance that shares a job counts as unreachable after this time without a status.
inline constexpr milliseconds job_peer_status_timeout = job_peer_status_interval + status_timeout_margin;
static_assert(workers::offer_validity >= job_peer_status_timeout + job_peer_status_interval);
/// Statuses arrive within this time after they are due.
inline constexpr milliseconds status_delay{100};
/// The connection to a peer is replaced when no status has arrived for its announced interval plus this time:
/// a connection may lose its data without an error.
inline constexpr milliseconds silent_connection_timeout{1500};
/// A peer stays in the table for this time after its last status, and counts among the expected peers.
inline constexpr milliseconds peer_retention_time{30'000};

/// Last status of each instance, and when it arrived.
class peer_table {
public:
    struct peer {
        workers::instance_status status;
        time_point last_status_at;
        time_point silent_since;  ///< last status, or when the connection was last replaced
        bool reported_unreachable = false;
        bool reported_timed_out = false;
        bool disconnected = false;  ///< the connection was closed or refused after the last status

        /// Time without a status after which the peer counts as unreachable.
        milliseconds status_timeout() const
        {
            return std::max(status.next_status_within, min_status_interval) + status_timeout_margin;
        }

        bool has_timed_out(time_point now) const { return now - last_status_at > status_timeout(); }

        bool is_live(time_point now) const { return !disconnected && !has_timed_out(now); }
    };

    explicit peer_table(endpoint self, data_centre_id data_centre);

    void on_status(time_point now, const workers::instance_status& status);
    /// The connection was closed or refused; the peer counts as unreachable until its next status.
    void on_disconnected(const endpoint& address);
    /// Peers that have become unreachable since the last call; each is returned once. Also removes peers
    /// without a status for peer_retention_time.
    std::vector<endpoint> newly_unreachable(time_point now);

    /// Peers whose statuses have timed out since the last call; each is returned once. Unlike an unreachable
    /// peer, one whose connection was just closed is not among them.
    std::vector<endpoint> newly_timed_out(time_point now);

    /// Peers whose connection is to be replaced now; each is returned once in silent_connection_timeout.
    std::vector<endpoint> silent_connections(time_point now);

    bool is_live(time_point now, const endpoint& address) const;
    /// Clock of a peer in its last status; 0 for an unknown peer.
    milliseconds clock(const endpoint& address) const;
    /// Time since the last status; nothing for an unknown peer.
    std::optional<milliseconds> status_age(time_point now, const endpoint& address) const;
    /// Live instances that are not leaving, this one excluded.
    std::vector<const workers::instance_status*> live(time_point now) const;
    /// True if at least half of the other instances in the table are live.
    bool reaches_at_least_half(time_point now) const;
    /// True if at least half of the instances whose status was due since a time have sent one. An instance
    /// that was cut off then still counts those as live that rarely send a status.
    bool has_statuses_of_half(time_point now, time_point since) const;
    /// True if no other live instance that meets a condition has a lower address than this one.
    bool has_lowest_address(time_point now,
                            const std::function<bool(const workers::instance_status&)>& condition) const;
    /// Load and address of the live instance that holds a pool with the highest token; nullptr if there is
    /// none. A leaving holder is returned only if there is no other.
    const workers::pool_load* holder(time_point now, const pool_id& pool, endpoint& address) const;
    /// Calls `visit` with the holder of each pool of a service; the choice of the holder is that of holder().
    void for_each_pool(
        time_point now, const service_id& service,
        const std::function<void(const workers::instance_status&, const workers::pool_load&)>& visit) const;
    /// The same for the holders that all instances expect: one whose connection was closed counts until its
    /// statuses time out, and a leaving one like any other. Instances see connections close at different
    /// moments.
    void for_each_expected_holder(
        time_point now, const service_id& service,
        const std::function<void(const workers::instance_status&, const workers::pool_load&)>& visit) const;
    /// Address of this instance. Its own status is in the table like a peer's.
    const endpoint& self() const { return m_self; }
    const data_centre_id& data_centre() const { return m_data_centre; }
    const std::map<endpoint, peer>& all() const { return m_peers; }

private:
    struct pool_holder {
        const workers::instance_status* peer = nullptr;
        const workers::pool_load* load = nullptr;
    };
    using holder_index = std::map<pool_id, pool_holder>;

    /// Cached until a status arrives or `now` changes, because it is needed several times for each job.
    struct cached_index {
        holder_index holders;
        std::optional<time_point> at;
    };

    /// The holder of each pool.
    const holder_index& holders(time_point now) const;
    const holder_index& expected_holders(time_point now) const;
    void clear_indices();

    endpoint m_self;
    data_centre_id m_data_centre;
    std::map<endpoint, peer> m_peers;
    mutable cached_index m_holders;
    mutable cached_index m_expected_holders;
};

}  // namespace poplarshed::routing
