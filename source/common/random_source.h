#pragma once

#include <cstdint>
#include <random>

namespace poplarshed {

/// Random numbers for the decision cores. The same seed gives the same decisions on every run.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : m_engine(seed) {}

    /// Any 64-bit number.
    std::uint64_t bits() { return m_engine(); }
    /// Uniform in [0, bound); 0 for a bound of 0.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : m_engine() % bound; }
    /// Uniform in [0, 1).
    double unit() { return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53; }

private:
    std::mt19937_64 m_engine;
};

}  // namespace poplarshed
