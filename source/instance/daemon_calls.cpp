#include <algorithm>

#include "instance/daemon.h"

namespace poplarshed::instance {

namespace {

// A worker answers an order within a few milliseconds; ten times that covers a busy link.
constexpr milliseconds start_timeout{150};
constexpr milliseconds stop_timeout{200};
constexpr milliseconds list_extra_time{200};
constexpr milliseconds store_timeout{700};
constexpr milliseconds watch_extra_time{2200};
constexpr milliseconds pull_interval{400};
// A proposal is written and seen by its writer within a few milliseconds of the store.
constexpr milliseconds proposal_interval{500};

}  // namespace

void daemon::send_order(pending_order order)
{
    http::request request =
        std::visit([this](const auto& item) { return m_protocol.encode(item); }, order.order);
    if (std::holds_alternative<workers::start_order>(order.order)) {
        request.timeout = start_timeout;
    } else if (const auto* list = std::get_if<workers::list_order>(&order.order)) {
        request.timeout = list->wait + list_extra_time;
    } else {
        request.timeout = stop_timeout;
    }
    const http::call_id id(++m_last_call);
    m_calls.emplace(id, std::move(order));
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
    workers::pool* held = m_pools.find(pending);
    if (held == nullptr) {
        return;
    }
    workers::pool& pool = *held;
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
    const bool done = answer.status == store_status::done;
    if (pending.kind == store_call::purpose::claim) {
        const routing::pool_id pool(pending.key);
        m_log.event({severity::info,
                     telemetry::category::membership,
                     done ? "pool claimed" : "claim lost",
                     {},
                     {{"pool", pool.value()},
                      {"revision", static_cast<std::int64_t>(answer.revision)},
                      {"status", static_cast<std::int64_t>(response.status)}}});
        m_pools.on_claim_answer(now, pool, done ? std::optional(answer.revision) : std::nullopt, m_leaving);
    } else if (pending.kind == store_call::purpose::layout) {
        m_log.event({severity::info,
                     telemetry::category::membership,
                     done ? "layout written" : "layout not written",
                     {},
                     {{"key", pending.key}, {"status", static_cast<std::int64_t>(response.status)}}});
    }
    update_directory(now);
}

void daemon::update_directory(time_point now)
{
    const store_link::change changes = m_store.take_changes();
    if (changes.configuration) {
        apply_configuration();
    }
    if (changes.workers) {
        m_workers.clear();
        for (const store_item& item : m_store.worker_items()) {
            auto entry = m_protocol.decode_worker(item.key, item.value);
            if (entry) {
                m_workers.push_back(std::move(entry).value());
            } else {
                m_log.decision(now, {severity::warning,
                                     telemetry::category::membership,
                                     "worker entry skipped",
                                     {},
                                     {{"key", item.key}, {"detail", entry.error().message}}});
            }
        }
    }
    if (changes.workers || changes.layout) {
        m_pools.on_directory(now, routing::divide(m_workers, m_store.layout()), m_store.complete(now));
    }
    if (changes.instances) {
        update_network();
    }
}

void daemon::apply_configuration()
{
    auto decoded = m_protocol.decode_configuration(m_store.configuration_value());
    if (!decoded) {
        m_log.event({severity::error,
                     telemetry::category::configuration,
                     "configuration cannot be read",
                     {},
                     {{"detail", decoded.error().message}}});
        return;
    }
    if (m_configured && decoded.value().version < m_configuration.version) {
        return;
    }
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

void daemon::update_network()
{
    std::vector<endpoint> known = m_store.instances();
    std::erase(known, m_settings.peers);
    const auto add = [&known](const endpoint& address) {
        if (std::find(known.begin(), known.end(), address) == known.end()) {
            known.push_back(address);
        }
    };
    for (const auto& [address, peer] : m_peers.all()) {
        if (address != m_settings.peers) {
            add(address);
        }
    }
    m_network->set_peers(known);
    for (const endpoint& seed : m_settings.seeds) {
        add(seed);
    }
    m_network_targets = std::move(known);
}

// One instance writes the record, so that they do not all call the store at once.
void daemon::propose_layout(time_point now)
{
    if (now < m_next_proposal || m_leaving || !m_store.current(now) ||
        !m_peers.is_first(now, [](const auto& status) { return status.directory_current; })) {
        return;
    }
    for (const routing::layout_change& change : routing::layout_changes(m_workers, m_store.layout())) {
        m_next_proposal = now + proposal_interval;
        call_store(m_store.write_layout(change));
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

}  // namespace poplarshed::instance
