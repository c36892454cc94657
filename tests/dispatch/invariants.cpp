#include "dispatch/invariants.h"

namespace poplarshed::dispatch {

invariants::invariants(fake_data_centre& centre, const configuration::bundle& bundle)
    : m_centre(&centre), m_bundle(bundle)
{
    centre.on_start = [this](const start_attempt& next, const fake_runner&) { on_start(next); };
    centre.on_action = [this](std::uint32_t instance, const action& next) { on_action(instance, next); };
    centre.on_leaving = [this](std::uint32_t instance, const endpoint& runner) {
        m_unavailable.insert({instance, runner});
    };
}

void invariants::on_list_published()
{
    for (std::uint32_t instance = 0; instance < m_centre->instance_count(); ++instance) {
        for (const fake_runner& candidate : m_centre->runners()) {
            if (candidate.mode == runner_mode::down || candidate.listed.leaving) {
                m_unavailable.insert({instance, candidate.listed.address});
            }
        }
    }
}

void invariants::on_start(const start_attempt& started)
{
    const int starts = ++m_starts[{started.submission, started.task}];
    if (starts > 1 && !m_bundle.services.at(started.service).idempotent) {
        m_violations.push_back("non-idempotent task started twice: " + started.submission.value());
    }
}

void invariants::on_action(std::uint32_t instance, const action& performed)
{
    if (const auto* start = std::get_if<start_attempt>(&performed)) {
        if (m_unavailable.contains({instance, start->runner})) {
            m_violations.push_back("start on a runner that is leaving or no longer listed: " +
                                   start->runner.value());
        }
        const job_request& request = m_centre->jobs().at(m_centre->key_of(start->submission)).request;
        if (m_admitted.insert(start->submission).second) {
            std::size_t& tasks = m_tasks[{instance, request.workspace}];
            tasks += request.tasks.size();
            if (tasks > m_bundle.workspaces.at(request.workspace).max_tasks_in_flight) {
                m_violations.push_back("quota exceeded by " + request.workspace.value());
            }
        }
    } else if (const auto* answer = std::get_if<answer_job>(&performed)) {
        on_answer(instance, *answer);
    }
}

void invariants::on_answer(std::uint32_t instance, const answer_job& answer)
{
    const job_request& request = m_centre->jobs().at(answer.key).request;
    const std::string& name = request.submission.value();
    if (m_admitted.contains(request.submission)) {
        m_tasks[{instance, request.workspace}] -= request.tasks.size();
    }
    if (const auto* complete = std::get_if<job_complete>(&answer.outcome)) {
        bool whole = complete->results.size() == request.tasks.size();
        for (std::size_t i = 0; whole && i < request.tasks.size(); ++i) {
            whole = complete->results[i] == request.tasks[i].payload;
        }
        if (!whole) {
            m_violations.push_back("answer incomplete or out of task order: " + name);
        }
        return;
    }
    const auto* failed = std::get_if<job_failed>(&answer.outcome);
    const refusal& cause = failed != nullptr ? failed->cause : std::get<job_refused>(answer.outcome).cause;
    const auto started = m_starts.lower_bound({request.submission, 0});
    if (cause.ran == verdict::not_run && started != m_starts.end() &&
        started->first.first == request.submission) {
        m_violations.push_back("verdict not_run although a task was started: " + name);
    }
    if (failed == nullptr && m_admitted.contains(request.submission)) {
        m_violations.push_back("refused after a task was started: " + name);
    }
}

void invariants::check_end()
{
    for (const auto& [key, job] : m_centre->jobs()) {
        if (job.answers != 1) {
            m_violations.push_back(std::to_string(job.answers) +
                                   " answers: " + job.request.submission.value());
        }
    }
    for (std::uint32_t instance = 0; instance < m_centre->instance_count(); ++instance) {
        if (m_centre->dispatcher_of(instance).jobs_in_flight() != 0) {
            m_violations.emplace_back("a dispatcher has jobs in flight at the end");
        }
    }
}

}  // namespace poplarshed::dispatch
