#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "common/common.h"

namespace poplarshed::dispatch {

/// How the entry instances of a data centre share the slots of a runner.
enum class sharing_kind {
    static_shares,  ///< each instance uses a fixed part of each runner's slots
    two_choices,  ///< each instance uses all slots and takes the better of two random runners, judged by its
                  ///< own attempts in flight
    lending,      ///< fixed parts; instances lend idle slots to instances with waiting tasks
};

/// Position of this instance among the entry instances of its data centre, in rendezvous order.
struct peer_position {
    std::uint32_t index = 0;
    std::uint32_t count = 1;

    bool operator==(const peer_position&) const = default;
};

/// Strategy by which the instances of a data centre share a runner's slots.
class slot_sharing {
public:
    virtual ~slot_sharing() = default;
    /// Number of the runner's slots that this instance owns.
    virtual std::uint32_t share(const endpoint& runner, std::uint32_t slots,
                                peer_position position) const = 0;
    /// True if tasks go to the better of two random runners instead of the best idle one.
    virtual bool two_random_choices() const { return false; }
    /// True if instances lend slots to each other.
    virtual bool lends() const { return false; }
};

std::unique_ptr<slot_sharing> make_slot_sharing(sharing_kind kind);

}  // namespace poplarshed::dispatch
