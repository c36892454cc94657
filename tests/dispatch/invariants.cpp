#include "dispatch/invariants.h"

namespace poplarshed::dispatch {

invariants::invariants(fake_data_centre& centre, const configuration::bundle& bundle)
    : m_centre(&centre), m_bundle(bundle)
{
    centre.on_start = [this](const start_attempt& item, const fake_runner&) { on_start(item); };
    centre.on_action = [this](std::uint32_t core, const action& item) { on_action(core, item); };
    centre.on_leaving = [this](std::uint32_t core, const endpoint& runner) {
        m_closed.insert({core, runner});
    };
}

void invariants::note_list()
{
    for (std::uint32_t core = 0; core < m_centre->core_count(); ++core) {
        for (const fake_runner& item : m_centre->runners()) {
            if (item.mode == runner_mode::dead || item.listed.leaving) {
                m_closed.insert({core, item.listed.address});
            }
        }
    }
}

void invariants::on_start(const start_attempt& item)
{
    const int starts = ++m_starts[{item.submission, item.task}];
    if (starts > 1 && !m_bundle.services.at(item.service).idempotent) {
        m_breaches.push_back("non-idempotent task started twice: " + item.submission.value());
    }
}

void invariants::on_action(std::uint32_t core, const action& item)
{
    if (const auto* start = std::get_if<start_attempt>(&item)) {
        if (m_closed.contains({core, start->runner})) {
            m_breaches.push_back("start on a runner that leaves or is gone: " + start->runner.value());
        }
        const job_request& request = m_centre->jobs().at(m_centre->key_of(start->submission)).request;
        if (m_admitted.insert(start->submission).second) {
            std::size_t& tasks = m_tasks[{core, request.workspace}];
            tasks += request.tasks.size();
            if (tasks > m_bundle.workspaces.at(request.workspace).max_tasks_in_flight) {
                m_breaches.push_back("quota exceeded by " + request.workspace.value());
            }
        }
    } else if (const auto* answer = std::get_if<answer_job>(&item)) {
        on_answer(core, *answer);
    }
}

void invariants::on_answer(std::uint32_t core, const answer_job& item)
{
    const job_request& request = m_centre->jobs().at(item.key).request;
    const std::string& name = request.submission.value();
    if (m_admitted.contains(request.submission)) {
        m_tasks[{core, request.workspace}] -= request.tasks.size();
    }
    if (const auto* complete = std::get_if<job_complete>(&item.outcome)) {
        bool whole = complete->results.size() == request.tasks.size();
        for (std::size_t i = 0; whole && i < request.tasks.size(); ++i) {
            whole = complete->results[i] == request.tasks[i].payload;
        }
        if (!whole) {
            m_breaches.push_back("answer not whole or out of order: " + name);
        }
        return;
    }
    const auto* failed = std::get_if<job_failed>(&item.outcome);
    const refusal& cause = failed != nullptr ? failed->cause : std::get<job_refused>(item.outcome).cause;
    const auto started = m_starts.lower_bound({request.submission, 0});
    if (cause.ran == verdict::not_run && started != m_starts.end() &&
        started->first.first == request.submission) {
        m_breaches.push_back("not_run, but a task started: " + name);
    }
    if (failed == nullptr && m_admitted.contains(request.submission)) {
        m_breaches.push_back("refused after a start: " + name);
    }
}

void invariants::check_end()
{
    for (const auto& [key, job] : m_centre->jobs()) {
        if (job.answers != 1) {
            m_breaches.push_back(std::to_string(job.answers) + " answers: " + job.request.submission.value());
        }
    }
    for (std::uint32_t core = 0; core < m_centre->core_count(); ++core) {
        if (m_centre->core(core).jobs_in_flight() != 0) {
            m_breaches.emplace_back("a dispatcher still holds jobs");
        }
    }
}

}  // namespace poplarshed::dispatch
