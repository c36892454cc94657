#include <algorithm>

#include "instance/daemon.h"

namespace poplarshed::instance {

namespace {

constexpr int http_too_many = 429;
constexpr int http_server_error = 500;
constexpr milliseconds store_timeout{700};
constexpr milliseconds watch_extra_time{2200};
// An answer to a pull takes two hops; statuses tell of changes every 60 ms or more.
constexpr milliseconds pull_interval{50};
// All items of 3,000 workers take half a second on a link of 19 Mbit/s.
constexpr milliseconds pull_timeout{1000};
// The directory counts as current for this time after its source was heard without news; several statuses.
constexpr milliseconds confirmation_time{1000};
// A proposal is written and seen by its writer within a few milliseconds of the store.
constexpr milliseconds proposal_interval{500};

}  // namespace

void daemon::send_order(pending_order order)
{
    http::request request = std::visit(
        [this](const auto& item) {
            http::request encoded = m_protocol.encode(item);
            encoded.timeout = item.answer_within;
            return encoded;
        },
        order.order);
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
    call.sent = boot_time_now();
    m_metrics.add(telemetry::platform_calls, to_string(call.kind));
    m_calls.emplace(id, std::move(call));
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
    if (const auto* start = std::get_if<workers::start_command>(&pending.order)) {
        pool.on_start_reply(now, m_protocol.decode_start(*start, response));
    } else if (const auto* stop = std::get_if<workers::stop_command>(&pending.order)) {
        pool.on_stop_reply(now, m_protocol.decode_stop(*stop, response));
    } else {
        const auto& list = std::get<workers::list_command>(pending.order);
        const auto answer = m_protocol.decode_list(list, response);
        if (answer) {
            report_skipped_rows(list.target, answer.value().skipped);
            pool.on_listing(now, answer.value());
        } else {
            pool.on_list_failure(now, list.target.worker, answer.error());
        }
    }
}

void daemon::report_skipped_rows(const workers::command_target& from, const std::vector<input_error>& skipped)
{
    for (const input_error& cause : skipped) {
        m_metrics.add(telemetry::rows_skipped, to_string(cause.reason));
        // Lists come several times a second, mostly with the same rows.
        if (m_row_faults.is_new(from.worker.value() + ' ' + cause.detail, cause)) {
            m_log.event({severity::warning,
                         telemetry::category::upstream,
                         "row of a worker's list skipped",
                         {},
                         {{"worker", from.worker.value()},
                          {"address", from.address.value()},
                          {"reason", std::string(to_string(cause.reason))},
                          {"detail", cause.detail}}});
        }
    }
}

void daemon::finish_store(time_point now, const store_call& pending, const http::response& response)
{
    const store_answer answer = m_store.on_answer(now, pending, response);
    const bool done = answer.status == store_status::done;
    m_metrics.observe(telemetry::platform_seconds, now - pending.sent, to_string(pending.kind));
    if (!response.answered() || response.status >= http_server_error || response.status == http_too_many) {
        m_metrics.add(telemetry::platform_failures, to_string(pending.kind));
    }
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
    update_directory(now, "store");
}

void daemon::update_directory(time_point now, std::string_view source)
{
    if (m_store.reachable(now) || directory_current(now)) {
        m_directory.forget_vanished(now);
    }
    const directory::change changes = m_directory.take_changes();
    if (changes.configuration) {
        apply_configuration(source);
    }
    for (const directory::skipped_entry& skipped : m_directory.take_skipped()) {
        m_metrics.add(telemetry::items_skipped, to_string(skipped.cause.reason));
        m_log.event({severity::warning,
                     telemetry::category::membership,
                     "item skipped",
                     {},
                     {{"key", skipped.key},
                      {"reason", std::string(to_string(skipped.cause.reason))},
                      {"detail", skipped.cause.detail}}});
    }
    m_pools.on_directory_completeness(directory_current(now) && m_directory.complete(now));
    if (changes.workers || changes.layout) {
        m_pools.on_directory(now, m_division.divide(m_directory.workers(), m_directory.own().layout()));
    }
    if (changes.instances) {
        update_network();
    }
    if (changes.evacuations) {
        apply_evacuations(now);
    }
}

void daemon::apply_evacuations(time_point now)
{
    const std::set<data_centre_id> ordered = m_directory.evacuated();
    const auto report = [this](const data_centre_id& data_centre, bool begins) {
        m_metrics.set(telemetry::data_centre_evacuated, begins ? 1 : 0, data_centre.value());
        m_log.event({severity::warning,
                     telemetry::category::configuration,
                     begins ? "evacuation in force" : "evacuation ended",
                     {},
                     {{"data_centre", data_centre.value()},
                      {"runs", static_cast<std::int64_t>(m_pools.run_count(data_centre))}}});
    };
    std::erase_if(m_evacuated, [&](const auto& known) {
        const bool ended = !ordered.contains(known.first);
        if (ended) {
            report(known.first, false);
            m_metrics.set(telemetry::evacuation_seconds, 0, known.first.value());
            m_metrics.set(telemetry::evacuated_runs, 0, known.first.value());
        }
        return ended;
    });
    for (const data_centre_id& data_centre : ordered) {
        if (m_evacuated.try_emplace(data_centre, now).second) {
            report(data_centre, true);
        }
    }
    m_router.set_evacuated(ordered);
    m_pools.set_evacuated(now, ordered);
}

void daemon::report_evacuations(time_point now)
{
    for (const auto& [data_centre, since] : m_evacuated) {
        const std::chrono::duration<double> age = now - since;
        m_metrics.set(telemetry::evacuation_seconds, age.count(), data_centre.value());
        m_metrics.set(telemetry::evacuated_runs, static_cast<double>(m_pools.run_count(data_centre)),
                      data_centre.value());
    }
}

void daemon::apply_configuration(std::string_view source)
{
    auto decoded = m_protocol.decode_configuration(m_directory.configuration_value());
    if (!decoded) {
        m_metrics.add(telemetry::items_skipped, to_string(decoded.error().reason));
        m_log.event({severity::error,
                     telemetry::category::configuration,
                     "configuration cannot be read",
                     {},
                     {{"detail", decoded.error().detail}}});
        return;
    }
    const auto previous = static_cast<std::int64_t>(m_configuration.version);
    if (m_configured && decoded.value().version < m_configuration.version) {
        m_log.event({severity::warning,
                     telemetry::category::configuration,
                     "older configuration not used",
                     {},
                     {{"version", static_cast<std::int64_t>(decoded.value().version)},
                      {"in_force", previous},
                      {"source", std::string(source)}}});
        return;
    }
    m_configuration = std::move(decoded).value();
    m_configured = true;
    m_log.event({severity::info,
                 telemetry::category::configuration,
                 "configuration in force",
                 {},
                 {{"version", static_cast<std::int64_t>(m_configuration.version)},
                  {"previous", previous},
                  {"source", std::string(source)},
                  {"routes", static_cast<std::int64_t>(m_configuration.routes.size())}}});
    m_metrics.set(telemetry::configuration_in_force, static_cast<double>(m_configuration.version));
}

void daemon::update_network()
{
    std::vector<endpoint> known = m_directory.own().instances();
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
    if (now < m_next_proposal || m_leaving || !is_directory_source(now) ||
        !m_peers.has_lowest_address(now, [](const auto& status) { return status.directory_source; })) {
        return;
    }
    m_next_proposal = now + proposal_interval;
    for (const routing::layout_change& change :
         routing::layout_changes(m_directory.workers(), m_directory.own().layout())) {
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
                     {{"revision", static_cast<std::int64_t>(m_directory.revision())}}});
        m_metrics.set(telemetry::platform_reachable, reachable ? 1 : 0);
    }
}

