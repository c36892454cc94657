#pragma once

#include <memory>
#include <optional>
#include <string>

#include "common/common.h"
#include "entry/events.h"
#include "platform/platform.h"

namespace poplarshed::entry {

/// Settings of the link to the platform.
struct platform_link_options {
    platform::client_options client;
    data_centre_id data_centre;
    instance_id self;
    milliseconds lease_ttl{10'000};
    milliseconds membership_interval{1'000};  ///< between readings of the views
    milliseconds list_interval{2'000};        ///< between readings of the instance list
};

/// Keeps this instance's lease and live key, reads views, the instance list and configuration, and hands what
/// it learns to the core thread as events. Calls belong to the core thread.
class platform_link {
public:
    platform_link(platform_link_options options, core_inbox& inbox);

    /// Starts the calls that are due. Called at least every 10 ms.
    void on_timer(time_point now);
    /// Reads the views at the next turn.
    void read_membership() { m_next_membership = time_point::min(); }
    /// Writes the own data centre's view; a view_swapped event follows.
    void propose_view(const membership::view& view, membership::key_revision expected);
    /// Reads a key once; a key_read event follows.
    void read_key(const std::string& key);
    /// Reports each change of a key past `after` as a key_read event. Replaces an earlier watch.
    void watch_key(const std::string& key, platform::revision after);
    void stop_watch() { m_client.stop_watch(); }
    /// Gives the lease up, so that other instances see this one leave at once.
    void release_lease();

    /// The reading of the views ended; the next may start.
    void finish_membership_read() { m_reading_membership = false; }
    void handle(const lease_answered& event, time_point now);
    void handle(const live_key_written& event, time_point now);

    platform::call_counts counts() const { return m_client.counts(); }

private:
    enum class lease_stage { none, asking, writing_key, held, released };

    void keep_lease(time_point now);
    void write_live_key(platform::revision expected);
    void poll(time_point now);

    platform_link_options m_options;
    core_inbox& m_inbox;
    lease_stage m_stage = lease_stage::none;
    std::optional<platform::lease_id> m_lease;
    time_point m_next_lease_call;
    time_point m_next_membership;
    time_point m_next_list;
    bool m_reading_membership = false;
    // Last member: its threads use the others until it is destroyed.
    platform::client m_client;
};

}  // namespace poplarshed::entry
