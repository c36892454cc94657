#include "membership/proposal.h"

#include <algorithm>

namespace poplarshed::membership {

namespace {

bool contains(const std::vector<instance_id>& list, const instance_id& instance)
{
    return std::find(list.begin(), list.end(), instance) != list.end();
}

view successor(const view& current, std::vector<view_member> members)
{
    view next = current;
    next.epoch = current.epoch.next();
    next.settled = false;
    next.members = std::move(members);
    std::sort(next.members.begin(), next.members.end());
    return next;
}

std::vector<view_member> without(const std::vector<view_member>& members,
                                 const std::vector<instance_id>& removed)
{
    std::vector<view_member> rest;
    std::copy_if(members.begin(), members.end(), std::back_inserter(rest),
                 [&removed](const view_member& entry) { return !contains(removed, entry.instance); });
    return rest;
}

// A new incarnation replaces the old one at its address in the same change, so that each chain changes by at
// most one member.
std::vector<view_member> with_self(std::vector<view_member> members, const view_member& self)
{
    std::erase_if(members, [&self](const view_member& entry) {
        return entry.instance.address == self.instance.address;
    });
    members.push_back(self);
    return members;
}

bool is_member(const proposal_input& input)
{
    return std::find(input.current.members.begin(), input.current.members.end(), input.self) !=
           input.current.members.end();
}

// Removes all failed members at once. Records may be lost by this; the amnesia epoch marks the ids affected.
std::optional<view> record_loss_change(const proposal_input& input)
{
    std::vector<view_member> rest = without(input.current.members, input.failed);
    if (rest.empty() && input.may_join) {
        rest.push_back(input.self);
    }
    if (rest.empty() && input.current.members.empty()) {
        return std::nullopt;
    }
    view next = successor(input.current, std::move(rest));
    next.amnesia_epoch = input.disabled.amnesia ? view_epoch() : next.epoch;
    return next;
}

std::optional<view> borrowed_member_change(const proposal_input& input)
{
    const std::vector<view_member>& members = input.current.members;
    const auto borrowed = std::find_if(members.begin(), members.end(), [&input](const view_member& entry) {
        return entry.data_centre != input.current.data_centre;
    });
    const std::size_t local = members.size() - (borrowed == members.end() ? 0 : 1);
    if (borrowed != members.end() && (local >= 2 || input.borrowed_draining)) {
        return successor(input.current, without(members, {borrowed->instance}));
    }
    if (borrowed == members.end() && local == 1 && input.borrow_candidate) {
        return successor(input.current, with_self(members, *input.borrow_candidate));
    }
    return std::nullopt;
}

std::optional<view> settled_change(const proposal_input& input)
{
    const std::vector<view_member>& members = input.current.members;
    if (!input.failed.empty()) {
        // Two failed members, or the only member of a view, may have been the only registrars of an id.
        if (input.failed.size() > 1 || members.size() == 1) {
            return record_loss_change(input);
        }
        if (input.failed.front().address == input.self.instance.address && input.may_join) {
            return successor(input.current, with_self(members, input.self));
        }
        return successor(input.current, without(members, input.failed));
    }
    if (!is_member(input)) {
        if (!input.may_join) {
            return std::nullopt;
        }
        return members.empty() ? record_loss_change(input)
                               : std::optional(successor(input.current, with_self(members, input.self)));
    }
    if (input.leaving) {
        return successor(input.current, without(members, {input.self.instance}));
    }
    if (std::optional<view> change = borrowed_member_change(input)) {
        return change;
    }
    if (input.current.amnesia_epoch != view_epoch() && input.amnesia_expired) {
        view next = successor(input.current, members);
        next.amnesia_epoch = view_epoch();
        return next;
    }
    return std::nullopt;
}

}  // namespace

std::optional<view> next_view(const proposal_input& input)
{
    if (input.current.epoch == view_epoch()) {
        return input.may_join ? std::optional(successor(input.current, {input.self})) : std::nullopt;
    }
    if (input.current.settled || input.disabled.settling) {
        return settled_change(input);
    }
    if (input.all_synced) {
        view next = input.current;
        next.settled = true;
        return next;
    }
    return input.failed.empty() ? std::nullopt : record_loss_change(input);
}

}  // namespace poplarshed::membership
