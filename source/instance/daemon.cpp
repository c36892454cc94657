#include "instance/daemon.h"

#include <algorithm>
#include <random>

namespace poplarshed::instance {

namespace {

constexpr std::size_t inbox_capacity = 65'536;
constexpr milliseconds tick_interval{20};
constexpr milliseconds ownership_interval{50};
// A worker answers an order within a few milliseconds; ten times that covers a busy link.
constexpr milliseconds start_timeout{150};
constexpr milliseconds stop_timeout{200};
constexpr milliseconds list_extra_time{200};
constexpr milliseconds store_timeout{700};
constexpr milliseconds watch_extra_time{2200};
constexpr milliseconds pull_interval{400};
// Time between the last answer and the end of the process, for bytes that are still on their way.
constexpr milliseconds farewell{150};
// Before the platform kills the process, unanswered jobs get their final answer.
constexpr milliseconds farewell_reserve{700};
constexpr std::size_t connections_per_host = 24;

std::uint64_t random_bits()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::uint64_t wall_microseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(now).count());
}

front_options front_options_of(const settings& values)
{
    front_options options;
    options.address = values.callers.value();
    options.ready_address = values.readiness.value();
    options.metrics_address = values.metrics.value();
    options.time_limit_header = values.time_limit_header;
    return options;
}

peer::network_options network_options_of(const settings& values)
{
    peer::network_options options;
    options.listen = values.peers;
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
      m_store({m_settings.name, m_settings.peers, m_settings.data_centre}, surroundings),
      m_peers(m_settings.peers, m_settings.data_centre),
      m_ownership(steady_clock::now()),
      m_router({}, m_peers, steady_clock::now()),
      m_front(front_options_of(m_settings), m_inbox, [this] { return m_metrics.to_prometheus(); }),
      m_http({connections_per_host}, [this](http::call_id call, http::response response) {
          m_inbox.push(call_ended{call, std::move(response)});
      })
{}

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
    const time_point now = steady_clock::now();
    m_timers.every(tick_interval, now, [this](time_point at) { tick(at); });
    m_timers.every(routing::status_interval, now, [this](time_point at) { send_status(at); });
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
        m_inbox.drain_until(m_timers.next(), batch);
        const time_point now = steady_clock::now();
        for (core_event& event : batch) {
            std::visit([this, now](auto& item) { handle(now, item); }, event);
        }
        m_timers.run(now);
        pump(now);
        if (m_leaving && drained(now)) {
            break;
        }
    }
    m_log.event({severity::info, telemetry::category::process, "stopped", {}, {}});
}

bool daemon::drained(time_point now) const
{
    if (now >= m_leave_until) {
        return true;
    }
    const bool idle = m_router.job_count() == 0 && m_front.waiting() == 0;
    const bool runs = std::any_of(m_pools.begin(), m_pools.end(),
                                  [](const auto& item) { return item.second->job_count() > 0; });
    return idle && !runs && now >= m_leave_until - m_settings.grace / 2;
}

// Callers
// -----------------------------------------------------------------------------------------------------

