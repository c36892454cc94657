#pragma once

#include <functional>
#include <string>

#include "common/common.h"
#include "configuration/configuration.h"
#include "coordinator/coordinator.h"
#include "entry/events.h"
#include "entry/platform_link.h"
#include "telemetry/telemetry.h"

namespace poplarshed::entry {

/// Carries out the roll-out's decisions: reads the platform, asks peers, and puts bundles in force.
/// Calls belong to the core thread.
class configuration_link {
public:
    /// Sends a message to whichever run of an instance is linked at an address.
    using sender = std::function<void(const endpoint& to, wire::message message)>;

    struct parts {
        platform_link& platform;
        coordinator::coordinator& core;
        telemetry::logger& log;
        sender send;
    };

    configuration_link(parts links, const configuration::rollout_options& options, std::uint64_t seed,
                       time_point now);

    /// Called at least every 10 ms.
    void on_timer(time_point now);
    void handle(const key_read& event, time_point now);
    /// Takes versions from heartbeats, and bundles. Other messages are ignored.
    void handle(const peer_message& event, time_point now);
    void on_peer_lost(const endpoint& peer, time_point now);

private:
    void take_pointer(const key_read& event, time_point now);
    void take_bundle(const std::string& text, const std::string& source, time_point now);
    void receive(const endpoint& from, const membership::heartbeat& message, time_point now);
    void receive(const endpoint& from, const wire::bundle_pull& message, time_point now);
    void receive(const endpoint& from, const wire::bundle_push& message, time_point now);
    void keep_watch();

    void execute(const configuration::rollout_actions& actions, time_point now);
    void execute(const configuration::read_pointer& action, time_point now);
    void execute(const configuration::fetch_from_platform& action, time_point now);
    void execute(const configuration::pull_from_peer& action, time_point now);
    void execute(const configuration::apply_bundle& action, time_point now);
    void execute(const configuration::bundle_rejected& action, time_point now);

    parts m_links;
    configuration::rollout m_rollout;
    std::string m_text_in_force;  ///< sent to peers that are behind
    platform::revision m_pointer_revision;
    bool m_watching = false;
};

}  // namespace poplarshed::entry
