#include "load/runner.h"

#include <algorithm>
#include <queue>
#include <random>

#include "json/json.h"
#include "load/http.h"

namespace poplarshed::load {

namespace {

constexpr milliseconds progress_period{200};
constexpr std::size_t ids_per_request = 1000;
constexpr std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;

struct answer {
    job_end end = job_end::no_answer;
    std::string reason;
    std::size_t results = 0;
    digest content;
};

answer read_answer(const http_answer& received)
{
    if (received.status == 0) {
        return {job_end::no_answer, received.error, 0, {}};
    }
    const auto parsed = json::parse(received.body, "answer", {.max_bytes = max_answer_bytes});
    if (!parsed || !parsed.value().is_object()) {
        return {job_end::no_answer, "not an answer, status " + std::to_string(received.status), 0, {}};
    }
    const json::value& object = parsed.value();
    const std::string outcome = object.value("outcome", "");
    if (outcome == "complete" && object.contains("results")) {
        const json::value& results = object.at("results");
        return {job_end::complete, "", results.size(), digest::of(results.dump())};
    }
    const std::string reason = object.value("reason", "none");
    return {outcome == "failed" ? job_end::failed : job_end::refused, reason, 0, {}};
}

// One run. Everything happens on the calling thread.
class run {
public:
    run(const scenario& what, const std::vector<planned_job>& jobs, const run_options& options)
        : m_scenario(what), m_jobs(jobs), m_options(options), m_state(jobs.size()), m_random(options.seed)
    {}

    result<run_summary> execute()
    {
        const auto metrics_before = read_metrics();
        if (!metrics_before) {
            return metrics_before.error();
        }
        if (auto failed = prepare()) {
            return std::move(*failed);
        }
        schedule_all();
        m_start = steady_clock::now();
        loop();
        run_summary summary = summarize(m_scenario, m_options.seed, records());
        summary.send_delay_ms = percentiles_of(m_send_delays_ms);
        if (const auto metrics_after = read_metrics()) {
            add_waste(summary, metrics_before.value(), metrics_after.value());
        }
        return summary;
    }

private:
    struct job_state {
        std::string id;
        std::string body;
        job_record record;
        std::optional<digest> first_content;
        unsigned open = 0;  ///< requests without an answer
        bool answered = false;
    };

    struct step {
        microseconds at;
        std::size_t order;
        std::function<void()> action;

