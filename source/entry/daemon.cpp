#include "entry/daemon.h"

#include <algorithm>
#include <utility>

namespace poplarshed::entry {

namespace {

// The dispatcher's timeouts, hedges and queue expiry are due at this resolution.
constexpr milliseconds tick{5};
constexpr milliseconds gauge_interval{1'000};

}  // namespace

result<std::unique_ptr<daemon>> daemon::start(daemon_options options)
{
    auto log = telemetry::logger::open(options.log);
    if (!log) {
        return std::move(log).error();
    }
    std::unique_ptr<daemon> made(new daemon(std::move(options), std::move(log).value()));
    if (auto opened = made->open(); !opened) {
        return std::move(opened).error();
    }
    return made;
}

daemon::daemon(daemon_options options, std::unique_ptr<telemetry::logger> log)
    : m_options(std::move(options)),
      m_log(std::move(log)),
      m_inbox(m_options.inbox_capacity),
      m_random(m_options.coordinator.seed)
{}

daemon::~daemon()
{
    if (m_http) {
        m_http->shutdown();
    }
    // Unblocks threads that wait for space in the queue, so that they can be joined.
    m_inbox.close();
}

result<void> daemon::open()
{
    if (auto opened = open_network(); !opened) {
        return opened;
    }
    m_options.coordinator.self = m_network->self();
    m_options.platform.self = m_network->self();
    m_coordinator = std::make_unique<coordinator::coordinator>(m_options.coordinator, *this);
    m_upstream = std::make_unique<upstream::client>(
        m_options.upstream, [this](dispatch::attempt_result result) { m_inbox.push(std::move(result)); });
    m_platform = std::make_unique<platform_link>(m_options.platform, m_inbox);
    configuration::rollout_options rollout;
    rollout.expects_peers = !m_options.network.peers.empty();
    m_configuration = std::make_unique<configuration_link>(
        configuration_link::parts{
            *m_platform, *m_coordinator, *m_log,
            [this](const endpoint& to, wire::message message) { m_network->send(to, std::move(message)); }},
        rollout, m_options.coordinator.seed, steady_clock::now());
    m_http = std::make_unique<http_front>(
        m_options.http, m_inbox, [this] { return m_metrics.to_prometheus(); },
        [this](refusal_reason reason) { m_metrics.count_refusal({}, reason); });
    auto address = m_http->listen();
    if (!address) {
        return std::move(address).error();
    }
    m_addresses.http = address.value();
    m_log->info(telemetry::category::process, "started",
                {{"http", m_addresses.http.value()}, {"inner", m_addresses.inner.value()}});
    return outcome::success();
}

result<void> daemon::open_network()
{
    peer::network_callbacks callbacks;
    callbacks.on_message = [this](const instance_id& from, const data_centre_id& data_centre,
                                  wire::message message) {
        m_inbox.push(peer_message{from, data_centre, std::move(message)});
    };
    callbacks.on_peer_up = [this](const instance_id& instance, const data_centre_id& data_centre) {
        m_inbox.push(peer_up{instance, data_centre});
    };
    callbacks.on_peer_down = [this](const endpoint& address, peer::down_evidence evidence) {
        m_inbox.push(peer_down{address, evidence});
    };
    auto network = peer::network::start(m_options.network, std::move(callbacks));
    if (!network) {
        return std::move(network).error();
    }
    m_network = std::move(network).value();
    m_addresses.inner = m_network->address();
    return outcome::success();
}

std::size_t daemon::run()
{
    const time_point start = steady_clock::now();
    m_timers.every(tick, start, [this](time_point now) { on_tick(now); });
    m_timers.every(gauge_interval, start, [this](time_point) { update_gauges(); });
    std::vector<core_event> batch;
    while (!finished(steady_clock::now())) {
        m_inbox.drain_until(m_timers.next(), batch);
        turn(batch, steady_clock::now());
    }
    m_platform->release_lease();
    m_network->flush(milliseconds(500));
    m_http->shutdown();
    m_log->info(telemetry::category::process, "stopped", {{"jobs_cut_short", std::uint64_t{m_cut_short}}});
    return m_cut_short;
}

void daemon::turn(std::vector<core_event>& batch, time_point now)
{
    for (core_event& event : batch) {
        std::visit([this, now](auto& item) { handle(item, now); }, event);
    }
    for (dispatch::attempt_result& result : std::exchange(m_unsent, {})) {
        m_coordinator->on_result(std::move(result), now);
    }
    m_timers.run(now);
    m_coordinator->flush(now);
    m_http->set_ready(m_coordinator->ready());
}

void daemon::on_tick(time_point now)
{
    m_coordinator->on_timer(now);
    m_platform->on_timer(now);
    m_configuration->on_timer(now);
}

bool daemon::finished(time_point now)
{
    if (!m_drain_start) {
        return false;
    }
    const duration elapsed = now - *m_drain_start;
    if (elapsed >= m_options.drain_limit && m_cut_short == 0 && m_coordinator->jobs_in_progress() > 0) {
        m_cut_short = m_coordinator->jobs_in_progress();
        m_log->warning(telemetry::category::process, "drain limit reached; ending the remaining jobs",
                       {{"jobs", std::uint64_t{m_cut_short}}});
        m_coordinator->end_unfinished_jobs(now);
        m_coordinator->flush(now);
    }
    const bool idle = m_coordinator->jobs_in_progress() == 0 && m_http->waiting() == 0;
    const bool handed_over = m_coordinator->handed_over() || elapsed >= m_options.hand_over_limit;
    return idle && handed_over && elapsed >= m_options.drain_linger;
}

void daemon::handle(job_arrived& event, time_point now)
{
    m_metrics.add(telemetry::jobs_received, event.job.service.value());
    m_coordinator->submit(event.caller, std::move(event.job), now);
}

void daemon::handle(drain_requested& event, time_point now)
{
    if (m_drain_start && !event.insists) {
        return;
    }
    if (m_drain_start) {
        m_log->warning(telemetry::category::process, "second stop signal; the drain limit is now zero");
        m_options.drain_limit = milliseconds(0);
        m_options.hand_over_limit = milliseconds(0);
        return;
    }
    m_log->info(telemetry::category::process, "drain started",
                {{"jobs", std::uint64_t{m_coordinator->jobs_in_progress()}}});
    m_drain_start = now;
    m_coordinator->drain(now);
}

void daemon::handle(dispatch::attempt_result& event, time_point now)
{
    m_coordinator->on_result(std::move(event), now);
}

void daemon::handle(runners_listed& event, time_point now)
{
    std::erase_if(event.runners, [this](const dispatch::runner& item) {
        return item.data_centre != m_options.coordinator.data_centre;
    });
    m_runner_count = event.runners.size();
    m_coordinator->set_runners(event.runners, now);
}

void daemon::handle(membership_read& event, time_point now)
{
    m_platform->finish_membership_read();
    if (event.reachable != m_platform_reachable) {
        m_platform_reachable = event.reachable;
        m_log->info(telemetry::category::platform, event.reachable
                                                       ? "the platform answers"
                                                       : "the platform does not answer; the view is frozen");
    }
    m_coordinator->set_platform_reachable(event.reachable);
    if (event.reachable) {
        connect_to(event.snapshot);
        m_coordinator->on_platform(event.snapshot, now);
    }
}

void daemon::handle(view_swapped& event, time_point now)
{
    m_coordinator->on_swap(event.status, event.revision, now);
}

void daemon::handle(lease_answered& event, time_point now)
{
    m_platform->handle(event, now);
}

void daemon::handle(live_key_written& event, time_point now)
{
    if (event.outcome.status != platform::write_status::written) {
        m_log->warning(telemetry::category::platform, "the live key was not written; trying again",
                       {{"detail", event.outcome.detail}});
    }
    m_platform->handle(event, now);
}

void daemon::handle(key_read& event, time_point now)
{
    m_configuration->handle(event, now);
}

void daemon::handle(peer_message& event, time_point now)
{
    m_configuration->handle(event, now);
    m_coordinator->on_message(event.from, std::move(event.message), now);
}

void daemon::handle(peer_up& event, time_point now)
{
    const auto known = m_peers.find(event.instance.address);
    if (known != m_peers.end() && known->second != event.instance) {
        m_coordinator->on_evidence(known->second, membership::evidence::new_incarnation, now);
    }
    m_peers.insert_or_assign(event.instance.address, event.instance);
    m_coordinator->on_linked(event.instance);
    m_log->info(telemetry::category::peer, "link to a peer is up",
                {{"peer", event.instance.address.value()}, {"peer_data_centre", event.data_centre.value()}});
}

void daemon::handle(peer_down& event, time_point now)
{
    const auto known = m_peers.find(event.address);
    if (known == m_peers.end()) {
        return;
    }
    m_configuration->on_peer_lost(event.address, now);
    m_coordinator->on_unlinked(event.address);
    const bool refused = event.evidence == peer::down_evidence::connection_refused;
    m_log->debug(telemetry::category::peer, "link to a peer is down",
                 {{"peer", event.address.value()}, {"evidence", peer::to_string(event.evidence)}});
    m_coordinator->on_evidence(
        known->second, refused ? membership::evidence::connection_refused : membership::evidence::unreachable,
        now);
}

// Links to every live instance and to every member of a view; the seeds of the settings stay linked anyway.
void daemon::connect_to(const membership::platform_snapshot& snapshot)
{
    std::vector<endpoint> addresses;
    for (const membership::view_member& live : snapshot.live) {
        addresses.push_back(live.instance.address);
    }
    for (const auto& [home, item] : snapshot.views) {
        for (const membership::view_member& member : item.view.members) {
            addresses.push_back(member.instance.address);
        }
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    std::erase(addresses, m_addresses.inner);
    if (addresses != m_connected_addresses && m_network->set_peers(addresses)) {
        m_connected_addresses = std::move(addresses);
    }
}

}  // namespace poplarshed::entry
