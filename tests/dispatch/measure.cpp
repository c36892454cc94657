#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>

#include "dispatch/workload.h"

using namespace poplarshed;
using namespace poplarshed::dispatch;

namespace {

struct run_options {
    policy_kind policy = policy_kind::expected_finish;
    policy_options choices;
    workload_options fleet;
    double load = 0.8;
    std::string flood;  ///< service whose jobs flood the data centre; empty for no flood
    double flood_factor = 10.0;
};

struct measures {
    double median = 0.0;
    double p99 = 0.0;            ///< 99th percentile of the stretch
    double wasted = 0.0;         ///< messages per useful task
    double in_time_share = 0.0;  ///< tasks answered in time before the flood, as a part of those offered
    double kept = 0.0;           ///< ratio of in_time_share during the flood to that before it
    double lending = 0.0;        ///< slot messages per useful task
    std::map<std::size_t, std::vector<double>>
        by_size;  ///< stretches by smallest size of a band of job sizes
    std::map<retry_reason, std::size_t> by_reason;
    std::map<refusal_reason, std::size_t> refusals;  ///< jobs refused or failed, without those of the flood
};

constexpr seconds warm_up{10};
constexpr seconds measured_span{40};
constexpr seconds job_deadline{10};

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto place = static_cast<std::size_t>(part * static_cast<double>(values.size()));
    return values[std::min(place, values.size() - 1)];
}

/// One run: a warm-up, a measured span, and with a flood a second measured span of the same length.
class experiment {
public:
    explicit experiment(const run_options& options)
        : m_options(options),
          m_load(options.fleet),
          m_centre(make_dispatchers(), m_load.runners(), workload_bundle(), options.fleet.seed)
    {}

    measures run()
    {
        const time_point begin = m_centre.now() + warm_up;
        const time_point middle = begin + measured_span;
        const time_point end = m_options.flood.empty() ? middle : middle + measured_span;
        const double rate = m_load.rate(m_options.load);
        submit_arrivals([this] { return workspace_id("t" + std::to_string(m_load.random().below(4))); },
                        [this] { return service_id(m_load.random().below(2) == 0 ? "plain" : "urgent"); },
                        rate, end);
        if (!m_options.flood.empty()) {
            m_centre.at(middle, [this, end] {
                submit_arrivals([] { return workspace_id("flood"); },
                                [this] { return service_id(m_options.flood); },
                                m_load.rate(m_options.flood_factor), end);
            });
        }
        m_centre.run_until(end + 2 * job_deadline);
        return evaluate(begin, middle, end);
    }

private:
    std::vector<std::unique_ptr<dispatcher>> make_dispatchers()
    {
        std::vector<std::unique_ptr<dispatcher>> dispatchers;
        dispatchers.reserve(m_options.fleet.instances);
        for (std::uint32_t i = 0; i < m_options.fleet.instances; ++i) {
            dispatchers.push_back(
                make_dispatcher(m_options.policy, m_options.fleet.seed * 100 + i, m_options.choices));
        }
        return dispatchers;
    }

    template <class Workspace, class Service>
    void submit_arrivals(Workspace workspace, Service service, double rate, time_point end)
    {
        if (m_centre.now() >= end) {
            return;
        }
        const auto instance = static_cast<std::uint32_t>(m_load.random().below(m_options.fleet.instances));
        m_centre.submit(instance, m_load.job(workspace(), service(), m_centre.now(), job_deadline));
        m_centre.at(m_centre.now() + m_load.gap(rate), [this, workspace, service, rate, end] {
            submit_arrivals(workspace, service, rate, end);
        });
    }

    measures evaluate(time_point begin, time_point middle, time_point end)
    {
        measures result;
        std::vector<double> stretches;
        double before = 0.0;
        double offered = 0.0;
        double offered_during = 0.0;
        double during = 0.0;
        double useful = 0.0;
        for (const auto& [key, job] : m_centre.jobs()) {
            const bool complete = std::holds_alternative<job_complete>(job.outcome);
            const bool good = complete && job.answered <= job.request.deadline;
            const auto tasks = static_cast<double>(job.request.tasks.size());
            useful += good ? tasks : 0.0;
            if (job.request.workspace == workspace_id("flood") || job.request.arrival < begin) {
                continue;
            }
            if (const auto* refused = std::get_if<job_refused>(&job.outcome)) {
                ++result.refusals[refused->cause.reason];
            } else if (const auto* failed = std::get_if<job_failed>(&job.outcome)) {
                ++result.refusals[failed->cause.reason];
            }
            const bool first = job.request.arrival < middle;
            (first ? offered : offered_during) += tasks;
            (first ? before : during) += good ? tasks : 0.0;
            if (first && complete) {
                const duration response = job.answered - job.request.arrival;
                const duration ideal = ideal_time(job.request, m_centre.runners());
                stretches.push_back(static_cast<double>(response.count()) /
                                    static_cast<double>(ideal.count()));
                const std::size_t size = job.request.tasks.size();
                result.by_size[size >= 100  ? 100
                               : size >= 10 ? 10
                               : size >= 2  ? 2
                                            : 1]
                    .push_back(stretches.back());
            }
        }
        result.median = quantile(stretches, 0.5);
        result.p99 = quantile(stretches, 0.99);
        result.in_time_share = before / offered;
        // The random arrivals of the two spans differ, so the shares answered in time are compared, not the
        // totals.
        result.kept = end > middle ? during / offered_during / (before / offered) : 0.0;
        result.by_reason = m_centre.wasted();
        for (const auto& [reason, count] : result.by_reason) {
            result.wasted += static_cast<double>(count) / useful;
        }
        result.lending = static_cast<double>(m_centre.messages()) / useful;
        return result;
    }

