#pragma once

#include <cstdint>
#include <vector>

#include "common/common.h"

namespace poplarshed::membership {

/// One registrar of a data centre.
struct view_member {
    instance_id instance;
    /// Where the instance runs. Differs from the data centre of the view for a borrowed second registrar.
    data_centre_id data_centre;

    auto operator<=>(const view_member&) const = default;
};

/// Membership of one data centre; the value of the platform key `membership/<data centre>`.
struct view {
    data_centre_id data_centre;
    view_epoch epoch;                  ///< 0 only for a view that was never written
    std::vector<view_member> members;  ///< in order of address
    view_epoch amnesia_epoch;          ///< records of ids issued before it may be lost; 0 for none
    std::uint64_t nonce = 0;           ///< drawn for each write, so that a writer recognises its own
    bool settled = false;              ///< every member holds the records of the ids it is a registrar of

    bool operator==(const view&) const = default;
};

/// Revision of a platform key; 0 while the key does not exist.
using key_revision = number_id<struct key_revision_tag>;

/// Rules that a checker switches off to show that it notices. Never set in a running system.
struct disabled_rules {
    bool settling = false;  ///< the view changes before it has settled
    bool amnesia = false;   ///< a change that cannot wait sets no amnesia epoch

    bool operator==(const disabled_rules&) const = default;
};

/// What a peer's link shows about the peer.
enum class evidence {
    connection_refused,  ///< its port refuses connections: the process is dead
    new_incarnation,     ///< another incarnation answers at its address: the process is dead
    unreachable,         ///< no answer; proves nothing
};

}  // namespace poplarshed::membership
