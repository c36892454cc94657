#include "registry/home_view.h"

#include <algorithm>

namespace poplarshed::registry {

namespace {

constexpr std::size_t max_instances = 65'535;

}  // namespace

std::optional<std::uint16_t> instance_table::number_of(const instance_id& instance)
{
    const auto found = m_numbers.find(instance);
    if (found != m_numbers.end()) {
        return found->second;
    }
    if (m_instances.size() == max_instances) {
        return std::nullopt;
    }
    const auto number = static_cast<std::uint16_t>(m_instances.size());
    m_instances.push_back(instance);
    m_numbers.emplace(instance, number);
    return number;
}

home_view::home_view(membership::view taken, const std::unordered_set<instance_id>& failed_instances)
    : view(std::move(taken)), ranking(view.members)
{
    for (const membership::view_member& entry : view.members) {
        failed.push_back(failed_instances.contains(entry.instance));
    }
}

void home_view::mark_failed(const instance_id& instance)
{
    for (std::size_t i = 0; i < failed.size(); ++i) {
        failed[i] = failed[i] || view.members[i].instance == instance;
    }
}

bool home_view::has_member(const instance_id& instance) const
{
    return std::any_of(view.members.begin(), view.members.end(),
                       [&instance](const auto& entry) { return entry.instance == instance; });
}

home_view::chain home_view::live_chain(const digest& id) const
{
    return view.settled ? ranking.chain_of(id, failed) : ranking.chain_of(id);
}

bool home_view::in_chain(const chain& registrars, const instance_id& instance) const
{
    for (std::uint32_t i = 0; i < registrars.size; ++i) {
        if (member(registrars.index[i]) == instance) {
            return true;
        }
    }
    return false;
}

}  // namespace poplarshed::registry
