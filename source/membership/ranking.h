#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "membership/types.h"

namespace poplarshed::membership {

/// Rendezvous hashing over the members of one view. Depends on addresses only, so that a new incarnation at
/// an address has the same rank as the old one.
class ranking {
public:
    /// The two members of highest weight, head first; `size` is less than 2 if the view is smaller.
    struct chain {
        std::array<std::uint16_t, 2> index{};
        std::uint32_t size = 0;

        bool operator==(const chain&) const = default;
    };

    ranking() = default;
    explicit ranking(const std::vector<view_member>& members);

    /// Head and tail for an id, as indexes into the members.
    /// @param skipped one flag per member, true to leave it out; empty to skip none
    chain chain_of(const digest& id, const std::vector<bool>& skipped = {}) const;

private:
    std::vector<std::uint64_t> m_hashes;
};

/// Home data centre of an id: its prefix if that names one of `data_centres`, else one selected by hash.
/// @param data_centres all data centres, in the same order on every instance; not empty
const data_centre_id& home_of(const submission_id& id, const std::vector<data_centre_id>& data_centres);

}  // namespace poplarshed::membership
