#pragma once

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "membership/membership.h"
#include "registry/messages.h"

namespace poplarshed::registry {

/// Assigns 16-bit numbers to instances, so that a record stores its owner in two bytes.
class instance_table {
public:
    /// Number of the instance, assigned on first use. @returns nothing if the table is full
    std::optional<std::uint16_t> number_of(const instance_id& instance);
    const instance_id& at(std::uint16_t number) const { return m_instances[number]; }

private:
    std::vector<instance_id> m_instances;
    std::unordered_map<instance_id, std::uint16_t> m_numbers;
};

/// View of a home data centre, its ranking, and the failed members that its chains skip.
struct home_view {
    using chain = membership::ranking::chain;

    membership::view view;
    membership::ranking ranking;
    std::vector<bool> failed;  ///< one flag for each member

    home_view() = default;
    home_view(membership::view taken, const std::unordered_set<instance_id>& failed_instances);

    void mark_failed(const instance_id& instance);
    bool has_member(const instance_id& instance) const;
    const instance_id& member(std::uint16_t index) const { return view.members[index].instance; }
    /// Chain over all members of the view, including failed ones.
    chain full_chain(const digest& id) const { return ranking.chain_of(id); }
    /// Chain without the failed members. In an unsettled view no member is skipped, since the members that
    /// follow in the ranking may not have received the records yet.
    chain live_chain(const digest& id) const;
    bool in_chain(const chain& registrars, const instance_id& instance) const;
};

}  // namespace poplarshed::registry
