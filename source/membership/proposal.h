#pragma once

#include <optional>
#include <vector>

#include "membership/types.h"

namespace poplarshed::membership {

/// What an instance knows when it considers a change of its data centre's view.
struct proposal_input {
    view current;  ///< as read from the platform; epoch 0 while the key does not exist
    view_member self;
    bool may_join = false;  ///< the own lease is live and the instance is not leaving
    bool leaving = false;
    bool all_synced = false;         ///< every member reported its records as acknowledged
    bool borrowed_draining = false;  ///< the borrowed registrar's instance is draining
    bool amnesia_expired = false;    ///< the retention window has passed since the amnesia epoch was seen
    std::vector<instance_id> dead;   ///< members proven dead or lapsed
    std::optional<view_member> borrow_candidate;  ///< live instance of the nearest other data centre
    disabled_rules disabled;
};

/// The next value of the view's key, without nonce, or nothing if no change is due. Changes one member at a
/// time from a settled view; a change that cannot wait for settling sets the amnesia epoch.
std::optional<view> next_view(const proposal_input& input);

}  // namespace poplarshed::membership
