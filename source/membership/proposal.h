#pragma once

#include <optional>
#include <vector>

#include "membership/types.h"

namespace poplarshed::membership {

/// Input to the decision whether to propose a change of the view of the instance's data centre.
struct proposal_input {
    view current;  ///< as read from the platform; epoch 0 while the key does not exist
    view_member self;
    bool may_join = false;  ///< this instance holds an unexpired lease and is not leaving
    bool leaving = false;
    bool all_synced = false;          ///< every member reported that its records are acknowledged
    bool borrowed_draining = false;   ///< the borrowed member is draining
    bool amnesia_expired = false;     ///< the retention window has passed since the amnesia epoch was adopted
    std::vector<instance_id> failed;  ///< process ended, or lease expired and unreachable
    std::optional<view_member> borrow_candidate;  ///< running instance of the nearest other data centre
    disabled_rules disabled;
};

/// Returns the next value of the view key, without a nonce, or nothing if no change is due. A settled view
/// changes by one member at a time, so that no records are lost. A change that may lose records (for
/// example with two failed members, or a failed member in an unsettled view) sets the amnesia epoch.
std::optional<view> next_view(const proposal_input& input);

}  // namespace poplarshed::membership
