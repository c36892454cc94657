#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "common/common.h"

namespace poplarshed::configuration {

/// What an instance does with a job whose previous owner is proven to have ended.
enum class owner_lost_policy {
    refuse,  ///< answer with the verdict may_have_run
    rerun,   ///< run the job again; only for idempotent services
};

/// What an instance does with a claim while it cannot decide whether a registrar has ended or is unreachable.
enum class ambiguous_policy {
    refuse,  ///< answer with the verdict not_run and a retry delay
    run,     ///< run the job; only for idempotent services
};

/// Resources that one task needs on its worker.
struct requirements {
    std::uint64_t memory_mb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const requirements&) const = default;
};

/// Settings of one service, a kind of task that callers can submit.
struct service {
    bool idempotent = false;
    std::chrono::milliseconds timeout{10'000};  ///< of one attempt
    std::chrono::milliseconds deadline{
        30'000};                 ///< of a job that arrives without a time limit, from its arrival
    std::uint32_t attempts = 3;  ///< maximum per task, including the first
    bool hedge = false;          ///< allows a second attempt for slow tasks; only if idempotent
    std::uint32_t urgency = 5;   ///< 0 (lowest) to 9 (highest); orders jobs within a workspace only
    owner_lost_policy on_owner_lost = owner_lost_policy::refuse;
    ambiguous_policy on_ambiguous = ambiguous_policy::refuse;
    requirements needs;
    bool promises_not_run = false;  ///< trust a runner's 503 with Poplarshed-Not-Run: nothing started

    bool operator==(const service&) const = default;
};

/// Settings of one workspace, a customer of the system. The bundle's text lists it under "teams".
struct workspace {
    std::set<service_id> services;
    double weight = 1.0;            ///< relative share of the capacity that is not guaranteed
    double guaranteed_share = 0.0;  ///< fraction of the data centre's capacity reserved for it, in [0, 1]
    std::uint32_t max_tasks_in_flight = 100'000;

    bool operator==(const workspace&) const = default;
};

/// One version of the operators' configuration. Immutable once proposed; a change is a bundle with a higher
/// version.
struct bundle {
    configuration_version version;
    std::map<service_id, service> services;
    std::map<workspace_id, workspace> workspaces;

    bool operator==(const bundle&) const = default;
};

}  // namespace poplarshed::configuration
