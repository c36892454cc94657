#pragma once

#include <string>
#include <vector>

#include "routing/routing.h"

namespace poplarshed::routing::test {

inline const pool_id ollur_pool("ollur/desk/0");
inline const pool_id other_pool("punkunnam/desk/0");

inline workers::pool_load load_of(const pool_id& pool, std::uint64_t token = 1, std::int64_t free = 100'000)
{
    workers::pool_load value;
    value.pool = pool;
    value.service = service_id("desk");
    value.token = workers::fencing_token(token);
    value.capacity_cpu = 100'000;
    value.free_cpu = free;
    return value;
}

inline workers::instance_status status_of(const std::string& address, const std::string& data_centre,
                                          std::vector<workers::pool_load> pools = {})
{
    workers::instance_status value;
    value.address = endpoint(address);
    value.data_centre = data_centre_id(data_centre);
    value.cpu_milli = 250;
    value.pools = std::move(pools);
    return value;
}

inline pool_map pools_of(const std::vector<pool_id>& ids)
{
    pool_map pools;
    for (const pool_id& id : ids) {
        workers::worker_entry entry;
        entry.service = service_id("desk");
        entry.data_centre = data_centre_of(id);
        pools[id].push_back(entry);
    }
    return pools;
}

/// The actions of one type, in their order.
template <class T, class Action>
std::vector<T> all(const std::vector<Action>& actions)
{
    std::vector<T> found;
    for (const Action& action : actions) {
        if (const T* match = std::get_if<T>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

}  // namespace poplarshed::routing::test
