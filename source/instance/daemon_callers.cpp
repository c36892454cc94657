#include "instance/daemon.h"

namespace poplarshed::instance {

namespace {

// Before the platform kills the process, unanswered jobs get their final answer.
constexpr milliseconds farewell_reserve{700};

}  // namespace

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
            m_front.respond(event.caller, m_protocol.encode_state(m_router.has_done_tasks(call.job.job)),
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
    const std::string& service = value.service.value();
    switch (value.kind) {
        case routing::answer_kind::completed:
            m_metrics.add(telemetry::jobs_completed, service);
            m_metrics.observe(telemetry::job_seconds, value.waited, service);
            break;
        case routing::answer_kind::failed:
            m_metrics.add(telemetry::jobs_failed, service);
            break;
        default:
            m_metrics.count_refusal(value.service, value.reason);
            break;
    }
    m_front.respond(value.caller, m_protocol.encode_answer(value), m_leaving);
}

}  // namespace poplarshed::instance
