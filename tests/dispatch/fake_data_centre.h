#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatch.h"

namespace poplarshed::dispatch {

/// Behaviour of a fake runner.
enum class runner_mode {
    normal,
    failing,  ///< answers 500 after a short time
    flaky,    ///< loses one connection in ten
    frozen,   ///< accepts tasks but never answers
    down,     ///< refuses connections
    leaving,  ///< announces its leave in its answers and refuses connections one second after the first task
};

/// A runner in virtual time. Tasks in excess of its slots wait in its own queue.
struct fake_runner {
    runner listed;
    double speed = 1.0;
    runner_mode mode = runner_mode::normal;
    time_point refuses_from = time_point::max();
    std::uint32_t running = 0;
    std::deque<std::uint64_t> queue;
};

/// Request and outcome of a submitted job.
struct job_record {
    job_request request;
    std::uint32_t instance = 0;
    time_point answered;
    job_outcome outcome;
    int answers = 0;
};

/// The dispatchers of several instances of one data centre, which share fake runners in virtual time. The
/// payload of a task is its run time on a runner of speed 1, in microseconds.
class fake_data_centre {
public:
    /// Called for each attempt that reaches a runner, and for each action of a dispatcher.
    std::function<void(const start_attempt&, const fake_runner&)> on_start;
    std::function<void(std::uint32_t instance, const action&)> on_action;
    /// Called when an answer informs the dispatcher of an instance that a runner is leaving.
    std::function<void(std::uint32_t instance, const endpoint& runner)> on_leaving;

    fake_data_centre(std::vector<std::unique_ptr<dispatcher>> dispatchers, std::vector<fake_runner> runners,
                     const configuration::bundle& bundle, std::uint64_t seed);

    void submit(std::uint32_t instance, job_request request);
    void at(time_point due, std::function<void()> call);
    void run_until(time_point end);
    /// Passes the current list of runners to every dispatcher. A runner that is down is not listed.
    void publish_runners();
    void cancel(job_key key);
    void handle(std::uint32_t instance, const std::vector<action>& actions);

    time_point now() const { return m_now; }
    std::vector<fake_runner>& runners() { return m_runners; }
    std::size_t instance_count() const { return m_dispatchers.size(); }
    job_key key_of(const submission_id& id) const { return m_keys.at(id); }
    dispatcher& dispatcher_of(std::uint32_t index) { return *m_dispatchers[index]; }
    std::map<job_key, job_record>& jobs() { return m_jobs; }
    std::map<retry_reason, std::size_t>& wasted() { return m_wasted; }
    std::size_t messages() const { return m_messages; }

private:
    struct event {
        time_point due;
        std::uint64_t order;
        std::function<void()> call;
        bool operator>(const event& other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };
    struct attempt_in_flight {
        std::uint32_t instance = 0;
        std::size_t runner = 0;
        start_attempt request;
        bool answered = false;
        bool in_runner = false;
    };

    void tick(std::uint32_t instance);
    void on_arrival(std::uint64_t id);
    void run(std::uint64_t id);
    void finish(std::uint64_t id, attempt_status status);
    void answer(std::uint64_t id, attempt_status status, verdict ran);
    void perform(std::uint32_t instance, const action& performed);
    void start(std::uint32_t instance, const start_attempt& request);
    void record(const answer_job& answer);
    void erase_if_ended(std::uint64_t id);

    std::vector<std::unique_ptr<dispatcher>> m_dispatchers;
    std::vector<fake_runner> m_runners;
    std::map<endpoint, std::size_t> m_by_address;
    random_source m_random;
    time_point m_now{seconds(1000)};
    std::uint64_t m_order = 0;
    std::uint64_t m_last = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::unordered_map<std::uint64_t, attempt_in_flight> m_attempts;
    std::map<std::pair<std::uint32_t, attempt_id>, std::uint64_t> m_by_attempt;
    std::map<job_key, job_record> m_jobs;
    std::map<submission_id, job_key> m_keys;
    std::map<retry_reason, std::size_t> m_wasted;
    std::size_t m_messages = 0;
};

}  // namespace poplarshed::dispatch
