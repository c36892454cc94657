#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace poplarshed {

/// Says whether a request may have run.
enum class verdict {
    not_run,       ///< no part of it started; sending it again is safe
    may_have_run,  ///< it may have started; only an idempotent request may be sent again
    ran,           ///< it ran, although the answer is not available
};

/// Closed list of reasons for which a job is refused or fails.
enum class refusal_reason {
    invalid_body,
    body_too_large,
    too_many_tasks,
    missing_submission_id,
    invalid_submission_id,
    id_reused,
    unknown_service,
    unknown_team,
    team_not_allowed,
    deadline_passed,
    deadline_unreachable,
    quota_exceeded,
    impossible,
    no_runners,
    overloaded,
    draining,
    not_ready,
    home_unreachable,
    registrar_unavailable,
    evidence_ambiguous,
    owner_lost,
    owner_unreachable,
    history_lost,
    answer_expired,
    task_failed,
    attempts_exhausted,
    timed_out,
    cancelled,
    drain_limit,
    unauthorized,
    internal_error,
};

/// Closed list of reasons for which a task is sent again, or a message was wasted.
enum class retry_reason {
    connection_refused,
    connection_lost,
    runner_full,
    runner_failed,
    attempt_timeout,
    hedge,
    late_duplicate,
    unwanted_answer,
};

/// Text of an enumerator as it stands in answers, logs and metrics.
std::string_view to_string(verdict value);
std::string_view to_string(refusal_reason value);
std::string_view to_string(retry_reason value);

/// Every refusal reason, in declaration order.
std::span<const refusal_reason> all_refusal_reasons();
/// Every retry reason, in declaration order.
std::span<const retry_reason> all_retry_reasons();

std::optional<refusal_reason> parse_refusal_reason(std::string_view text);
std::optional<verdict> parse_verdict(std::string_view text);

/// What a refusal means and what the caller or operator can do; the text of `poplarshedctl explain`.
std::string_view explanation(refusal_reason value);
/// HTTP status that accompanies a refusal.
int http_status(refusal_reason value);

/// A refusal or failure as a caller sees it.
struct refusal {
    verdict ran = verdict::not_run;
    refusal_reason reason = refusal_reason::internal_error;
    /// Time after which sending the request again may succeed; absent where it cannot.
    std::optional<std::chrono::milliseconds> retry_after;
    std::string detail;

    bool operator==(const refusal&) const = default;
};

}  // namespace poplarshed
