#include "load/report.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace poplarshed::load {

namespace {

json::value to_json(const percentiles& value)
{
    return {{"count", value.count}, {"p50", value.p50}, {"p90", value.p90}, {"p99", value.p99}};
}

json::value to_json(const kind_summary& item)
{
    return {{"name", item.name},
            {"flood", item.flood},
            {"sent", item.sent},
            {"complete", item.complete},
            {"on_time", item.on_time},
            {"failed", item.failed},
            {"refused", item.refused},
            {"no_answer", item.no_answer},
            {"wrong", item.wrong},
            {"cancelled", item.cancelled},
            {"tasks_sent", item.tasks_sent},
            {"tasks_complete", item.tasks_complete},
            {"on_time_tasks_per_s", item.on_time_tasks_per_s},
            {"failed_by_reason", item.failed_by_reason},
            {"refused_by_reason", item.refused_by_reason},
            {"no_answer_by_reason", item.no_answer_by_reason},
            {"response_ms", to_json(item.response_ms)},
            {"stretch", to_json(item.stretch)}};
}

json::value to_json(const phase_summary& item)
{
    return {{"name", item.name},
            {"tasks_sent", item.tasks_sent},
            {"tasks_on_time", item.tasks_on_time},
            {"on_time_tasks_per_s", item.on_time_tasks_per_s},
            {"on_time_share", item.on_time_share},
            {"kept", item.kept}};
}

std::string fixed(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

double least_kept(const run_summary& run)
{
    double least = 1;
    for (const phase_summary& part : run.phases) {
        least = std::min(least, part.kept);
    }
    return least;
}

double on_time_share(const kind_summary& item)
{
    return item.sent == 0 ? 0 : static_cast<double>(item.on_time) / static_cast<double>(item.sent);
}

template <class Figure>
double median(const std::vector<run_summary>& runs, Figure figure)
{
    std::vector<double> values;
    std::transform(runs.begin(), runs.end(), std::back_inserter(values), figure);
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}  // namespace

json::value to_json(const run_summary& summary)
{
    json::value kinds = json::value::array();
    for (const kind_summary& item : summary.kinds) {
        kinds.push_back(to_json(item));
    }
    json::value phases = json::value::array();
    for (const phase_summary& item : summary.phases) {
        phases.push_back(to_json(item));
    }
    json::value timeline = json::value::array();
    for (const timeline_second& item : summary.timeline) {
        timeline.push_back({{"sent", item.sent},
                            {"on_time", item.on_time},
                            {"flood_sent", item.flood_sent},
                            {"flood_on_time", item.flood_on_time}});
    }
    return {{"scenario", summary.scenario},
            {"seed", summary.seed},
            {"kinds", std::move(kinds)},
            {"other_work", to_json(summary.other_work)},
            {"phases", std::move(phases)},
            {"timeline", std::move(timeline)},
            {"stretch_curve", summary.stretch_curve},
            {"wasted_by_reason", summary.wasted_by_reason},
            {"wasted_per_task", summary.wasted_per_task},
            {"send_delay_ms", to_json(summary.send_delay_ms)}};
}

std::string to_text(const run_summary& summary)
{
    const kind_summary& all = summary.other_work;
    std::ostringstream out;
    out << summary.scenario << ", seed " << summary.seed << "\n";
    out << "jobs: sent " << all.sent << ", complete " << all.complete << ", on time " << all.on_time
        << ", failed " << all.failed << ", refused " << all.refused << ", no answer " << all.no_answer
        << ", wrong " << all.wrong << "\n";
    out << "stretch: median " << fixed(all.stretch.p50, 3) << ", p99 " << fixed(all.stretch.p99, 3) << "\n";
    out << "wasted messages per useful task: " << fixed(summary.wasted_per_task, 4) << "\n";
    for (const phase_summary& part : summary.phases) {
        out << "phase " << part.name << ": " << fixed(part.on_time_tasks_per_s, 1)
            << " tasks/s on time, kept " << fixed(part.kept, 3) << "\n";
    }
    out << "send delay p99: " << fixed(summary.send_delay_ms.p99, 2) << " ms\n";
    return out.str();
}

experiment_row median_of(const std::string& deployment, const std::vector<run_summary>& runs)
{
    experiment_row row;
    row.scenario = runs.front().scenario;
    row.deployment = deployment;
    row.seeds = runs.size();
    row.stretch_p50 = median(runs, [](const run_summary& run) { return run.other_work.stretch.p50; });
    row.stretch_p99 = median(runs, [](const run_summary& run) { return run.other_work.stretch.p99; });
    row.wasted_per_task = median(runs, [](const run_summary& run) { return run.wasted_per_task; });
    row.on_time_tasks_per_s =
        median(runs, [](const run_summary& run) { return run.other_work.on_time_tasks_per_s; });
    row.on_time_share = median(runs, [](const run_summary& run) { return on_time_share(run.other_work); });
    row.kept = median(runs, least_kept);
    return row;
}

std::string to_table(const std::vector<experiment_row>& rows)
{
    std::vector<std::array<std::string, 9>> lines{{"scenario", "deployment", "seeds", "stretch p50",
                                                   "stretch p99", "wasted/task", "on-time tasks/s",
                                                   "on-time jobs", "kept"}};
    for (const experiment_row& row : rows) {
        lines.push_back({row.scenario, row.deployment, std::to_string(row.seeds), fixed(row.stretch_p50, 3),
                         fixed(row.stretch_p99, 3), fixed(row.wasted_per_task, 4),
                         fixed(row.on_time_tasks_per_s, 1), fixed(row.on_time_share, 4), fixed(row.kept, 3)});
    }
    std::array<std::size_t, 9> widths{};
    for (const auto& line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            widths[column] = std::max(widths[column], line[column].size());
        }
    }
    std::ostringstream out;
    for (const auto& line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            out << (column < 2 ? std::left : std::right) << std::setw(static_cast<int>(widths[column] + 2))
                << line[column];
        }
        out << "\n";
    }
    return out.str();
}

json::value to_json(const std::vector<experiment_row>& rows)
{
    json::value all = json::value::array();
    for (const experiment_row& row : rows) {
        all.push_back({{"scenario", row.scenario},
                       {"deployment", row.deployment},
                       {"seeds", row.seeds},
                       {"stretch_p50", row.stretch_p50},
                       {"stretch_p99", row.stretch_p99},
                       {"wasted_per_task", row.wasted_per_task},
                       {"on_time_tasks_per_s", row.on_time_tasks_per_s},
                       {"on_time_share", row.on_time_share},
                       {"kept", row.kept}});
    }
    return all;
}

}  // namespace poplarshed::load
