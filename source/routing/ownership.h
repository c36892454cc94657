#pragma once

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "routing/peers.h"

namespace poplarshed::routing {

/// Who holds a pool according to the store.
struct pool_record {
    endpoint holder;
    std::uint64_t revision = 0;

    bool operator==(const pool_record&) const = default;
};

/// Write this instance's name to the pool's record if it has the expected revision (0: there is none).
struct claim_pool {
    pool_id pool;
    std::uint64_t expected_revision = 0;
};

/// Hold the pool without the store, which cannot be reached.
struct hold_pool_without_store {
    pool_id pool;
    workers::fencing_token token;
};

struct release_pool {
    pool_id pool;
};

/// Token of a pool whose record was written at a revision of the store. Grows with each change of holder.
workers::fencing_token token_of(std::uint64_t revision);

using ownership_action = std::variant<claim_pool, hold_pool_without_store, release_pool>;

/// What decides about the ownership of pools.
struct ownership_view {
    const peer_table& peers;
    const std::map<pool_id, pool_record>& records;
    const pool_map& pools;
    std::int64_t cpu_milli = 0;  ///< processor share of this instance
    bool store_reachable = false;
    bool leaving = false;
};

/// Decides which pools this instance holds. A pool has a holder in its own data centre while an instance
/// lives there. A silent holder is replaced by another instance of its data centre as soon as that one hears
/// most of the others; by an instance elsewhere only when the holder's record has lapsed in the store.
class ownership {
public:
    explicit ownership(time_point started) : m_started(started) {}

    std::vector<ownership_action> decide(time_point now, const ownership_view& view);
    /// The store has accepted a claim; the revision of the record is the token.
    void on_claimed(const pool_id& pool, std::uint64_t revision);
    void on_claim_failed(const pool_id& pool);
    void on_released(const pool_id& pool);
    const std::map<pool_id, workers::fencing_token>& held() const { return m_held; }

private:
    bool must_drop(time_point now, const ownership_view& view, const pool_id& pool) const;
    bool may_claim(time_point now, const ownership_view& view, const pool_id& pool) const;
    workers::fencing_token next_token(const ownership_view& view, const pool_id& pool) const;

    time_point m_started;
    std::map<pool_id, workers::fencing_token> m_held;
    std::set<pool_id> m_claiming;
    std::map<pool_id, time_point> m_wanted_since;
};

}  // namespace poplarshed::routing
