#include <curl/curl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "load/load.h"

namespace {

using namespace poplarshed;
using namespace poplarshed::load;

enum class exit_code : int { ok = 0, failed = 1, usage = 2, unreachable = 3 };

constexpr std::size_t max_scenario_bytes = std::size_t{1} << 20U;
constexpr std::size_t max_trace_bytes = std::size_t{1} << 30U;

struct run_arguments {
    std::string scenario_file;
    std::vector<std::string> entries;
    std::uint64_t seed = 1;
    double scale = 1.0;
    std::string json_file;
    std::string html_file;
    std::string record_file;
    std::string replay_file;
};

struct experiment_arguments {
    std::vector<std::string> scenario_files;
    std::vector<std::string> deployments;
    std::vector<std::uint64_t> seeds{1, 2, 3};
    double scale = 1.0;
    std::string json_file;
};

int fail(exit_code code, const std::string& message)
{
    std::cerr << "poplarshed-load: " << message << "\n";
    return static_cast<int>(code);
}

result<scenario> load_scenario(const std::string& file, double scale)
{
    const auto text = json::read_file(file, max_scenario_bytes);
    if (!text) {
        return text.error();
    }
    auto parsed = parse_scenario(text.value(), file);
    if (parsed) {
        for (kind& item : parsed.value().kinds) {
            item.load *= scale;
            item.jobs_per_s *= scale;
        }
    }
    return parsed;
}

result<std::vector<entry_address>> parse_entries(const std::vector<std::string>& texts)
{
    std::vector<entry_address> entries;
    for (const std::string& text : texts) {
        auto entry = parse_entry(text);
        if (!entry) {
            return entry.error();
        }
        entries.push_back(std::move(entry).value());
    }
    return entries;
}

bool write_file(const std::string& path, const std::string& text)
{
    std::ofstream out(path, std::ios::binary);
    out << text;
    return static_cast<bool>(out.flush());
}

void show_progress(const progress& now)
{
    std::cerr << "\r" << now.elapsed.count() / 1000 << " s: sent " << now.sent << " of " << now.planned
              << ", answered " << now.answered << ", complete " << now.complete << "  " << std::flush;
}

// A run has its jobs in flight on a connection each.
void raise_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

result<run_summary> run_once(const scenario& what, const std::vector<planned_job>& jobs,
                             const std::vector<entry_address>& entries, std::uint64_t seed)
{
    run_options options;
    options.seed = seed;
    options.entries = entries;
    const bool terminal = isatty(STDERR_FILENO) == 1;
    if (terminal) {
        options.on_progress = show_progress;
    }
    auto summary = run_load(what, jobs, options);
    if (terminal) {
        std::cerr << "\n";
    }
    return summary;
}

result<std::vector<planned_job>> plan_of(const run_arguments& arguments, const scenario& what,
                                         std::size_t entries)
{
    if (arguments.replay_file.empty()) {
        return make_plan(what, entries, arguments.seed);
    }
    const auto text = json::read_file(arguments.replay_file, max_trace_bytes);
    if (!text) {
        return text.error();
    }
    return read_trace(text.value(), what, entries);
}

int write_outputs(const run_arguments& arguments, const run_summary& summary)
{
    std::cout << to_text(summary);
    const bool json_written =
        arguments.json_file.empty() || write_file(arguments.json_file, to_json(summary).dump(2) + "\n");
    const bool html_written =
        arguments.html_file.empty() || write_file(arguments.html_file, to_html(summary));
    if (!json_written || !html_written) {
        return fail(exit_code::failed, "a report could not be written");
    }
    return static_cast<int>(exit_code::ok);
}

int run_command(const run_arguments& arguments)
{
    auto what = load_scenario(arguments.scenario_file, arguments.scale);
    if (!what) {
        return fail(exit_code::usage, what.error().message);
    }
    const auto given = parse_entries(arguments.entries);
    if (!given) {
        return fail(exit_code::usage, given.error().message);
    }
    const auto& entries = given.value().empty() ? what.value().entries : given.value();
    if (entries.empty()) {
        return fail(exit_code::usage, "no entry address; use --entry or the key entries of the scenario");
    }
    const auto jobs = plan_of(arguments, what.value(), entries.size());
    if (!jobs) {
        return fail(exit_code::usage, jobs.error().message);
    }
    if (!arguments.record_file.empty() &&
        !write_file(arguments.record_file, write_trace(what.value(), arguments.seed, jobs.value()))) {
        return fail(exit_code::failed, "the trace could not be written");
    }
    const auto summary = run_once(what.value(), jobs.value(), entries, arguments.seed);
    if (!summary) {
        return fail(exit_code::unreachable, summary.error().message);
    }
    return write_outputs(arguments, summary.value());
}

/// A running deployment: a name and its entries.
struct deployment {
    std::string name;
    std::vector<entry_address> entries;
};

// "name=ollur@127.0.0.1:8080,punkunnam@127.0.0.1:8081"
result<deployment> parse_deployment(const std::string& text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos || equals == 0) {
        return error{"\"" + text + "\" is not of the form name=entry,entry"};
    }
    auto entries = parse_entries(CLI::detail::split(text.substr(equals + 1), ','));
    if (!entries) {
        return entries.error();
    }
    return deployment{text.substr(0, equals), std::move(entries).value()};
}

