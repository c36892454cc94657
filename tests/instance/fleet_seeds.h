#pragma once

#include <boost/test/unit_test.hpp>

#include "instance/fleet_faults.h"

namespace poplarshed::instance::test {

/// Seeds to play by default; POPLARSHED_FIRST_SEED and POPLARSHED_SCHEDULE_SEEDS replace them.
struct seed_range {
    std::uint64_t first = 1;
    std::uint64_t count = 100;
};

/// Plays a schedule for each seed and checks that none breaks a rule. @returns what they reached together
inline fleet_coverage check_seeds(const seed_range& seeds,
                                  const std::function<outcome(std::uint64_t)>& play_seed)
{
    const std::uint64_t first = number_from("POPLARSHED_FIRST_SEED", seeds.first);
    const std::uint64_t last = first + number_from("POPLARSHED_SCHEDULE_SEEDS", seeds.count);
    fleet_coverage coverage;
    for (std::uint64_t seed = first; seed < last; ++seed) {
        const outcome ended = play_seed(seed);
        coverage.add(ended.coverage);
        BOOST_TEST(ended.violations.empty(),
                   "seed " << seed << ", step " << ended.step << ": "
                           << (ended.violations.empty() ? "" : ended.violations.front()));
    }
    BOOST_TEST_MESSAGE("jobs " << coverage.jobs << ", completed " << coverage.completed << ", refused "
                               << coverage.refused << ", unknown " << coverage.unknown << ", starts "
                               << coverage.starts << ", resent " << coverage.resent);
    return coverage;
}

}  // namespace poplarshed::instance::test
