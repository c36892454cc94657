#include "replay/trace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <numeric>

#include "common/random_source.h"
#include "json/json.h"

namespace poplarshed::workers::replay {

namespace {

constexpr std::size_t max_file_bytes = std::size_t{1} << 20U;
constexpr std::uint64_t max_milliseconds = 600'000;
constexpr std::uint64_t max_count = 10'000;
constexpr double max_factor = 1000;
// Needs and estimates stay above 0.
constexpr double max_share = 0.9;
// The variation of jobs is drawn from numbers of its own, so that it leaves the arrivals of a seed unchanged.
constexpr std::uint64_t variation_seed = 0x5eed'0000'0000'0000;

constexpr std::array<std::string_view, 3> fault_names{"slow", "silent", "fails"};

void read(json::object_reader& reader, const std::string& key, milliseconds& target)
{
    auto value = static_cast<std::uint64_t>(target.count());
    reader.read(key, value, 0, max_milliseconds);
    target = milliseconds(value);
}

template <class Number>
void read_number(json::object_reader& reader, const std::string& key, Number& target)
{
    auto value = static_cast<std::uint64_t>(target);
    reader.read(key, value, 0, max_count * 100);
    target = static_cast<Number>(value);
}

job_kind read_kind(json::object_reader& reader)
{
    job_kind kind;
    reader.require("name");
    reader.require("per_second");
    reader.read("name", kind.name);
    read_number(reader, "tasks", kind.tasks);
    read_number(reader, "cpu_milli", kind.cpu_milli);
    read(reader, "work_ms", kind.work);
    read(reader, "objective_ms", kind.objective);
    read(reader, "deadline_ms", kind.deadline);
    reader.read("per_second", kind.per_second, 0, static_cast<double>(max_count));
    reader.read("worth", kind.worth, 0, max_factor);
    read_number(reader, "priority", kind.priority);
    return kind;
}

burst read_burst(json::object_reader& reader)
{
    burst value;
    read(reader, "at_ms", value.at);
    read(reader, "for_ms", value.length);
    reader.read("factor", value.factor, 0, max_factor);
    return value;
}

worker_fault read_fault(json::object_reader& reader)
{
    worker_fault value;
    std::size_t word = 0;
    reader.require("kind");
    reader.read_word("kind", word, fault_names);
    value.what = static_cast<worker_fault::kind>(word);
    read(reader, "at_ms", value.at);
    read(reader, "for_ms", value.length);
    read_number(reader, "first", value.first);
    read_number(reader, "count", value.count);
    reader.read("factor", value.factor, 0, max_factor);
    return value;
}

void read_wave(json::object_reader& reader, demand_wave& wave)
{
    reader.read("wave_depth", wave.depth, 0, 1);
    read(reader, "wave_period_ms", wave.period);
}

/// Reads a list of numbers that is repeated over the workers.
template <class Number>
void read_numbers(json::object_reader& reader, const std::string& key, std::vector<Number>& target,
                  std::vector<std::string>& faults)
{
    const json::value* const list = reader.array(key);
    if (list == nullptr) {
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < list->size(); ++i) {
        const double value = (*list)[i].is_number() ? (*list)[i].template get<double>() : 0;
        if (value <= 0) {
            faults.push_back(key + "[" + std::to_string(i) + "]: not a positive number");
            continue;
        }
        target.push_back(static_cast<Number>(value));
    }
    if (target.empty()) {
        faults.push_back(key + ": empty");
        target.push_back(1);
    }
}

template <class Item>
void read_list(json::object_reader& reader, const std::string& key, std::vector<Item>& target,
               Item (*read_item)(json::object_reader&), std::vector<std::string>& faults)
{
    const json::value* const list = reader.array(key);
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i) {
        json::object_reader item((*list)[i], key + "[" + std::to_string(i) + "]", faults);
        target.push_back(read_item(item));
        item.finish();
    }
}

}  // namespace