void daemon::handle(time_point now, request_arrived& event)
{
    const caller_request& request = event.request;
    const routing::route* target = m_configured ? m_configuration.find(request.host, request.path) : nullptr;
    if (target == nullptr) {
        const refusal_reason reason =
            m_configured ? refusal_reason::unknown_service : refusal_reason::not_ready;
        m_metrics.count_refusal({}, reason);
        m_log.decision(now, {severity::info,
                             telemetry::category::http,
                             "no route",
                             request.request_id,
                             {{"path", request.path},
                              {"configuration", static_cast<std::int64_t>(m_configuration.version)}}});
        m_front.respond(event.caller, m_protocol.encode_refusal(reason, milliseconds(500)), m_leaving);
        return;
    }
    caller_call call = m_protocol.decode_call(request, *target);
    switch (call.kind) {
        case call_kind::submit:
            submit(now, event.caller, *target, std::move(call), request.request_id);
            return;
        case call_kind::cancel: {
            const bool known = m_router.on_cancelled(now, call.job.job);
            m_front.respond(event.caller, m_protocol.encode_cancelled(known), m_leaving);
            break;
        }
        case call_kind::state:
            m_front.respond(event.caller, m_protocol.encode_state(m_router.is_running(call.job.job)),
                            m_leaving);
            break;
        case call_kind::count:
            m_front.respond(event.caller, m_protocol.encode_count(0), m_leaving);
            break;
        case call_kind::invalid:
            m_metrics.count_refusal(target->service, call.reason);
            m_log.event({severity::warning,
                         telemetry::category::http,
                         "request refused",
                         request.request_id,
                         {{"reason", std::string(to_string(call.reason))}, {"detail", call.detail}}});
            m_front.respond(event.caller, m_protocol.encode_refusal(call.reason, {}), m_leaving);
            break;
    }
}

void daemon::submit(time_point now, routing::caller_id caller, const routing::route& target, caller_call call,
                    const std::string& request_id)
{
    m_metrics.add(telemetry::jobs_received, target.service.value());
    if (m_leaving && now > m_leave_until - farewell_reserve * 3) {
        m_metrics.count_refusal(target.service, refusal_reason::draining);
        m_log.event({severity::info,
                     telemetry::category::jobs,
                     "refused",
                     call.job.job.value(),
                     {{"reason", std::string("draining")}}});
        m_front.respond(caller, m_protocol.encode_refusal(refusal_reason::draining, milliseconds(100)), true);
        return;
    }
    m_log.decision(now, {severity::info,
                         telemetry::category::jobs,
                         "received",
                         call.job.job.value(),
                         {{"request", request_id},
                          {"route", target.name},
                          {"steps", static_cast<std::int64_t>(call.job.steps.size())},
                          {"time_limit_ms", call.job.time_limit.count()},
                          {"configuration", static_cast<std::int64_t>(m_configuration.version)}}});
    m_router.on_job(now, caller, target, std::move(call.job));
}

void daemon::handle(time_point now, const caller_left& event)
{
    m_router.on_caller_left(now, event.caller);
}

void daemon::answer(const routing::answer_caller& value)
{
    m_front.respond(value.caller, m_protocol.encode_answer(value), m_leaving);
}

// Peers
// -------------------------------------------------------------------------------------------------------

void daemon::handle(time_point now, peer_message& event)
{
    deliver(now, event.message);
}

void daemon::deliver(time_point now, wire::message& message)
{
    std::visit(
        [this, now](auto& item) {
            if constexpr (requires { this->receive(now, item); }) {
                receive(now, item);
            }
        },
        message);
}

void daemon::handle(time_point now, const peer_down& event)
{
    if (event.evidence == peer::down_evidence::closed && m_peers.is_live(now, event.address)) {
        m_log.event({severity::warning,
                     telemetry::category::peer,
                     "connection to peer closed",
                     {},
                     {{"peer", event.address.value()}}});
        m_peers.on_down(event.address);
    }
}

void daemon::receive(time_point now, workers::instance_status& message)
{
    if (!m_peers.is_live(now, message.address)) {
        m_log.event({severity::info,
                     telemetry::category::peer,
                     "peer is live",
                     {},
                     {{"peer", message.address.value()}}});
    }
    m_peers.on_status(now, message);
    m_router.on_status(message.address);
}

void daemon::receive(time_point now, workers::job_offer& message)
{
    const endpoint owner = message.owner;
    const auto found = m_pools.find(message.pool);
    if (found == m_pools.end()) {
        send(now, owner,
             workers::job_result{message.job,
                                 m_settings.peers,
                                 workers::job_end::not_held,
                                 {},
                                 {},
                                 message.may_have_run,
                                 message.uncertain_tasks});
        return;
    }
    found->second->on_offer(now, owner, std::move(message));
}

