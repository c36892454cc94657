#pragma once

#include <map>
#include <set>
#include <vector>

#include "routing/peers.h"

namespace poplarshed::routing {

/// A status to send, and the time within which the next one follows.
struct due_status {
    endpoint to;
    milliseconds interval{};

    bool operator==(const due_status&) const = default;
};

/// Decides how often each peer gets this instance's status. Load pattern: hundreds of instances, where a full
/// exchange every 60 ms would take all their processor time. Holders of pools speak most, and mostly to their
/// own data centre; intervals grow with the number of speakers, so that what an instance receives is bounded.
class status_schedule {
public:
    struct view {
        const peer_table& peers;
        const std::vector<endpoint>& targets;  ///< instances that this one may send to
        const std::set<endpoint>& job_peers;   ///< that share a job with this one
        bool sends_often = false;              ///< holds pools, or passes the directory on
    };

    std::vector<due_status> due(time_point now, const view& state);
    /// A status was sent out of turn.
    void on_sent(time_point now, const due_status& sent);
    /// True if the peer counts this instance as down only after related_silence_limit or sooner.
    bool has_job_peer_interval(time_point now, const endpoint& to) const;

private:
    struct promise {
        time_point sent;
        milliseconds interval{};
    };

    std::map<endpoint, promise> m_sent;
};

}  // namespace poplarshed::routing
