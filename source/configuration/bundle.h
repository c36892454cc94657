#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "common/common.h"

namespace poplarshed::configuration {

/// What an instance does with a job whose former owner is proven dead.
enum class owner_lost_policy {
    refuse,  ///< answer may_have_run
    rerun,   ///< run it anew; only for idempotent services
};

/// What an instance does with a claim while the evidence on a registrar is ambiguous.
enum class ambiguous_policy {
    refuse,  ///< answer not_run with a retry hint
    run,     ///< run it; only for idempotent services
};

/// Resources that one task needs on its worker.
struct requirements {
    std::uint64_t memory_mb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const requirements&) const = default;
};

/// One kind of work.
struct service {
    bool idempotent = false;
    std::chrono::milliseconds timeout{10'000};   ///< longest time of one attempt
    std::chrono::milliseconds deadline{30'000};  ///< for a job whose caller names none
    std::uint32_t attempts = 3;                  ///< most attempts at one task, the first included
    bool hedge = false;                          ///< second attempts for stragglers; only if idempotent
    std::uint32_t urgency = 5;  ///< 0 (least) to 9 (most); orders work inside a workspace's share only
    owner_lost_policy on_owner_lost = owner_lost_policy::refuse;
    ambiguous_policy on_ambiguous = ambiguous_policy::refuse;
    requirements needs;
    bool promises_not_run = false;  ///< a runner's 503 with Poplarshed-Not-Run means that nothing started

    bool operator==(const service&) const = default;
};

/// One customer of the system.
struct workspace {
    std::set<service_id> services;
    double weight = 1.0;            ///< share of capacity beyond the guarantees
    double guaranteed_share = 0.0;  ///< part of the data centre's capacity kept for this workspace, in [0, 1]
    std::uint32_t max_tasks_in_flight = 100'000;

    bool operator==(const workspace&) const = default;
};

/// The operators' configuration. Immutable once proposed; a change is a bundle with a higher version.
struct bundle {
    configuration_version version;
    std::map<service_id, service> services;
    std::map<workspace_id, workspace> workspaces;

    bool operator==(const bundle&) const = default;
};

}  // namespace poplarshed::configuration
