#include "workers/types.h"

#include <algorithm>
#include <array>

namespace poplarshed::workers {

namespace {

constexpr std::array<std::string_view, decision_count> decision_names{
    "admitted",       "refused_no_worker", "refused_too_late", "returned_to_owner", "started",
    "start_failed",   "run_ended",         "run_overdue",      "worker_ejected",    "worker_restored",
    "worker_silent",  "worker_back",       "worker_lapsed",    "job_ended",         "orphan_stopped",
    "fenced",         "offer_expired",     "grant_ended",      "owner_superseded",  "owner_admitted",
    "owner_released", "awaits_owner",      "worker_crashed",   "task_suspected",    "task_given_up",
    "evacuated",      "waits_for_rack",    "left_rack",        "rack_missing"};

constexpr std::array<std::string_view, run_end_count> run_end_names{
    "done", "failed", "stopped", "lapsed", "peer_ended", "peers_missing", "crashed"};

constexpr std::array<std::string_view, list_failure_count> list_failure_names{
    "fenced", "other_incarnation", "refused", "unanswered", "connection lost", "connection refused"};

constexpr std::array<std::string_view, job_end_count> end_names{"completed", "failed",  "refused",
                                                                "returned",  "gave_up", "not_held"};

}  // namespace

std::string_view to_string(decision value)
{
    return decision_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(job_end value)
{
    return end_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(list_failure value)
{
    return list_failure_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(run_end value)
{
    return run_end_names.at(static_cast<std::size_t>(value));
}

bool merge_losses(std::vector<task_loss>& known, const std::vector<task_loss>& more)
{
    bool changed = false;
    for (const task_loss& loss : more) {
        const task_loss first{loss.step, loss.index, loss.worker, loss.incarnation};
        const auto position = std::lower_bound(known.begin(), known.end(), first);
        const bool is_known = position != known.end() && position->step == loss.step &&
                              position->index == loss.index && position->worker == loss.worker &&
                              position->incarnation == loss.incarnation;
        if (!is_known) {
            known.insert(position, loss);
            changed = true;
            continue;
        }
        const task_loss before = *position;
        position->cause = std::max(before.cause, loss.cause);
        position->alone = before.alone || loss.alone;
        changed = changed || *position != before;
    }
    return changed;
}

bool is_routine(const decision_record& record)
{
    switch (record.kind) {
        case decision::admitted:
        case decision::started:
        case decision::owner_admitted:
        case decision::owner_released:
        case decision::waits_for_rack:
        case decision::left_rack:
        case decision::rack_missing:
            return true;
        case decision::run_ended:
            return record.detail == to_string(run_end::done);
        case decision::job_ended:
            return record.detail == to_string(job_end::completed);
        default:
            return false;
    }
}

}  // namespace poplarshed::workers
