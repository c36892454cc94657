#include "replay/trace.h"

#include <array>
#include <cmath>

#include "common/random_source.h"
#include "json/json.h"

namespace poplarshed::workers::replay {

namespace {

constexpr std::size_t max_file_bytes = std::size_t{1} << 20U;
constexpr std::uint64_t max_milliseconds = 600'000;
constexpr std::uint64_t max_count = 10'000;
constexpr double max_factor = 1000;

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
    read_list(reader, "kinds", day.kinds, read_kind, faults);
    read_list(reader, "bursts", day.bursts, read_burst, faults);
    read_list(reader, "faults", day.faults, read_fault, faults);
    reader.finish();
    for (const job_kind& kind : day.kinds) {
        if (kind.cpu_milli == 0 || kind.cpu_milli > worker_cpu || kind.tasks == 0) {
            faults.push_back("kinds: " + kind.name + " does not fit a worker");
        }
    }
    if (!faults.empty()) {
        return error{path + ": " + json::joined(faults)};
    }
    return day;
}

std::vector<arrival> draw_arrivals(const trace& day, std::uint64_t seed)
{
    random_source random(seed);
    std::vector<arrival> found;
    for (milliseconds at{}; at < day.length; ++at) {
        double factor = 1;
        for (const burst& more : day.bursts) {
            factor *= at >= more.at && at < more.at + more.length ? more.factor : 1;
        }
        for (std::size_t kind = 0; kind < day.kinds.size(); ++kind) {
            // Arrivals of a millisecond are independent, so their gaps are nearly exponential.
            double expected = day.kinds[kind].per_second * factor / 1000;
            for (; expected > 0; --expected) {
                if (random.unit() < expected) {
                    found.push_back({at, kind});
                }
            }
        }
    }
    return found;
}

double slowness_at(const trace& day, std::size_t worker, milliseconds at)
{
    double factor = 1;
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
