#pragma once

#include <cstdint>
#include <vector>

#include "common/common.h"

namespace poplarshed::dispatch {

/// Demand of one instance for slots of one service.
struct service_demand {
    service_id service;
    std::uint32_t wanted = 0;    ///< tasks that wait for a slot
    milliseconds longest_run{};  ///< greatest useful expected run time on a slot; 0 for no limit

    bool operator==(const service_demand&) const = default;
};

/// Number of tasks that a workspace has at one instance.
struct workspace_demand {
    workspace_id workspace;
    std::uint32_t tasks = 0;  ///< waiting or running

    bool operator==(const workspace_demand&) const = default;
};

/// Message: slots that an instance needs and slots that it could lend. Sent to every other instance of the
/// data centre when the demand starts or ends, repeatedly while it lasts, and at regular intervals. Instances
/// are identified by their index in rendezvous order; a message whose `peers` differs from the receiver's own
/// number of instances is based on a different membership view and is dropped.
struct slot_demand {
    std::uint32_t from = 0;
    std::uint32_t peers = 0;
    std::vector<service_demand> wanted;        ///< demand by service; empty if no tasks wait
    std::uint32_t idle = 0;                    ///< free slots of the sender
    std::uint32_t held = 0;                    ///< slots that the sender may use, busy or not
    std::vector<workspace_demand> workspaces;  ///< workspaces with waiting tasks

    bool operator==(const slot_demand&) const = default;
};

/// Slots of one runner that are lent or returned.
struct lent_slots {
    endpoint runner;
    std::uint32_t slots = 0;

    bool operator==(const lent_slots&) const = default;
};

/// Message: lends slots to the receiver, or returns lent slots to their owner.
struct slot_grant {
    std::uint32_t from = 0;
    std::uint32_t peers = 0;
    bool returned = false;  ///< true if the slots are returned to the receiver, which owns them
    std::vector<lent_slots> slots;

    bool operator==(const slot_grant&) const = default;
};

}  // namespace poplarshed::dispatch
