#pragma once

#include <array>
#include <optional>
#include <set>

#include "instance/fleet_time.h"
#include "routing/routing.h"

namespace poplarshed::instance::test {

/// Callers that send jobs, and send them again after a broken connection or an unknown end; they judge the
/// answers by the rules.
class virtual_callers {
public:
    struct receivers {
        /// Sends to the given instance, or any. @returns the one that took the request; nothing if there is
        /// none
        std::function<std::optional<std::size_t>(std::optional<std::size_t> to, routing::caller_id,
                                                 const routing::route&, const routing::caller_job&)>
            submit;
        /// @param read_lag of an instance that wakes from a pause
        std::function<void(std::size_t at, routing::caller_id, milliseconds read_lag)> leave;
        std::function<milliseconds(std::size_t at)> paused_time;
        std::function<void(const std::string& job, const std::string& what)> broken_rule;
    };

    virtual_callers(virtual_time& time, receivers events) : m_time(time), m_events(std::move(events)) {}

    void send_job();
    /// A job like those of send_job(), sent to one instance first.
    /// @param leaves_after the caller's connection breaks if there is no answer by then
    void send_job_to(std::size_t instance, milliseconds leaves_after);
    /// A job of one shape, sent to one instance first.
    void send_job(std::size_t instance, std::uint32_t tasks, milliseconds work, milliseconds time_limit);
    /// A job whose tasks crash their workers. @returns its id
    std::string send_crashing_job(std::optional<std::size_t> instance, std::uint32_t tasks,
                                  milliseconds time_limit);
    /// One caller of those that wait closes its connection.
    void give_up_one();
    /// The connections of the callers that wait at an instance break; they send their jobs again through
    /// another one.
    void break_connections(std::size_t at, std::size_t resend_to);
    /// The connection of one caller breaks at its end while the instance works on; it sends the job again
    /// through any instance. @returns the instance that it has left; nothing if no caller waits
    std::optional<std::size_t> break_one();
    /// A job whose connection is reset while the request is on its way: the instance reads the request, and
    /// the caller sends it again at once through any instance.
    void send_job_into_reset();
    /// The connections of all callers that wait are reset.
    void reset_connections();
    /// From now on callers leave when the time limit of their request is over, and send the job again.
    void keep_own_time_limits() { m_own_time_limits = true; }
    void on_answer(std::size_t at, const routing::answer_caller& value);
    void on_killed(std::size_t instance);
    void on_started(const workers::task_ref& task, const std::string& worker);
    bool all_ended() const;
    bool has_ended(const std::string& id) const { return m_jobs.at(id).ended; }
    /// Breaks a rule for each job without an answer.
    void check_answered();
    std::size_t answers(routing::answer_kind kind) const
    {
        return m_answers.at(static_cast<std::size_t>(kind));
    }
    std::size_t sent() const { return m_jobs.size(); }
    /// Requests whose caller left and sent the job again while the first instance may have worked on.
    std::size_t resent() const { return m_resent; }

private:
    struct attempt {
        routing::caller_id caller;
        std::size_t instance = 0;
        time_point sent;
        milliseconds paused{};  ///< of the instance so far
    };

    struct job {
        routing::caller_job content;
        std::optional<attempt> open;
        int attempts = 0;
        bool started = false;
        bool only_refused = true;  ///< so far, and there was an answer
        bool ended = false;
    };

    std::string add_drawn();
    std::string add(std::uint32_t tasks, milliseconds work, milliseconds time_limit);
    void submit(const std::string& id, std::optional<std::size_t> to = {});
    void submit_later(const std::string& id, milliseconds delay, std::optional<std::size_t> to = {});
    void check_refusal(const std::string& id);
    void check_time(const std::string& id, std::size_t at, const attempt& ended);
    void leave_and_send_again(const std::string& id);
    attempt leave(const std::string& id);
    void leave_at_time_limit(const std::string& id, routing::caller_id caller);
    std::vector<std::string> waiting() const;

    virtual_time& m_time;
    receivers m_events;
    std::map<std::string, job> m_jobs;
    /// Attempts that their callers have left and whose instance may still answer.
    std::map<routing::caller_id, attempt> m_left;
    std::uint64_t m_last_caller = 0;
    std::size_t m_resent = 0;
    bool m_own_time_limits = false;
    std::array<std::size_t, routing::answer_kind_count> m_answers{};
};

}  // namespace poplarshed::instance::test
