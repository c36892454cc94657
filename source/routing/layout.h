#pragma once

#include <optional>
#include <unordered_map>

#include "routing/types.h"

namespace poplarshed::routing {

/// The workers of a service in one data centre.
struct worker_group {
    data_centre_id data_centre;
    service_id service;

    auto operator<=>(const worker_group&) const = default;
};

/// Number of pools of a group. All instances read it from the store, so that they agree on the pool of each
/// worker while workers are added and removed.
struct group_layout {
    std::size_t pools = 1;
    std::uint64_t revision = 0;   ///< of the record in the store; 0: no record
    bool record_invalid = false;  ///< `pools` is the last valid number then, 0 for none

    bool operator==(const group_layout&) const = default;
};

/// Maximum number of pools of a group; enough for 10,000 workers, where the largest known group has 3,000.
/// Finding the pool of a worker computes one digest for each pool, so an invalid number in the store must be
/// rejected before it is used there.
inline constexpr std::size_t max_pools_per_group = 256;

using pool_layout = std::map<worker_group, group_layout>;

/// A layout record to write, on condition that it still has the expected revision.
struct layout_change {
    worker_group group;
    std::size_t pools = 1;
    std::uint64_t expected_revision = 0;

    bool operator==(const layout_change&) const = default;
};

/// Layout records to write: for groups without a number of pools, and for groups whose pools are much too
/// large. A change moves workers between pools and interrupts the jobs there, so the number is kept until the
/// pools have twice their intended size. It never decreases, because a temporary loss of workers would then
/// change it twice. An invalid record is rewritten with the last valid number.
std::vector<layout_change> layout_changes(const std::vector<workers::worker_entry>& entries,
                                          const pool_layout& layout);

/// Divides workers into pools. Groups without a valid number get no pools. The pool names contain the number
/// of pools, so that layouts of different numbers share no name.
class pool_division {
public:
    pool_map divide(const std::vector<workers::worker_entry>& entries, const pool_layout& layout);

private:
    struct place {
        std::size_t pools = 0;
        std::size_t index = 0;
    };

    std::size_t index_of(const workers::worker_id& worker, std::size_t pools);

    /// Pools of the workers that were divided last. A place takes a digest for each pool, and the directory
    /// of a thousand workers changes several times a second.
    std::unordered_map<workers::worker_id, place> m_known;
};

/// Divides workers into pools once.
inline pool_map divide_into_pools(const std::vector<workers::worker_entry>& entries,
                                  const pool_layout& layout)
{
    return pool_division().divide(entries, layout);
}

}  // namespace poplarshed::routing
