#include "instance/daemon.h"

#include <algorithm>
#include <random>

#include "instance/event_guard.h"

namespace poplarshed::instance {

namespace {

// Some 100 ms of the busiest instance's events; a full ring of larger size would stay resident.
constexpr std::size_t inbox_capacity = 4096;
constexpr milliseconds tick_interval{20};
constexpr milliseconds ownership_interval{50};
constexpr milliseconds status_check_interval{30};
// After such a pause peers take this instance for gone.
constexpr milliseconds pause_limit = routing::min_status_interval + routing::status_timeout_margin;
// Time between the last answer and the end of the process, for bytes that are still on their way.
constexpr milliseconds farewell{150};
// For requests that the listeners were handing over while the last turn ended.
constexpr milliseconds farewell_turn{5};
constexpr std::size_t connections_per_host = 24;

// Bounds the length of a log line; a job has up to 1,300 tasks.
constexpr std::size_t max_logged_tasks = 16;

/// The first task numbers of a list, and how many follow.
std::string task_list(const std::vector<std::uint32_t>& tasks)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(tasks.size(), max_logged_tasks); ++i) {
        text += (i == 0 ? "" : ",") + std::to_string(tasks[i]);
    }
    if (tasks.size() > max_logged_tasks) {
        text += ",+" + std::to_string(tasks.size() - max_logged_tasks);
    }
    return text;
}

std::uint64_t random_bits()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

front_options front_options_of(const settings& values, http::server_observer observer)
{
    front_options options;
    options.address = values.callers.value();
    options.ready_address = values.readiness.value();
    options.metrics_address = values.metrics.value();
    options.time_limit_header = values.time_limit_header;
    const caller_limits& limits = values.limits;
    options.share = {limits.memory_mb << 20U, limits.connections, limits.body_progress_bytes_per_s};
    options.limits.request.head_bytes = limits.head_bytes;
    options.limits.request.header_fields = limits.header_fields;
    options.limits.head_timeout = limits.head_timeout;
    options.limits.pipelined_requests = limits.pipelined_requests;
    options.limits.unsent_bytes = limits.unsent_bytes;
    options.limits.body_progress_bytes_per_s = limits.body_progress_bytes_per_s;
    options.observer = std::move(observer);
    return options;
}

routing::router_options router_options_now()
{
    routing::router_options options;
    options.offer_number_base = wall_microseconds();
    return options;
}

pool_host_options pool_options_of(const settings& values)
{
    return {values.peers, values.cpu_milli, values.longest_lease, values.stop_time, values.remote_slowdown};
}

peer::network_options network_options_of(const settings& values)
{
    peer::network_options options;
    options.listen = values.peers_listen;
    options.advertised = values.peers;
    options.data_centre = values.data_centre;
    options.incarnation = incarnation(random_bits());
    options.cluster_key = values.peer_key;
    options.peers = values.seeds;
    options.connect_timeout = milliseconds(300);
    options.backoff_limit = milliseconds(400);
    options.silence_limit = milliseconds(2000);
    return options;
}

}  // namespace

daemon::daemon(settings values, const protocol& surroundings)
    : m_settings(std::move(values)),
      m_protocol(surroundings),
      m_inbox(inbox_capacity),
      m_log({severity::info, "", m_settings.name, m_settings.data_centre.value()}, m_settings.log_decisions),
      m_directory(surroundings, m_settings.name, wall_microseconds()),
      m_store({m_settings.peers, m_settings.data_centre}, surroundings, m_directory),
      m_peers(m_settings.peers, m_settings.data_centre),
      m_router(router_options_now(), m_peers, boot_time_now()),
      m_pools(pool_options_of(m_settings), *this, boot_time_now()),
      m_front(front_options_of(m_settings, front_observer()), m_inbox,
              [this] { return m_metrics.to_prometheus(); }),
      m_http({connections_per_host}, [this](http::call_id call, http::response response) {
          m_inbox.push(call_ended{call, std::move(response)});
      })
{}

