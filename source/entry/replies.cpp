#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "entry/daemon.h"

namespace poplarshed::entry {

namespace {

constexpr int http_ok = 200;
constexpr int http_not_found = 404;

std::string hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

}  // namespace

void daemon::reply(jobs::caller_id caller, const jobs::submission& item, const jobs::shared_outcome& outcome)
{
    const std::string& service = item.job.service.value();
    const duration elapsed = steady_clock::now() - item.arrival;
    if (std::holds_alternative<dispatch::job_complete>(*outcome)) {
        m_metrics.add(telemetry::jobs_completed, service);
        m_metrics.observe(telemetry::job_seconds, elapsed, service);
    } else if (const auto* failure = std::get_if<dispatch::job_failed>(outcome.get())) {
        m_metrics.add(telemetry::jobs_failed, service);
        m_metrics.count_refusal(item.job.service, failure->cause.reason);
        m_log->debug(
            telemetry::category::jobs, "job failed",
            {{"reason", to_string(failure->cause.reason)}, {"verdict", to_string(failure->cause.ran)}},
            item.job.submission);
    } else {
        const refusal& cause = std::get<dispatch::job_refused>(*outcome).cause;
        m_metrics.count_refusal(item.job.service, cause.reason);
        m_log->debug(telemetry::category::jobs, "job refused",
                     {{"reason", to_string(cause.reason)}, {"verdict", to_string(cause.ran)}},
                     item.job.submission);
    }
    m_http->respond(caller, to_answer(item.job.submission, *outcome));
}

void daemon::handle(cancel_requested& event, time_point now)
{
    const bool cancelled = m_coordinator->cancel(event.submission, event.workspace, now);
    m_http->respond(event.caller, {cancelled ? http_ok : http_not_found,
                                   cancelled ? R"({"cancelled":true})" : R"({"cancelled":false})"});
}

void daemon::handle(ids_requested& event, time_point /*now*/)
{
    nlohmann::json ids = nlohmann::json::array();
    const std::string prefix = m_options.coordinator.data_centre.value() + "." +
                               std::to_string(m_coordinator->epoch().value()) + ".";
    for (std::size_t i = 0; i < event.count; ++i) {
        ids.push_back(prefix + hex(m_random.bits()) + hex(m_random.bits()));
    }
    m_http->respond(event.caller, {http_ok, nlohmann::json{{"ids", std::move(ids)}}.dump()});
}

void daemon::handle(status_requested& event, time_point /*now*/)
{
    m_http->respond(event.caller, {http_ok, status_text()});
}

void daemon::start(dispatch::start_attempt attempt)
{
    const attempt_id id = attempt.attempt;
    m_metrics.add(telemetry::attempts_started, attempt.service.value());
    if (!m_upstream->start(std::move(attempt))) {
        m_unsent.push_back({id, dispatch::attempt_status::connection_refused, verdict::not_run,
                            "the send queue is full", false});
    }
}

void daemon::abandon(dispatch::abandon_attempt attempt)
{
    m_upstream->abandon(attempt);
}

void daemon::count(const dispatch::count_retry& retry)
{
    m_metrics.count_retry(retry.service, retry.reason);
}

void daemon::send(const instance_id& to, wire::message message)
{
    m_network->send(to, std::move(message));
}

void daemon::propose_view(const membership::view& view, membership::key_revision expected)
{
    m_log->info(telemetry::category::membership, "proposing a view",
                {{"epoch", view.epoch.value()}, {"members", std::uint64_t{view.members.size()}}});
    m_platform->propose_view(view, expected);
}

void daemon::read_membership()
{
    m_platform->read_membership();
}

void daemon::update_gauges()
{
    m_metrics.set(telemetry::jobs_in_flight, static_cast<double>(m_coordinator->jobs_in_progress()));
    m_metrics.set(telemetry::runners, static_cast<double>(m_runner_count), "live");
    m_metrics.set(telemetry::membership_epoch, static_cast<double>(m_coordinator->epoch().value()),
                  m_options.coordinator.data_centre.value());
    m_metrics.set(telemetry::registrars, m_coordinator->member().single_registrar() ? 1 : 2);
    m_metrics.set(telemetry::configuration_in_force, static_cast<double>(m_coordinator->version().value()));
    m_metrics.set(telemetry::platform_reachable, m_platform_reachable ? 1 : 0);
    m_metrics.set(telemetry::ready, m_coordinator->ready() ? 1 : 0);
    m_metrics.set(telemetry::draining, m_coordinator->draining() ? 1 : 0);
    m_metrics.set(telemetry::kept_answer_bytes,
                  static_cast<double>(m_coordinator->submissions().kept_bytes()));
}

std::string daemon::status_text() const
{
    const auto claims = m_coordinator->claims();
    const auto network = m_network->counters();
    const auto calls = m_platform->counts();
    const nlohmann::ordered_json status{
        {"instance", m_addresses.inner.value()},
        {"http", m_addresses.http.value()},
        {"incarnation", hex(m_network->self().incarnation.value())},
        {"data_centre", m_options.coordinator.data_centre.value()},
        {"ready", m_coordinator->ready()},
        {"draining", m_coordinator->draining()},
        {"configuration_version", m_coordinator->version().value()},
        {"platform_reachable", m_platform_reachable},
        {"epoch", m_coordinator->epoch().value()},
        {"member", m_coordinator->member().is_member()},
        {"single_registrar", m_coordinator->member().single_registrar()},
        {"jobs_in_progress", m_coordinator->jobs_in_progress()},
        {"submissions", m_coordinator->submissions().size()},
        {"answer_bytes", m_coordinator->submissions().kept_bytes()},
        {"runners", m_runner_count},
        {"claim_records", claims.records},
        {"claim_record_bytes", claims.record_bytes},
        {"claims_started", claims.claims_started},
        {"claims_retried", claims.claims_retried},
        {"peer_frames_in", network.frames_in},
        {"peer_frames_out", network.frames_out},
        {"peer_bytes_in", network.bytes_in},
        {"peer_bytes_out", network.bytes_out},
        {"platform_reads", calls.reads},
        {"platform_writes", calls.writes},
        {"platform_leases", calls.leases},
        {"platform_lists", calls.lists},
        {"platform_watches", calls.watches},
        {"platform_failures", calls.failures},
    };
    return status.dump();
}

}  // namespace poplarshed::entry
