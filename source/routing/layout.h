#pragma once

#include <optional>

#include "routing/types.h"

namespace poplarshed::routing {

/// The workers of a service in one data centre.
struct worker_group {
    data_centre_id data_centre;
    service_id service;

    auto operator<=>(const worker_group&) const = default;
};

/// Into how many pools a group is divided. All instances take the number from the store, so that they agree
/// on the pool of each worker while workers come and go.
struct group_layout {
    std::size_t pools = 1;
    std::uint64_t revision = 0;   ///< of the record in the store; 0: there is none
    bool record_invalid = false;  ///< the record has an odd value; `pools` is the former number, 0 for none

    bool operator==(const group_layout&) const = default;
};

/// Greatest number of pools of a group, for 10,000 workers; the largest group known has 3,000. The pool of a
/// worker takes a digest for each pool, so an odd number in the store must not get that far.
inline constexpr std::size_t max_pools_per_group = 256;

using pool_layout = std::map<worker_group, group_layout>;

/// A record to write where it still has the expected revision.
struct layout_change {
    worker_group group;
    std::size_t pools = 1;
    std::uint64_t expected_revision = 0;

    bool operator==(const layout_change&) const = default;
};

/// Groups without a number, and groups whose pools have become much too large. A change moves workers between
/// pools and interrupts the jobs there, so the number stays until the workers of a pool have doubled, and
/// never falls: workers that are missing for a while would change it twice. A record with an odd value is
/// written again with the former number.
std::vector<layout_change> layout_changes(const std::vector<workers::worker_entry>& entries,
                                          const pool_layout& layout);

/// Divides workers into pools. Groups without a usable number have none. The pools of different numbers have
/// different names.
pool_map divide_into_pools(const std::vector<workers::worker_entry>& entries, const pool_layout& layout);

}  // namespace poplarshed::routing