void daemon::receive(time_point now, workers::job_cancel& message)
{
    for (const auto& [id, pool] : m_pools) {
        pool->on_cancel(now, message.owner, message.job);
    }
}

void daemon::receive(time_point /*now*/, workers::job_progress& message)
{
    m_router.on_progress(message);
}

void daemon::receive(time_point now, workers::job_result& message)
{
    m_router.on_result(now, message.holder, message);
}

void daemon::receive(time_point now, workers::directory_pull& message)
{
    if (m_store.revision() > message.since && m_store.current(now)) {
        send(now, message.from, m_store.relay());
    }
}

void daemon::receive(time_point now, workers::directory_push& message)
{
    m_log.event({severity::info,
                 telemetry::category::membership,
                 "took the directory from a peer",
                 {},
                 {{"revision", static_cast<std::int64_t>(message.revision)},
                  {"own_revision", static_cast<std::int64_t>(m_store.revision())}}});
    m_store.on_relay(now, message);
}

void daemon::send(time_point now, const endpoint& to, wire::message message)
{
    if (to == m_settings.peers) {
        deliver(now, message);
        return;
    }
    if (!m_network->send(to, std::move(message))) {
        m_log.event({severity::warning,
                     telemetry::category::peer,
                     "message to peer dropped",
                     {},
                     {{"peer", to.value()}}});
    }
}

workers::instance_status daemon::own_status(time_point now) const
{
    workers::instance_status status;
    status.address = m_settings.peers;
    status.data_centre = m_settings.data_centre;
    status.cpu_milli = m_settings.cpu_milli;
    status.leaving = m_leaving;
    status.directory_current = m_store.current(now);
    status.configuration_version = m_configuration.version;
    status.store_revision = m_store.revision();
    for (const auto& [id, pool] : m_pools) {
        status.pools.push_back(pool->load(now));
    }
    return status;
}

void daemon::send_status(time_point now)
{
    const workers::instance_status status = own_status(now);
    m_peers.on_status(now, status);
    m_router.on_status(status.address);
    for (const endpoint& to : m_network_targets) {
        if (to != m_settings.peers) {
            m_network->send(to, status);
        }
    }
    update_pool_views(now);
}

void daemon::update_pool_views(time_point now)
{
    for (const auto& [held, pool] : m_pools) {
        const routing::pool_id& id = held;
        std::vector<workers::pool_load> others;
        m_peers.each_pool(now, pool->service(), [&](const auto& status, const workers::pool_load& load) {
            if (!status.leaving && load.pool != id) {
                others.push_back(load);
            }
        });
        pool->on_other_pools(std::move(others));
    }
}

// Calls
// -------------------------------------------------------------------------------------------------------

void daemon::order(const routing::pool_id& pool, worker_order order)
{
    http::request request = std::visit([this](const auto& item) { return m_protocol.encode(item); }, order);
    if (std::holds_alternative<workers::start_order>(order)) {
        request.timeout = start_timeout;
    } else if (const auto* list = std::get_if<workers::list_order>(&order)) {
        request.timeout = list->wait + list_extra_time;
    } else {
        request.timeout = stop_timeout;
    }
    const http::call_id id(++m_last_call);
    const workers::fencing_token token = std::visit([](const auto& item) { return item.token; }, order);
    m_calls.emplace(id, pending_order{pool, token, std::move(order)});
    if (!m_http.start(id, std::move(request))) {
        m_inbox.push(call_ended{id, {}});
    }
}

void daemon::call_store(store_call call)
{
    const bool watch = call.kind == store_call::purpose::watch;
    call.request.host = m_settings.store;
    call.request.timeout = watch ? watch_extra_time : store_timeout;
    http::request request = std::exchange(call.request, {});
    const http::call_id id(++m_last_call);
    m_calls.emplace(id, std::move(call));
    m_metrics.add(telemetry::platform_calls);
    if (!m_http.start(id, std::move(request))) {
        m_inbox.push(call_ended{id, {}});
    }
}