http::server_observer daemon::front_observer()
{
    const auto report = [this](std::string_view message, std::string_view reason) {
        m_log.event({severity::warning,
                     telemetry::category::http,
                     std::string(message),
                     {},
                     {{"reason", std::string(reason)}}});
    };
    http::server_observer observer;
    observer.on_closed = [this, report](http::close_reason reason, bool log_due) {
        m_metrics.add(telemetry::connections_closed, http::to_string(reason));
        if (log_due) {
            report("connections closed", http::to_string(reason));
        }
    };
    observer.on_refused = [this, report](http::request_refusal reason, bool log_due) {
        m_metrics.add(telemetry::requests_refused, http::to_string(reason));
        if (log_due) {
            report("requests refused before they were read", http::to_string(reason));
        }
    };
    return observer;
}

daemon::~daemon()
{
    m_front.shutdown();
    m_network.reset();
    m_inbox.close();
}

std::optional<error> daemon::start()
{
    peer::network_callbacks callbacks;
    callbacks.on_message = [this](const instance_id&, const data_centre_id&, wire::message message) {
        m_inbox.push(peer_message{std::move(message)});
    };
    callbacks.on_peer_down = [this](const endpoint& address, peer::down_evidence evidence) {
        m_inbox.push(peer_down{address, evidence});
    };
    auto network = peer::network::start(network_options_of(m_settings), std::move(callbacks));
    if (!network) {
        return network.error();
    }
    m_network = std::move(network).value();
    if (auto failed = m_front.listen()) {
        return failed;
    }
    const time_point now = boot_time_now();
    m_timers.every(tick_interval, now, [this](time_point at) { tick(at); });
    m_timers.every(status_check_interval, now, [this](time_point at) { send_statuses(at); });
    m_timers.every(ownership_interval, now, [this](time_point at) { decide_ownership(at); });
    m_log.event({severity::info,
                 telemetry::category::process,
                 "started",
                 {},
                 {{"version", std::string(POPLARSHED_VERSION)}, {"peers", m_settings.peers.value()}}});
    return std::nullopt;
}

void daemon::run()
{
    std::vector<core_event> batch;
    while (true) {
        m_inbox.drain_until(steady_time_of(m_timers.next()), batch);
        const time_point now = boot_time_now();
        check_for_pause(now);
        for (core_event& event : batch) {
            handle_guarded(now, event);
        }
        m_timers.run(now);
        pump(now);
        if (m_leaving && drained(now)) {
            break;
        }
    }
    refuse_remaining();
    m_log.event({severity::info, telemetry::category::process, "stopped", {}, {}});
}

void daemon::handle_guarded(time_point now, core_event& event)
{
    const auto failed =
        failure_of([&] { std::visit([this, now](auto& item) { handle(now, item); }, event); });
    if (failed) {
        m_metrics.add(telemetry::events_failed, name_of(event));
        m_log.event({severity::error,
                     telemetry::category::process,
                     "event dropped after an unexpected error",
                     {},
                     {{"event", std::string(name_of(event))}, {"error", *failed}}});
    }
}

void daemon::refuse_remaining()
{
    const caller_answer refusal = m_protocol.encode_refusal(refusal_reason::draining, milliseconds(100));
    m_front.refuse_new(refusal);
    std::vector<core_event> batch;
    m_inbox.drain_until(steady_clock::now() + farewell_turn, batch);
    std::int64_t refused = 0;
    for (const core_event& event : batch) {
        if (const auto* request = std::get_if<request_arrived>(&event)) {
            m_front.respond(request->caller, refusal, true);
            ++refused;
        }
    }
    m_log.event({severity::info,
                 telemetry::category::http,
                 "requests refused at the end",
                 {},
                 {{"requests", refused}, {"reason", std::string("draining")}}});
}

