#pragma once

#include <array>
#include <cstddef>

#include "common/clock.h"

namespace poplarshed::workers {

/// Observes how long workers take to answer starts. A single slow worker does not change the median; if most
/// answers are slow, the link or the processor of this instance is overloaded. Commands that are given up
/// then cost a connection, a stop and another start each, and so add to the overload.
class command_path {
public:
    /// @param answer_time time until the answer, or until the start was given up
    void observe(milliseconds answer_time);
    /// Median of the last answer times; 0 before the first.
    milliseconds typical_answer_time() const { return m_typical; }
    /// Time to wait for an answer.
    /// @param usual the same while answers are fast
    milliseconds patience(milliseconds usual) const;
    /// Number of starts that may wait for an answer at the same time.
    std::size_t window() const;

private:
    static constexpr std::size_t sample_count = 32;

    std::array<milliseconds, sample_count> m_samples{};
    std::size_t m_observed = 0;
    milliseconds m_typical{};
};

}  // namespace poplarshed::workers
