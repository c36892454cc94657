#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "membership/messages.h"
#include "membership/proposal.h"

namespace poplarshed::membership {

struct member_options {
    milliseconds heartbeat_interval{200};
    /// A member is removed after its lease has been absent and no message has arrived for this long.
    milliseconds removal_grace{3'000};
    /// If two platform snapshots are further apart than this, all removal grace periods restart: after an
    /// outage of the platform the holders of expired leases need time to renew them.
    milliseconds reading_gap{1'500};
    /// Time after which the result of an unanswered compare-and-swap is read back from the platform.
    milliseconds swap_timeout{1'000};
    /// Maximum random delay before a change is proposed, since other instances may propose it too.
    milliseconds proposal_jitter{100};
    /// Time for which the registry keeps claim records.
    milliseconds retention{600'000};
    /// Other data centres, nearest first. An instance that is alone in its data centre takes an instance from
    /// one of them as its second registrar (a borrowed member).
    std::vector<data_centre_id> nearest;
    disabled_rules disabled;
};

/// View read from its platform key, with the revision of the key.
struct platform_view {
    membership::view view;
    key_revision revision;

    bool operator==(const platform_view&) const = default;
};

/// Contents of all platform keys below `membership/`: the views, and the instances with an unexpired lease.
struct platform_snapshot {
    std::map<data_centre_id, platform_view> views;
    std::vector<view_member> live;

    bool operator==(const platform_snapshot&) const = default;
};

/// Result of a compare-and-swap.
enum class swap_status {
    succeeded,
    conflict,  ///< the key had another revision
    unknown,   ///< no response; the write may have taken effect
};

/// Action: send a message to an instance.
struct send_message {
    instance_id to;
    message body;
};

/// Action: write the view key of this instance's data centre by compare-and-swap.
struct propose_view {
    membership::view view;
    key_revision expected;
};

/// Action: read the keys below `membership/` again and report them with on_platform().
struct read_platform {};

/// Action: a newer view was adopted; pass it to the registrar.
struct view_adopted {
    membership::view view;
};

/// Action: the process of an instance is known to have ended; pass it to the registrar.
struct instance_failed {
    instance_id instance;
};

/// Action: the chains of a view may skip a failed member; pass it to the registrar.
struct skip_member {
    data_centre_id home;
    view_epoch epoch;
    instance_id instance;
};

/// Action: the instance is in no view any more and the views without it have settled, so it may exit.
struct may_exit {};

using action = std::variant<send_message, propose_view, read_platform, view_adopted, instance_failed,
                            skip_member, may_exit>;

/// Tracks the views of all data centres and proposes changes of the view of its own data centre. A state
/// machine without I/O: each call returns the actions to take. Not thread-safe: call it only on the core
/// thread, with values of `now` that never decrease. The caller renews the platform lease of the instance and
/// its key `membership/<data centre>/<address>`.
class member {
public:
    member(view_member self, member_options options, random_source random);

    /// Handles a snapshot of the platform keys.
    std::vector<action> on_platform(const platform_snapshot& snapshot, time_point now);
    /// Handles the result of the last propose_view.
    /// @param revision new revision of the key if the swap succeeded
    std::vector<action> on_swap(swap_status status, key_revision revision, time_point now);
    std::vector<action> on_message(const instance_id& from, const message& body, time_point now);
    /// Handles a new link to an instance of any data centre. Heartbeats are sent to the instance while the
    /// link is up, so that an instance that starts during a platform outage receives the views and the
    /// configuration version.
    void on_linked(const instance_id& peer);
    void on_unlinked(const endpoint& address);
    /// Handles evidence from a link on whether the peer's process is still running.
    std::vector<action> on_evidence(const instance_id& peer, evidence observed, time_point now);
    /// Handles the registrar's report that all records it has to transfer for an epoch are acknowledged.
    std::vector<action> on_synced(const data_centre_id& home, view_epoch epoch, time_point now);
    /// Sends heartbeats and proposals that are due. Call it at least every 50 ms.
    std::vector<action> on_timer(time_point now);
    /// Starts to leave: the instance proposes views without itself; may_exit follows once they have settled.
    std::vector<action> leave(time_point now);
    /// Sets the configuration version and job count that the next heartbeats report.
    void set_load(configuration_version version, std::uint32_t jobs_in_flight);

    /// Newest known view of a data centre, or nullptr if none is known.
    const view* find_view(const data_centre_id& home) const;
    /// True if the instance is in the view of its own data centre.
    bool is_member() const;
    /// True if the view of this instance's data centre has fewer than two members.
    bool single_registrar() const;
    /// Number of swaps without a response that a later snapshot showed to have taken effect.
    std::uint64_t recognised_writes() const { return m_recognised_writes; }

private:
    struct view_state {
        membership::view view;
        view_epoch synced;  ///< newest epoch whose records this instance has transferred
        time_point amnesia_adopted;
    };
    struct peer_state {
        time_point last_message = time_point::min();
        std::map<data_centre_id, view_epoch> synced;
        bool draining = false;
    };
    struct skip_key {
        data_centre_id home;
        view_epoch epoch;
        instance_id failed;

        auto operator<=>(const skip_key&) const = default;
    };
    struct pending_swap {
        membership::view view;
        key_revision expected;
        time_point due;                    ///< time to read the key back
        bool read_back_requested = false;  ///< timed out or refused; the next snapshot decides
    };

    void adopt(const view& next, time_point now, std::vector<action>& out);
    void mark_failed(const instance_id& instance, std::vector<action>& out);
    void handle_heartbeat(const instance_id& from, const heartbeat& body, time_point now,
                          std::vector<action>& out);
    void record_confirmations(const instance_id& from, const heartbeat& body);
    void check_skips(std::vector<action>& out);
    void offer_unknown_views(const instance_id& to, const heartbeat& body, std::vector<action>& out) const;
    void update_absences(time_point now);
    void prune_unlisted_instances();
    void send_heartbeats(time_point now, std::vector<action>& out);
    std::vector<instance_id> heartbeat_receivers() const;
    void propose(time_point now, std::vector<action>& out);
    proposal_input make_proposal_input(time_point now) const;
    bool all_synced(const view_state& own) const;
    bool is_failed(const view_member& candidate, time_point now) const;
    bool is_live(const instance_id& instance) const;
    bool is_draining(const instance_id& instance) const;
    std::optional<view_member> find_borrow_candidate(time_point now) const;
    void check_exit(std::vector<action>& out);

    view_member m_self;
    member_options m_options;
    random_source m_random;
    std::map<data_centre_id, view_state> m_views;
    std::unordered_map<instance_id, peer_state> m_peers;
    std::unordered_map<endpoint, instance_id> m_linked;
    std::unordered_set<instance_id> m_failed;
    std::unordered_map<instance_id, time_point> m_absent_since;
    std::map<skip_key, std::set<instance_id>> m_confirmed;  ///< members that confirmed a skip
    std::set<skip_key> m_skipped;
    platform_snapshot m_snapshot;
    bool m_have_snapshot = false;
    time_point m_snapshot_at = time_point::min();
    std::optional<pending_swap> m_pending;
    std::optional<view> m_candidate;  ///< change that is delayed by the proposal jitter
    time_point m_candidate_due;
    time_point m_next_heartbeat = time_point::min();
    configuration_version m_configuration_version;
    std::uint32_t m_jobs_in_flight = 0;
    bool m_leaving = false;
    bool m_exit_reported = false;
    std::uint64_t m_recognised_writes = 0;
};

}  // namespace poplarshed::membership
