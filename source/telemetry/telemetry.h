#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "common/common.h"

/// Metrics and logs. Every function is thread-safe.
namespace poplarshed::telemetry {

/// Declaration of a metric. `label` names its one label; empty for a metric without labels.
struct counter_definition {
    std::string_view name;
    std::string_view label;
    std::string_view help;
};

struct gauge_definition {
    std::string_view name;
    std::string_view label;
    std::string_view help;
};

/// Seconds, in buckets of equal ratio.
struct histogram_definition {
    std::string_view name;
    std::string_view label;
    std::string_view help;
};

inline constexpr counter_definition jobs_received{"poplarshed_jobs_received_total", "service",
                                                  "Jobs that callers submitted, refused ones included."};
inline constexpr counter_definition jobs_completed{"poplarshed_jobs_completed_total", "service",
                                                   "Jobs answered complete."};
inline constexpr counter_definition jobs_failed{"poplarshed_jobs_failed_total", "service",
                                                "Jobs answered failed after at least one task started."};
inline constexpr counter_definition jobs_late{"poplarshed_jobs_late_total", "service",
                                              "Jobs answered complete after their deadline."};
inline constexpr counter_definition jobs_followed{"poplarshed_jobs_followed_total", "service",
                                                  "Resubmissions answered from the first submission."};
inline constexpr counter_definition attempts_started{
    "poplarshed_attempts_started_total", "service", "Requests sent to runners, retries and hedges included."};
inline constexpr counter_definition tasks_completed{"poplarshed_tasks_completed_total", "service",
                                                    "Tasks whose result was used."};
inline constexpr counter_definition claims_sent{"poplarshed_claims_sent_total", "",
                                                "Claims sent to registrars."};
inline constexpr counter_definition peers_refused{"poplarshed_peers_refused_total", "",
                                                  "Peer connections refused for a wrong key or a bad frame."};
inline constexpr counter_definition platform_calls{"poplarshed_platform_calls_total", "call",
                                                   "Calls to the platform's service."};
inline constexpr counter_definition platform_failures{
    "poplarshed_platform_failures_total", "call", "Calls to the platform's service without a usable answer."};

inline constexpr counter_definition pool_decisions{"poplarshed_pool_decisions_total", "decision",
                                                   "Decisions about jobs, runs and workers of held pools."};
inline constexpr counter_definition routing_decisions{"poplarshed_routing_decisions_total", "decision",
                                                      "Decisions about callers' jobs."};

inline constexpr counter_definition items_skipped{
    "poplarshed_items_skipped_total", "reason",
    "Versions of items of the store that were not used, by fault."};
inline constexpr counter_definition rows_skipped{"poplarshed_rows_skipped_total", "reason",
                                                 "Rows of workers' lists that were not used, by fault."};

inline constexpr counter_definition events_failed{
    "poplarshed_events_failed_total", "event",
    "Requests, messages and answers that were dropped because their handler failed unexpectedly."};

inline constexpr counter_definition connections_closed{
    "poplarshed_connections_closed_total", "reason",
    "Connections of callers, readiness and metrics that the server closed for a limit."};
inline constexpr counter_definition requests_refused{
    "poplarshed_requests_refused_total", "reason",
    "Requests that the server refused for a limit or a fault of theirs; none has run."};

inline constexpr counter_definition log_lines_dropped{"poplarshed_log_lines_dropped_total", "",
                                                      "Log lines beyond the bound of the queue or rate."};

inline constexpr gauge_definition jobs_in_flight{"poplarshed_jobs_in_flight", "", "Jobs not yet answered."};
inline constexpr gauge_definition attempts_in_flight{"poplarshed_attempts_in_flight", "",
                                                     "Requests at runners, not yet answered."};
inline constexpr gauge_definition runners{"poplarshed_runners", "state",
                                          "Runners of this data centre, by state: live, leaving or ejected."};
inline constexpr gauge_definition peers_connected{"poplarshed_peers_connected", "data_centre",
                                                  "Peers with a link in both directions."};
inline constexpr gauge_definition membership_epoch{"poplarshed_membership_epoch", "data_centre",
                                                   "Epoch of the newest view known."};
inline constexpr gauge_definition registrars{
    "poplarshed_registrars", "", "Registrars of a submission id of this data centre: 2, or 1 if alone."};
inline constexpr gauge_definition configuration_in_force{
    "poplarshed_configuration_version", "", "Version of the configuration in force; 0 for none."};
inline constexpr gauge_definition data_centre_evacuated{
    "poplarshed_data_centre_evacuated", "data_centre",
    "1 while an order to evacuate the data centre is in force at this instance, else 0."};
inline constexpr gauge_definition evacuation_seconds{
    "poplarshed_evacuation_seconds", "data_centre",
    "Time since the order to evacuate the data centre came into force at this instance; 0 if there is none."};
inline constexpr gauge_definition evacuated_runs{
    "poplarshed_evacuated_runs", "data_centre",
    "Runs on workers of the data centre in pools that this instance holds, while it is evacuated; else 0."};
inline constexpr gauge_definition platform_reachable{
    "poplarshed_platform_reachable", "", "1 if the last call to the platform was answered, else 0."};
inline constexpr gauge_definition ready{"poplarshed_ready", "", "1 if the instance accepts jobs, else 0."};
inline constexpr gauge_definition draining{"poplarshed_draining", "",
                                           "1 while the instance is leaving, else 0."};
inline constexpr gauge_definition kept_answer_bytes{
    "poplarshed_kept_answer_bytes", "", "Memory used by finished answers kept for resubmissions."};

inline constexpr histogram_definition job_seconds{"poplarshed_job_seconds", "service",
                                                  "Time from the arrival of a job to its complete answer."};
inline constexpr histogram_definition queue_seconds{"poplarshed_queue_seconds", "service",
                                                    "Time a task waits for a runner's slot."};
inline constexpr histogram_definition attempt_seconds{"poplarshed_attempt_seconds", "service",
                                                      "Time from sending a task to a runner to its answer."};
inline constexpr histogram_definition claim_seconds{"poplarshed_claim_seconds", "",
                                                    "Time from sending a claim to its grant."};
inline constexpr histogram_definition platform_seconds{"poplarshed_platform_seconds", "call",
                                                       "Time that the platform takes to answer a call."};

/// Most label values of one metric; further ones are counted under "other", since label values can come from
/// callers.
inline constexpr std::size_t max_label_values = 256;

/// All metrics of one process.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts refused or failed jobs by reason. An unknown service is given as an empty id.
    void count_refusal(const service_id& service, refusal_reason reason, std::uint64_t count = 1);
    /// Counts repeated attempts and wasted messages by reason.
    void count_retry(const service_id& service, retry_reason reason, std::uint64_t count = 1);

