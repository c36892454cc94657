#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>
#include <map>
#include <mutex>
#include <shared_mutex>

#include "telemetry/telemetry.h"

namespace poplarshed::telemetry {

namespace {

namespace histogram = boost::histogram;

// From 0.1 ms to 100 s with 8 buckets a decade: each bound is a third above the one before.
constexpr double lowest_seconds = 1e-4;
constexpr double highest_seconds = 1e2;
constexpr unsigned bucket_count = 48;

using bucket_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using bucket_storage = histogram::dense_storage<histogram::accumulators::thread_safe<std::uint64_t>>;

class latency_cell {
public:
    void observe(double value)
    {
        m_buckets(value);
        m_sum.fetch_add(value, std::memory_order_relaxed);
    }

    const auto& buckets() const { return m_buckets; }
    double sum() const { return m_sum.load(std::memory_order_relaxed); }

private:
    histogram::histogram<std::tuple<bucket_axis>, bucket_storage> m_buckets = histogram::make_histogram_with(
        bucket_storage(), bucket_axis(bucket_count, lowest_seconds, highest_seconds));
    std::atomic<double> m_sum = 0;
};

template <std::size_t N>
using counter_row = std::array<std::atomic<std::uint64_t>, N>;

constexpr std::size_t refusal_count = static_cast<std::size_t>(refusal_reason::internal_error) + 1;
constexpr std::size_t retry_count = static_cast<std::size_t>(retry_reason::unwanted_answer) + 1;

std::string escaped(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        out += c;
    }
    return out;
}

std::string label(std::string_view name, std::string_view value)
{
    return std::string(name) + "=\"" + escaped(value) + "\"";
}

std::string braced(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

std::string number(double value)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.9g", value);
    return buffer.data();
}

// Cells of one metric by label value. A cell stays at its place once made, so that it is used without the
// lock.
template <class Cell>
class family {
public:
    Cell& at(std::string_view label_value)
    {
        if (Cell* const found = find(label_value)) {
            return *found;
        }
        const std::unique_lock lock(m_mutex);
        const bool full = m_cells.size() >= max_label_values;
        return m_cells[std::string(full ? std::string_view("other") : label_value)];
    }

    Cell* find(std::string_view label_value)
    {
        const std::shared_lock lock(m_mutex);
        const auto found = m_cells.find(label_value);
        return found == m_cells.end() ? nullptr : &found->second;
    }

    template <class Visitor>
    void for_each(Visitor visit)
    {
        const std::shared_lock lock(m_mutex);
        for (const auto& [label_value, cell] : m_cells) {
            visit(label_value, cell);
        }
    }

private:
    std::shared_mutex m_mutex;
    std::map<std::string, Cell, std::less<>> m_cells;
};

// Families of one kind of metric by the name of the metric.
template <class Definition, class Cell>
class collection {
public:
    family<Cell>& at(const Definition& definition)
    {
        if (family<Cell>* const found = find(definition)) {
            return *found;
        }
        const std::unique_lock lock(m_mutex);
        const auto [place, added] = m_items.try_emplace(definition.name);
        place->second.definition = definition;
        return place->second.cells;
    }

    family<Cell>* find(const Definition& definition)
    {
        const std::shared_lock lock(m_mutex);
        const auto found = m_items.find(definition.name);
        return found == m_items.end() ? nullptr : &found->second.cells;
    }

    // Calls visit(name, labels, cell) after writing the head of each family.
    template <class Visitor>
    void write(std::string& out, std::string_view type, Visitor visit)
    {
        const std::shared_lock lock(m_mutex);
        for (auto& [name, entry] : m_items) {
            const Definition& definition = entry.definition;
            write_head(out, definition.name, definition.help, type);
            entry.cells.for_each([&](const std::string& label_value, const Cell& cell) {
                visit(definition.name, definition.label.empty() ? "" : label(definition.label, label_value),
                      cell);
            });
        }
    }

    static void write_head(std::string& out, std::string_view name, std::string_view help,
                           std::string_view type)
    {
        out += "# HELP " + std::string(name) + " " + std::string(help) + "\n";
        out += "# TYPE " + std::string(name) + " " + std::string(type) + "\n";
    }

private:
    struct entry_type {
        Definition definition;
        family<Cell> cells;
    };

