#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "routing/peers.h"

namespace poplarshed::routing {

/// Holder of a pool according to its record in the store.
struct pool_record {
    endpoint holder;
    std::uint64_t revision = 0;

    bool operator==(const pool_record&) const = default;
};

/// Write this instance as the holder into the pool's record, if that has the expected revision (0: no
/// record).
struct claim_pool {
    pool_id pool;
    std::uint64_t expected_revision = 0;
};

/// Hold the pool without a record, because the store is unreachable.
struct hold_pool_without_store {
    pool_id pool;
    workers::fencing_token token;
};

/// Stop holding the pool.
struct release_pool {
    pool_id pool;
};

/// Fencing token of a pool whose record was written at a revision of the store. Increases with each change of
/// the holder.
workers::fencing_token token_of(std::uint64_t revision);

using ownership_action = std::variant<claim_pool, hold_pool_without_store, release_pool>;

/// Input of an ownership decision.
struct ownership_view {
    const peer_table& peers;
    const std::map<pool_id, pool_record>& records;
    const pool_map& pools;
    std::int64_t cpu_milli = 0;  ///< processor share of this instance
    bool store_reachable = false;
    bool leaving = false;
};

/// Decides which pools this instance holds. A pool is held by an instance of its own data centre while one is
/// live there. An unreachable holder is replaced by another instance of its data centre as soon as at least
/// half of the other instances are reachable from that one, unless it has claimed the pool just now; by an
/// instance of another data centre only after the holder's record has expired in the store.
class ownership {
public:
    explicit ownership(time_point started) : m_started(started) {}

    std::vector<ownership_action> decide(time_point now, const ownership_view& view);
    /// The store has accepted a claim; the token is derived from the revision of the record.
    void on_claimed(const pool_id& pool, std::uint64_t revision);
    void on_claim_failed(const pool_id& pool);
    void on_released(const pool_id& pool);
    const std::map<pool_id, workers::fencing_token>& held() const { return m_held; }

private:
    /// True if the pool has no workers any more, or another instance holds it with precedence.
    bool must_release(time_point now, const ownership_view& view, const pool_id& pool) const;
    using instances = std::vector<const workers::instance_status*>;
    bool may_claim(time_point now, const ownership_view& view, const instances& others,
                   const pool_id& pool) const;
    /// True if no other instance that may claim the pool is to be preferred to this one.
    bool is_preferred(const ownership_view& view, const instances& others, const pool_id& pool) const;
    void track_records(time_point now, const ownership_view& view);
    /// True if another instance has written the pool's record so recently that it must be working.
    bool was_claimed_recently(time_point now, const pool_id& pool) const;
    /// Token to hold a pool with when the store is unreachable; above all tokens seen so far.
    workers::fencing_token storeless_token(const ownership_view& view, const pool_id& pool) const;

    time_point m_started;
    std::map<pool_id, workers::fencing_token> m_held;
    std::set<pool_id> m_claiming;
    std::map<pool_id, time_point> m_claimable_since;
    struct tracked_record {
        std::uint64_t revision = 0;
        std::optional<time_point>
            changed_at;  ///< empty if the record has not changed since it was first read
    };
    std::map<pool_id, tracked_record> m_tracked_records;
};

}  // namespace poplarshed::routing
