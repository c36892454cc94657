#include "load/plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

#include "json/json.h"

namespace poplarshed::load {

namespace {

constexpr std::uint64_t work_sample_seed = 1;
constexpr int work_sample_size = 20'000;
constexpr double us_per_s = 1e6;
constexpr std::size_t max_line_bytes = std::size_t{64} * 1024;

double exponential(random_source& random, double rate)
{
    return -std::log1p(-random.unit()) / rate;
}

double standard_normal(random_source& random)
{
    // Box-Muller. std::normal_distribution may differ between libraries, and a plan must not.
    const double radius = std::sqrt(-2.0 * std::log1p(-random.unit()));
    return radius * std::cos(2.0 * M_PI * random.unit());
}

std::uint32_t draw_count(random_source& random, const task_count& range)
{
    const double low = std::log(static_cast<double>(range.min));
    const double high = std::log(static_cast<double>(range.max) + 1.0);
    const double drawn = std::floor(std::exp(low + (high - low) * random.unit()));
    return std::clamp(static_cast<std::uint32_t>(drawn), range.min, range.max);
}

std::uint32_t draw_run_ms(random_source& random, const run_time& range)
{
    double value = 0;
    if (random.unit() < range.tail_share) {
        value = range.tail_min_ms + (range.tail_max_ms - range.tail_min_ms) * random.unit();
    } else {
        const double drawn = range.median_ms * std::exp(range.sigma * standard_normal(random));
        value = std::clamp(drawn, range.min_ms, range.max_ms);
    }
    return static_cast<std::uint32_t>(std::lround(std::max(value, 1.0)));
}

std::vector<std::uint32_t> draw_tasks(random_source& random, const kind& what)
{
    std::vector<std::uint32_t> tasks(draw_count(random, what.tasks));
    std::generate(tasks.begin(), tasks.end(), [&] { return draw_run_ms(random, what.run); });
    return tasks;
}

double jobs_per_second(const scenario& what, const kind& item)
{
    if (item.jobs_per_s > 0) {
        return item.jobs_per_s;
    }
    return item.load * capacity_of(what.runners) / mean_work_of(item);
}

planned_job draw_job(random_source& random, const kind& what, std::uint32_t index, double at_s,
                     std::size_t entries)
{
    planned_job job;
    job.at = microseconds(static_cast<std::int64_t>(at_s * us_per_s));
    job.kind = index;
    job.entry = static_cast<std::uint32_t>(random.below(entries));
    job.run_ms = draw_tasks(random, what);
    if (random.unit() < what.resubmit_share) {
        const std::uint64_t step = entries > 1 ? 1 + random.below(entries - 1) : 0;
        job.resubmit_to = static_cast<std::uint32_t>((job.entry + step) % entries);
    }
    return job;
}

void draw_kind(const scenario& what, std::uint32_t index, std::size_t entries, std::uint64_t seed,
               std::vector<planned_job>& jobs)
{
    const kind& item = what.kinds[index];
    // A generator of its own, so that a change of one kind leaves the others as they are.
    random_source random(seed * 1000003U + index);
    const std::uint32_t group = item.process == arrival_process::bursts ? item.burst_jobs : 1;
    const double groups_per_s = jobs_per_second(what, item) / group;
    const double end_s =
        std::chrono::duration<double>(item.until > milliseconds::zero() ? item.until : what.duration).count();
    double at_s = std::chrono::duration<double>(item.from).count() + exponential(random, groups_per_s);
    while (at_s < end_s) {
        for (std::uint32_t i = 0; i < group; ++i) {
            jobs.push_back(draw_job(random, item, index, at_s, entries));
        }
        at_s += exponential(random, groups_per_s);
    }
}

}  // namespace

double mean_work_of(const kind& what)
{
    random_source random(work_sample_seed);
    double tasks = 0;
    double run_ms = 0;
    for (int i = 0; i < work_sample_size; ++i) {
        tasks += draw_count(random, what.tasks);
        run_ms += draw_run_ms(random, what.run);
    }
    return tasks / work_sample_size * run_ms / work_sample_size / 1000.0;
}

std::vector<planned_job> make_plan(const scenario& what, std::size_t entries, std::uint64_t seed)
{
    std::vector<planned_job> jobs;
    for (std::uint32_t index = 0; index < what.kinds.size(); ++index) {
        draw_kind(what, index, entries, seed, jobs);
    }
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const planned_job& left, const planned_job& right) { return left.at < right.at; });
    return jobs;
}

