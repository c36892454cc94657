#include "routing/layout.h"

#include <algorithm>

namespace poplarshed::routing {

namespace {

// At peak load an instance with a tenth of a core can start the tasks of about this many workers.
constexpr std::size_t workers_per_pool = 40;
// The number of pools is kept until the average pool exceeds this size.
constexpr std::size_t max_workers_per_pool = workers_per_pool * 2;

std::uint64_t rendezvous_score(const std::string& worker, std::size_t pool)
{
    return digest::of(worker + '#' + std::to_string(pool)).prefix();
}

// Rendezvous hashing: the pool depends only on the worker and the number of pools.
std::size_t pool_index_of(const std::string& worker, std::size_t pools)
{
    std::size_t chosen = 0;
    for (std::size_t i = 1; i < pools; ++i) {
        if (rendezvous_score(worker, i) > rendezvous_score(worker, chosen)) {
            chosen = i;
        }
    }
    return chosen;
}

pool_id name_of(const worker_group& group, std::size_t pools, std::size_t index)
{
    return pool_id(group.data_centre.value() + '/' + group.service.value() + '/' + std::to_string(pools) +
                   '.' + std::to_string(index));
}

bool is_valid(const group_layout& layout)
{
    return layout.pools >= 1 && layout.pools <= max_pools_per_group;
}

}  // namespace

std::vector<layout_change> layout_changes(const std::vector<workers::worker_entry>& entries,
                                          const pool_layout& layout)
{
    std::map<worker_group, std::size_t> counts;
    for (const workers::worker_entry& entry : entries) {
        ++counts[{entry.data_centre, entry.service}];
    }
    std::vector<layout_change> changes;
    for (const auto& [group, workers] : counts) {
        const std::size_t required_pools =
            std::min(max_pools_per_group, (workers + workers_per_pool - 1) / workers_per_pool);
        const auto record = layout.find(group);
        if (record == layout.end()) {
            changes.push_back({group, required_pools, 0});
            continue;
        }
        const group_layout& current = record->second;
        const bool pools_too_large =
            workers > current.pools * max_workers_per_pool && required_pools > current.pools;
        if (is_valid(current) && current.record_invalid) {
            changes.push_back({group, current.pools, current.revision});
        } else if (!is_valid(current) || pools_too_large) {
            changes.push_back({group, required_pools, current.revision});
        }
    }
    return changes;
}

pool_map divide_into_pools(const std::vector<workers::worker_entry>& entries, const pool_layout& layout)
{
    pool_map pools;
    for (const workers::worker_entry& entry : entries) {
        const worker_group group{entry.data_centre, entry.service};
        const auto record = layout.find(group);
        if (record != layout.end() && is_valid(record->second)) {
            const std::size_t count = record->second.pools;
            pools[name_of(group, count, pool_index_of(entry.id.value(), count))].push_back(entry);
        }
    }
    return pools;
}

}  // namespace poplarshed::routing