void daemon::handle(time_point now, call_ended& event)
{
    auto node = m_calls.extract(event.call);
    if (node.empty()) {
        return;
    }
    if (const auto* pending = std::get_if<pending_order>(&node.mapped())) {
        finish_order(now, *pending, event.response);
    } else {
        finish_store(now, std::get<store_call>(node.mapped()), event.response);
    }
}

void daemon::finish_order(time_point now, const pending_order& pending, const http::response& response)
{
    const auto found = m_pools.find(pending.pool);
    if (found == m_pools.end() || found->second->token() != pending.token) {
        return;
    }
    workers::pool& pool = *found->second;
    if (const auto* start = std::get_if<workers::start_order>(&pending.order)) {
        pool.on_start_reply(now, m_protocol.decode_start(*start, response));
    } else if (const auto* stop = std::get_if<workers::stop_order>(&pending.order)) {
        pool.on_stop_reply(now, m_protocol.decode_stop(*stop, response));
    } else {
        const auto& list = std::get<workers::list_order>(pending.order);
        const auto answer = m_protocol.decode_list(list, response);
        if (answer) {
            pool.on_listing(now, answer.value());
        } else {
            pool.on_list_failure(now, list.target.worker, answer.error());
        }
    }
}

void daemon::finish_store(time_point now, const store_call& pending, const http::response& response)
{
    const store_answer answer = m_store.on_answer(now, pending, response);
    if (pending.kind == store_call::purpose::claim) {
        const routing::pool_id pool(pending.key);
        const bool won = answer.status == store_status::done;
        m_log.event({severity::info,
                     telemetry::category::membership,
                     won ? "pool claimed" : "claim lost",
                     {},
                     {{"pool", pool.value()},
                      {"revision", static_cast<std::int64_t>(answer.revision)},
                      {"status", static_cast<std::int64_t>(response.status)}}});
        if (won && !m_leaving) {
            m_ownership.on_claimed(pool, answer.revision);
            take_pool(now, pool, workers::fencing_token(answer.revision));
        } else {
            m_ownership.on_claim_failed(pool);
        }
    }
    update_directory(now);
}

// Pools
// -------------------------------------------------------------------------------------------------------

void daemon::take_pool(time_point now, const routing::pool_id& pool, workers::fencing_token token)
{
    const auto entries = m_pool_map.find(pool);
    if (entries == m_pool_map.end()) {
        return;
    }
    workers::pool_options options;
    options.pool = pool;
    options.service = entries->second.front().service;
    options.self = m_settings.peers;
    options.token = token;
    options.first_run = std::max(wall_microseconds(), m_last_run + 1);
    options.longest_lease = m_settings.longest_lease;
    options.lease = std::min(options.lease, m_settings.longest_lease);
    options.stop_time = m_settings.stop_time;
    options.remote_slowdown = m_settings.remote_slowdown;
    m_last_run = options.first_run;
    auto created = std::make_unique<workers::pool>(options, now);
    created->on_directory(now, entries->second, m_store.complete(now));
    m_pools.insert_or_assign(pool, std::move(created));
    send_status(now);
}

void daemon::drop_pool(time_point now, const routing::pool_id& pool, std::string_view cause)
{
    m_log.event({severity::warning,
                 telemetry::category::membership,
                 "pool dropped",
                 {},
                 {{"pool", pool.value()}, {"cause", std::string(cause)}}});
    m_ownership.on_dropped(pool);
    const auto node = m_pools.extract(pool);
    // The owners must learn of the new holder from the statuses, not from this instance's own.
    send_status(now);
    node.mapped()->hand_over();
    for (workers::action& action : node.mapped()->take_actions()) {
        if (!std::holds_alternative<workers::list_order>(action)) {
            execute(now, pool, action);
        }
    }
}