    void add(const counter_definition& definition, std::string_view label_value = {},
             std::uint64_t count = 1);
    void set(const gauge_definition& definition, double value, std::string_view label_value = {});
    void observe(const histogram_definition& definition, duration value, std::string_view label_value = {});

    /// Value of a counter; 0 if nothing was counted.
    std::uint64_t value(const counter_definition& definition, std::string_view label_value = {}) const;
    std::uint64_t value(const service_id& service, refusal_reason reason) const;
    std::uint64_t value(const service_id& service, retry_reason reason) const;

    /// Prometheus text exposition format 0.0.4.
    std::string to_prometheus() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Part of the daemon that writes a log line.
enum class category {
    process,
    http,
    jobs,
    registry,
    membership,
    configuration,
    dispatch,
    upstream,
    peer,
    platform,
};

std::string_view to_string(category value);

/// One key and value of a log line. Refers to the text; made and used in one call.
struct log_field {
    std::string_view key;
    std::variant<std::int64_t, std::uint64_t, double, bool, std::string_view> value;

    log_field(std::string_view name, std::string_view text) : key(name), value(text) {}
    log_field(std::string_view name, const char* text) : key(name), value(std::string_view(text)) {}
    log_field(std::string_view name, const std::string& text) : key(name), value(std::string_view(text)) {}
    log_field(std::string_view name, bool flag) : key(name), value(flag) {}
    log_field(std::string_view name, double number) : key(name), value(number) {}
    log_field(std::string_view name, int number) : key(name), value(std::int64_t{number}) {}
    log_field(std::string_view name, std::int64_t number) : key(name), value(number) {}
    log_field(std::string_view name, std::uint64_t number) : key(name), value(number) {}
    log_field(std::string_view name, std::uint32_t number) : key(name), value(std::uint64_t{number}) {}
};

using log_fields = std::initializer_list<log_field>;

struct log_options {
    severity level = severity::info;
    std::string file;         ///< empty means standard output
    std::string instance;     ///< address of the instance; stands in each line
    std::string data_centre;  ///< stands in each line
};

/// Writes one JSON object a line: time (UTC), level, category, instance, data_centre, submission, message,
/// fields.
class logger {
public:
    /// Error if the file cannot be written.
    static result<std::unique_ptr<logger>> open(const log_options& options);

    ~logger();
    logger(const logger&) = delete;
    logger& operator=(const logger&) = delete;

    bool enabled(severity level) const { return level >= m_options.level; }

    void debug(category part, std::string_view message, log_fields fields = {}, const submission_id& id = {})
    {
        write(severity::debug, part, message, {fields.begin(), fields.size()}, id);
    }
    void info(category part, std::string_view message, log_fields fields = {}, const submission_id& id = {})
    {
        write(severity::info, part, message, {fields.begin(), fields.size()}, id);
    }
    void warning(category part, std::string_view message, log_fields fields = {},
                 const submission_id& id = {})
    {
        write(severity::warning, part, message, {fields.begin(), fields.size()}, id);
    }
    void error(category part, std::string_view message, log_fields fields = {}, const submission_id& id = {})
    {
        write(severity::error, part, message, {fields.begin(), fields.size()}, id);
    }
    void write(severity level, category part, std::string_view message, std::span<const log_field> fields,
               const submission_id& id);

private:
    logger(log_options options, std::string sink);

    log_options m_options;
    std::string m_sink;  ///< name of the logging library's logger
};

}  // namespace poplarshed::telemetry
