#include "common/verdict.h"

#include <algorithm>
#include <array>

namespace poplarshed {

namespace {

struct refusal_entry {
    refusal_reason value;
    std::string_view name;
    int status;
    std::string_view explanation;
};

constexpr std::array refusal_table{
    refusal_entry{refusal_reason::invalid_body, "invalid_body", 400,
                  "The body is not a valid job. Correct the body and send it again."},
    refusal_entry{refusal_reason::body_too_large, "body_too_large", 413,
                  "The body exceeds the setting http.max_body_bytes. Split the job."},
    refusal_entry{refusal_reason::too_many_tasks, "too_many_tasks", 413,
                  "The job has more tasks than limits.max_tasks_per_job. Split the job."},
    refusal_entry{refusal_reason::missing_submission_id, "missing_submission_id", 400,
                  "The Idempotency-Key header is missing."},
    refusal_entry{
        refusal_reason::invalid_submission_id, "invalid_submission_id", 400,
        "The Idempotency-Key header is longer than 128 bytes or has characters outside [A-Za-z0-9._-]."},
    refusal_entry{refusal_reason::id_reused, "id_reused", 422,
                  "The submission id was used before with another body, service or team. Use a fresh id."},
    refusal_entry{refusal_reason::unknown_service, "unknown_service", 404,
                  "No such service in the configuration in force."},
    refusal_entry{refusal_reason::unknown_team, "unknown_team", 403,
                  "The Poplarshed-Team header is missing or names no team in the configuration in force."},
    refusal_entry{refusal_reason::team_not_allowed, "team_not_allowed", 403,
                  "The configuration does not let this team use this service."},
    refusal_entry{refusal_reason::deadline_passed, "deadline_passed", 504,
                  "The deadline passed before any task of the job started."},
    refusal_entry{refusal_reason::deadline_unreachable, "deadline_unreachable", 503,
                  "At present load the job would finish after its deadline. Send it again after the hint."},
    refusal_entry{refusal_reason::quota_exceeded, "quota_exceeded", 429,
                  "The team has its configured number of tasks in flight. Send again after the hint."},
    refusal_entry{refusal_reason::impossible, "impossible", 422,
                  "The requirements of the task fit no worker, so that it can never run."},
    refusal_entry{refusal_reason::no_runners, "no_runners", 503,
                  "No runner of this service is live in this data centre."},
    refusal_entry{refusal_reason::overloaded, "overloaded", 503,
                  "A bounded queue of this instance is full. Send again after the hint."},
    refusal_entry{refusal_reason::draining, "draining", 503,
                  "The instance is leaving. Send the job to another instance."},
    refusal_entry{refusal_reason::not_ready, "not_ready", 503,
                  "The instance has no configuration yet. Send the job to another instance."},
    refusal_entry{refusal_reason::home_unreachable, "home_unreachable", 503,
                  "The home data centre of the id cannot be reached. Retry, or use a fresh id issued here."},
    refusal_entry{refusal_reason::registrar_unavailable, "registrar_unavailable", 503,
                  "A registrar of the id did not answer in time. Retry with the same id."},
    refusal_entry{
        refusal_reason::evidence_ambiguous, "evidence_ambiguous", 503,
        "A registrar is silent but not proven dead while the platform is down. Retry with the same id."},
    refusal_entry{
        refusal_reason::owner_lost, "owner_lost", 409,
        "The instance that owned the job died before it answered. Check the outcome before a new request."},
    refusal_entry{refusal_reason::owner_unreachable, "owner_unreachable", 503,
                  "The instance that owns the job cannot be reached now. Retry with the same id."},
    refusal_entry{
        refusal_reason::history_lost, "history_lost", 409,
        "Records of this id were lost, so it cannot be told whether it ran. Check before a new request."},
    refusal_entry{refusal_reason::answer_expired, "answer_expired", 410,
                  "The job ran, but its answer is no longer kept."},
    refusal_entry{refusal_reason::task_failed, "task_failed", 502,
                  "A task failed in a way that another attempt would not change."},
    refusal_entry{refusal_reason::attempts_exhausted, "attempts_exhausted", 502,
                  "A task failed, or crashed its worker, in every attempt that its service and the retry "
                  "budget allow."},
    refusal_entry{refusal_reason::timed_out, "timed_out", 504,
                  "The deadline passed while tasks of the job ran."},
    refusal_entry{refusal_reason::cancelled, "cancelled", 409, "The caller's team cancelled the job."},
    refusal_entry{refusal_reason::drain_limit, "drain_limit", 503,
                  "The instance reached its drain limit before the job finished."},
    refusal_entry{refusal_reason::unauthorized, "unauthorized", 401,
                  "The operator token is missing or wrong."},
    refusal_entry{refusal_reason::internal_error, "internal_error", 500,
                  "A fault in the instance; its log has an error line for this submission id."},
};

struct retry_entry {
    retry_reason value;
    std::string_view name;
};

constexpr std::array retry_table{
    retry_entry{retry_reason::connection_refused, "connection_refused"},
    retry_entry{retry_reason::connection_lost, "connection_lost"},
    retry_entry{retry_reason::runner_full, "runner_full"},
    retry_entry{retry_reason::runner_failed, "runner_failed"},
    retry_entry{retry_reason::attempt_timeout, "attempt_timeout"},
    retry_entry{retry_reason::hedge, "hedge"},
    retry_entry{retry_reason::late_duplicate, "late_duplicate"},
    retry_entry{retry_reason::unwanted_answer, "unwanted_answer"},
};

constexpr std::array verdict_names{std::string_view("not_run"), std::string_view("may_have_run"),
                                   std::string_view("ran")};

template <class Table>
constexpr auto values_of(const Table& table)
{
    std::array<decltype(table[0].value), std::tuple_size_v<Table>> values{};
    for (std::size_t i = 0; i < table.size(); ++i) {
        values[i] = table[i].value;
    }
    return values;
}

constexpr auto refusal_values = values_of(refusal_table);
constexpr auto retry_values = values_of(retry_table);

const refusal_entry& entry_of(refusal_reason value)
{
    return refusal_table.at(static_cast<std::size_t>(value));
}

}  // namespace

std::string_view to_string(verdict value)
{
    return verdict_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(refusal_reason value)
{
    return entry_of(value).name;
}

std::string_view to_string(retry_reason value)
{
    return retry_table.at(static_cast<std::size_t>(value)).name;
}

std::span<const refusal_reason> all_refusal_reasons()
{
    return refusal_values;
}

std::span<const retry_reason> all_retry_reasons()
{
    return retry_values;
}

std::optional<refusal_reason> parse_refusal_reason(std::string_view text)
{
    const auto found = std::find_if(refusal_table.begin(), refusal_table.end(),
                                    [text](const refusal_entry& entry) { return entry.name == text; });
    return found == refusal_table.end() ? std::nullopt : std::optional(found->value);
}

std::optional<verdict> parse_verdict(std::string_view text)
{
    const auto found = std::find(verdict_names.begin(), verdict_names.end(), text);
    if (found == verdict_names.end()) {
        return std::nullopt;
    }
    return static_cast<verdict>(found - verdict_names.begin());
}

std::string_view explanation(refusal_reason value)
{
    return entry_of(value).explanation;
}

int http_status(refusal_reason value)
{
    return entry_of(value).status;
}

}  // namespace poplarshed
