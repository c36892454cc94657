#pragma once

#include <tuple>

#include "settings/settings.h"

namespace poplarshed::settings {

/// Every setting of poplarshed-entry, in the order of the reference.
inline constexpr auto entry_catalogue = std::tie(
    instance_address, instance_data_centre, http_listen, http_threads, http_max_body_bytes,
    limits_max_tasks_per_job, limits_max_jobs_in_flight, inner_listen, inner_advertise, inner_peers,
    inner_key, inner_key_environment, platform_address, platform_lease_ttl, platform_list_poll_interval,
    registry_retention, registry_claim_timeout, answers_max_bytes, answers_retention,
    membership_heartbeat_interval, drain_limit, dispatch_policy, dispatch_slot_sharing,
    upstream_connections_per_runner, operator_token, operator_token_environment, log_level, log_file);

/// Calls `visit` with each declaration.
template <class Visitor>
void for_each_setting(Visitor&& visit)
{
    std::apply([&visit](const auto&... declaration) { (visit(declaration), ...); }, entry_catalogue);
}

/// Value of a declaration's default.
template <class T>
T default_of(const setting<T>& declaration)
{
    if constexpr (std::is_same_v<T, std::string>) {
        return std::string(declaration.default_value);
    } else if constexpr (std::is_same_v<T, peer_list>) {
        return {};
    } else {
        return declaration.default_value;
    }
}

}  // namespace poplarshed::settings
