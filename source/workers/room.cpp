#include "workers/room.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::workers {

namespace {

// Need that is assumed before the first offer.
constexpr double default_need = 8000;
// Tasks after which an observation has half of its weight: about 250 jobs, which a busy pool is offered
// within a few seconds. Counting tasks instead of time keeps what a quiet pool has seen.
constexpr double half_life_tasks = 1000;
// Most tasks of an offer that count, so that one wide step does not displace all others.
constexpr std::uint32_t max_counted_tasks = 64;
// Part of the distribution that may change before the table is built again.
constexpr double rebuild_share = 1.0 / 16;
// Needs below this part of all weights no longer change the table.
constexpr double negligible_share = 1e-4;
// Cells of the table for the mean need; finer cells would be below the spread of needs.
constexpr double min_cells_per_need = 32;
// Rooms beyond the table hold at least twelve mean tasks; a further one then needs the mean almost exactly.
constexpr std::size_t table_cells = 1024;

/// The greatest of 1, 2.5, 5 and their multiples by powers of ten up to a value, so that the usual needs and
/// rooms, which are round numbers, are whole numbers of cells.
std::int64_t round_cell(double most)
{
    std::int64_t cell = 1;
    for (std::int64_t power = 1; static_cast<double>(power) <= most; power *= 10) {
        for (const std::int64_t tenths : {10, 25, 50}) {
            const std::int64_t candidate = power * tenths / 10;
            cell = static_cast<double>(candidate) <= most ? candidate : cell;
        }
    }
    return cell;
}

}  // namespace

need_distribution::need_distribution()
{
    rebuild();
}

void need_distribution::observe(std::int64_t cpu_milli, std::uint32_t tasks)
{
    if (cpu_milli <= 0 || tasks == 0) {
        return;
    }
    const double weight = std::min(tasks, max_counted_tasks);
    decay(weight);
    insert(static_cast<double>(cpu_milli), weight);
    m_added += weight;
    if (m_added >= m_total * rebuild_share) {
        rebuild();
    }
}

void need_distribution::decay(double added)
{
    const double factor = std::exp2(-added / half_life_tasks);
    const double least = m_total * factor * negligible_share;
    m_total = 0;
    for (weighted_need& need : m_needs) {
        need.weight *= factor;
        m_total += need.weight < least ? 0 : need.weight;
    }
    std::erase_if(m_needs, [least](const weighted_need& need) { return need.weight < least; });
}

void need_distribution::insert(double cpu, double weight)
{
    m_total += weight;
    const auto at =
        std::lower_bound(m_needs.begin(), m_needs.end(), cpu,
                         [](const weighted_need& need, double value) { return need.cpu < value; });
    if (at != m_needs.end() && at->cpu == cpu) {
        at->weight += weight;
        return;
    }
    m_needs.insert(at, {cpu, weight});
    if (m_needs.size() > max_needs) {
        merge_nearest();
    }
}

void need_distribution::merge_nearest()
{
    const auto second = std::min_element(
        m_needs.begin() + 1, m_needs.end(),
        [](const auto& a, const auto& b) { return a.cpu - (&a - 1)->cpu < b.cpu - (&b - 1)->cpu; });
    weighted_need& first = *(second - 1);
    const double weight = first.weight + second->weight;
    first.cpu = (first.cpu * first.weight + second->cpu * second->weight) / weight;
    first.weight = weight;
    m_needs.erase(second);
}

// A need between two cells counts as either, with the probabilities that keep its mean. Needs that exceed the
// table are left out: none of them fits into a room of the table.
std::vector<double> need_distribution::probabilities() const
{
    std::vector<double> shares(table_cells + 1);
    const auto add = [&shares](double cells, double share) {
        const double below = std::floor(cells);
        const auto index = static_cast<std::size_t>(std::min(below, static_cast<double>(table_cells)));
        const double rest = cells - below;
        if (below <= table_cells) {
            shares[index] += share * (1 - rest);
        }
        if (rest > 0 && below < table_cells) {
            shares[index + 1] += share * rest;
        }
    };
    if (m_needs.empty()) {
        add(default_need / static_cast<double>(m_cell), 1);
    }
    for (const weighted_need& need : m_needs) {
        add(need.cpu / static_cast<double>(m_cell), need.weight / m_total);
    }
    return shares;
}

// The expected number of tasks M satisfies the renewal equation: M(room) is the sum over the needs x up to
// the room of p(x) * (1 + M(room - x)).
void need_distribution::rebuild()
{
    m_added = 0;
    m_mean = m_needs.empty() ? default_need : 0;
    for (const weighted_need& need : m_needs) {
        m_mean += need.cpu * need.weight / m_total;
    }
    m_cell = round_cell(m_mean / min_cells_per_need);
    const std::vector<double> shares = probabilities();
    std::vector<std::size_t> present;
    for (std::size_t cells = 1; cells < shares.size(); ++cells) {
        if (shares[cells] > 0) {
            present.push_back(cells);
        }
    }
    m_tasks.assign(table_cells + 1, 0);
    for (std::size_t room = 0; room <= table_cells; ++room) {
        double sum = shares[0];
        for (std::size_t i = 0; i < present.size() && present[i] <= room; ++i) {
            sum += shares[present[i]] * (1 + m_tasks[room - present[i]]);
        }
        m_tasks[room] = sum / (1 - shares[0]);
    }
}

double need_distribution::expected_tasks(std::int64_t cpu_milli) const
{
    if (cpu_milli <= 0) {
        return 0;
    }
    const auto cells = static_cast<std::size_t>(cpu_milli / m_cell);
    if (cells <= table_cells) {
        return m_tasks[cells];
    }
    const double beyond =
        static_cast<double>(cpu_milli) - static_cast<double>(table_cells) * static_cast<double>(m_cell);
    return m_tasks[table_cells] + beyond / m_mean;
}

std::int64_t need_distribution::expected_cpu(std::int64_t cpu_milli) const
{
    const double used = expected_tasks(cpu_milli) * m_mean;
    return std::clamp<std::int64_t>(std::llround(used), 0, std::max<std::int64_t>(0, cpu_milli));
}

}  // namespace poplarshed::workers