// Load pattern: a machine that stands still for seconds and goes on.
void daemon::check_for_pause(time_point now)
{
    const time_point last = std::exchange(m_last_turn, now);
    if (last == time_point{} || now - last < pause_limit) {
        return;
    }
    const auto gap = std::chrono::duration_cast<milliseconds>(now - last);
    m_log.event({severity::warning,
                 telemetry::category::process,
                 "process was paused",
                 {},
                 {{"gap_ms", gap.count()}, {"limit_ms", pause_limit.count()}}});
    m_pools.on_pause(now);
    m_router.on_pause(now);
}

bool daemon::drained(time_point now) const
{
    if (now >= m_leave_until) {
        return true;
    }
    const bool idle = m_router.job_count() == 0 && m_front.waiting() == 0;
    return idle && m_pools.job_count() == 0 && now >= m_leave_until - m_settings.grace / 2;
}

void daemon::decide_ownership(time_point now)
{
    for (const endpoint& silent : m_peers.newly_unreachable(now)) {
        m_log.event(
            {severity::warning, telemetry::category::peer, "peer is silent", {}, {{"peer", silent.value()}}});
        m_pools.on_owner_lost(now, silent);
    }
    for (const endpoint& owner : m_peers.newly_timed_out(now)) {
        m_pools.on_owner_timed_out(now, owner);
    }
    for (const endpoint& silent : m_peers.silent_connections(now)) {
        m_log.event({severity::warning,
                     telemetry::category::peer,
                     "no status from peer; replacing the connection",
                     {},
                     {{"peer", silent.value()}}});
        m_network->reconnect(silent);
    }
    propose_layout(now);
    const bool reachable = m_store.reachable(now) && m_store.lease().has_value();
    for (const routing::claim_pool& claim :
         m_pools.decide(now, {m_peers, m_directory.own().pools(), reachable, m_leaving})) {
        call_store(m_store.claim(claim.pool, claim.expected_revision));
    }
    m_store.set_held(m_pools.held());
}

void daemon::pump(time_point now)
{
    bool busy = true;
    while (busy) {
        busy = false;
        for (routing::routing_action& action : m_router.take_actions()) {
            busy = true;
            execute(now, action);
        }
        busy = m_pools.pump(now) || busy;
    }
}

void daemon::send_to_owner(time_point now, const endpoint& owner, workers::owner_message message)
{
    const auto* result = std::get_if<workers::job_result>(&message);
    if (result != nullptr && result->end == workers::job_end::not_held) {
        // The offer may have expired since the owner has an old reading of this instance's clock.
        relate(now, owner);
    }
    std::visit([&](auto& item) { send(now, owner, std::move(item)); }, message);
}

// A caller whose connection has broken sends the job again through another instance, possibly at once, so
// nothing must start for it here. Its request may be read before the end of its connection.
bool daemon::has_caller(time_point now, const routing::job_id& job)
{
    const auto caller = m_router.caller_of(job);
    if (caller && !m_front.is_connected(*caller)) {
        m_router.on_caller_left(now, *caller);
        return false;
    }
    return caller.has_value();
}

void daemon::execute(time_point now, routing::routing_action& action)
{
    if (auto* out = std::get_if<routing::send_to_holder>(&action)) {
        if (auto* offer = std::get_if<workers::job_offer>(&out->message)) {
            offer->losses = m_pools.losses_of(offer->job);
            if (!has_caller(now, offer->job)) {
                m_log.decision(now, {severity::info,
                                     telemetry::category::jobs,
                                     "offer not sent",
                                     offer->job.value(),
                                     {{"cause", std::string("the caller has left")},
                                      {"holder", out->holder.value()},
                                      {"offer", static_cast<std::int64_t>(offer->number.value())}}});
                return;
            }
            relate(now, out->holder);
        }
        std::visit([&](auto& message) { send(now, out->holder, std::move(message)); }, out->message);
    } else if (const auto* reply = std::get_if<routing::answer_caller>(&action)) {
        answer(*reply);
    } else {
        log(now, std::get<routing::routing_record>(action));
    }
}

