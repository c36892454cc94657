#include <pthread.h>

#include <CLI/CLI.hpp>
#include <array>
#include <csignal>
#include <iostream>
#include <random>
#include <set>
#include <thread>
#include <vector>

#include "entry/daemon.h"
#include "settings/settings.h"

namespace {

using namespace poplarshed;

enum class exit_code : int { ok = 0, failed = 1, usage = 2, unreachable = 3 };

constexpr std::array policies{dispatch::policy_kind::expected_finish, dispatch::policy_kind::random_choice,
                              dispatch::policy_kind::round_robin_static};

std::uint64_t random_bits()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

// Names of the data centres in the settings, in the same order in every instance.
std::vector<data_centre_id> data_centres_of(const settings::entry_settings& values)
{
    std::set<data_centre_id> names{data_centre_id(values.get(settings::instance_data_centre))};
    for (const settings::peer_address& peer : values.get(settings::inner_peers)) {
        names.insert(peer.data_centre);
    }
    return {names.begin(), names.end()};
}

coordinator::options coordinator_options(const settings::entry_settings& values)
{
    coordinator::options options;
    options.data_centre = data_centre_id(values.get(settings::instance_data_centre));
    options.policy = policies.at(static_cast<std::size_t>(values.get(settings::dispatch_policy)));
    options.replay.max_bytes = values.get(settings::answers_max_bytes).bytes;
    options.replay.retention = values.get(settings::answers_retention);
    options.max_jobs = values.get(settings::limits_max_jobs_in_flight);
    options.membership.heartbeat_interval = values.get(settings::membership_heartbeat_interval);
    options.membership.retention = values.get(settings::registry_retention);
    options.registry.data_centres = data_centres_of(values);
    options.registry.claim_timeout = values.get(settings::registry_claim_timeout);
    options.registry.retention = values.get(settings::registry_retention);
    for (const data_centre_id& other : options.registry.data_centres) {
        if (other != options.data_centre) {
            options.membership.nearest.push_back(other);
        }
    }
    options.seed = random_bits();
    return options;
}

peer::network_options network_options(const settings::entry_settings& values)
{
    peer::network_options options;
    options.listen = endpoint(values.get(settings::inner_listen));
    options.advertised = endpoint(values.get(settings::inner_advertise));
    options.data_centre = data_centre_id(values.get(settings::instance_data_centre));
    options.incarnation = incarnation(random_bits());
    options.cluster_key = values.get(settings::inner_key);
    for (const settings::peer_address& peer : values.get(settings::inner_peers)) {
        options.peers.push_back(peer.address);
    }
    return options;
}

entry::daemon_options options_from(const settings::entry_settings& values)
{
    entry::daemon_options options;
    options.coordinator = coordinator_options(values);
    options.network = network_options(values);
    options.platform.client.address = endpoint(values.get(settings::platform_address));
    options.platform.data_centre = options.coordinator.data_centre;
    options.platform.lease_ttl = values.get(settings::platform_lease_ttl);
    options.platform.list_interval = values.get(settings::platform_list_poll_interval);
    options.http.address = values.get(settings::http_listen);
    options.http.threads = static_cast<int>(values.get(settings::http_threads));
    options.http.limits.max_body_bytes = values.get(settings::http_max_body_bytes).bytes;
    options.http.limits.max_tasks = values.get(settings::limits_max_tasks_per_job);
    options.http.operator_token = values.get(settings::operator_token);
    options.upstream.connections_per_runner = values.get(settings::upstream_connections_per_runner);
    options.log = {values.get(settings::log_level), values.get(settings::log_file),
                   values.get(settings::instance_address), options.coordinator.data_centre.value()};
    options.drain_limit = values.get(settings::drain_limit);
    return options;
}

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

exit_code run(const settings::entry_settings& values)
{
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const auto daemon = entry::daemon::start(options_from(values));
    if (!daemon) {
        std::cerr << "poplarshed-entry: " << daemon.error().message << '\n';
        return exit_code::failed;
    }
    const entry::daemon_addresses& addresses = daemon.value()->addresses();
    // One insertion: log lines go to the same stream from another thread.
    std::cout << std::string(R"({"ready":"poplarshed-entry","http":")")
                     .append(addresses.http.value())
                     .append(R"(","inner":")")
                     .append(addresses.inner.value())
                     .append("\"}\n")
              << std::flush;
    // The first stop signal starts a drain, a second one ends it.
    const signal_thread signal_forwarding(
        signals, [&](int) { daemon.value()->inbox().push(entry::drain_requested{true}); });
    return daemon.value()->run() == 0 ? exit_code::ok : exit_code::failed;
}

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app(
        "Entry daemon of poplarshed: accepts jobs from callers and dispatches their tasks to upstreams.");
    std::string file;
    bool check_only = false;
    bool print_settings = false;
    app.add_option("--settings", file, "Settings file (JSON with comments)");
    app.add_flag("--check-settings", check_only, "Check the settings file and exit");
    app.add_flag("--print-settings", print_settings, "Print the reference of all settings and exit");
    app.set_version_flag("--version", std::string("poplarshed-entry ") + POPLARSHED_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(exit_code::usage);
    }
    if (print_settings) {
        std::cout << settings::reference_text();
        return 0;
    }
    if (file.empty()) {
        std::cerr << "poplarshed-entry: --settings is required\n";
        return static_cast<int>(exit_code::usage);
    }
    const auto values = settings::load_entry_settings(file);
    if (!values) {
        std::cerr << "poplarshed-entry: " << values.error().message << '\n';
        return static_cast<int>(exit_code::usage);
    }
    if (check_only) {
        std::cout << file << ": settings are valid\n";
        return 0;
    }
    return static_cast<int>(run(values.value()));
}
