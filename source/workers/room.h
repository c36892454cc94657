#pragma once

#include <cstdint>
#include <vector>

namespace poplarshed::workers {

/// Processor needs of the tasks that a pool was lately offered, and how many such tasks fit into the room of
/// a worker. Load pattern: needs vary by a fifth around half of a worker, so that the second task fits every
/// other time; a room counted in whole mean needs halves or doubles with the mean.
///
/// A pool serves one service, so it has one distribution. Memory and time are bounded: at most max_needs
/// different needs are kept, nearest ones are merged, and old ones decay with each new task. Needs are in
/// thousandths of a core. Not thread-safe; no I/O.
class need_distribution {
public:
    /// Different needs that are kept. Needs within a fifth of a mean are then at most 1% apart.
    static constexpr std::size_t max_needs = 64;

    need_distribution();

    /// Records that tasks with this need were offered. Needs of 0 take no room and are ignored.
    void observe(std::int64_t cpu_milli, std::uint32_t tasks);
    /// Mean need; that of a usual task before any observation. Greater than 0.
    double mean() const { return m_mean; }
    /// Expected number of tasks that fit into a room together: the sum over k of the probability that k tasks
    /// drawn independently need no more than the room. Does not fall as the room grows. Constant time.
    double expected_tasks(std::int64_t cpu_milli) const;
    /// Processors that these tasks use on average; at most the room.
    std::int64_t expected_cpu(std::int64_t cpu_milli) const;

private:
    struct weighted_need {
        double cpu = 0;
        double weight = 0;
    };

    void decay(double added);
    void insert(double cpu, double weight);
    void merge_nearest();
    void rebuild();
    std::vector<double> probabilities() const;

    std::vector<weighted_need> m_needs;  ///< ascending
    double m_total = 0;                  ///< sum of the weights
    double m_added = 0;                  ///< weight added since the table was built
    double m_mean = 0;
    std::int64_t m_cell = 1;      ///< size of the table's cells, thousandths of a core
    std::vector<double> m_tasks;  ///< expected tasks by room, in cells
};

}  // namespace poplarshed::workers