result<trace> read_trace(const std::string& path)
{
    const auto text = json::read_file(path, max_file_bytes);
    if (!text) {
        return text.error();
    }
    json::limits bounds;
    bounds.comments = json::comments::ignored;
    const auto document = json::parse(text.value(), path, bounds);
    if (!document) {
        return document.error();
    }
    trace day;
    std::vector<std::string> faults;
    json::object_reader reader(document.value(), "", faults);
    for (const char* key : {"name", "length_ms", "workers", "kinds"}) {
        reader.require(key);
    }
    reader.read("name", day.name);
    read(reader, "length_ms", day.length);
    read_number(reader, "workers", day.workers);
    reader.read("least_share", day.least_share, 0, 1);
    read_numbers(reader, "worker_cpu_milli", day.worker_cpu, faults);
    read_numbers(reader, "worker_slowness", day.worker_slowness, faults);
    reader.read("need_spread", day.need_spread, 0, max_share);
    reader.read("estimate_error", day.estimate_error, 0, max_share);
    reader.read("tail_share", day.tail.share, 0, 1);
    reader.read("tail_factor", day.tail.factor, 0, max_factor);
    read_wave(reader, day.wave);
    read_list(reader, "kinds", day.kinds, read_kind, faults);
    read_list(reader, "bursts", day.bursts, read_burst, faults);
    read_list(reader, "faults", day.faults, read_fault, faults);
    reader.finish();
    const std::int64_t largest = *std::max_element(day.worker_cpu.begin(), day.worker_cpu.end());
    for (const job_kind& kind : day.kinds) {
        const double most = static_cast<double>(kind.cpu_milli) * (1 + day.need_spread);
        if (kind.cpu_milli == 0 || most > static_cast<double>(largest) || kind.tasks == 0) {
            faults.push_back("kinds: " + kind.name + " does not fit a worker");
        }
    }
    if (!faults.empty()) {
        return error{path + ": " + json::joined(faults)};
    }
    return day;
}

namespace {

/// Factor on the arrival rates at a time.
double demand_at(const trace& day, milliseconds at)
{
    double factor = 1;
    for (const burst& more : day.bursts) {
        factor *= at >= more.at && at < more.at + more.length ? more.factor : 1;
    }
    if (day.wave.depth > 0 && day.wave.period > milliseconds(0)) {
        const double turns = static_cast<double>(at.count()) / static_cast<double>(day.wave.period.count());
        factor *= 1 + day.wave.depth * std::sin(2 * std::numbers::pi * turns);
    }
    return factor;
}

/// Draws the need, the estimate and the durations of a job.
void vary(const trace& day, random_source& random, arrival& job)
{
    const auto around_one = [&random](double spread) { return 1 + spread * (2 * random.unit() - 1); };
    job.need_factor = around_one(day.need_spread);
    job.estimate_factor = around_one(day.estimate_error);
    for (std::uint32_t i = 0; day.tail.share > 0 && i < day.kinds[job.kind].tasks; ++i) {
        job.run_factors.push_back(random.unit() < day.tail.share ? day.tail.factor : 1);
    }
}

}  // namespace

std::vector<arrival> draw_arrivals(const trace& day, std::uint64_t seed)
{
    random_source random(seed);
    random_source variation(seed ^ variation_seed);
    std::vector<arrival> found;
    for (milliseconds at{}; at < day.length; ++at) {
        const double factor = demand_at(day, at);
        for (std::size_t kind = 0; kind < day.kinds.size(); ++kind) {
            // Arrivals of a millisecond are independent, so their gaps are nearly exponential.
            double expected = day.kinds[kind].per_second * factor / 1000;
            for (; expected > 0; --expected) {
                if (random.unit() < expected) {
                    vary(day, variation, found.emplace_back(arrival{at, kind}));
                }
            }
        }
    }
    return found;
}

std::int64_t task_cpu(const trace& day, const arrival& job)
{
    return std::llround(static_cast<double>(day.kinds[job.kind].cpu_milli) * job.need_factor);
}

std::vector<milliseconds> task_work(const trace& day, const arrival& job)
{
    const job_kind& kind = day.kinds[job.kind];
    std::vector<milliseconds> work(kind.tasks, kind.work);
    for (std::size_t i = 0; i < std::min(work.size(), job.run_factors.size()); ++i) {
        work[i] = milliseconds(std::llround(static_cast<double>(kind.work.count()) * job.run_factors[i]));
    }
    return work;
}

std::int64_t cpu_ms(const trace& day, const arrival& job)
{
    const std::vector<milliseconds> work = task_work(day, job);
    return task_cpu(day, job) * std::accumulate(work.begin(), work.end(), milliseconds(0)).count();
}

std::int64_t capacity_of(const trace& day, std::size_t worker)
{
    return day.worker_cpu[worker % day.worker_cpu.size()];
}

double slowness_at(const trace& day, std::size_t worker, milliseconds at)
{
    double factor = day.worker_slowness[worker % day.worker_slowness.size()];
    for (const worker_fault& fault : day.faults) {
        const bool hit = worker >= fault.first && worker < fault.first + fault.count && at >= fault.at &&
                         at < fault.at + fault.length;
        if (hit) {
            factor *= fault.what == worker_fault::kind::slow ? fault.factor : 0;
        }
    }
    return factor;
}

}  // namespace poplarshed::workers::replay
