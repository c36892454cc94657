#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/random_source.h"
#include "workers/workers.h"

namespace poplarshed::workers::test {

/// How a worker behaves.
struct worker_behaviour {
    double slowness = 1;      ///< durations are multiplied by it
    bool fails = false;       ///< every run fails at once
    bool silent = false;      ///< orders get lost; what runs goes on under its lease
    double late_share = 0;    ///< part of the starts that get no answer and arrive seconds later
    double lost_lists = 0;    ///< part of the list orders that get lost
    double late_orders = 0;   ///< part of all orders that get no answer and arrive seconds later
    double doubled = 0;       ///< part of all orders that get no answer and arrive at once and seconds later
    double lost_answers = 0;  ///< part of the answers that get lost
    double lost_stops = 0;    ///< part of the stop orders that get lost
    milliseconds jitter{};    ///< orders and answers take up to this time longer, each on its own
    bool guards_capacity = true;
};

/// Workers and one or two holders in virtual time. Records what callers are told and every broken rule.
class virtual_site {
public:
    explicit virtual_site(std::size_t workers, std::uint64_t seed = 1);

    /// Makes a new holder with a higher token and offers it every open job. The former one goes on, as an
    /// instance does that was paused, until drop_former().
    void replace_holder();
    void drop_former();
    /// The worker starts anew under its id after the time; its clock and its counts begin at 0.
    void crash_worker(std::size_t index, milliseconds down = {});
    /// @param rate of the worker's clock, from now on
    void set_clock_rate(std::size_t index, double rate);
    /// The directory loses the worker, which goes on, or lists it again.
    void set_listed(std::size_t index, bool listed);
    bool is_listed(std::size_t index) const { return m_workers.at(index).listed; }
    /// Part of the turns of a holder after which it stands still before its orders leave.
    void set_pauses(double share) { m_pauses = share; }
    /// Late orders of an earlier life of a worker are carried out by the next one.
    void set_orders_outlive_workers(bool outlive) { m_orders_outlive = outlive; }
    worker_behaviour& behaviour(std::size_t index) { return m_workers.at(index).behaviour; }

    /// @param work duration of each task on a worker of slowness 1
    void offer(const job_offer& offer, milliseconds work);
    void advance(milliseconds time);

    pool& holder() { return *m_holders.back().pool; }
    time_point now() const { return m_now; }
    /// Job to its result and the time from its offer.
    struct outcome {
        job_result result;
        milliseconds after{};
        milliseconds objective{};
    };
    const std::map<job_id, outcome>& outcomes() const { return m_outcomes; }
    std::size_t count(job_end end) const;
    std::size_t in_time() const;
    std::size_t starts() const { return m_starts; }
    std::size_t starts_on(std::size_t index) const { return m_workers.at(index).starts; }
    /// Each with the history of its job.
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    struct live_run {
        run_number number;
        time_point started;
        time_point ends_at;
        bool fails = false;
        std::int64_t cpu_milli = 0;
    };

    struct virtual_worker {
        worker_entry entry;
        worker_behaviour behaviour;
        std::uint64_t incarnation = 1;
        bool listed = true;  ///< in the directory
        time_point up_at;
        double clock_rate = 1;
        std::int64_t clock_base_ms = 0;
        time_point clock_since;
        fencing_token token;
        std::int64_t lease_until_ms = 0;  ///< on its clock
        std::map<task_ref, live_run> runs;
        std::map<task_ref, run_number> closed;  ///< highest run that was stopped or has ended
        std::vector<listed_end> ends;
        std::uint64_t last_end = 0;
        std::size_t starts = 0;
        std::vector<std::function<void()>> waiting_lists;
    };

    struct holder_state {
        std::unique_ptr<workers::pool> pool;
        std::uint64_t number = 0;
        time_point paused_until;
    };

    struct open_job {
        job_offer offer;
        time_point offered;
        milliseconds work{};
    };

    /// Gives an answer to the network, which delivers it to the pool of the sender.
    using respond = std::function<void(std::function<void(workers::pool&)>)>;

    void note(const job_id& id, const std::string& what);
    void violate(const job_id& id, const std::string& what);
    void pump();
    void pump(holder_state& from);
    void execute(std::uint64_t holder, const action& item);
    void execute(const owner_notification& out, std::uint64_t holder);
    void execute(std::uint64_t holder, const start_command& order);
    void execute(std::uint64_t holder, const stop_command& order);
    void execute(std::uint64_t holder, const list_command& order);
    /// Carries an order to a worker: once, late, twice or never; its answer arrives, or the time-out does.
    void carry(std::uint64_t holder, const worker_id& to, milliseconds timeout, bool lost, bool late,
               const std::function<void(const respond&)>& at_worker,
               const std::function<void(workers::pool&)>& unanswered);
    /// Calls a holder's pool as soon as it does not stand still.
    void call(std::uint64_t holder, const std::function<void(workers::pool&)>& what);
    bool happens(double share) { return share > 0 && m_random.unit() < share; }
    milliseconds travel(const virtual_worker& on);
    start_outcome start_at_worker(const start_command& order);
    void list_at_worker(const list_command& order, const respond& answer);
    void stop_at_worker(const stop_command& order, const respond& answer);
    void prolong(virtual_worker& on, std::int64_t until_ms) const;
    listing listing_of(const virtual_worker& on) const;
    void after(milliseconds delay, std::function<void()> call);
    void tell_directory();
    std::vector<worker_entry> listed_workers() const;
    bool is_complete() const;
    void tick();
    time_point next_step() const;
    holder_state* find(std::uint64_t holder);
    virtual_worker& at(const worker_id& id);
    void end_run(virtual_worker& on, const task_ref& ref, run_end how);
    void expire(virtual_worker& on);
    void check_wanted(virtual_worker& on, const task_ref& ref, live_run& running);
    std::int64_t clock_ms(const virtual_worker& on) const;
    bool runs_elsewhere(const task_ref& ref, const virtual_worker& here) const;

    random_source m_random;
    time_point m_now{seconds(1000)};
    std::vector<virtual_worker> m_workers;
    std::vector<holder_state> m_holders;
    std::uint64_t m_last_holder = 0;
    double m_pauses = 0;
    bool m_orders_outlive = false;
    time_point m_worker_left;  ///< the directory has lost a worker
    std::map<job_id, open_job> m_jobs;
    std::map<job_id, outcome> m_outcomes;
    std::map<job_id, time_point> m_answered;
    std::set<job_id> m_started_jobs;
    std::multimap<time_point, std::function<void()>> m_events;
    std::size_t m_starts = 0;
    std::map<job_id, std::string> m_history;
    std::vector<std::string> m_violations;
};

}  // namespace poplarshed::workers::test