void daemon::decide_ownership(time_point now)
{
    for (const endpoint& silent : m_peers.newly_silent(now)) {
        m_log.event(
            {severity::warning, telemetry::category::peer, "peer is silent", {}, {{"peer", silent.value()}}});
        for (const auto& [id, pool] : m_pools) {
            pool->on_owner_lost(now, silent);
        }
    }
    std::vector<routing::pool_id> fenced;
    for (const auto& [id, pool] : m_pools) {
        if (pool->is_fenced()) {
            fenced.push_back(id);
        }
    }
    for (const routing::pool_id& id : fenced) {
        drop_pool(now, id, "fenced");
    }
    const auto records = m_store.pool_records();
    const bool reachable = m_store.reachable(now) && m_store.lease().has_value();
    for (auto& action : m_ownership.decide(
             now, {m_peers, records, m_pool_map, m_settings.cpu_milli, reachable, m_leaving})) {
        if (const auto* claim = std::get_if<routing::claim_pool>(&action)) {
            call_store(m_store.claim(claim->pool, claim->expected_revision));
        } else if (const auto* hold = std::get_if<routing::hold_pool>(&action)) {
            m_log.event({severity::warning,
                         telemetry::category::membership,
                         "pool taken without the store",
                         {},
                         {{"pool", hold->pool.value()}}});
            take_pool(now, hold->pool, hold->token);
        } else {
            drop_pool(now, std::get<routing::drop_pool>(action).pool, "held elsewhere");
        }
    }
    std::vector<routing::pool_id> held;
    for (const auto& [id, pool] : m_pools) {
        held.push_back(id);
    }
    m_store.set_held(std::move(held));
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
        std::vector<routing::pool_id> ids;
        for (const auto& [id, pool] : m_pools) {
            ids.push_back(id);
        }
        for (const routing::pool_id& id : ids) {
            for (workers::action& action : m_pools.at(id)->take_actions()) {
                busy = true;
                execute(now, id, action);
            }
        }
    }
}

void daemon::execute(time_point now, const routing::pool_id& pool, workers::action& action)
{
    if (auto* start = std::get_if<workers::start_order>(&action)) {
        order(pool, std::move(*start));
    } else if (auto* stop = std::get_if<workers::stop_order>(&action)) {
        order(pool, std::move(*stop));
    } else if (auto* list = std::get_if<workers::list_order>(&action)) {
        order(pool, std::move(*list));
    } else if (auto* out = std::get_if<workers::to_owner>(&action)) {
        std::visit([&](auto& message) { send(now, out->owner, std::move(message)); }, out->message);
    } else {
        log(now, std::get<workers::decision_record>(action), pool);
    }
}

void daemon::execute(time_point now, routing::routing_action& action)
{
    if (auto* out = std::get_if<routing::to_holder>(&action)) {
        std::visit([&](auto& message) { send(now, out->holder, std::move(message)); }, out->message);
    } else if (const auto* reply = std::get_if<routing::answer_caller>(&action)) {
        answer(*reply);
    } else {
        log(now, std::get<routing::routing_record>(action));
    }
}

// State
// -------------------------------------------------------------------------------------------------------

