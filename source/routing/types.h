#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "workers/workers.h"

namespace poplarshed::routing {

using workers::job_id;
using workers::pool_id;

/// Identifies one request of a caller; unique within a process.
using caller_id = number_id<struct routing_caller_tag>;

/// Service and limits for requests of a host and path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    double stretch = 1;         ///< objective of a job: its longest chain of work, multiplied by this ...
    milliseconds allowance{};   ///< ... plus this time
    bool needs_advice = false;  ///< workers must be approved by a policy service

    bool operator==(const route&) const = default;
};

/// A version of the operator's configuration.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::size_t max_body_bytes = std::size_t{1} << 20U;

    bool operator==(const configuration&) const = default;

    /// The route of the host with the longest matching prefix of the path; nullptr if none matches.
    const route* find(std::string_view host, std::string_view path) const;
};

/// Workers by pool. A pool is a share of a service's workers in one data centre.
using pool_map = std::map<pool_id, std::vector<workers::worker_entry>>;

/// Data centre of a pool's workers.
data_centre_id data_centre_of(const pool_id& pool);
/// Service of a pool: the second part of its name; the whole name if there is only one part.
service_id service_of(const pool_id& pool);

}  // namespace poplarshed::routing