    std::shared_mutex m_mutex;
    std::map<std::string_view, entry_type> m_items;
};

using counter_collection = collection<counter_definition, std::atomic<std::uint64_t>>;

void write_sample(std::string& out, std::string_view name, const std::string& labels,
                  const std::string& value)
{
    out += std::string(name) + braced(labels) + " " + value + "\n";
}

void write_histogram(std::string& out, std::string_view name, const std::string& labels,
                     const latency_cell& cell)
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    const std::string bucket_name = std::string(name) + "_bucket";
    // Index -1 is the underflow bucket, whose upper bound is the lowest bound.
    std::uint64_t total = 0;
    for (int i = -1; i < static_cast<int>(bucket_count); ++i) {
        total += cell.buckets().at(i).load();
        write_sample(out, bucket_name, prefix + label("le", number(cell.buckets().axis().value(i + 1))),
                     std::to_string(total));
    }
    total += cell.buckets().at(static_cast<int>(bucket_count)).load();
    write_sample(out, bucket_name, prefix + label("le", "+Inf"), std::to_string(total));
    write_sample(out, std::string(name) + "_sum", labels, number(cell.sum()));
    write_sample(out, std::string(name) + "_count", labels, std::to_string(total));
}

// Every reason is written for each service seen, so that a rate exists before the first refusal.
template <class Row, class Reasons>
void write_reasons(std::string& out, std::string_view name, std::string_view help, family<Row>& rows,
                   const Reasons& reasons)
{
    counter_collection::write_head(out, name, help, "counter");
    rows.for_each([&](const std::string& service, const Row& row) {
        for (const auto reason : reasons) {
            const std::string labels = label("service", service) + "," + label("reason", to_string(reason));
            write_sample(out, name, labels, std::to_string(row[static_cast<std::size_t>(reason)].load()));
        }
    });
}

}  // namespace

struct metrics::state {
    family<counter_row<refusal_count>> refusals;
    family<counter_row<retry_count>> retries;
    counter_collection counters;
    collection<gauge_definition, std::atomic<double>> gauges;
    collection<histogram_definition, latency_cell> histograms;
};

metrics::metrics() : m_state(std::make_unique<state>())
{
    m_state->refusals.at({});
    m_state->retries.at({});
}

metrics::~metrics() = default;

void metrics::count_refusal(const service_id& service, refusal_reason reason, std::uint64_t count)
{
    m_state->refusals.at(service.value())[static_cast<std::size_t>(reason)].fetch_add(count);
}

void metrics::count_retry(const service_id& service, retry_reason reason, std::uint64_t count)
{
    m_state->retries.at(service.value())[static_cast<std::size_t>(reason)].fetch_add(count);
}

void metrics::add(const counter_definition& definition, std::string_view label_value, std::uint64_t count)
{
    m_state->counters.at(definition).at(label_value).fetch_add(count);
}

void metrics::set(const gauge_definition& definition, double value, std::string_view label_value)
{
    m_state->gauges.at(definition).at(label_value).store(value);
}

void metrics::observe(const histogram_definition& definition, duration value, std::string_view label_value)
{
    m_state->histograms.at(definition).at(label_value).observe(std::chrono::duration<double>(value).count());
}

std::uint64_t metrics::value(const counter_definition& definition, std::string_view label_value) const
{
    auto* const cells = m_state->counters.find(definition);
    auto* const cell = cells == nullptr ? nullptr : cells->find(label_value);
    return cell == nullptr ? 0 : cell->load();
}

std::uint64_t metrics::value(const service_id& service, refusal_reason reason) const
{
    auto* const row = m_state->refusals.find(service.value());
    return row == nullptr ? 0 : (*row)[static_cast<std::size_t>(reason)].load();
}

std::uint64_t metrics::value(const service_id& service, retry_reason reason) const
{
    auto* const row = m_state->retries.find(service.value());
    return row == nullptr ? 0 : (*row)[static_cast<std::size_t>(reason)].load();
}

std::string metrics::to_prometheus() const
{
    std::string out;
    write_reasons(out, "poplarshed_refusals_total", "Jobs refused or failed, by reason.", m_state->refusals,
                  all_refusal_reasons());
    write_reasons(out, "poplarshed_retries_total", "Attempts repeated and messages wasted, by reason.",
                  m_state->retries, all_retry_reasons());
    m_state->counters.write(out, "counter", [&out](auto name, const std::string& labels, const auto& cell) {
        write_sample(out, name, labels, std::to_string(cell.load()));
    });
    m_state->gauges.write(out, "gauge", [&out](auto name, const std::string& labels, const auto& cell) {
        write_sample(out, name, labels, number(cell.load()));
    });
    m_state->histograms.write(out, "histogram",
                              [&out](auto name, const std::string& labels, const auto& cell) {
                                  write_histogram(out, name, labels, cell);
                              });
    return out;
}

}  // namespace poplarshed::telemetry
