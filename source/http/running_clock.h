#pragma once

#include "common/clock.h"

namespace poplarshed::http {

/// Steady time without the pauses of the server's thread. While the process is stopped, what clients send
/// waits with the kernel; time limits and rates that counted such a pause would close clients that are not
/// at fault. Not thread-safe.
class running_clock {
public:
    /// The server's thread reads the clock at least every 100 ms; longer gaps are pauses.
    static constexpr milliseconds longest_gap{500};

    /// @param steady a reading of the steady clock, not before that of the last call
    time_point at(time_point steady)
    {
        const duration gap = steady - m_last;
        if (m_last != time_point{} && gap > longest_gap) {
            m_paused += gap;
        }
        m_last = steady;
        return steady - m_paused;
    }

private:
    time_point m_last;
    duration m_paused{};
};

}  // namespace poplarshed::http
