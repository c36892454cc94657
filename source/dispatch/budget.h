#pragma once

#include <algorithm>

namespace poplarshed::dispatch {

/// Budget for retries or hedges: a token bucket that each first attempt of a task refills.
class budget {
public:
    /// @param share tokens that each first attempt adds
    /// @param limit most tokens that accumulate; also the initial number
    budget(double share, double limit) : m_share(share), m_limit(limit), m_left(limit) {}

    void deposit() { m_left = std::min(m_left + m_share, m_limit); }
    bool available() const { return m_left >= 1.0; }
    bool try_withdraw()
    {
        if (!available()) {
            return false;
        }
        m_left -= 1.0;
        return true;
    }

private:
    double m_share;
    double m_limit;
    double m_left;
};

}  // namespace poplarshed::dispatch
