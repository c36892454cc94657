#include "dispatch/slot_sharing.h"

namespace poplarshed::dispatch {

namespace {

class static_shares : public slot_sharing {
public:
    /// Divides the slots evenly. The instances that get the remaining slots are chosen by the digest of the
    /// runner's address: all instances compute the same division, and each gets its part of the runners of
    /// every speed.
    std::uint32_t share(const endpoint& runner, std::uint32_t slots, peer_position position) const override
    {
        const auto offset = static_cast<std::uint32_t>(digest::of(runner.value()).prefix() % position.count);
        const std::uint32_t turn = (position.index + position.count - offset) % position.count;
        return slots / position.count + (turn < slots % position.count ? 1 : 0);
    }
};

class two_choices : public slot_sharing {
public:
    std::uint32_t share(const endpoint& /*runner*/, std::uint32_t slots,
                        peer_position /*place*/) const override
    {
        return slots;
    }
    bool two_random_choices() const override { return true; }
};

class lending : public static_shares {
public:
    bool lends() const override { return true; }
};

}  // namespace

std::unique_ptr<slot_sharing> make_slot_sharing(sharing_kind kind)
{
    switch (kind) {
        case sharing_kind::static_shares:
            return std::make_unique<static_shares>();
        case sharing_kind::two_choices:
            return std::make_unique<two_choices>();
        case sharing_kind::lending:
            break;
    }
    return std::make_unique<lending>();
}

}  // namespace poplarshed::dispatch
