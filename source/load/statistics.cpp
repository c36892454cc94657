#include "load/statistics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <charconv>

namespace poplarshed::load {

namespace {

constexpr double histogram_min = 0.01;
constexpr double histogram_max = 1e6;
constexpr int histogram_bins = 2600;

template <class Histogram>
double quantile(const Histogram& filled, double total, double share)
{
    double seen = 0;
    for (auto&& bin : boost::histogram::indexed(filled, boost::histogram::coverage::all)) {
        seen += *bin;
        if (seen >= share * total) {
            return std::clamp(bin.bin().center(), histogram_min, histogram_max);
        }
    }
    return 0;
}

double seconds_of(milliseconds from, milliseconds until)
{
    return std::chrono::duration<double>(until - from).count();
}

bool is_on_time(const scenario& what, const job_record& record)
{
    const auto& deadline = what.kinds[record.kind].deadline;
    return record.end == job_end::complete && !record.wrong && (!deadline || record.response <= *deadline);
}

double ms_of(microseconds value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

// Collects the records of one kind or of several.
class collector {
public:
    explicit collector(const scenario& what) : m_scenario(what) {}

    void add(const job_record& record)
    {
        ++m_total.sent;
        m_total.tasks_sent += record.tasks;
        m_total.wrong += record.wrong ? 1 : 0;
        if (record.cancelled) {
            ++m_total.cancelled;
            return;
        }
        switch (record.end) {
            case job_end::complete:
                add_complete(record);
                break;
            case job_end::failed:
                ++m_total.failed;
                ++m_total.failed_by_reason[record.reason];
                break;
            case job_end::refused:
                ++m_total.refused;
                ++m_total.refused_by_reason[record.reason];
                break;
            case job_end::no_answer:
                ++m_total.no_answer;
                ++m_total.no_answer_by_reason[record.reason];
                break;
        }
    }

    kind_summary finish(std::string name, double measured_s)
    {
        m_total.name = std::move(name);
        m_total.response_ms = percentiles_of(m_response_ms);
        m_total.stretch = percentiles_of(m_stretch);
        m_total.on_time_tasks_per_s = static_cast<double>(m_tasks_on_time) / measured_s;
        return m_total;
    }

private:
    void add_complete(const job_record& record)
    {
        ++m_total.complete;
        m_total.tasks_complete += record.tasks;
        m_response_ms.push_back(ms_of(record.response));
        m_stretch.push_back(ms_of(record.response) / record.ideal_ms);
        if (is_on_time(m_scenario, record)) {
            ++m_total.on_time;
            m_tasks_on_time += record.tasks;
        }
    }

    const scenario& m_scenario;
    kind_summary m_total;
    std::uint64_t m_tasks_on_time = 0;
    std::vector<double> m_response_ms;
    std::vector<double> m_stretch;
};

bool is_other_work(const kind& item)
{
    return !item.flood && !item.impossible;
}

phase_summary summarize_phase(const scenario& what, const phase& part, const std::vector<job_record>& records)
{
    phase_summary out;
    out.name = part.name;
    for (const job_record& record : records) {
        const bool inside = record.at >= part.from && record.at < part.until;
        if (!inside || record.cancelled || !is_other_work(what.kinds[record.kind])) {
            continue;
        }
        out.tasks_sent += record.tasks;
        out.tasks_on_time += is_on_time(what, record) ? record.tasks : 0;
    }
    out.on_time_tasks_per_s = static_cast<double>(out.tasks_on_time) / seconds_of(part.from, part.until);
    if (out.tasks_sent > 0) {
        out.on_time_share = static_cast<double>(out.tasks_on_time) / static_cast<double>(out.tasks_sent);
    }
    return out;
}

}  // namespace

percentiles percentiles_of(const std::vector<double>& samples)
{
    namespace bh = boost::histogram;
    auto filled = bh::make_histogram(
        bh::axis::regular<double, bh::axis::transform::log>(histogram_bins, histogram_min, histogram_max));
    for (const double sample : samples) {
        filled(sample);
    }
    const auto total = static_cast<double>(samples.size());
    if (samples.empty()) {
        return {};
    }
    return {samples.size(), quantile(filled, total, 0.5), quantile(filled, total, 0.9),
            quantile(filled, total, 0.99)};
}

namespace {

std::vector<timeline_second> timeline_of(const scenario& what, const std::vector<job_record>& records)
{
    std::vector<timeline_second> timeline;
    for (const job_record& record : records) {
        const auto second = static_cast<std::size_t>(std::chrono::duration_cast<seconds>(record.at).count());
        if (second >= timeline.size()) {
            timeline.resize(second + 1);
        }
        const bool flood = what.kinds[record.kind].flood;
        timeline_second& entry = timeline[second];
        (flood ? entry.flood_sent : entry.sent) += record.tasks;
        if (is_on_time(what, record)) {
            (flood ? entry.flood_on_time : entry.on_time) += record.tasks;
        }
    }
    return timeline;
}

std::vector<double> stretch_curve_of(const scenario& what, const std::vector<job_record>& records)
{
    std::vector<double> samples;
    for (const job_record& record : records) {
        const bool counts = record.at >= what.warm_up && is_other_work(what.kinds[record.kind]);
        if (counts && record.end == job_end::complete) {
            samples.push_back(ms_of(record.response) / record.ideal_ms);
        }
    }
    std::sort(samples.begin(), samples.end());
    std::vector<double> curve;
    constexpr std::size_t hundred = 100;
    for (std::size_t percent = 1; percent < hundred && !samples.empty(); ++percent) {
        curve.push_back(samples[percent * samples.size() / hundred]);
    }
    return curve;
}

}  // namespace

run_summary summarize(const scenario& what, std::uint64_t seed, const std::vector<job_record>& records)
{
    std::vector<collector> kinds(what.kinds.size(), collector(what));
    collector other(what);
    for (const job_record& record : records) {
        if (record.at < what.warm_up) {
            continue;
        }
        kinds[record.kind].add(record);
        if (is_other_work(what.kinds[record.kind])) {
            other.add(record);
        }
    }
    run_summary out;
    out.scenario = what.name;
    out.seed = seed;
    const double measured_s = seconds_of(what.warm_up, what.duration);
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        out.kinds.push_back(kinds[index].finish(what.kinds[index].name, measured_s));
        out.kinds.back().flood = what.kinds[index].flood;
    }
    out.other_work = other.finish("other work", measured_s);
    for (const phase& part : what.phases) {
        out.phases.push_back(summarize_phase(what, part, records));
        const double first_share = out.phases.front().on_time_share;
        out.phases.back().kept = first_share > 0 ? out.phases.back().on_time_share / first_share : 0;
    }
    out.timeline = timeline_of(what, records);
    out.stretch_curve = stretch_curve_of(what, records);
    return out;
}

std::map<std::string, double> wasted_between(const std::map<std::string, double>& before,
                                             const std::map<std::string, double>& after)
{
    std::map<std::string, double> wasted;
    for (const auto& [reason, count] : after) {
        const auto found = before.find(reason);
        const double difference = count - (found == before.end() ? 0 : found->second);
        if (difference > 0) {
            wasted[reason] = difference;
        }
    }
    return wasted;
}

void add_retries(std::string_view metrics_page, std::map<std::string, double>& into)
{
    constexpr std::string_view prefix = "poplarshed_retries_total{";
    constexpr std::string_view label = "reason=\"";
    while (!metrics_page.empty()) {
        const auto end = std::min(metrics_page.find('\n'), metrics_page.size());
        const std::string_view line = metrics_page.substr(0, end);
        metrics_page.remove_prefix(std::min(end + 1, metrics_page.size()));
        const auto start = line.find(label);
        const auto space = line.rfind(' ');
        if (!line.starts_with(prefix) || start == std::string_view::npos || space == std::string_view::npos) {
            continue;
        }
        const auto reason_start = start + label.size();
        const std::string reason(line.substr(reason_start, line.find('"', reason_start) - reason_start));
        double value = 0;
        std::from_chars(line.data() + space + 1, line.data() + line.size(), value);
        into[reason] += value;
    }
}

}  // namespace poplarshed::load
