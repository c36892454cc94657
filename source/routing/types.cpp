#include "routing/types.h"

#include <algorithm>
#include <tuple>

namespace poplarshed::routing {

namespace {

// An instance with a tenth of a core starts the tasks of about this many workers at the peak.
constexpr std::size_t workers_per_pool = 40;

std::uint64_t score(const std::string& left, std::size_t right)
{
    return digest::of(left + '#' + std::to_string(right)).prefix();
}

}  // namespace

const route* configuration::find(std::string_view host, std::string_view path) const
{
    const route* best = nullptr;
    for (const route& candidate : routes) {
        if (candidate.host == host && path.starts_with(candidate.prefix) &&
            (best == nullptr || candidate.prefix.size() > best->prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

pool_map divide(const std::vector<workers::worker_entry>& entries)
{
    std::map<std::pair<service_id, data_centre_id>, std::size_t> counts;
    for (const workers::worker_entry& entry : entries) {
        ++counts[{entry.service, entry.data_centre}];
    }
    pool_map pools;
    for (const workers::worker_entry& entry : entries) {
        const std::size_t shards =
            (counts.at({entry.service, entry.data_centre}) + workers_per_pool - 1) / workers_per_pool;
        std::size_t chosen = 0;
        for (std::size_t i = 1; i < shards; ++i) {
            if (score(entry.id.value(), i) > score(entry.id.value(), chosen)) {
                chosen = i;
            }
        }
        pools[pool_id(entry.data_centre.value() + '/' + entry.service.value() + '/' + std::to_string(chosen))]
            .push_back(entry);
    }
    return pools;
}

data_centre_id data_centre_of(const pool_id& pool)
{
    return data_centre_id(pool.value().substr(0, pool.value().find('/')));
}

}  // namespace poplarshed::routing
