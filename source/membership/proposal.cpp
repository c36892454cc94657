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
                                 const std::vector<instance_id>& gone)
{
    std::vector<view_member> rest;
    std::copy_if(members.begin(), members.end(), std::back_inserter(rest),
                 [&gone](const view_member& entry) { return !contains(gone, entry.instance); });
    return rest;
}

// A new incarnation takes the place of the old one at its address, so that the chains change by one member.
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

// Removes every dead member at once. Their records may be lost, which the amnesia epoch states.
std::optional<view> amnesia_change(const proposal_input& input)
{
    std::vector<view_member> rest = without(input.current.members, input.dead);
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

std::optional<view> borrowing_change(const proposal_input& input)
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
    if (!input.dead.empty()) {
        // Two dead members may have been the only registrars of an id; so may the only member of a view.
        if (input.dead.size() > 1 || members.size() == 1) {
            return amnesia_change(input);
        }
        if (input.dead.front().address == input.self.instance.address && input.may_join) {
            return successor(input.current, with_self(members, input.self));
        }
        return successor(input.current, without(members, input.dead));
    }
    if (!is_member(input)) {
        if (!input.may_join) {
            return std::nullopt;
        }
        return members.empty() ? amnesia_change(input)
                               : std::optional(successor(input.current, with_self(members, input.self)));
    }
    if (input.leaving) {
        return successor(input.current, without(members, {input.self.instance}));
    }
    if (std::optional<view> change = borrowing_change(input)) {
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
    return input.dead.empty() ? std::nullopt : amnesia_change(input);
}

}  // namespace poplarshed::membership
