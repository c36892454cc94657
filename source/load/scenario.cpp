#include "load/scenario.h"

#include <algorithm>

#include "load/fields.h"

namespace poplarshed::load {

namespace {

constexpr std::size_t max_scenario_bytes = 1U << 20U;
constexpr std::uint32_t max_tasks = 1300;
constexpr double max_rate = 1e6;
constexpr double max_load = 100;
constexpr double max_run_ms = 600'000;

void read_entry(fields& in, entry_address& out)
{
    out.address = endpoint(in.text("address", true));
    out.data_centre = data_centre_id(in.text("data_centre", false));
}

void read_runners(fields& in, runner_group& out)
{
    in.number("count", out.count, {1, 10'000});
    in.number("slots", out.slots, {1, 10'000});
    in.number("speed", out.speed, {0.001, 1000});
    out.data_centre = data_centre_id(in.text("data_centre", false));
    const json::value* services = in.find("services");
    if (services == nullptr) {
        return;
    }
    const bool all_text =
        services->is_array() &&
        std::all_of(services->begin(), services->end(), [](const auto& item) { return item.is_string(); });
    if (!all_text) {
        in.fail("services", "must be an array of texts");
        return;
    }
    out.services = services->get<std::vector<std::string>>();
}

void read_run_time(fields& in, run_time& out)
{
    in.number("median", out.median_ms, {0.1, max_run_ms});
    in.number("sigma", out.sigma, {0, 5});
    in.number("min", out.min_ms, {0, max_run_ms});
    in.number("max", out.max_ms, {0.1, max_run_ms});
    in.number("tail_share", out.tail_share, {0, 1});
    in.number("tail_min", out.tail_min_ms, {0, max_run_ms});
    in.number("tail_max", out.tail_max_ms, {0, max_run_ms});
    if (out.min_ms > out.max_ms || out.tail_min_ms > out.tail_max_ms) {
        in.fail("max", "must not be below the minimum");
    }
}

void read_arrival(fields& in, kind& out)
{
    const std::string process = in.text("process", false);
    if (process == "bursts") {
        out.process = arrival_process::bursts;
    } else if (!process.empty() && process != "poisson") {
        in.fail("process", "must be poisson or bursts");
    }
    in.number("burst_jobs", out.burst_jobs, {1, 100'000});
    in.number("load", out.load, {0, max_load});
    in.number("jobs_per_s", out.jobs_per_s, {0, max_rate});
    if ((out.load > 0) == (out.jobs_per_s > 0)) {
        in.fail("load", "exactly one of load and jobs_per_s must be above 0");
    }
    if (out.impossible && out.load > 0) {
        in.fail("load", "an impossible kind offers no load; give jobs_per_s");
    }
}

void read_declared(fields& in, kind& out)
{
    const json::value* factor = in.find("declared_factor");
    if (factor != nullptr && factor->is_null()) {
        out.declared_factor.reset();
        return;
    }
    in.number("declared_factor", *out.declared_factor, {0.001, 1000});
}

void read_kind(fields& in, kind& out)
{
    out.name = in.text("name", true);
    out.service = service_id(in.text("service", true));
    out.workspace = workspace_id(in.text("team", true));
    in.flag("flood", out.flood);
    in.flag("impossible", out.impossible);
    read_arrival(in, out);
    in.time("from_ms", out.from);
    in.time("until_ms", out.until);
    in.object("tasks", [&out](fields& inner) {
        inner.number("min", out.tasks.min, {1, max_tasks});
        out.tasks.max = out.tasks.min;
        inner.number("max", out.tasks.max, {static_cast<double>(out.tasks.min), max_tasks});
    });
    in.object("run_ms", [&out](fields& inner) { read_run_time(inner, out.run); });
    read_declared(in, out);
    milliseconds deadline{0};
    in.time("deadline_ms", deadline);
    if (deadline > milliseconds::zero()) {
        out.deadline = deadline;
    }
    in.number("resubmit_share", out.resubmit_share, {0, 1});
    in.time("resubmit_after_ms", out.resubmit_after);
}

void read_lists(fields& in, scenario& out)
{
    in.each("entries", [&out](fields& item) { read_entry(item, out.entries.emplace_back()); });
    in.each("runners", [&out](fields& item) { read_runners(item, out.runners.emplace_back()); });
    in.each("kinds", [&out](fields& item) { read_kind(item, out.kinds.emplace_back()); });
    in.each("cancel_waves", [&out](fields& item) {
        cancel_wave& wave = out.cancel_waves.emplace_back();
        item.time("at_ms", wave.at);
        wave.kind = item.text("kind", true);
        item.number("share", wave.share, {0, 1});
    });
    in.each("faults", [&out](fields& item) {
        fault& entry = out.faults.emplace_back();
        item.time("at_ms", entry.at);
        entry.url = item.text("url", true);
        const json::value* body = item.find("body");
        entry.body = body == nullptr ? "{}" : body->dump();
    });
    in.each("phases", [&out](fields& item) {
        phase& entry = out.phases.emplace_back();
        entry.name = item.text("name", true);
        item.time("from_ms", entry.from);
        item.time("until_ms", entry.until);
    });
}

void check(fields& in, const scenario& out)
{
    if (out.kinds.empty()) {
        in.fail("kinds", "must name at least one kind of work");
    }
    if (out.runners.empty()) {
        in.fail("runners", "must name at least one group of runners");
    }
    for (const cancel_wave& wave : out.cancel_waves) {
        const bool known = std::any_of(out.kinds.begin(), out.kinds.end(),
                                       [&](const kind& item) { return item.name == wave.kind; });
        if (!known) {
            in.fail("cancel_waves", "no kind is named \"" + wave.kind + "\"");
        }
    }
    if (out.warm_up >= out.duration) {
        in.fail("warm_up_ms", "must be shorter than duration_ms");
    }
}

}  // namespace

result<scenario> parse_scenario(std::string_view text, std::string_view name)
{
    const auto parsed =
        json::parse(text, name, {.max_bytes = max_scenario_bytes, .comments = json::comments::ignored});
    if (!parsed) {
        return parsed.error();
    }
    scenario out;
    std::string first_error;
    fields in(parsed.value(), "", first_error);
    out.name = in.text("name", true);
    in.time("duration_ms", out.duration);
    in.time("warm_up_ms", out.warm_up);
    in.time("grace_ms", out.grace);
    in.flag("issued_ids", out.issued_ids);
    read_lists(in, out);
    check(in, out);
    in.refuse_unknown();
    if (!first_error.empty()) {
        return error{std::string(name) + ": " + first_error};
    }
    return out;
}

result<entry_address> parse_entry(const std::string& text)
{
    const auto at = text.find('@');
    const std::string address = at == std::string::npos ? text : text.substr(at + 1);
    if (address.find(':') == std::string::npos) {
        return error{"\"" + text + "\" is not of the form [data centre@]host:port"};
    }
    return entry_address{endpoint(address),
                         data_centre_id(at == std::string::npos ? "" : text.substr(0, at))};
}

double capacity_of(const std::vector<runner_group>& runners)
{
    double total = 0;
    for (const runner_group& group : runners) {
        total += static_cast<double>(group.count) * static_cast<double>(group.slots) * group.speed;
    }
    return total;
}

}  // namespace poplarshed::load
