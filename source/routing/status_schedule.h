#pragma once

#include <map>
#include <set>
#include <vector>

#include "routing/peers.h"

namespace poplarshed::routing {

/// A status to send, and the announced interval until the next one.
struct due_status {
    endpoint to;
    milliseconds interval{};

    bool operator==(const due_status&) const = default;
};

/// Decides how often each peer gets this instance's status. With hundreds of instances, a status from each to
/// each every 60 ms would take all their processor time. Holders of pools and directory sources send most
/// often, especially within their own data centre. The intervals increase with the number of senders, so that
/// the number of statuses that an instance receives is bounded.
class status_schedule {
public:
    struct view {
        const peer_table& peers;
        const std::vector<endpoint>& targets;  ///< instances that this one may send to
        const std::set<endpoint>& job_peers;   ///< instances that share a job with this one
        bool sends_often = false;              ///< holds pools, or is a directory source
    };

    /// Statuses to send now; records them as sent.
    std::vector<due_status> due(time_point now, const view& state);
    /// A status was sent apart from the schedule.
    void on_sent(time_point now, const due_status& sent);
    /// True if an interval of at most job_peer_status_interval was announced to the peer and has not passed
    /// yet; the peer then detects within job_peer_status_timeout that this instance is unreachable.
    bool has_job_peer_interval(time_point now, const endpoint& to) const;

private:
    struct announcement {
        time_point sent;
        milliseconds interval{};
    };

    std::map<endpoint, announcement> m_sent;
};

}  // namespace poplarshed::routing
