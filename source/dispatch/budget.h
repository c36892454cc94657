#pragma once

#include <algorithm>

namespace poplarshed::dispatch {

/// Allowance that grows with each first attempt, for retries and hedges.
class budget {
public:
    /// @param share part of the first attempts
    /// @param limit greatest allowance that is saved up; also the start value
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
