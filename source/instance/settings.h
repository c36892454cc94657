#pragma once

#include <string>
#include <vector>

#include "common/common.h"

namespace poplarshed::instance {

/// Settings of the instance daemon: JSON with comments. Every key has a default unless it is said to be
/// required.
struct settings {
    std::string name;               ///< instance.name, required: unique among the instances
    data_centre_id data_centre;     ///< instance.data_centre, required
    std::int64_t cpu_milli = 1000;  ///< instance.cpu_share times 1000; cores that the process may use
    endpoint callers;               ///< callers.listen, required
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
