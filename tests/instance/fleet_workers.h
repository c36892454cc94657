#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <set>

#include "instance/fleet_time.h"
#include "instance/pool_host.h"

namespace poplarshed::instance::test {

/// What comes back to the sender of an order.
using order_answer =
    std::variant<workers::start_reply, workers::stop_reply, workers::listing, workers::list_failure>;

/// What may happen to an order to a worker; shares of all orders.
struct order_faults {
    double lost = 0;           ///< not carried out, without an answer
    double late_answer = 0;    ///< carried out, and answered after the sender has given up
    double doubled = 0;        ///< carried out twice
    double deferred = 0;       ///< carried out 2 to 12 s later, without an answer
    milliseconds slow_down{};  ///< each way takes up to this much longer
};

/// Workers under leases. A crash ends what runs and every order that is on its way.
class virtual_workers {
public:
    /// What a task does is told by its payload: the milliseconds that it takes, and whether it crashes its
    /// worker.
    static constexpr std::int64_t task_cpu = 14'000;
    static constexpr std::string_view crashing_payload = "60 crashes its worker";

    struct receivers {
        std::function<void(const workers::task_ref&, const std::string& worker)> started;
        std::function<void(const std::string& job, const std::string& what)> broken_rule;
        std::function<void()> directory_changed;
    };

    virtual_workers(virtual_time& time, const std::vector<std::string>& data_centres, std::size_t in_each,
                    receivers events);

    /// @param answer called once: with the worker's answer, or when the sender's time is over
    void send(std::size_t sender, const pending_order& order, std::function<void(order_answer)> answer);
    /// Ends runs whose time or lease is over.
    void step();

    std::size_t size() const { return m_workers.size(); }
    order_faults& faults(std::size_t index) { return m_workers.at(index).faults; }
    /// Instances that the worker neither hears nor answers; what runs goes on under its lease.
    void cut_off(std::size_t index, std::set<std::size_t> instances);
    void listed(std::size_t index, bool in_directory);
    void crash(std::size_t index);
    void come_back(std::size_t index);
    /// A new process takes the worker's place under its id, with a clock that starts near 0; the directory
    /// goes on to show the former one.
    void crash_unseen(std::size_t index);
    void come_back_unseen(std::size_t index);
    /// The directory shows the present process from now on.
    void show_present(std::size_t index);
    bool is_up(std::size_t index) const { return m_workers.at(index).up; }
    /// Workers that a task of the job has crashed; the highest number for one task.
    std::size_t crashes_under(const std::string& job) const;
    /// The worker that a task has crashed last.
    std::optional<std::size_t> last_crashed() const { return m_last_crashed; }

    /// Workers by pool, as the store lists them.
    routing::pool_map directory() const;
    /// Every run on workers that are up, as text.
    std::vector<std::string> runs() const;

private:
    struct live_run {
        time_point ends_at;
        std::optional<time_point> stops_at;
    };
    using run_key = std::pair<workers::task_ref, workers::run_number>;
    struct call;

    struct worker {
        workers::worker_entry entry;
        order_faults faults;
        bool up = true;
        bool refuses = false;  ///< connections while it is down
        bool in_directory = true;
        std::optional<workers::worker_entry> shown;  ///< in the directory, while that is behind
        std::set<std::size_t> cut_off;
        double clock_rate = 1;
        time_point born;
        std::int64_t clock_base = 0;
        workers::fencing_token token;
        std::int64_t lease_until = 0;
        std::map<run_key, live_run> runs;
        std::map<workers::task_ref, workers::run_number> closed;  ///< highest run that stopped or ended
        std::vector<workers::listed_end> ends;
        std::uint64_t last_end = 0;
        std::vector<std::function<void()>> waiting_lists;
        std::vector<std::weak_ptr<call>> calls;  ///< of the present process, ended ones included
    };

    /// One order on its way, and what its sender waits for.
    struct call {
        std::size_t sender = 0;
        std::size_t target = 0;
        std::uint64_t life = 0;
        worker_order order;
        std::function<void(order_answer)> answer;
        bool answered = false;
        milliseconds answer_delay{1};
    };
    using call_pointer = std::shared_ptr<call>;

    std::size_t index_of(const workers::worker_id& id) const;
    std::int64_t clock(const worker& on) const;
    void arrive(const call_pointer& made);
    void reply(const call_pointer& made, order_answer value);
    void carry_out(worker& on, const call_pointer& made, const workers::start_command& order);
    void carry_out(worker& on, const call_pointer& made, const workers::stop_command& order);
    void carry_out(worker& on, const call_pointer& made, const workers::list_command& order);
    workers::start_outcome start(worker& on, const workers::start_command& order);
    void prolong(worker& on, std::int64_t lease_until) const;
    void answer_list(const call_pointer& made);
    void end_run(worker& on, const run_key& key, workers::run_end how);
    void check_single_run(const worker& on, const workers::start_command& order);
    /// Ends the connections of the calls that have no answer yet.
    void close_connections(worker& on);
    void crash_under_task(const worker& on, const workers::start_command& order);

    virtual_time& m_time;
    receivers m_events;
    std::vector<worker> m_workers;

    struct crash_count {
        std::size_t crashes = 0;
        std::size_t later_starts = 0;  ///< after the third crash
    };
    std::map<workers::task_ref, crash_count> m_crashes;
    std::optional<std::size_t> m_last_crashed;
};

}  // namespace poplarshed::instance::test
