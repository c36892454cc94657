#include "entry/platform_link.h"

#include <utility>

#include "entry/view_text.h"

namespace poplarshed::entry {

namespace {

// A lease is renewed this many times within its duration, so that one lost call does not end it.
constexpr int renewals_per_ttl = 3;
constexpr milliseconds lease_retry{500};

membership::swap_status to_swap_status(platform::write_status status)
{
    switch (status) {
        case platform::write_status::written:
            return membership::swap_status::succeeded;
        case platform::write_status::outcome_unknown:
            return membership::swap_status::unknown;
        default:
            return membership::swap_status::conflict;
    }
}

}  // namespace

platform_link::platform_link(platform_link_options options, core_inbox& inbox)
    : m_options(std::move(options)), m_inbox(inbox), m_client(m_options.client)
{}

void platform_link::on_timer(time_point now)
{
    keep_lease(now);
    poll(now);
}

void platform_link::keep_lease(time_point now)
{
    if (now < m_next_lease_call || m_stage == lease_stage::released) {
        return;
    }
    m_next_lease_call = now + m_options.lease_ttl / renewals_per_ttl;
    const auto report = [this](platform::lease_outcome outcome) {
        m_inbox.push(lease_answered{std::move(outcome)});
    };
    if (!m_lease) {
        m_stage = lease_stage::asking;
        m_client.grant_lease(m_options.lease_ttl, report);
    } else {
        m_client.keep_alive(*m_lease, report);
    }
}

void platform_link::handle(const lease_answered& event, time_point now)
{
    if (m_stage == lease_stage::released) {
        return;
    }
    switch (event.outcome.status) {
        case platform::lease_status::alive:
            if (!m_lease) {
                m_lease = event.outcome.lease;
                write_live_key(platform::revision());
            }
            break;
        case platform::lease_status::lapsed:
            m_lease.reset();
            m_next_lease_call = now;
            break;
        case platform::lease_status::unavailable:
            m_next_lease_call = std::min(m_next_lease_call, now + lease_retry);
            break;
    }
}

void platform_link::write_live_key(platform::revision expected)
{
    m_stage = lease_stage::writing_key;
    m_client.write(
        live_key(m_options.data_centre, m_options.self.address),
        std::to_string(m_options.self.incarnation.value()), expected, m_lease,
        [this](platform::write_outcome outcome) { m_inbox.push(live_key_written{std::move(outcome)}); });
}

void platform_link::handle(const live_key_written& event, time_point now)
{
    switch (event.outcome.status) {
        case platform::write_status::written:
            m_stage = lease_stage::held;
            read_membership();
            break;
        case platform::write_status::conflict:
            // The key of a former run at this address, or of this run's lapsed lease, is still there.
            if (m_lease) {
                write_live_key(event.outcome.current ? event.outcome.current->revision
                                                     : platform::revision());
            }
            break;
        default:
            m_lease.reset();
            m_next_lease_call = now + lease_retry;
            break;
    }
}

void platform_link::poll(time_point now)
{
    if (now >= m_next_membership && !m_reading_membership) {
        m_next_membership = now + m_options.membership_interval;
        m_reading_membership =
            m_client.read_prefix("membership/", [this](const platform::read_outcome& outcome) {
                const bool reachable = outcome.status != platform::read_status::unavailable;
                m_inbox.push(membership_read{reachable, parse_snapshot(outcome.entries)});
            });
    }
    if (now >= m_next_list) {
        m_next_list = now + m_options.list_interval;
        m_client.read_instances([this](platform::instances_outcome outcome) {
            if (outcome.available) {
                m_inbox.push(runners_listed{std::move(outcome.list.runners)});
            }
        });
    }
}

void platform_link::propose_view(const membership::view& view, membership::key_revision expected)
{
    const bool queued =
        m_client.write(view_key(view.data_centre), to_text(view), platform::revision(expected.value()), {},
                       [this](const platform::write_outcome& outcome) {
                           m_inbox.push(view_swapped{to_swap_status(outcome.status),
                                                     membership::key_revision(outcome.revision.value())});
                       });
    if (!queued) {
        m_inbox.try_push(view_swapped{membership::swap_status::conflict, {}});
    }
}

void platform_link::read_key(const std::string& key)
{
    m_client.read(key, [this, key](platform::read_outcome outcome) {
        platform::entry entry;
        if (!outcome.entries.empty()) {
            entry = std::move(outcome.entries.front());
        }
        m_inbox.push(key_read{key, outcome.status, std::move(entry)});
    });
}

void platform_link::watch_key(const std::string& key, platform::revision after)
{
    m_client.watch(key, after, [this, key](platform::entry entry) {
        m_inbox.push(key_read{key, platform::read_status::found, std::move(entry)});
    });
}

void platform_link::release_lease()
{
    m_stage = lease_stage::released;
    if (m_lease) {
        m_client.revoke(*m_lease, [](const platform::lease_outcome&) {});
    }
}

}  // namespace poplarshed::entry
