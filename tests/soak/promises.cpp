#include "soak/promises.h"

namespace poplarshed::soak {

namespace {

constexpr int completed = 200;
// A task under which this many workers have crashed is started less often than the second number (users'
// rule); two are the target where nothing else fails.
constexpr std::size_t max_crashes = 3;
constexpr std::size_t max_later_starts = 3;
constexpr std::size_t calm_crashes = 2;

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

bool is_refusal(int status)
{
    return status == 429 || status == 503;
}

}  // namespace

std::string promises::instant(clock::time_point at) const
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(at - m_begin).count()) + " ms";
}

void promises::note(const std::string& what)
{
    m_journal.push_back(instant(clock::now()) + ": " + what);
}

void promises::violate(const std::string& what)
{
    m_violations.push_back(instant(clock::now()) + ": " + what);
    note("BROKEN " + what);
}

job_record& promises::add_job(std::string id, std::string spec, std::uint32_t tasks)
{
    job_record job;
    job.id = std::move(id);
    job.spec = std::move(spec);
    job.tasks = tasks;
    job.sent = clock::now();
    return m_jobs.insert_or_assign(job.id, job).first->second;
}

bool promises::is_calm(clock::time_point since) const
{
    return m_active_faults == 0 && m_calm_since + m_bounds.contact < since;
}

void promises::on_fault(const std::string& what, int change)
{
    note(what);
    m_active_faults += change;
    m_calm_since = clock::now();
}

void promises::on_attempt(const job_record& job, const attempt_record& attempt)
{
    ++m_answers[attempt.status];
    const std::string subject = "job " + job.id + " at front-" + std::to_string(attempt.instance) +
                                " answered " + std::to_string(attempt.status) + ' ' + attempt.body;
    if (attempt.status == completed) {
        const bool whole = attempt.body == R"({"state":"completed"})";
        if (!whole && attempt.body != R"({"state":"failed"})") {
            violate(subject + ": not a whole answer");
        }
        for (std::uint32_t task = 0; whole && task < job.tasks; ++task) {
            const std::string name = job.id + ".0.0." + std::to_string(task);
            if (!m_world.workers().has_completed(name)) {
                violate(std::string(subject).append(": ").append(name).append(" has not ended well"));
            }
        }
    } else if (attempt.status != 0 && !is_refusal(attempt.status) && attempt.status != 502 &&
               attempt.status != 504) {
        violate(subject + ": an answer that this request cannot get");
    }
    const deployment::instance& at = m_world.at(attempt.instance);
    const bool planned_stop = at.life != attempt.life || at.state == deployment::state::leaving;
    if (attempt.status == 0 && planned_stop && is_calm(attempt.sent) && !job.departed) {
        violate(subject + ": lost in a planned stop");
    }
}

void promises::on_departed(job_record& job, const std::vector<int>& statuses)
{
    const std::size_t crashes = m_world.workers().crashes_under(job.id + ".0.0.0");
    if (m_bounds.calm_crashes && is_calm(job.sent) && crashes > calm_crashes) {
        violate("job " + job.id + " has crashed " + std::to_string(crashes) + " workers");
    }
    job.departed = clock::now();
    job.resent = statuses.size() > 1;
    job.refused = !statuses.empty() && std::all_of(statuses.begin(), statuses.end(), is_refusal);
    for (std::uint32_t task = 0; job.refused && task < job.tasks; ++task) {
        if (m_world.workers().has_completed(job.id + ".0.0." + std::to_string(task))) {
            violate("job " + job.id + " was refused as not run, and a task of it has ended well");
        }
    }
}

void promises::on_configured(std::uint64_t version)
{
    note("configuration " + std::to_string(version));
    m_versions[version] = clock::now();
}

std::string promises::describe_probe(std::size_t instance, std::uint64_t life, clock::time_point sent) const
{
    return "front-" + std::to_string(instance) + " (life " + std::to_string(life) + ", probed at " +
           instant(sent) + ", newest now " + std::to_string(m_world.version()) + ")";
}

void promises::on_probe(std::size_t instance, std::uint64_t life, std::uint64_t version, bool served,
                        clock::time_point sent)
{
    seen_version& seen = m_seen_versions[instance];
    if (seen.life != life) {
        seen = {life, 0};
    }
    const std::string subject = describe_probe(instance, life, sent) +
                                (served ? " knows version " : " does not know version ") +
                                std::to_string(version);
    if (served) {
        if (version > seen.version) {
            note(subject);
        }
        seen.version = std::max(seen.version, version);
        return;
    }
    if (seen.version >= version) {
        violate(subject + ": it knew version " + std::to_string(seen.version) + " before");
    }
    const auto written = m_versions.find(version);
    if (written != m_versions.end() && sent > written->second + m_bounds.config && is_calm(sent) &&
        m_world.at(instance).started + m_bounds.contact < sent) {
        violate(subject + " in time");
    }
}

