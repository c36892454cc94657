#pragma once

#include <string>
#include <vector>

#include "common/common.h"

namespace poplarshed::instance {

/// Bounds on what callers hold and send: the section callers.limits. Defaults suit a machine of 120 MB and
/// more; no well-behaved caller reaches them.
struct caller_limits {
    std::size_t memory_mb = 48;         ///< MiB that all callers hold together
    std::size_t connections = 2048;     ///< of all callers
    std::size_t head_bytes = 32'768;    ///< of a request, trailers included
    std::size_t header_fields = 100;    ///< of a request, trailers included
    milliseconds head_timeout{10'000};  ///< head_timeout_ms: from the first byte of a head to its last
    std::size_t body_progress_bytes_per_s = 512;  ///< a body that arrives more slowly ends the connection
    std::size_t pipelined_requests = 16;          ///< read ahead on one connection
    std::size_t unsent_bytes = 262'144;           ///< of answers that wait unread on one connection
    std::size_t json_fields = 50'000;             ///< of a body
    std::size_t json_depth = 16;                  ///< levels of a body

    bool operator==(const caller_limits&) const = default;
};

/// Settings of the instance daemon: JSON with comments. Every key has a default unless it is said to be
/// required.
struct settings {
    std::string name;               ///< instance.name, required: unique among the instances
    data_centre_id data_centre;     ///< instance.data_centre, required
    std::int64_t cpu_milli = 1000;  ///< instance.cpu_share times 1000; cores that the process may use
    std::size_t memory_mb = 0;      ///< instance.memory_mb: MiB of the machine; 0: not known
    std::size_t max_fds = 0;        ///< instance.max_fds: descriptors of the process; 0: not known
    endpoint callers;               ///< callers.listen, required
    caller_limits limits;           ///< callers.limits; defaults follow the machine where it is known
    std::string time_limit_header = "Poplarshed-Timeout-Ms";  ///< callers.time_limit_header
    endpoint readiness;                                       ///< readiness.listen; empty: not served
    endpoint metrics;                                         ///< metrics.listen; empty: not served
    endpoint peers_listen;                                    ///< peers.listen, required
    endpoint peers;                    ///< peers.advertise: address that peers use; default: peers.listen
    std::vector<endpoint> seeds;       ///< peers.seeds: instances to connect to before the store names any
    std::string peer_key;              ///< peers.key, required: shared by all instances
    endpoint store;                    ///< store.address, required
    milliseconds longest_lease{1000};  ///< workers.longest_lease_ms
    milliseconds stop_time{50};        ///< workers.stop_time_ms
    double remote_slowdown = 1;        ///< workers.remote_slowdown
    milliseconds grace{6000};          ///< drain.grace_ms: from the stop signal to the end of the process
    bool log_decisions = true;         ///< log.decisions

    bool operator==(const settings&) const = default;
};

/// Reads and checks a settings file. @returns every fault, one line each
result<settings> load_settings(const std::string& path);
/// The same for a text; `name` stands in the faults.
result<settings> parse_settings(const std::string& text, const std::string& name);

}  // namespace poplarshed::instance
