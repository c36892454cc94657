#pragma once

#include <memory>

#include "instance/fleet_links.h"
#include "instance/fleet_store.h"
#include "instance/fleet_workers.h"

namespace poplarshed::instance::test {

/// What an instance has in common with its former and later lives, and its clocks.
struct instance_identity {
    std::size_t index = 0;
    endpoint address;
    data_centre_id data_centre;
    std::int64_t cpu_milli = 250;
    milliseconds clock_offset{};  ///< of its steady clock
    milliseconds wall_offset{};   ///< of its time of day
};

/// What surrounds an instance.
struct instance_surroundings {
    virtual_time& time;
    virtual_links& links;
    virtual_workers& workers;
    virtual_store& store;
    const std::vector<endpoint>& addresses;  ///< of all instances, by number
    std::function<void(std::size_t at, const routing::answer_caller&)> answer;
};

/// One life of an instance: the daemon's decisions with its own peer table, router and pools, without I/O.
class virtual_instance final : public std::enable_shared_from_this<virtual_instance>, private pool_outputs {
public:
    virtual_instance(instance_identity identity, std::uint64_t life, bool knows_all_workers,
                     instance_surroundings surroundings);

    /// Runs everything that waits and is due, as a turn of the daemon's loop does.
    void turn();
    /// Nothing runs for a time.
    void pause(milliseconds length);
    /// Its time of day jumps.
    void step_wall_clock(milliseconds by) { m_identity.wall_offset += by; }
    bool is_paused() const { return m_world.time.now() < m_paused_until; }
    milliseconds paused_time() const { return m_paused_time; }

    void receive(std::size_t from, fleet_message message);
    void on_closed(std::size_t peer);
    void submit(routing::caller_id caller, const routing::route& target, const routing::caller_job& job);
    /// @param read_lag after a pause, how long after the requests that wait in front of it this is read
    void on_caller_left(routing::caller_id caller, milliseconds read_lag = {});

private:
    using event = std::function<void(time_point now)>;

    void push(event item) { m_inbox.push_back(std::move(item)); }
    void push_frame(event item);
    void check_for_pause(time_point now);
    void run_timers(time_point now);
    void pump(time_point now);
    void tick(time_point now);
    void send_statuses(time_point now);
    void announce(time_point now);
    void send_status(time_point now, const routing::due_status& due, const workers::instance_status& own);
    void relate(time_point now, const endpoint& peer);
    void take_offers_in_force(time_point now, const workers::instance_status& status);
    workers::instance_status own_status(time_point now) const;
    workers::instance_status refresh_own_status(time_point now);
    void decide_ownership(time_point now);
    void read_store(time_point now);
    void on_store_view(time_point now, const store_view& view);
    bool store_reachable(time_point now) const;
    bool knows_all_workers(time_point now) const;
    void finish_order(time_point now, const pending_order& order, const order_answer& answer);

    void deliver(time_point now, std::size_t from, fleet_message& message);
    void handle(time_point now, workers::instance_status& message);
    void handle(time_point now, workers::job_offer& message);
    void handle(time_point now, workers::job_cancel& message);
    void handle(time_point now, workers::job_progress& message);
    void handle(time_point now, workers::job_result& message);
    void handle(time_point now, workers::job_losses& message);
    void send(time_point now, const endpoint& to, fleet_message message);
    bool has_caller(time_point now, const routing::job_id& job);
    void execute(time_point now, routing::routing_action& action);

    void send_order(pending_order order) override;
    void send_to_owner(time_point now, const endpoint& owner, workers::owner_message message) override;
    void report_losses(const workers::job_losses& losses) override;
    void on_held_changed(time_point now) override { announce(now); }
    void log(time_point now, const workers::decision_record& record, const routing::pool_id& pool) override;
    void log_hold(std::string_view what, const routing::pool_id& pool, std::string_view cause) override;

    time_point local_time() const { return m_world.time.now() + m_identity.clock_offset; }
    void note(const std::string& job, const std::string& text);

    instance_identity m_identity;
    std::uint64_t m_life;
    instance_surroundings m_world;
    routing::peer_table m_peers;
    routing::router m_router;
    pool_host m_pools;
    routing::status_schedule m_schedule;
    std::vector<endpoint> m_targets;
    std::map<routing::pool_id, routing::pool_record> m_records;
    std::shared_ptr<const routing::pool_map> m_directory;
    time_point m_store_answered;
    time_point m_store_failed;
    time_point m_worker_lapsed;
    std::vector<event> m_inbox;
    time_point m_paused_until;
    std::set<routing::caller_id> m_closed_connections;  ///< as the kernel knows
    milliseconds m_paused_time{};
    milliseconds m_network_lag{};  ///< of the network's thread behind the core's after a pause
    time_point m_last_turn;
    time_point m_next_tick;
    time_point m_next_status;
    time_point m_next_ownership;
    time_point m_next_read;
};

}  // namespace poplarshed::instance::test