result<std::vector<run_summary>> run_seeds(const scenario& what, const deployment& where,
                                           const std::vector<std::uint64_t>& seeds)
{
    std::vector<run_summary> runs;
    for (const std::uint64_t seed : seeds) {
        auto summary = run_once(what, make_plan(what, where.entries.size(), seed), where.entries, seed);
        if (!summary) {
            return error{where.name + ": " + summary.error().message};
        }
        std::cerr << where.name << ": " << to_text(summary.value());
        runs.push_back(std::move(summary).value());
    }
    return runs;
}

int experiment_command(const experiment_arguments& arguments)
{
    std::vector<deployment> deployments;
    for (const std::string& text : arguments.deployments) {
        auto parsed = parse_deployment(text);
        if (!parsed) {
            return fail(exit_code::usage, parsed.error().message);
        }
        deployments.push_back(std::move(parsed).value());
    }
    std::vector<experiment_row> rows;
    for (const std::string& file : arguments.scenario_files) {
        const auto what = load_scenario(file, arguments.scale);
        if (!what) {
            return fail(exit_code::usage, what.error().message);
        }
        for (const deployment& where : deployments) {
            const auto runs = run_seeds(what.value(), where, arguments.seeds);
            if (!runs) {
                return fail(exit_code::unreachable, runs.error().message);
            }
            rows.push_back(median_of(where.name, runs.value()));
        }
    }
    std::cout << to_table(rows);
    if (!arguments.json_file.empty() && !write_file(arguments.json_file, to_json(rows).dump(2) + "\n")) {
        return fail(exit_code::failed, "the result could not be written");
    }
    return static_cast<int>(exit_code::ok);
}

CLI::App* add_run(CLI::App& app, run_arguments& arguments)
{
    CLI::App* command = app.add_subcommand("run", "run one scenario and report");
    command->add_option("scenario", arguments.scenario_file, "scenario file")->required();
    command->add_option("--entry", arguments.entries,
                        "[data centre@]host:port, repeated; replaces the scenario's");
    command->add_option("--seed", arguments.seed, "seed of the arrivals");
    command->add_option("--scale", arguments.scale, "factor on every rate")->check(CLI::Range(0.001, 1000.0));
    command->add_option("--json", arguments.json_file, "write the result here");
    command->add_option("--html", arguments.html_file, "write the report with plots here");
    command->add_option("--record", arguments.record_file, "write the trace of the jobs here");
    command->add_option("--replay", arguments.replay_file, "send the jobs of a trace in place of new ones");
    return command;
}

CLI::App* add_experiment(CLI::App& app, experiment_arguments& arguments)
{
    CLI::App* command =
        app.add_subcommand("experiment", "run scenarios with several seeds and print their medians");
    command->add_option("scenarios", arguments.scenario_files, "scenario files")->required();
    command->add_option("--deployment", arguments.deployments, "name=[data centre@]host:port,..., repeated")
        ->required();
    command->add_option("--seeds", arguments.seeds, "seeds, separated by commas")->delimiter(',');
    command->add_option("--scale", arguments.scale, "factor on every rate")->check(CLI::Range(0.001, 1000.0));
    command->add_option("--json", arguments.json_file, "write the table here");
    return command;
}

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Open-loop load on poplarshed entry instances"};
    app.set_version_flag("--version", POPLARSHED_VERSION);
    app.require_subcommand(1);
    run_arguments run;
    experiment_arguments experiment;
    const CLI::App* run_chosen = add_run(app, run);
    add_experiment(app, experiment);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& failed) {
        return app.exit(failed) == 0 ? static_cast<int>(exit_code::ok) : static_cast<int>(exit_code::usage);
    }
    raise_descriptor_limit();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const int code = run_chosen->parsed() ? run_command(run) : experiment_command(experiment);
    curl_global_cleanup();
    return code;
}
