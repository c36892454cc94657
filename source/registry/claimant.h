#pragma once

#include <map>
#include <optional>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "registry/home_view.h"
#include "registry/outbox.h"
#include "registry/record_store.h"

namespace poplarshed::registry {

/// Owner side of the claim protocol: the claims that this instance has requested and those granted to it.
class claimant {
public:
    claimant(instance_id self, data_centre_id data_centre, const registrar_options& options,
             random_source random, outbox& out);

    void begin(const claim_request& request, time_point now);
    void on_grant(const claim_grant& body, time_point now);
    void on_known(const claim_known& body, time_point now);
    void on_refuse(const claim_refuse& body, time_point now);
    void on_view(const membership::view& next, time_point now);
    void on_instance_failed(const instance_id& instance, time_point now);
    void on_timer(time_point now);
    void release(const submission_id& id);
    ownership answer_follower(const submission_id& id, const digest& body);
    void set_platform_reachable(bool reachable) { m_platform_reachable = reachable; }

    void add_counts(registrar_counts& counts) const;

private:
    struct pending_claim {
        claim_request request;
        digest id;
        data_centre_id home;
        claim_sequence sequence;
        std::optional<instance_id> supersedes;
        time_point deadline;
        milliseconds interval{};
        bool answered = false;  ///< a registrar responded, but did not decide the claim
    };
    struct retry {
        time_point due;
        digest id;
        claim_sequence sequence;

        bool operator>(const retry& other) const { return due > other.due; }
    };
    using pending_map = std::unordered_map<digest, pending_claim>;

    pending_map::iterator find_pending(const claim_reference& reference);
    void attach(const claim_request& request, ownership held);
    ownership ownership_of(const digest& id, const digest& body) const;
    void start(pending_claim& pending, time_point now);
    void send_claim(const pending_claim& pending);
    void on_conflicting_record(pending_map::iterator found, const known_entry& entry, time_point now);
    void give_up(pending_map::iterator found);
    refusal_reason unavailable_reason(const pending_claim& pending) const;
    void refuse(pending_map::iterator found, verdict ran, refusal_reason reason, bool is_temporary);
    void send_release(const data_centre_id& home, const claim_reference& reference);
    verdict undecided_verdict(const pending_claim& pending) const;

    instance_id m_self;
    data_centre_id m_data_centre;
    const registrar_options& m_options;
    random_source m_random;
    outbox& m_out;
    std::map<data_centre_id, home_view> m_views;
    std::unordered_set<instance_id> m_failed;
    pending_map m_pending;
    std::priority_queue<retry, std::vector<retry>, std::greater<>> m_retries;
    record_store m_owned;
    /// Used only while the late-grant rule is disabled.
    std::unordered_map<digest, pending_claim> m_given_up;
    claim_sequence m_last_sequence;
    bool m_platform_reachable = true;
    std::uint64_t m_claims_started = 0;
    std::uint64_t m_claims_retried = 0;
    std::uint64_t m_late_grants = 0;
};

}  // namespace poplarshed::registry