void daemon::update_directory(time_point now)
{
    const store_link::change changes = m_store.take_changes();
    if (changes.configuration) {
        auto decoded = m_protocol.decode_configuration(m_store.configuration_value());
        if (!decoded) {
            m_log.event({severity::error,
                         telemetry::category::configuration,
                         "configuration cannot be read",
                         {},
                         {{"detail", decoded.error().message}}});
        } else if (!m_configured || decoded.value().version >= m_configuration.version) {
            m_configuration = std::move(decoded).value();
            m_configured = true;
            m_log.event({severity::info,
                         telemetry::category::configuration,
                         "configuration in force",
                         {},
                         {{"version", static_cast<std::int64_t>(m_configuration.version)},
                          {"routes", static_cast<std::int64_t>(m_configuration.routes.size())}}});
            m_metrics.set(telemetry::configuration_in_force, static_cast<double>(m_configuration.version));
        }
    }
    if (changes.workers) {
        std::vector<workers::worker_entry> entries;
        for (const store_item& item : m_store.worker_items()) {
            auto entry = m_protocol.decode_worker(item.key, item.value);
            if (entry) {
                entries.push_back(std::move(entry).value());
            } else {
                m_log.decision(now, {severity::warning,
                                     telemetry::category::membership,
                                     "worker entry skipped",
                                     {},
                                     {{"key", item.key}, {"detail", entry.error().message}}});
            }
        }
        m_pool_map = routing::divide(entries);
        for (const auto& [id, pool] : m_pools) {
            const auto found = m_pool_map.find(id);
            pool->on_directory(
                now, found == m_pool_map.end() ? std::vector<workers::worker_entry>() : found->second,
                m_store.complete(now));
        }
    }
    if (changes.own) {
        std::vector<endpoint> known = m_store.instances();
        std::erase(known, m_settings.peers);
        for (const auto& [address, peer] : m_peers.all()) {
            if (address != m_settings.peers &&
                std::find(known.begin(), known.end(), address) == known.end()) {
                known.push_back(address);
            }
        }
        m_network->set_peers(known);
        for (const endpoint& seed : m_settings.seeds) {
            if (std::find(known.begin(), known.end(), seed) == known.end()) {
                known.push_back(seed);
            }
        }
        m_network_targets = std::move(known);
    }
}

void daemon::follow_store_state(time_point now)
{
    const bool reachable = m_store.reachable(now);
    if (reachable != m_store_was_reachable) {
        m_store_was_reachable = reachable;
        m_log.event({reachable ? severity::info : severity::warning,
                     telemetry::category::platform,
                     reachable ? "store is reachable" : "store is not reachable",
                     {},
                     {{"revision", static_cast<std::int64_t>(m_store.revision())}}});
        m_metrics.set(telemetry::platform_reachable, reachable ? 1 : 0);
    }
}

void daemon::ask_for_directory(time_point now)
{
    if (m_store.current(now) || now < m_last_pull + pull_interval) {
        return;
    }
    for (const workers::instance_status* peer : m_peers.live(now)) {
        if (peer->directory_current && peer->store_revision > m_store.revision()) {
            m_last_pull = now;
            send(now, peer->address, workers::directory_pull{m_settings.peers, m_store.revision()});
            return;
        }
    }
}

bool daemon::has_pool(time_point now) const
{
    return std::any_of(m_pool_map.begin(), m_pool_map.end(), [this, now](const auto& item) {
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
    ask_for_directory(now);
    m_router.on_tick(now);
    for (const auto& [id, pool] : m_pools) {
        pool->on_tick(now);
    }
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
                  {"pools", static_cast<std::int64_t>(m_pools.size())}}});
    send_status(now);
}

// Logs
// --------------------------------------------------------------------------------------------------------

void daemon::log(time_point now, const workers::decision_record& record, const routing::pool_id& pool)
{
    m_metrics.add(telemetry::pool_decisions, to_string(record.what));
    m_log.decision(now, {severity::info,
                         telemetry::category::dispatch,
                         std::string(to_string(record.what)),
                         record.job.value(),
                         {{"pool", pool.value()},
                          {"worker", record.worker.value()},
                          {"detail", record.detail},
                          {"input_ms", record.input_ms},
                          {"limit_ms", record.limit_ms}}});
}

void daemon::log(time_point now, const routing::routing_record& record)
{
    m_metrics.add(telemetry::routing_decisions, to_string(record.what));
    log_line line{severity::info,
                  telemetry::category::jobs,
                  std::string(to_string(record.what)),
                  record.job.value(),
                  {{"holder", record.holder.value()},
                   {"detail", record.detail},
                   {"input_ms", record.predicted.count()},
                   {"status_age_ms", record.information.count()},
                   {"configuration", static_cast<std::int64_t>(m_configuration.version)}}};
    m_log.decision(now, std::move(line));
}

}  // namespace poplarshed::instance
