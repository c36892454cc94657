#pragma once

#include <cstdint>
#include <vector>

#include "common/common.h"

namespace poplarshed::membership {

/// One registrar of a data centre.
struct view_member {
    instance_id instance;
    /// Data centre that the instance runs in. Differs from that of the view for a borrowed second registrar.
    data_centre_id data_centre;

    auto operator<=>(const view_member&) const = default;
};

/// Registrars of one data centre; the value of the platform key `membership/<data centre>`.
struct view {
    data_centre_id data_centre;
    view_epoch epoch;                  ///< 0 only for a view that was never written
    std::vector<view_member> members;  ///< in order of address
    view_epoch amnesia_epoch;          ///< records of ids issued before this epoch may be lost; 0 for none
    std::uint64_t nonce = 0;           ///< random for each write, so that a writer recognises its own
    bool settled = false;  ///< every member holds the records of the ids for which it is a registrar

    bool operator==(const view&) const = default;
};

/// Revision of a platform key; 0 while the key does not exist.
using key_revision = number_id<struct key_revision_tag>;

/// Protocol rules that tests disable one at a time, to verify that the schedule checker detects the resulting
/// violation. Never set in production.
struct disabled_rules {
    bool settling = false;  ///< the view may change before it has settled
    bool amnesia = false;   ///< a change that may lose records sets no amnesia epoch

    bool operator==(const disabled_rules&) const = default;
};

/// Evidence from a peer link on the state of the peer's process.
enum class evidence {
    connection_refused,  ///< its port refuses connections: the process has ended
    new_incarnation,     ///< another incarnation responds at its address: the old process has ended
    unreachable,         ///< no response; the process may still be running
};

}  // namespace poplarshed::membership
