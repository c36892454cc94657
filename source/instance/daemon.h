#pragma once

#include <memory>
#include <unordered_map>

#include "instance/caller_front.h"
#include "instance/decision_log.h"
#include "instance/events.h"
#include "instance/pool_host.h"
#include "instance/settings.h"
#include "instance/store_link.h"
#include "telemetry/telemetry.h"

namespace poplarshed::instance {

/// One instance: takes callers' jobs, holds pools of workers, and keeps in touch with its peers and the
/// store. run() is the core thread; HTTP, peers, the log and signals have threads of their own, joined by the
/// inbox.
class daemon : private pool_outputs {
public:
    daemon(settings values, const protocol& surroundings);
    ~daemon() override;
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Opens the listeners. @returns why one failed
    std::optional<error> start();
    /// Serves until the process has drained after a stop signal.
    void run();
    /// Any thread.
    core_inbox& inbox() { return m_inbox; }

private:
    using pending_call = std::variant<pending_order, store_call>;

    /// Counts what the listeners close and refuse. Called on their thread.
    http::server_observer front_observer();
    /// Drops an event whose handler throws.
    void handle_guarded(time_point now, core_event& event);
    void handle(time_point now, request_arrived& event);
    void handle(time_point now, const caller_left& event);
    void handle(time_point now, peer_message& event);
    void handle(time_point now, const peer_down& event);
    void handle(time_point now, call_ended& event);
    void handle(time_point now, const signal_received& event);

    void receive(time_point now, workers::instance_status& message);
    void receive(time_point now, workers::job_offer& message);
    void receive(time_point now, workers::job_cancel& message);
    void receive(time_point now, workers::job_progress& message);
    void receive(time_point now, workers::job_result& message);
    void receive(time_point now, workers::job_losses& message);
    void receive(time_point now, workers::directory_pull& message);
    void receive(time_point now, workers::directory_push& message);

    void finish_order(time_point now, const pending_order& pending, const http::response& response);
    void report_skipped_rows(const workers::command_target& from, const std::vector<input_error>& skipped);
    void finish_store(time_point now, const store_call& pending, const http::response& response);
    void submit(time_point now, routing::caller_id caller, const routing::route& target, caller_call call,
                const std::string& request_id);

    void send_order(pending_order order) override;
    void send_to_owner(time_point now, const endpoint& owner, workers::owner_message message) override;
    void report_losses(const workers::job_losses& losses) override;
    void on_held_changed(time_point now) override { announce(now); }
    void log(time_point now, const workers::decision_record& record, const routing::pool_id& pool) override;
    void log_hold(std::string_view event, const routing::pool_id& pool, std::string_view cause) override;

    void pump(time_point now);
    /// False if the caller of a job has left; the job ends then.
    bool has_caller(time_point now, const routing::job_id& job);
    void execute(time_point now, routing::routing_action& action);
    void call_store(store_call call);
    void send(time_point now, const endpoint& to, wire::message message);
    void deliver(time_point now, wire::message& message);
    void answer(const routing::answer_caller& value);
    void log(time_point now, const routing::routing_record& record);

    void tick(time_point now);
    void check_for_pause(time_point now);
    /// Sends the statuses that are due.
    void send_statuses(time_point now);
    /// Sends a status to every peer at once, after a change that they must know.
    void announce(time_point now);
    /// Takes the own status into the table of peers, as the router and the pools use it.
    workers::instance_status refresh_own_status(time_point now);
    void send_status(time_point now, const routing::due_status& due, const workers::instance_status& own);
    void relate(time_point now, const endpoint& holder);
    void take_offers_in_force(time_point now, const workers::instance_status& status);
    void decide_ownership(time_point now);
    /// @param source where new items came from, for the log; empty: no new items
    void update_directory(time_point now, std::string_view source = {});
    void follow_directory(time_point now);
    void follow_configuration(time_point now);
    bool directory_current(time_point now) const;
    bool is_directory_source(time_point now) const { return m_relay.is_source() && m_store.watches(now); }
    void apply_configuration(std::string_view source);
    void apply_evacuations(time_point now);
    void report_evacuations(time_point now);
    void update_network();
    void propose_layout(time_point now);
    void follow_store_state(time_point now);
    bool has_pool(time_point now) const;
    bool drained(time_point now) const;
    /// Answers the requests that arrive between the last turn of the loop and the end of the process.
    void refuse_remaining();
    workers::instance_status own_status(time_point now) const;

    settings m_settings;
    const protocol& m_protocol;
    core_inbox m_inbox;
    telemetry::metrics m_metrics;
    decision_log m_log;
    timer_service m_timers;
    directory m_directory;
    store_link m_store;
    routing::pool_division m_division;
    routing::directory_relay m_relay;
    routing::configuration_relay m_configuration_relay;
    routing::peer_table m_peers;
    routing::router m_router;
    routing::configuration m_configuration;
    bool m_configured = false;
    std::map<data_centre_id, time_point> m_evacuated;  ///< and when the order came into force here
    pool_host m_pools;
    std::unordered_map<http::call_id, pending_call> m_calls;
    fault_journal m_row_faults;  ///< by worker and fault
    std::uint64_t m_last_call = 0;
    bool m_leaving = false;
    bool m_store_was_reachable = false;
    bool m_ready = false;
    time_point m_leave_until;
    routing::directory_relay::decision m_upstream;  ///< the last one that named a peer
    std::uint64_t m_followed_sequence = 0;          ///< later changes of that peer are missing here
    bool m_pull_pending = false;
    time_point m_confirmed;  ///< when nothing of the followed source was missing
    time_point m_last_pull;
    time_point m_next_full_push;
    time_point m_last_turn;  ///< of the loop; the epoch before the first
    time_point m_next_proposal;
    std::vector<endpoint> m_network_targets;  ///< instances that get this one's status
    routing::status_schedule m_schedule;
    caller_front m_front;
    std::unique_ptr<peer::network> m_network;
    http::client m_http;  ///< last: its thread ends before what its handler uses
};

}  // namespace poplarshed::instance