    run_options m_options;
    workload m_load;
    fake_data_centre m_centre;
};

double median_of(const std::vector<measures>& runs, double measures::*field)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (const measures& run : runs) {
        values.push_back(run.*field);
    }
    return quantile(values, 0.5);
}

void print(const std::string& name, const std::vector<measures>& runs)
{
    std::printf("%-34s stretch %6.2f %7.2f  wasted %.4f  in time %.4f", name.c_str(),
                median_of(runs, &measures::median), median_of(runs, &measures::p99),
                median_of(runs, &measures::wasted), median_of(runs, &measures::in_time_share));
    if (runs.front().kept > 0.0) {
        std::printf("  kept %.4f", median_of(runs, &measures::kept));
    }
    std::printf("  slot messages %.3f ", median_of(runs, &measures::lending));
    for (const auto& [reason, count] : runs.front().by_reason) {
        std::printf(" %s=%zu", std::string(to_string(reason)).c_str(), count);
    }
    for (const auto& [reason, count] : runs.front().refusals) {
        std::printf(" %s=%zu", std::string(to_string(reason)).c_str(), count);
    }
    std::printf("\n");
    std::fflush(stdout);
}

void print_bands(const std::vector<measures>& runs)
{
    std::map<std::size_t, std::vector<double>> all;
    for (const measures& run : runs) {
        for (const auto& [least, values] : run.by_size) {
            all[least].insert(all[least].end(), values.begin(), values.end());
        }
    }
    for (const auto& [least, values] : all) {
        std::printf("    jobs of %3zu tasks and more: stretch %6.2f %6.2f %6.2f (50th, 90th, 99th) of %zu\n",
                    least, quantile(values, 0.5), quantile(values, 0.9), quantile(values, 0.99),
                    values.size());
    }
}

void measure(const std::string& name, run_options options, std::size_t seeds, bool bands)
{
    std::vector<measures> runs;
    for (std::size_t seed = 1; seed <= seeds; ++seed) {
        options.fleet.seed = seed;
        runs.push_back(experiment(options).run());
    }
    print(name, runs);
    if (bands) {
        print_bands(runs);
    }
}

const std::map<std::string, policy_kind> policies{{"expected_finish", policy_kind::expected_finish},
                                                  {"random_choice", policy_kind::random_choice},
                                                  {"round_robin_static", policy_kind::round_robin_static}};
const std::map<std::string, sharing_kind> sharings{{"static_shares", sharing_kind::static_shares},
                                                   {"two_choices", sharing_kind::two_choices},
                                                   {"lending", sharing_kind::lending}};

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures dispatch policies in virtual time: median of several seeds");
    run_options options;
    std::size_t seeds = 3;
    std::vector<double> loads{0.5, 0.8, 0.95};
    std::string policy = "expected_finish";
    std::string sharing = "lending";
    app.add_option("--policy", policy)->check(CLI::IsMember(policies));
    app.add_option("--sharing", sharing)->check(CLI::IsMember(sharings));
    app.add_option("--load", loads, "parts of the capacity");
    app.add_option("--flood", options.flood, "service of a flood of 10 times the capacity: plain or urgent");
    app.add_flag("--faults", options.fleet.faults, "one runner in ten slower by 5, one in fifty failing");
    app.add_option("--seeds", seeds);
    bool bands = false;
    app.add_flag("--bands", bands, "also print the stretch by job size");
    app.add_option("--cores", options.fleet.instances);
    app.add_option("--least-speed", options.fleet.least_speed);
    app.add_option("--greatest-speed", options.fleet.greatest_speed);
    CLI11_PARSE(app, argc, argv);
    options.policy = policies.at(policy);
    options.choices.sharing = sharings.at(sharing);
    for (const double load : loads) {
        options.load = load;
        char label[64];
        std::snprintf(label, sizeof label, "%s/%s %.0f%%", policy.c_str(), sharing.c_str(), load * 100.0);
        measure(label, options, seeds, bands);
    }
    return 0;
}