double ideal_ms(std::vector<std::uint32_t> run_ms, const std::vector<double>& speeds)
{
    std::sort(run_ms.begin(), run_ms.end(), std::greater<>());
    double work = 0;
    double speed = 0;
    double bound = 0;
    for (std::size_t k = 0; k < run_ms.size(); ++k) {
        work += run_ms[k];
        speed += k < speeds.size() ? speeds[k] : 0.0;
        bound = std::max(bound, work / speed);
    }
    return bound;
}

std::vector<double> slot_speeds(const std::vector<runner_group>& runners, const service_id& service,
                                const data_centre_id& data_centre)
{
    std::vector<double> speeds;
    for (const runner_group& group : runners) {
        const bool here =
            data_centre.empty() || group.data_centre.empty() || group.data_centre == data_centre;
        const bool serves = group.services.empty() || std::find(group.services.begin(), group.services.end(),
                                                                service.value()) != group.services.end();
        if (here && serves) {
            speeds.insert(speeds.end(), std::size_t{group.count} * group.slots, group.speed);
        }
    }
    std::sort(speeds.begin(), speeds.end(), std::greater<>());
    return speeds;
}

std::string write_trace(const scenario& what, std::uint64_t seed, const std::vector<planned_job>& jobs)
{
    std::string text = json::value{{"trace", 1}, {"scenario", what.name}, {"seed", seed}}.dump() + "\n";
    for (const planned_job& job : jobs) {
        json::value line{{"at_us", job.at.count()},
                         {"kind", what.kinds[job.kind].name},
                         {"entry", job.entry},
                         {"run_ms", job.run_ms}};
        if (job.resubmit_to) {
            line["resubmit_to"] = *job.resubmit_to;
        }
        text += line.dump() + "\n";
    }
    return text;
}

namespace {

result<planned_job> read_line(std::string_view line, const scenario& what, std::size_t entries)
{
    const auto parsed = json::parse(line, "job", {.max_bytes = max_line_bytes});
    if (!parsed) {
        return parsed.error();
    }
    try {
        const json::value& object = parsed.value();
        planned_job job;
        job.at = microseconds(object.at("at_us").get<std::int64_t>());
        const auto name = object.at("kind").get<std::string>();
        const auto found = std::find_if(what.kinds.begin(), what.kinds.end(),
                                        [&](const kind& item) { return item.name == name; });
        if (found == what.kinds.end()) {
            return error{"the scenario has no kind \"" + name + "\""};
        }
        job.kind = static_cast<std::uint32_t>(found - what.kinds.begin());
        job.entry = static_cast<std::uint32_t>(object.at("entry").get<std::uint32_t>() % entries);
        job.run_ms = object.at("run_ms").get<std::vector<std::uint32_t>>();
        if (object.contains("resubmit_to")) {
            job.resubmit_to =
                static_cast<std::uint32_t>(object.at("resubmit_to").get<std::uint32_t>() % entries);
        }
        return job;
    } catch (const json::value::exception& failed) {
        return error{failed.what()};
    }
}

}  // namespace

result<std::vector<planned_job>> read_trace(std::string_view text, const scenario& what, std::size_t entries)
{
    std::vector<planned_job> jobs;
    std::size_t number = 0;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
        if (number == 1 || line.empty()) {
            continue;
        }
        auto job = read_line(line, what, entries);
        if (!job) {
            return error{"trace line " + std::to_string(number) + ": " + job.error().message};
        }
        if (job.value().run_ms.empty()) {
            return error{"trace line " + std::to_string(number) + ": run_ms must not be empty"};
        }
        jobs.push_back(std::move(job).value());
    }
    return jobs;
}

}  // namespace poplarshed::load