void promises::on_probe_for_removed(std::size_t instance, std::uint64_t life, std::uint64_t version,
                                    bool served, clock::time_point sent)
{
    if (served) {
        violate(describe_probe(instance, life, sent) + " knows version " + std::to_string(version) +
                " and serves a route that this version removes");
    }
}

void promises::on_worker_leaves(std::size_t worker, bool leaving)
{
    note("worker " + std::to_string(worker) + (leaving ? " leaves" : " is back"));
    if (leaving) {
        m_leaving_workers[worker] = clock::now();
    } else {
        m_leaving_workers.erase(worker);
    }
}

void promises::check()
{
    const auto& starts = m_world.workers().starts();
    for (; m_seen_starts < starts.size(); ++m_seen_starts) {
        check_start(starts[m_seen_starts]);
    }
    const auto& overlaps = m_world.workers().overlaps();
    for (; m_seen_overlaps < overlaps.size(); ++m_seen_overlaps) {
        violate("two runs of " + overlaps[m_seen_overlaps] + " at one time");
    }
    const auto& overloads = m_world.workers().overloads();
    for (; m_seen_overloads < overloads.size(); ++m_seen_overloads) {
        const stand_ins::overload& seen = overloads[m_seen_overloads];
        violate("the start of " + seen.task + " brought worker " + std::to_string(seen.worker) + " to " +
                std::to_string(seen.cpu) + " of " + std::to_string(seen.limit) + " mCPU");
    }
    check_running();
}

void promises::check_start(const stand_ins::observed_start& start)
{
    const auto found = m_jobs.find(job_of(start.task));
    if (found == m_jobs.end() || found->second.spec != start.spec) {
        violate(start.task + " was started with \"" + start.spec + "\", which no caller sent");
        return;
    }
    check_crashes(start.task);
    const job_record& job = found->second;
    if (job.refused) {
        violate(start.task + " was started, and its job refused as not run");
    }
    if (job.departed && !start.late && start.at > *job.departed + m_bounds.cancel && is_calm(*job.departed)) {
        violate(start.task + " was started after its caller had left");
    }
    const auto leaving = m_leaving_workers.find(start.worker);
    if (leaving != m_leaving_workers.end() && start.at > leaving->second + m_bounds.drain &&
        is_calm(leaving->second) && !start.late) {
        violate(start.task + " was started on worker " + std::to_string(start.worker) + ", which leaves");
    }
}

void promises::check_crashes(const std::string& task)
{
    if (m_world.workers().crashes_under(task) >= max_crashes &&
        ++m_starts_after_crashes[task] >= max_later_starts) {
        violate(task + " was started three times more after three workers had crashed under it");
    }
}

void promises::check_running()
{
    const auto now = clock::now();
    if (m_active_faults > 0) {
        return;
    }
    const auto calm_from = m_calm_since + m_bounds.contact;
    for (const std::string& task : m_world.workers().running_tasks()) {
        job_record& job = m_jobs.at(job_of(task));
        if (job.departed && now > std::max(*job.departed, calm_from) + m_bounds.cancel) {
            violate(task + " runs on after its caller has left");
            job.departed.reset();
        }
    }
}

void promises::check_process(std::size_t instance)
{
    deployment::instance& one = m_world.at(instance);
    if (one.state == deployment::state::down || !one.process) {
        return;
    }
    const bool runs = one.process->running();
    if (one.state == deployment::state::leaving) {
        if (!runs) {
            const int code = one.process->wait_for_exit().value_or(-1);
            one.state = deployment::state::down;
            if (code != 0) {
                violate("stopped instance: " + one.process->describe());
            }
        } else if (clock::now() > one.stop_sent + m_bounds.grace) {
            violate("front-" + std::to_string(instance) + " runs on after the grace time");
            m_world.kill(instance);
        }
    } else if (!runs) {
        violate("an instance ended by itself: " + one.process->describe());
        one.state = deployment::state::down;
    }
}

std::size_t promises::answered(int status) const
{
    const auto found = m_answers.find(status);
    return found == m_answers.end() ? 0 : found->second;
}

}  // namespace poplarshed::soak
