#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/common.h"
#include "configuration/bundle.h"
#include "configuration/documents.h"

namespace poplarshed::configuration {

/// Timing of the roll-out at one instance.
struct rollout_options {
    /// Interval between reads of the pointer. Two reads, one of them lost, and one lost fetch fit into
    /// the 7 s within which every instance must apply a new version.
    duration poll_interval = seconds(2);
    /// Timeout of a fetch or of a read of the pointer.
    duration answer_timeout = seconds(1);
    /// Delay before a source is retried after its first failure; doubles with each failure, up to 8 times
    /// this.
    duration retry_delay = milliseconds(100);
    /// Time after the start during which nothing is fetched, so that a stale read of the platform is not
    /// preferred to a peer with a newer version. Ends early once the platform and a peer have answered.
    duration start_grace = seconds(1);
    /// Time after the start during which the first bundle must be the newest known version. Later an older
    /// one is accepted, since a version that no source can provide must not keep the instance from becoming
    /// ready.
    duration start_limit = seconds(3);
    /// Whether other instances are configured; without them start_grace does not apply.
    bool expects_peers = true;
};

/// Action: read the pointer document; the result goes to on_pointer() or on_pointer_failed().
struct read_pointer {
    bool operator==(const read_pointer&) const = default;
};

/// Action: read a bundle from the platform; the result goes to on_bundle() or on_fetch_failed().
struct fetch_from_platform {
    configuration_version version;

    bool operator==(const fetch_from_platform&) const = default;
};

/// Action: request a bundle from a peer; the response goes to on_bundle().
struct pull_from_peer {
    endpoint peer;
    configuration_version version;

    bool operator==(const pull_from_peer&) const = default;
};

/// Action: put this bundle in force.
struct apply_bundle {
    bundle content;

    bool operator==(const apply_bundle&) const = default;
};

/// Action: log and count a bundle that was rejected because its digest differs from the one in the pointer.
struct bundle_rejected {
    configuration_version version;

    bool operator==(const bundle_rejected&) const = default;
};

using rollout_action =
    std::variant<read_pointer, fetch_from_platform, pull_from_peer, apply_bundle, bundle_rejected>;
using rollout_actions = std::vector<rollout_action>;

/// Decides which configuration version is in force at this instance. The version never decreases. No I/O;
/// every call belongs to the core thread.
class rollout {
public:
    rollout(const rollout_options& options, std::uint64_t seed, time_point now);

    /// Result of a read or a watch notification. `document` is std::nullopt if no version was ever rolled
    /// out.
    rollout_actions on_pointer(const std::optional<pointer>& document, time_point now);
    /// The read of the pointer failed.
    rollout_actions on_pointer_failed(time_point now);
    /// A peer's heartbeat named its version in force; 0 means that the peer has none yet.
    rollout_actions on_peer_version(const endpoint& peer, configuration_version version, time_point now);
    /// The connection to a peer was closed.
    rollout_actions on_peer_disconnected(const endpoint& peer, time_point now);
    /// A valid bundle arrived from the platform or a peer, whether requested or not.
    rollout_actions on_bundle(const bundle& content, time_point now);
    /// The fetch in progress failed: error, missing key or malformed bundle.
    rollout_actions on_fetch_failed(time_point now);
    /// Call when the time next_timer() is reached.
    rollout_actions on_timer(time_point now);

    /// Time at which on_timer() must be called next.
    time_point next_timer() const;
    /// Version in force; 0 before the first bundle.
    configuration_version in_force() const { return m_in_force; }
    /// Whether a configuration is in force; an instance without one is not ready.
    bool ready() const { return m_in_force.value() != 0; }
    /// Newest version that the platform or a peer has named.
    configuration_version newest_known() const { return m_newest_known; }

private:
    /// What a peer or the platform offers.
    struct source {
        configuration_version version;
        unsigned failures = 0;  ///< failed fetches of this version
    };
    struct fetch {
        endpoint from;
        configuration_version version;
        time_point started;
    };

    /// Starts a fetch if none is in progress and a source offers a wanted version.
    void start_fetch(rollout_actions& out, time_point now);
    void note_version(configuration_version version);
    bool in_start_grace(time_point now) const;
    /// Lowest version that may be applied at this time.
    configuration_version lowest_applicable(time_point now) const;
    std::optional<endpoint> choose_source(time_point now);
    /// Records the failure of the fetch in progress, if any, and schedules the retry.
    void fail_fetch(time_point now);
    duration retry_delay() const;

    rollout_options m_options;
    random_source m_random;
    configuration_version m_in_force;
    configuration_version m_newest_known;
    std::optional<pointer> m_pointer;
    std::map<endpoint, source> m_sources;  // by peer address; the platform has the empty endpoint
    std::optional<fetch> m_fetch;
    time_point m_started;
    time_point m_next_poll;
    time_point m_retry_at;
    time_point m_last_call;
    bool m_platform_answered = false;
    bool m_peer_answered = false;
};

}  // namespace poplarshed::configuration
