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
    /// A member is removed after its lease was absent and it was silent for this long.
    milliseconds removal_grace{3'000};
    /// A longer gap between two readings of the platform starts every removal grace anew: after an outage the
    /// holders of lapsed leases need time to renew them.
    milliseconds reading_gap{1'500};
    /// Time after which a compare-and-swap without an answer is read back.
    milliseconds swap_timeout{1'000};
    /// Greatest random delay before a change that other instances may propose too.
    milliseconds proposal_jitter{100};
    /// Retention window of claim records.
    milliseconds retention{600'000};
    /// Other data centres, nearest first; a single instance borrows its second registrar there.
    std::vector<data_centre_id> nearest;
    disabled_rules disabled;
};

/// The view's key as read from the platform.
struct platform_view {
    membership::view view;
    key_revision revision;

    bool operator==(const platform_view&) const = default;
};

/// One reading of all keys below `membership/`: the views, and the instances whose lease is live.
struct platform_snapshot {
    std::map<data_centre_id, platform_view> views;
    std::vector<view_member> live;

    bool operator==(const platform_snapshot&) const = default;
};

/// How a compare-and-swap ended.
enum class swap_status {
    succeeded,
    conflict,  ///< the key had another revision
    unknown,   ///< no answer; the write may have taken effect
};

/// Action: send a message to an instance.
struct send_message {
    instance_id to;
    message body;
};

/// Action: write the view's key of the own data centre by compare-and-swap.
struct propose_view {
    membership::view view;
    key_revision expected;
};

/// Action: read the keys below `membership/` again and report them with on_platform().
struct read_platform {};

/// Action: a view is in force; pass it to the registrar.
struct view_adopted {
    membership::view view;
};

/// Action: an instance is proven dead; pass it to the registrar.
struct instance_failed {
    instance_id instance;
};

/// Action: a dead member of a view may be skipped in its chains; pass it to the registrar.
struct skip_member {
    data_centre_id home;
    view_epoch epoch;
    instance_id instance;
};

/// Action: the instance is in no view any more and the views without it have settled.
struct may_exit {};

using action = std::variant<send_message, propose_view, read_platform, view_adopted, instance_failed,
                            skip_member, may_exit>;

/// Follows the views of all data centres and proposes changes of the own one. A state machine without I/O:
/// each call returns the actions to take. Every call belongs to the core thread; `now` never goes back.
/// The caller keeps the instance's platform lease and its key `membership/<data centre>/<address>` alive.
class member {
public:
    member(view_member self, member_options options, random_source random);

    /// Takes a reading of the platform.
    std::vector<action> on_platform(const platform_snapshot& snapshot, time_point now);
    /// Takes the answer to the last propose_view. @param revision of the key where the swap was won
    std::vector<action> on_swap(swap_status status, key_revision revision, time_point now);
    std::vector<action> on_message(const instance_id& from, const message& body, time_point now);
    /// Takes a link to a run of an instance of any data centre. It gets heartbeats while the link is up, so
    /// that one that starts while the platform is down learns the views and the configuration version.
    void on_linked(const instance_id& peer);
    void on_unlinked(const endpoint& address);
    /// Takes what a link shows about a peer.
    std::vector<action> on_evidence(const instance_id& peer, evidence shown, time_point now);
    /// Takes the registrar's report that all records it owes for an epoch were acknowledged.
    std::vector<action> on_synced(const data_centre_id& home, view_epoch epoch, time_point now);
    /// Called at least every 50 ms.
    std::vector<action> on_timer(time_point now);
    /// Starts leaving: the instance has itself removed from its view, then may_exit follows.
    std::vector<action> leave(time_point now);
    /// Sets what the next heartbeats carry for other modules.
    void set_load(configuration_version version, std::uint32_t jobs_in_flight);

    /// Newest view known of a data centre, or nullptr.
    const view* find_view(const data_centre_id& home) const;
    /// The instance is in the view of its own data centre.
    bool is_member() const;
    /// The own data centre runs with fewer than two registrars.
    bool single_registrar() const;
    /// Swaps without an answer that a later reading showed to have taken effect.
    std::uint64_t recognised_writes() const { return m_recognised; }

private:
    struct followed {
        membership::view view;
        view_epoch synced;  ///< by this instance
        time_point amnesia_seen;
    };
    struct peer_state {
        time_point heard = time_point::min();
        std::map<data_centre_id, view_epoch> synced;
        bool draining = false;
    };
    struct skip_key {
        data_centre_id home;
        view_epoch epoch;
        instance_id dead;

        auto operator<=>(const skip_key&) const = default;
    };
    struct pending_swap {
        membership::view view;
        key_revision expected;
        time_point due;        ///< time to read the key back
        bool overdue = false;  ///< no answer came in time; a reading decides
    };

    void adopt(const view& next, time_point now, std::vector<action>& out);
    void bury(const instance_id& instance, std::vector<action>& out);
    void take_heartbeat(const instance_id& from, const heartbeat& body, time_point now,
                        std::vector<action>& out);
    void note_confirmations(const instance_id& from, const heartbeat& body);
    void check_skips(std::vector<action>& out);
    void offer_unknown_views(const instance_id& to, const heartbeat& body, std::vector<action>& out) const;
    void note_absences(time_point now);
    void forget_strangers();
    void send_heartbeats(time_point now, std::vector<action>& out);
    std::vector<instance_id> audience() const;
    void propose(time_point now, std::vector<action>& out);
    proposal_input make_input(time_point now) const;
    bool all_synced(const followed& own) const;
    bool is_dead(const view_member& candidate, time_point now) const;
    bool is_live(const instance_id& instance) const;
    bool is_draining(const instance_id& instance) const;
    std::optional<view_member> find_borrowable(time_point now) const;
    void check_exit(std::vector<action>& out);

    view_member m_self;
    member_options m_options;
    random_source m_random;
    std::map<data_centre_id, followed> m_views;
    std::unordered_map<instance_id, peer_state> m_peers;
    std::unordered_map<endpoint, instance_id> m_linked;
    std::unordered_set<instance_id> m_dead;
    std::unordered_map<instance_id, time_point> m_absent_since;
    std::map<skip_key, std::set<instance_id>> m_confirmed;  ///< members that confirmed a skip
    std::set<skip_key> m_skips;
    platform_snapshot m_snapshot;
    bool m_have_snapshot = false;
    time_point m_snapshot_at = time_point::min();
    std::optional<pending_swap> m_pending;
    std::optional<view> m_candidate;  ///< change that waits for its jitter to pass
    time_point m_candidate_due;
    time_point m_next_heartbeat = time_point::min();
    configuration_version m_version;
    std::uint32_t m_jobs = 0;
    bool m_leaving = false;
    bool m_exit_told = false;
    std::uint64_t m_recognised = 0;
};

}  // namespace poplarshed::membership