void daemon::follow_directory(time_point now)
{
    const auto decided = m_relay.decide(now, m_peers, m_store.watches(now));
    m_store.set_watching(decided.watch);
    if (!decided.source) {
        return;
    }
    const workers::instance_status& source = m_peers.all().at(*decided.source).status;
    if (m_upstream.source != decided.source || m_upstream.after_sequence != decided.after_sequence) {
        m_upstream = decided;
        m_followed_sequence = decided.after_sequence;
        m_pull_pending = false;
        // The own watch was in place until now.
        m_confirmed = decided.after_sequence > 0 ? now : m_confirmed;
        m_log.event({severity::info,
                     telemetry::category::membership,
                     "directory comes from a peer",
                     {},
                     {{"peer", source.address.value()},
                      {"since", static_cast<std::int64_t>(decided.after_sequence)},
                      {"sequence", static_cast<std::int64_t>(source.directory_sequence)},
                      {"own_revision", static_cast<std::int64_t>(m_directory.revision())}}});
    }
    if (m_followed_sequence >= source.directory_sequence) {
        m_confirmed = source.directory_current ? now : m_confirmed;
    } else if (now >= m_last_pull + (m_pull_pending ? pull_timeout : pull_interval)) {
        m_last_pull = now;
        m_pull_pending = true;
        send(now, source.address, workers::directory_pull{m_settings.peers, m_followed_sequence});
    }
}

void daemon::follow_configuration(time_point now)
{
    const auto from = m_configuration_relay.decide(now, m_peers, m_configuration.version);
    if (!from) {
        return;
    }
    m_log.event({severity::info,
                 telemetry::category::configuration,
                 "configuration requested from a peer",
                 {},
                 {{"peer", from->value()}, {"version", static_cast<std::int64_t>(m_configuration.version)}}});
    send(now, *from, workers::directory_pull{m_settings.peers, 0, true});
}

bool daemon::directory_current(time_point now) const
{
    return m_store.watches(now) || (m_confirmed != time_point{} && now < m_confirmed + confirmation_time);
}

}  // namespace poplarshed::instance
