#include "workers/command_path.h"

#include <algorithm>

namespace poplarshed::workers {

namespace {

// Answers are slow above this time. Workers answer within a few milliseconds.
constexpr milliseconds fast_answer_time{20};
// An answer may take this many times longer than the excess of the median over fast_answer_time.
constexpr int patience_factor = 3;
// A list with its wait of 150 ms must still be answered within the lease of 700 ms.
constexpr milliseconds max_extra_patience{300};
constexpr std::size_t max_window = 256;
// Keeps answer times observable.
constexpr std::size_t min_window = 8;

}  // namespace

void command_path::observe(milliseconds answer_time)
{
    m_samples.at(m_observed % sample_count) = answer_time;
    ++m_observed;
    auto sorted = m_samples;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(m_observed, sample_count));
    const auto middle = sorted.begin() + (end - sorted.begin() - 1) / 2;
    std::nth_element(sorted.begin(), middle, end);
    m_typical = *middle;
}

milliseconds command_path::patience(milliseconds usual) const
{
    const milliseconds excess = std::max(milliseconds(0), m_typical - fast_answer_time);
    return usual + std::min(excess * patience_factor, max_extra_patience);
}

// The window falls with the square of the answer time, so that the starts on the way, and with them the
// answer time, settle at a few times fast_answer_time whatever the path carries.
std::size_t command_path::window() const
{
    if (m_typical <= fast_answer_time) {
        return max_window;
    }
    const double share =
        static_cast<double>(fast_answer_time.count()) / static_cast<double>(m_typical.count());
    return std::max(min_window, static_cast<std::size_t>(static_cast<double>(max_window) * share * share));
}

}  // namespace poplarshed::workers
