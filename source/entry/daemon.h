#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/common.h"
#include "coordinator/coordinator.h"
#include "entry/configuration_link.h"
#include "entry/events.h"
#include "entry/http_front.h"
#include "entry/platform_link.h"
#include "peer/peer.h"
#include "telemetry/telemetry.h"
#include "upstream/upstream.h"

namespace poplarshed::entry {

/// Everything that the daemon needs to know at its start.
struct daemon_options {
    coordinator::options coordinator;
    http_options http;
    upstream::client_options upstream;
    platform_link_options platform;
    peer::network_options network;
    telemetry::log_options log;
    std::size_t inbox_capacity = 65'536;
    /// Longest time from the start of a drain to the exit.
    milliseconds drain_limit{60'000};
    /// Shortest time from the start of a drain to the exit. Callers that still hold a connection, and a
    /// balancer that has not yet read /readyz, get an answer within it.
    milliseconds drain_linger{2'000};
    /// Longest time that a drain waits for the hand-over of claim records once every job is answered.
    milliseconds hand_over_limit{10'000};
};

/// Addresses in use after the start.
struct daemon_addresses {
    endpoint http;
    endpoint inner;
};

/// One entry instance. run() is the core thread: it owns every decision core and executes their actions.
class daemon : public coordinator::outbox {
public:
    /// Opens the log, the internal listener and the HTTP listener.
    /// @returns why one of them cannot be opened
    static result<std::unique_ptr<daemon>> start(daemon_options options);
    ~daemon() override;

    /// Handles events until a drain has finished. @returns jobs that a drain limit cut short
    std::size_t run();
    /// Queue of the core thread; any thread may push.
    core_inbox& inbox() { return m_inbox; }
    const daemon_addresses& addresses() const { return m_addresses; }

private:
    daemon(daemon_options options, std::unique_ptr<telemetry::logger> log);

    result<void> open();
    result<void> open_network();

    void handle(job_arrived& event, time_point now);
    void handle(cancel_requested& event, time_point now);
    void handle(ids_requested& event, time_point now);
    void handle(status_requested& event, time_point now);
    void handle(drain_requested& event, time_point now);
    void handle(dispatch::attempt_result& event, time_point now);
    void handle(runners_listed& event, time_point now);
    void handle(membership_read& event, time_point now);
    void handle(view_swapped& event, time_point now);
    void handle(lease_answered& event, time_point now);
    void handle(live_key_written& event, time_point now);
    void handle(key_read& event, time_point now);
    void handle(peer_message& event, time_point now);
    void handle(peer_up& event, time_point now);
    void handle(peer_down& event, time_point now);

    void reply(jobs::caller_id caller, const jobs::submission& item,
               const jobs::shared_outcome& outcome) override;
    void start(dispatch::start_attempt attempt) override;
    void abandon(dispatch::abandon_attempt attempt) override;
    void count(const dispatch::count_retry& retry) override;
    void send(const instance_id& to, wire::message message) override;
    void propose_view(const membership::view& view, membership::key_revision expected) override;
    void read_membership() override;

    void turn(std::vector<core_event>& batch, time_point now);
    void on_tick(time_point now);
    void connect_to(const membership::platform_snapshot& snapshot);
    void update_gauges();
    bool finished(time_point now);
    std::string status_text() const;

    daemon_options m_options;
    telemetry::metrics m_metrics;
    std::unique_ptr<telemetry::logger> m_log;
    core_inbox m_inbox;
    timer_service m_timers;
    random_source m_random;
    std::unique_ptr<peer::network> m_network;
    std::unique_ptr<coordinator::coordinator> m_coordinator;
    std::unique_ptr<http_front> m_http;
    std::unique_ptr<upstream::client> m_upstream;
    std::unique_ptr<platform_link> m_platform;
    std::unique_ptr<configuration_link> m_configuration;
    daemon_addresses m_addresses;
    // Newest run seen at each peer address, to name the instance that link evidence is about.
    std::unordered_map<endpoint, instance_id> m_peers;
    std::vector<endpoint> m_connected_addresses;
    // Results of attempts that never left this process, handled in the next turn of the loop.
    std::vector<dispatch::attempt_result> m_unsent;
    std::size_t m_runner_count = 0;
    bool m_platform_reachable = false;
    std::optional<time_point> m_drain_start;
    std::size_t m_cut_short = 0;
};

}  // namespace poplarshed::entry
