#include <chrono>
#include <cstdio>
#include <deque>

#include "dispatch/dispatch.h"

using namespace poplarshed;
using namespace poplarshed::dispatch;

namespace {

constexpr std::size_t runner_count = 720;
constexpr std::uint32_t slots = 8;
constexpr std::size_t workspace_count = 130;
constexpr std::size_t tasks_per_job = 1300;
constexpr std::size_t job_count = 600;

/// Microseconds of processor time spent in the calls of one kind.
struct cost {
    double total = 0.0;
    std::size_t tasks = 0;
    double each() const { return tasks == 0 ? 0.0 : total / static_cast<double>(tasks); }
};

template <class Call>
std::vector<action> timed(cost& spent, std::size_t tasks, Call call)
{
    const auto begin = steady_clock::now();
    auto actions = call();
    spent.total += std::chrono::duration<double, std::micro>(steady_clock::now() - begin).count();
    spent.tasks += tasks;
    return actions;
}

job_request make_job(std::uint64_t key, time_point now)
{
    job_request made;
    made.key = job_key(key);
    made.submission = submission_id("s" + std::to_string(key));
    made.service = service_id("work");
    made.workspace = workspace_id("t" + std::to_string(key % workspace_count));
    made.arrival = now;
    made.deadline = now + seconds(3600);
    made.tasks.resize(tasks_per_job);
    return made;
}

void measure(const char* name, policy_kind kind)
{
    const auto policy = make_dispatcher(kind, 1, {.sharing = sharing_kind::static_shares});
    configuration::bundle bundle;
    bundle.services[service_id("work")].idempotent = true;
    for (std::size_t i = 0; i < workspace_count; ++i) {
        bundle.workspaces[workspace_id("t" + std::to_string(i))] = {.services = {service_id("work")},
                                                                    .guaranteed_share = 0.001};
    }
    time_point now{seconds(100)};
    policy->apply(bundle, now);
    std::vector<runner> runners(runner_count);
    for (std::size_t i = 0; i < runner_count; ++i) {
        runners[i].address = endpoint("r:" + std::to_string(i));
        runners[i].slots = slots;
        runners[i].services = {service_id("work")};
    }
    policy->set_runners(runners, now);
    cost submits;
    cost results;
    cost cancels;
    std::deque<attempt_id> running;
    const auto collect_started = [&running](const std::vector<action>& actions) {
        for (const action& next : actions) {
            if (const auto* start = std::get_if<start_attempt>(&next)) {
                running.push_back(start->attempt);
            }
        }
    };
    for (std::uint64_t key = 1; key <= job_count; ++key) {
        collect_started(
            timed(submits, tasks_per_job, [&] { return policy->submit(make_job(key, now), now); }));
    }
    for (std::size_t i = 0; i < job_count * tasks_per_job / 2 && !running.empty(); ++i) {
        now += microseconds(50);
        attempt_result result;
        result.attempt = running.front();
        result.status = attempt_status::succeeded;
        result.ran = verdict::ran;
        running.pop_front();
        collect_started(timed(results, 1, [&] { return policy->on_result(std::move(result), now); }));
    }
    for (std::uint64_t key = 1; key <= job_count; ++key) {
        timed(cancels, tasks_per_job,
              [&] { return policy->cancel(job_key(key), refusal_reason::cancelled, now); });
    }
    std::printf("%-20s microseconds per task: submit %.3f, result and next start %.3f, cancel %.3f\n", name,
                submits.each(), results.each(), cancels.each());
}

}  // namespace

int main()
{
    measure("expected_finish", policy_kind::expected_finish);
    measure("round_robin_static", policy_kind::round_robin_static);
    return 0;
}
