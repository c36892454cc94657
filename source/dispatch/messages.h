#pragma once

#include <cstdint>
#include <vector>

#include "common/common.h"

namespace poplarshed::dispatch {

/// Tasks of one service that wait for a slot.
struct service_demand {
    service_id service;
    std::uint32_t wanted = 0;
    milliseconds longest_run{};  ///< slower slots are of no use to the sender; 0 for no limit

    bool operator==(const service_demand&) const = default;
};

/// Work that a workspace has at one instance.
struct workspace_demand {
    workspace_id workspace;
    std::uint32_t tasks = 0;  ///< waiting or running

    bool operator==(const workspace_demand&) const = default;
};

/// Message: what an instance lacks and what it could lend. Sent to every other instance of the data centre
/// when its demand begins, changes or ends. Instances are named by their index in rendezvous order; a message
/// whose `peers` differs from the receiver's count comes from another view and is dropped.
struct slot_demand {
    std::uint32_t from = 0;
    std::uint32_t peers = 0;
    std::vector<service_demand> wanted;
    std::uint32_t idle = 0;                    ///< slots of the sender without work
    std::uint32_t held = 0;                    ///< slots that the sender may use, busy or not
    std::vector<workspace_demand> workspaces;  ///< workspaces with waiting tasks

    bool operator==(const slot_demand&) const = default;
};

/// Slots of one runner that change hands.
struct lent_slots {
    endpoint runner;
    std::uint32_t slots = 0;

    bool operator==(const lent_slots&) const = default;
};

/// Message: lends slots to the receiver, or gives lent slots back to their owner.
struct slot_grant {
    std::uint32_t from = 0;
    std::uint32_t peers = 0;
    bool returned = false;  ///< the receiver owns the slots and has them again
    std::vector<lent_slots> slots;

    bool operator==(const slot_grant&) const = default;
};

}  // namespace poplarshed::dispatch
