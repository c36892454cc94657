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
    std::uint64_t best = rendezvous_score(worker, 0);
    for (std::size_t i = 1; i < pools; ++i) {
        const std::uint64_t score = rendezvous_score(worker, i);
        if (score > best) {
            best = score;
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

std::size_t pool_division::index_of(const workers::worker_id& worker, std::size_t pools)
{
    place& known = m_known[worker];
    if (known.pools != pools) {
        known = {pools, pool_index_of(worker.value(), pools)};
    }
    return known.index;
}

pool_map pool_division::divide(const std::vector<workers::worker_entry>& entries, const pool_layout& layout)
{
    // Workers that have left are forgotten with all others; ids may be new in each life of a worker.
    if (m_known.size() > 2 * entries.size()) {
        m_known.clear();
    }
    pool_map pools;
    for (const workers::worker_entry& entry : entries) {
        const worker_group group{entry.data_centre, entry.service};
        const auto record = layout.find(group);
        if (record != layout.end() && is_valid(record->second)) {
            const std::size_t count = record->second.pools;
            pools[name_of(group, count, index_of(entry.id, count))].push_back(entry);
        }
    }
    return pools;
}

}  // namespace poplarshed::routing