bool daemon::has_pool(time_point now) const
{
    return std::any_of(m_pools.directory().begin(), m_pools.directory().end(), [this, now](const auto& item) {
        endpoint holder;
        return m_peers.holder(now, item.first, holder) != nullptr;
    });
}

void daemon::tick(time_point now)
{
    for (store_call& call : m_store.due(now)) {
        call_store(std::move(call));
    }
    update_directory(now);
    follow_store_state(now);
    report_evacuations(now);
    follow_directory(now);
    follow_configuration(now);
    m_router.on_tick(now);
    m_pools.on_tick(now);
    const bool ready = m_configured && !m_leaving && has_pool(now);
    if (ready != m_ready) {
        m_ready = ready;
        m_front.set_ready(ready);
        m_metrics.set(telemetry::ready, ready ? 1 : 0);
        m_log.event({severity::info,
                     telemetry::category::process,
                     ready ? "ready" : "not ready",
                     {},
                     {{"configured", static_cast<std::int64_t>(m_configured)},
                      {"leaving", static_cast<std::int64_t>(m_leaving)}}});
    }
    m_metrics.add(telemetry::log_lines_dropped, {}, m_log.take_dropped());
    m_metrics.set(telemetry::jobs_in_flight, static_cast<double>(m_router.job_count()));
}

void daemon::handle(time_point now, const signal_received& event)
{
    if (event.kind == signal_kind::reload) {
        // Every setting is about addresses or limits that hold for the life of the process.
        m_log.event({severity::info,
                     telemetry::category::process,
                     "reload: settings hold until the restart",
                     {},
                     {}});
        return;
    }
    if (m_leaving) {
        return;
    }
    m_leaving = true;
    m_leave_until = now + m_settings.grace - farewell;
    m_front.set_ready(false);
    m_log.event({severity::info,
                 telemetry::category::process,
                 "draining",
                 {},
                 {{"jobs", static_cast<std::int64_t>(m_router.job_count())},
                  {"pools", static_cast<std::int64_t>(m_pools.held().size())}}});
    announce(now);
}

void daemon::log(time_point now, const workers::decision_record& record, const routing::pool_id& pool)
{
    m_metrics.add(telemetry::pool_decisions, to_string(record.kind));
    if (record.kind == workers::decision::run_ended) {
        m_metrics.observe(telemetry::attempt_seconds, milliseconds(record.input_ms),
                          routing::service_of(pool).value());
    }
    m_log.decision(now,
                   {severity::info,
                    telemetry::category::dispatch,
                    std::string(to_string(record.kind)),
                    record.job.value(),
                    {{"pool", pool.value()},
                     {"worker", record.worker.value()},
                     {"detail", record.detail},
                     {"input_ms", record.input_ms},
                     {"limit_ms", record.limit_ms},
                     {"offer", static_cast<std::int64_t>(record.offer.value())}}},
                   is_routine(record));
}

void daemon::log_hold(std::string_view event, const routing::pool_id& pool, std::string_view cause)
{
    m_log.event({severity::warning,
                 telemetry::category::membership,
                 std::string(event),
                 {},
                 {{"pool", pool.value()}, {"cause", std::string(cause)}}});
}

void daemon::log(time_point now, const routing::routing_record& record)
{
    m_metrics.add(telemetry::routing_decisions, to_string(record.decision));
    log_line line{severity::info,
                  telemetry::category::jobs,
                  std::string(to_string(record.decision)),
                  record.job.value(),
                  {{"holder", record.holder.value()},
                   {"detail", record.detail},
                   {"input_ms", record.predicted_finish.count()},
                   {"status_age_ms", record.status_age.count()},
                   {"offer", static_cast<std::int64_t>(record.offer.value())},
                   {"uncertain", task_list(record.uncertain_tasks)},
                   {"uncertain_ms", record.uncertain_for.count()},
                   {"configuration", static_cast<std::int64_t>(m_configuration.version)}}};
    m_log.decision(now, std::move(line), is_routine(record));
}

}  // namespace poplarshed::instance
