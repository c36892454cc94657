#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "common/common.h"

namespace poplarshed::dispatch {

/// How the entry instances of a data centre share the slots of a runner.
enum class sharing_kind {
    static_shares,  ///< each instance has a fixed part of the slots of every runner
    two_choices,  ///< each instance uses every slot and takes the better of two random runners by own counts
    lending,      ///< fixed parts; instances lend idle slots to those with demand
};

/// Place of this instance among the entry instances of its data centre, in rendezvous order.
struct peer_position {
    std::uint32_t index = 0;
    std::uint32_t count = 1;

    bool operator==(const peer_position&) const = default;
};

/// Strategy for the use of a runner's slots.
class slot_sharing {
public:
    virtual ~slot_sharing() = default;
    /// Slots of the runner that this instance owns.
    virtual std::uint32_t share(const endpoint& runner, std::uint32_t slots,
                                peer_position position) const = 0;
    /// Compares two random runners in place of taking the best idle one.
    virtual bool two_random_choices() const { return false; }
    virtual bool lends() const { return false; }
};

std::unique_ptr<slot_sharing> make_slot_sharing(sharing_kind kind);

}  // namespace poplarshed::dispatch