        bool operator<(const step& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    std::string url_of(std::size_t entry, const std::string& path) const
    {
        return "http://" + m_options.entries[entry].address.value() + path;
    }

    result<std::map<std::string, double>> read_metrics()
    {
        std::map<std::string, double> retries;
        for (std::size_t entry = 0; entry < m_options.entries.size(); ++entry) {
            const http_answer page = m_client.call({"GET", url_of(entry, "/metrics"), {}, {}});
            if (page.status == 0) {
                return error{"entry " + m_options.entries[entry].address.value() + ": " + page.error};
            }
            add_retries(page.body, retries);
        }
        return retries;
    }

    void add_waste(run_summary& summary, const std::map<std::string, double>& before,
                   const std::map<std::string, double>& after) const
    {
        summary.wasted_by_reason = wasted_between(before, after);
        double wasted = 0;
        for (const auto& [reason, count] : summary.wasted_by_reason) {
            wasted += count;
        }
        std::uint64_t useful = 0;
        for (const job_state& state : m_state) {
            useful += state.record.end == job_end::complete ? state.record.tasks : 0;
        }
        summary.wasted_per_task = useful == 0 ? 0 : wasted / static_cast<double>(useful);
    }

    // Ids and bodies are made before the start, so that the sending thread only sends.
    std::optional<error> prepare()
    {
        std::vector<std::vector<std::string>> issued(m_options.entries.size());
        const std::string run_name = std::to_string(std::random_device{}());
        for (std::size_t index = 0; index < m_jobs.size(); ++index) {
            const planned_job& job = m_jobs[index];
            job_state& state = m_state[index];
            state.id = "load." + run_name + "." + std::to_string(index);
            if (m_scenario.issued_ids) {
                auto& ids = issued[job.entry];
                if (ids.empty()) {
                    auto more = request_ids(job.entry);
                    if (!more) {
                        return more.error();
                    }
                    ids = std::move(more).value();
                }
                state.id = ids.back();
                ids.pop_back();
            }
            state.body = body_of(job);
            fill_record(job, state.record);
        }
        return std::nullopt;
    }

    result<std::vector<std::string>> request_ids(std::size_t entry)
    {
        const http_answer received = m_client.call({"POST",
                                                    url_of(entry, "/v1/submission-ids"),
                                                    {"Content-Type: application/json"},
                                                    json::value{{"count", ids_per_request}}.dump()});
        const auto parsed = json::parse(received.body, "ids", {});
        if (parsed && parsed.value().is_object()) {
            for (const auto& [key, value] : parsed.value().items()) {
                if (value.is_array() && !value.empty()) {
                    return value.get<std::vector<std::string>>();
                }
            }
        }
        return error{"entry " + m_options.entries[entry].address.value() + " issues no ids: status " +
                     std::to_string(received.status) + " " + received.error};
    }

    std::string body_of(const planned_job& job) const
    {
        const kind& item = m_scenario.kinds[job.kind];
        json::value tasks = json::value::array();
        for (const std::uint32_t run_ms : job.run_ms) {
            json::value task{{"payload", json::value{{"run_ms", run_ms}}.dump()}};
            if (item.declared_factor) {
                task["run_ms"] = std::max(1L, std::lround(run_ms * *item.declared_factor));
            }
            tasks.push_back(std::move(task));
        }
        return json::value{{"tasks", std::move(tasks)}}.dump();
    }

    void fill_record(const planned_job& job, job_record& record)
    {
        const data_centre_id& data_centre = m_options.entries[job.entry].data_centre;
        auto& speeds = m_speeds[{job.kind, data_centre}];
        if (speeds.empty()) {
            speeds = slot_speeds(m_scenario.runners, m_scenario.kinds[job.kind].service, data_centre);
        }
        record.kind = job.kind;
        record.tasks = static_cast<std::uint32_t>(job.run_ms.size());
        record.at = job.at;
        record.reason = "no answer in time";
        // Without a runner for the service there is no ideal; the job can only be refused.
        record.ideal_ms = speeds.empty() ? 1.0 : ideal_ms(job.run_ms, speeds);
    }

    void schedule(microseconds at, std::function<void()> action)
    {
        m_steps.push({at, m_step_count++, std::move(action)});
    }

    void schedule_all()
    {
        for (const fault& item : m_scenario.faults) {
            schedule(item.at, [this, &item] {
                m_client.start({"POST", item.url, {"Content-Type: application/json"}, item.body},
                               [](const http_answer&) {});
            });
        }
        for (const cancel_wave& wave : m_scenario.cancel_waves) {
            schedule(wave.at, [this, &wave] { cancel(wave); });
        }
        for (std::size_t index = 0; index < m_jobs.size(); ++index) {
            const planned_job& job = m_jobs[index];
            schedule(job.at, [this, index] { send(index, m_jobs[index].entry, true); });
            if (job.resubmit_to) {
                schedule(job.at + m_scenario.kinds[job.kind].resubmit_after,
                         [this, index] { send(index, *m_jobs[index].resubmit_to, false); });
            }
        }
    }

    void loop()
    {
        time_point next_progress = m_start;
        const time_point end = m_start + m_scenario.duration + m_scenario.grace;
        while (steady_clock::now() < end && (!m_steps.empty() || m_open > 0)) {
            while (!m_steps.empty() && m_start + m_steps.top().at <= steady_clock::now()) {
                const auto action = m_steps.top().action;
                m_steps.pop();
                action();
            }
            const time_point now = steady_clock::now();
            if (now >= next_progress) {
                next_progress = now + progress_period;
                report(now);
            }
            time_point due = std::min(end, next_progress);
            if (!m_steps.empty()) {
                due = std::min<time_point>(due, m_start + m_steps.top().at);
            }
            m_client.run_until(due);
        }
        report(steady_clock::now());
    }

    void report(time_point now) const
    {
        if (m_options.on_progress) {
            const auto elapsed = std::chrono::duration_cast<milliseconds>(now - m_start);
            m_options.on_progress({elapsed, m_jobs.size(), m_sent, m_answered, m_complete});
        }
    }

    void send(std::size_t index, std::size_t entry, bool first)
    {
        job_state& state = m_state[index];
        const kind& item = m_scenario.kinds[m_jobs[index].kind];
        if (first) {
            ++m_sent;
            const auto late = steady_clock::now() - (m_start + state.record.at);
            m_send_delays_ms.push_back(std::chrono::duration<double, std::milli>(late).count());
        }
        std::vector<std::string> headers{"Content-Type: application/json", "Idempotency-Key: " + state.id,
                                         "Poplarshed-Team: " + item.workspace.value()};
        if (item.deadline) {
            headers.push_back("Poplarshed-Deadline-Ms: " + std::to_string(item.deadline->count()));
        }
        if (first) {
            headers.emplace_back("Poplarshed-First-Send: 1");
        }
        ++state.open;
        ++m_open;
        m_client.start(
            {"POST", url_of(entry, "/v1/services/" + item.service.value() + "/jobs"), std::move(headers),
             state.body},
            [this, index](const http_answer& received) { on_answer(index, read_answer(received)); });
    }

    void on_answer(std::size_t index, const answer& received)
    {
        job_state& state = m_state[index];
        --m_open;
        --state.open;
        job_record& record = state.record;
        if (received.end == job_end::complete) {
            const bool differs = state.first_content && *state.first_content != received.content;
            record.wrong = record.wrong || differs || received.results != record.tasks;
            state.first_content = received.content;
        }
        // The first complete answer counts; without one, the last answer.
        const bool had_complete = state.answered && record.end == job_end::complete;
        if (had_complete) {
            return;
        }
        m_answered += state.answered ? 0 : 1;
        m_complete += received.end == job_end::complete ? 1 : 0;
        state.answered = true;
        record.end = received.end;
        record.reason = received.reason;
        record.response =
            std::chrono::duration_cast<microseconds>(steady_clock::now() - (m_start + record.at));
    }

    void cancel(const cancel_wave& wave)
    {
        for (std::size_t index = 0; index < m_jobs.size(); ++index) {
            job_state& state = m_state[index];
            const kind& item = m_scenario.kinds[m_jobs[index].kind];
            if (state.open == 0 || item.name != wave.kind || m_random.unit() >= wave.share) {
                continue;
            }
            state.record.cancelled = true;
            m_client.start({"DELETE",
                            url_of(m_jobs[index].entry, "/v1/jobs/" + state.id),
                            {"Poplarshed-Team: " + item.workspace.value()},
                            {}},
                           [](const http_answer&) {});
        }
    }

    std::vector<job_record> records() const
    {
        std::vector<job_record> all;
        all.reserve(m_state.size());
        std::transform(m_state.begin(), m_state.end(), std::back_inserter(all),
                       [](const job_state& state) { return state.record; });
        return all;
    }

    const scenario& m_scenario;
    const std::vector<planned_job>& m_jobs;
    const run_options& m_options;
    std::vector<job_state> m_state;
    random_source m_random;
    http_client m_client;
    time_point m_start;
    std::priority_queue<step> m_steps;
    std::size_t m_step_count = 0;
    std::map<std::pair<std::uint32_t, data_centre_id>, std::vector<double>> m_speeds;
    std::vector<double> m_send_delays_ms;
    std::size_t m_open = 0;
    std::size_t m_sent = 0;
    std::size_t m_answered = 0;
    std::size_t m_complete = 0;
};

}  // namespace

result<run_summary> run_load(const scenario& what, const std::vector<planned_job>& jobs,
                             const run_options& options)
{
    return run(what, jobs, options).execute();
}

}  // namespace poplarshed::load
