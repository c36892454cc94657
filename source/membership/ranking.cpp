#include "membership/ranking.h"

#include <algorithm>

namespace poplarshed::membership {

namespace {

// Finalizer of a 64-bit hash; every input bit changes about half of the output bits.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdU;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53U;
    return value ^ (value >> 33U);
}

}  // namespace

ranking::ranking(const std::vector<view_member>& members)
{
    m_hashes.reserve(members.size());
    for (const view_member& member : members) {
        m_hashes.push_back(digest::of(member.instance.address.value()).prefix());
    }
}

ranking::chain ranking::chain_of(const digest& id, const std::vector<bool>& skipped) const
{
    chain result;
    std::array<std::uint64_t, 2> weight{};
    for (std::size_t i = 0; i < m_hashes.size(); ++i) {
        if (!skipped.empty() && skipped[i]) {
            continue;
        }
        const std::uint64_t candidate = mix(id.prefix() ^ m_hashes[i]);
        const bool first = result.size == 0 || candidate > weight[0];
        if (first) {
            result.index[1] = result.index[0];
            weight[1] = weight[0];
        } else if (result.size == 2 && candidate <= weight[1]) {
            continue;
        }
        result.index[first ? 0 : 1] = static_cast<std::uint16_t>(i);
        weight[first ? 0 : 1] = candidate;
        result.size = std::min(result.size + 1, 2U);
    }
    return result;
}

const data_centre_id& home_of(const submission_id& id, const std::vector<data_centre_id>& data_centres)
{
    const data_centre_id prefix = home_prefix(id);
    const auto found = std::find(data_centres.begin(), data_centres.end(), prefix);
    if (found != data_centres.end()) {
        return *found;
    }
    return data_centres[mix(digest::of(id.value()).prefix()) % data_centres.size()];
}

}  // namespace poplarshed::membership
