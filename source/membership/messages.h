#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "common/common.h"
#include "membership/types.h"

namespace poplarshed::membership {

/// Progress of an instance with the view of one data centre.
struct view_progress {
    data_centre_id data_centre;
    view_epoch adopted;  ///< newest epoch that the sender has adopted
    view_epoch synced;   ///< newest epoch for which all records of the sender are acknowledged

    bool operator==(const view_progress&) const = default;
};

enum class drain_state : std::uint8_t {
    serving,
    draining,
};

/// Sent to every instance of the sender's data centre, to the members of every view that contains the sender,
/// and to linked instances that the platform does not list.
struct heartbeat {
    data_centre_id data_centre;  ///< of the sender
    std::vector<view_progress> views;
    std::vector<instance_id> tombstones;  ///< failed instances that are still in a view
    poplarshed::configuration_version configuration_version;
    drain_state drain = drain_state::serving;
    std::uint32_t jobs_in_flight = 0;

    bool operator==(const heartbeat&) const = default;
};

/// View sent to an instance whose heartbeat reports an older one or none.
struct view_offer {
    membership::view view;

    bool operator==(const view_offer&) const = default;
};

using message = std::variant<heartbeat, view_offer>;

}  // namespace poplarshed::membership
