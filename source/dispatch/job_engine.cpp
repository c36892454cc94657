#include "dispatch/job_engine.h"

#include <algorithm>
#include <utility>

namespace poplarshed::dispatch {

namespace {

/// Time after its timeout at which an attempt without a result is abandoned here. The upstream client, which
/// enforces the timeout, reports within this time.
constexpr milliseconds timeout_margin{250};

std::optional<retry_reason> reason_of(attempt_status status)
{
    switch (status) {
        case attempt_status::runner_failed:
            return retry_reason::runner_failed;
        case attempt_status::runner_full:
            return retry_reason::runner_full;
        case attempt_status::connection_refused:
            return retry_reason::connection_refused;
        case attempt_status::connection_lost:
            return retry_reason::connection_lost;
        case attempt_status::timed_out:
            return retry_reason::attempt_timeout;
        case attempt_status::succeeded:
        case attempt_status::rejected:
        case attempt_status::abandoned:
            break;
    }
    return std::nullopt;
}

refusal not_run(refusal_reason reason)
{
    return {.ran = verdict::not_run, .reason = reason, .retry_after = std::nullopt, .detail = {}};
}

}  // namespace

void job_engine::apply(const configuration::bundle& bundle, time_point now)
{
    m_bundle = bundle;
    on_bundle(now);
}

std::optional<refusal> job_engine::check_configuration(const job_request& request, time_point now) const
{
    if (m_bundle.services.empty()) {
        return not_run(refusal_reason::not_ready);
    }
    const auto service = m_bundle.services.find(request.service);
    if (service == m_bundle.services.end()) {
        return not_run(refusal_reason::unknown_service);
    }
    const auto workspace = m_bundle.workspaces.find(request.workspace);
    if (workspace == m_bundle.workspaces.end()) {
        return not_run(refusal_reason::unknown_team);
    }
    if (!workspace->second.services.contains(request.service)) {
        return not_run(refusal_reason::team_not_allowed);
    }
    if (request.tasks.empty()) {
        return not_run(refusal_reason::invalid_body);
    }
    if (request.deadline <= now) {
        return not_run(refusal_reason::deadline_passed);
    }
    return std::nullopt;
}

std::optional<refusal> job_engine::check(const job_request& request, time_point now) const
{
    auto refused = check_configuration(request, now);
    return refused ? refused : admit(request, now);
}

std::vector<action> job_engine::submit(job_request request, time_point now)
{
    if (auto refused = check(request, now)) {
        emit(answer_job{request.key, job_refused{*std::move(refused)}});
        return take_actions();
    }
    const job_key key = request.key;
    const auto& settings = m_bundle.services.at(request.service);
    auto [position, added] = m_jobs.emplace(key, nullptr);
    if (!added) {
        return {};
    }
    position->second = std::make_unique<job>(std::move(request), settings);
    job& admitted = *position->second;
    m_workspace_tasks[admitted.request.workspace] += admitted.tasks.size();
    m_timers.push({.due = admitted.request.deadline, .kind = timer_kind::deadline, .key = key});
    on_tasks_queued(admitted, now);
    place_tasks(now);
    return take_actions();
}

attempt_id job_engine::start(job& parent_job, std::uint32_t task, runner_index runner,
                             const endpoint& address, time_point now, double expected_seconds)
{
    m_last_attempt = m_last_attempt.next();
    const attempt_id id = m_last_attempt;
    task_state& state = parent_job.tasks[task];
    const bool hedge = state.in_flight() > 0;
    state.running[hedge && state.running[0] != attempt_id() ? 1 : 0] = id;
    ++state.attempts;
    ++parent_job.in_flight;
    parent_job.started = true;
    m_attempts.emplace(id, attempt{.parent_job = &parent_job,
                                   .task = task,
                                   .runner = runner,
                                   .service = parent_job.request.service,
                                   .started = now,
                                   .hedge = hedge,
                                   .queue = parent_job.queue,
                                   .expected_seconds = expected_seconds});
    const auto remaining = std::chrono::ceil<milliseconds>(parent_job.request.deadline - now);
    const auto timeout = std::min(parent_job.settings.timeout, remaining);
    m_timers.push({.due = now + timeout + timeout_margin,
                   .kind = timer_kind::attempt_timeout,
                   .key = parent_job.request.key,
                   .attempt_or_task = id.value()});
    emit(start_attempt{.attempt = id,
                       .runner = address,
                       .service = parent_job.request.service,
                       .submission = parent_job.request.submission,
                       .task = task,
                       .attempt_number = state.attempts,
                       .payload = parent_job.request.tasks[task].payload,
                       .timeout = timeout,
                       .promises_not_run = parent_job.settings.promises_not_run});
    return id;
}

std::vector<action> job_engine::on_result(attempt_result result, time_point now)
{
    finish_attempt(result, now);
    place_tasks(now);
    return take_actions();
}

void job_engine::finish_attempt(const attempt_result& result, time_point now)
{
    const auto found = m_attempts.find(result.attempt);
    if (found == m_attempts.end()) {
        count(retry_reason::late_duplicate, {});
        return;
    }
    const attempt ended = std::move(found->second);
    m_attempts.erase(found);
    on_attempt_end(ended, result, now);
    if (ended.parent_job == nullptr) {
        return;
    }
    job& parent_job = *ended.parent_job;
    task_state& task = parent_job.tasks[ended.task];
    task.remove_running(result.attempt);
    --parent_job.in_flight;
    if (parent_job.failing) {
        task.ran = std::max(task.ran, result.ran);
        if (!parent_job.verdict_depends_on_in_flight()) {
            finish_failed_job(parent_job, now);
        }
        return;
    }
    if (result.status == attempt_status::succeeded) {
        task.ran = verdict::ran;
        on_success(parent_job, ended.task, result.body, now);
        return;
    }
    if (result.ran != verdict::not_run) {
        task.ran = std::max(task.ran, result.ran);
    }
    on_failure(parent_job, ended, result, now);
}

void job_engine::on_success(job& parent_job, std::uint32_t task, std::string body, time_point now)
{
    task_state& state = parent_job.tasks[task];
    state.done = true;
    parent_job.results[task] = std::move(body);
    // A hedge is counted as wasted when it is started, so the abandoned attempt is not counted again.
    abandon_running(parent_job, state, retry_reason::hedge);
    if (--parent_job.unfinished == 0) {
        answer(parent_job, job_complete{std::move(parent_job.results)}, now);
    }
}

void job_engine::on_failure(job& parent_job, const attempt& failed, const attempt_result& result,
                            time_point now)
{
    task_state& task = parent_job.tasks[failed.task];
    task.failed_on = failed.runner;
    if (result.status == attempt_status::rejected || is_faulty(task)) {
        fail_after_attempts_end(parent_job, refusal_reason::task_failed, failed.task, now);
        return;
    }
    if (task.in_flight() > 0) {
        return;
    }
    if (now >= parent_job.request.deadline) {
        fail(parent_job, refusal_reason::timed_out, failed.task, now);
        return;
    }
    const bool safe = parent_job.settings.idempotent || result.ran == verdict::not_run;
    const auto delay = safe && task.attempts < parent_job.settings.attempts
                           ? retry_delay(parent_job, task, now)
                           : std::optional<duration>();
    if (!delay) {
        fail_after_attempts_end(parent_job, refusal_reason::attempts_exhausted, failed.task, now);
        return;
    }
    if (const auto reason = reason_of(result.status)) {
        count(*reason, parent_job.request.service);
    }
    m_timers.push({.due = now + *delay,
                   .kind = timer_kind::retry,
                   .key = parent_job.request.key,
                   .attempt_or_task = failed.task});
}

void job_engine::abandon_running(job& parent_job, task_state& task, retry_reason reason)
{
    for (attempt_id& id : task.running) {
        if (id == attempt_id()) {
            continue;
        }
        emit(abandon_attempt{id});
        m_attempts.at(id).parent_job = nullptr;
        if (reason != retry_reason::hedge) {
            count(reason, parent_job.request.service);
        }
        id = attempt_id();
        --parent_job.in_flight;
    }
}

void job_engine::answer(job& parent_job, job_outcome outcome, time_point now)
{
    if (!parent_job.failing) {
        on_job_end(parent_job, now);
    }
    auto& tasks = m_workspace_tasks[parent_job.request.workspace];
    tasks -= parent_job.tasks.size();
    const job_key key = parent_job.request.key;
    emit(answer_job{key, std::move(outcome)});
    m_jobs.erase(key);
}

void job_engine::fail(job& parent_job, refusal_reason reason, std::optional<std::uint32_t> task,
                      time_point now)
{
    if (parent_job.failing) {
        finish_failed_job(parent_job, now);
        return;
    }
    if (!parent_job.started) {
        answer(parent_job, job_refused{not_run(reason)}, now);
        return;
    }
    parent_job.failing = pending_failure{reason, task};
    on_job_end(parent_job, now);
    finish_failed_job(parent_job, now);
}

void job_engine::fail_after_attempts_end(job& parent_job, refusal_reason reason, std::uint32_t task,
                                         time_point now)
{
    if (!parent_job.verdict_depends_on_in_flight()) {
        fail(parent_job, reason, task, now);
        return;
    }
    parent_job.failing = pending_failure{reason, task};
    on_job_end(parent_job, now);
    // An attempt that is still connecting has not run. An abandoned attempt reports its result immediately,
    // so the job waits for these results to get an exact verdict.
    for (const task_state& state : parent_job.tasks) {
        for (const attempt_id id : state.running) {
            if (id != attempt_id()) {
                emit(abandon_attempt{id});
            }
        }
    }
}

void job_engine::finish_failed_job(job& parent_job, time_point now)
{
    refusal cause = not_run(parent_job.failing->reason);
    cause.ran = parent_job.ran();
    for (task_state& state : parent_job.tasks) {
        abandon_running(parent_job, state, retry_reason::unwanted_answer);
    }
    answer(parent_job, job_failed{std::move(cause), parent_job.failing->task}, now);
}

std::vector<action> job_engine::cancel(job_key key, refusal_reason reason, time_point now)
{
    const auto found = m_jobs.find(key);
    if (found != m_jobs.end()) {
        fail(*found->second, reason, std::nullopt, now);
        place_tasks(now);
    }
    return take_actions();
}

std::vector<action> job_engine::on_timer(time_point now)
{
    while (!m_timers.empty() && m_timers.top().due <= now) {
        const timer expired = m_timers.top();
        m_timers.pop();
        run_timer(expired, now);
    }
    on_policy_timer(now);
    place_tasks(now);
    return take_actions();
}

void job_engine::run_timer(const timer& expired, time_point now)
{
    if (expired.kind == timer_kind::attempt_timeout) {
        const attempt_id id(expired.attempt_or_task);
        if (m_attempts.contains(id)) {
            emit(abandon_attempt{id});
            finish_attempt({.attempt = id,
                            .status = attempt_status::timed_out,
                            .ran = verdict::may_have_run,
                            .body = {}},
                           now);
        }
        return;
    }
    const auto found = m_jobs.find(expired.key);
    if (found == m_jobs.end()) {
        return;
    }
    job& parent_job = *found->second;
    if (expired.kind == timer_kind::retry && parent_job.failing) {
        return;
    }
    if (expired.kind == timer_kind::retry) {
        const auto task = static_cast<std::uint32_t>(expired.attempt_or_task);
        parent_job.tasks[task].queued = true;
        parent_job.retry_tasks.push_back(task);
        on_tasks_queued(parent_job, now);
        return;
    }
    fail(parent_job, parent_job.started ? refusal_reason::timed_out : refusal_reason::deadline_passed,
         std::nullopt, now);
}

void job_engine::count(retry_reason reason, const service_id& service)
{
    emit(count_retry{reason, service});
}

std::vector<action> job_engine::take_actions()
{
    return std::exchange(m_actions, {});
}

const attempt* job_engine::find_attempt(attempt_id id) const
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : &found->second;
}

std::size_t job_engine::tasks_in_flight(const workspace_id& workspace) const
{
    const auto found = m_workspace_tasks.find(workspace);
    return found == m_workspace_tasks.end() ? 0 : found->second;
}

}  // namespace poplarshed::dispatch
