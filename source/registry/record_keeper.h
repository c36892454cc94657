#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_set>
#include <vector>

#include "registry/home_view.h"
#include "registry/outbox.h"
#include "registry/record_store.h"

namespace poplarshed::registry {

/// Registrar side of the claim protocol: holds the records of the ids whose chain contains this instance.
class record_keeper {
public:
    record_keeper(instance_id self, const registrar_options& options, outbox& out);

    void on_claim(const claim& request, time_point now);
    void on_forward(const instance_id& from, const claim_forward& request, time_point now);
    void on_sync(const instance_id& from, const records_sync& body, time_point now);
    void on_ack(const instance_id& from, const sync_ack& body, time_point now);
    void on_release(const instance_id& from, const claim_release& body);
    void on_view(const membership::view& next, time_point now);
    void on_member_skipped(const data_centre_id& name, view_epoch epoch, const instance_id& instance);
    void on_timer(time_point now);

    std::size_t records() const;
    std::size_t bytes() const;
    std::uint64_t synced_records() const { return m_records_synced; }

private:
    /// Records that a member which joined the chain has not acknowledged yet.
    struct outgoing_sync {
        std::vector<digest> ids;
        std::uint32_t next_chunk = 0;                        ///< first chunk that has not been sent
        std::map<std::uint32_t, time_point> unacknowledged;  ///< sent chunks, with the time of the next retry
    };
    struct home {
        home_view current;
        record_store records;
        time_point amnesia_since;
        std::map<instance_id, outgoing_sync> outgoing;
        std::set<std::pair<instance_id, std::uint32_t>> received;
        bool synced_reported = false;
    };
    enum class claim_decision { accepted, outdated, conflict, unsettled, history_lost, overloaded };

    home* find_home(const data_centre_id& name);
    std::optional<refuse_cause> check_epoch(const home* state, view_epoch epoch, view_epoch issued) const;
    void handle_as_head(const claim& request, const claim_entry& entry, time_point now);
    void handle_as_tail(const instance_id& from, const claim_forward& request, const claim_entry& entry,
                        time_point now);
    claim_decision decide(home& state, const instance_id& owner, const claim_entry& entry, time_point now);
    claim_decision decide_against_record(home& state, record& held, std::uint16_t owner,
                                         const claim_entry& entry, time_point now);
    void grant(home& state, const instance_id& owner, const claim_entry& entry);
    std::uint16_t replaced_owner_number(const claim_entry& entry);
    static void restore_failed_owner(record& held);
    void answer_negative(home& state, const instance_id& owner, const claim_entry& entry,
                         claim_decision decision);
    bool is_frozen(const home& state, const record& held) const;
    bool is_history_lost(const home& state, const claim_entry& entry, time_point now) const;

    void change_chains(home& state, const home_view& before);
    void plan_sync(home& state, const home_view& before, const record& held);
    void send_pending_chunks(const data_centre_id& name, home& state, time_point now);
    void send_chunk(const data_centre_id& name, home& state, const instance_id& to, std::uint32_t chunk,
                    time_point now);
    std::optional<instance_id> replaced_owner(const record& held) const;
    void merge(home& state, const claim_record& received, time_point now);
    void drop_unassigned_records(home& state);

    instance_id m_self;
    const registrar_options& m_options;
    outbox& m_out;
    instance_table m_owners;
    std::map<data_centre_id, home> m_homes;
    std::uint64_t m_records_synced = 0;
};

}  // namespace poplarshed::registry
