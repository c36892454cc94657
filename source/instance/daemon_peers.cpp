#include "instance/daemon.h"

namespace poplarshed::instance {

namespace {

// All items of 3,000 workers are about 1 MB; this bounds what waits on the links of a source that many ask.
constexpr milliseconds full_push_interval{100};
// A peer that is behind catches up within the time after which its watch counts as lost.
constexpr milliseconds retry_of_outdated_directory{1000};

}  // namespace

void daemon::handle(time_point now, peer_message& event)
{
    deliver(now, event.message);
}

void daemon::deliver(time_point now, wire::message& message)
{
    std::visit(
        [this, now](auto& item) {
            if constexpr (requires { this->receive(now, item); }) {
                receive(now, item);
            }
        },
        message);
}

void daemon::handle(time_point now, const peer_down& event)
{
    if (event.evidence == peer::down_evidence::closed && m_peers.is_live(now, event.address)) {
        m_log.event({severity::warning,
                     telemetry::category::peer,
                     "connection to peer closed",
                     {},
                     {{"peer", event.address.value()}}});
        m_peers.on_disconnected(event.address);
    }
}

void daemon::receive(time_point now, workers::instance_status& message)
{
    if (!m_peers.is_live(now, message.address)) {
        m_log.event({severity::info,
                     telemetry::category::peer,
                     "peer is live",
                     {},
                     {{"peer", message.address.value()}}});
    }
    m_peers.on_status(now, message);
    m_router.on_status(message.address);
    take_offers_in_force(now, message);
}

void daemon::take_offers_in_force(time_point now, const workers::instance_status& status)
{
    m_pools.on_active_offers(now, {status.address, status.echoed_clock, status.offers, status.last_offer});
}

void daemon::receive(time_point now, workers::job_offer& message)
{
    if (!m_pools.on_offer(now, message)) {
        send(now, message.owner,
             workers::job_result{message.job,
                                 m_settings.peers,
                                 workers::job_end::not_held,
                                 {},
                                 {},
                                 false,
                                 message.uncertain_tasks,
                                 message.number});
    }
}

void daemon::receive(time_point now, workers::job_cancel& message)
{
    m_pools.on_cancel(now, message);
}

void daemon::receive(time_point /*now*/, workers::job_progress& message)
{
    m_router.on_progress(message);
}

void daemon::receive(time_point now, workers::job_result& message)
{
    m_router.on_result(now, message.holder, message);
}

void daemon::receive(time_point now, workers::job_losses& message)
{
    m_pools.on_losses(now, message);
}

// The job may be sent again through any instance, and may be held by any.
void daemon::report_losses(const workers::job_losses& losses)
{
    for (const endpoint& to : m_network_targets) {
        if (to != m_settings.peers) {
            m_network->send(to, losses);
        }
    }
}

void daemon::receive(time_point now, workers::directory_pull& message)
{
    if (message.configuration_only) {
        workers::directory_push answer = m_directory.configuration();
        answer.source = m_settings.peers;
        send(now, message.from, std::move(answer));
        return;
    }
    if (!directory_current(now)) {
        return;
    }
    // Who gets no answer asks again.
    if (!m_directory.remembers(message.since)) {
        if (now < m_next_full_push) {
            return;
        }
        m_next_full_push = now + full_push_interval;
    }
    workers::directory_push push = m_directory.changes_since(message.since);
    push.source = m_settings.peers;
    send(now, message.from, std::move(push));
}

void daemon::receive(time_point now, workers::directory_push& message)
{
    if (message.configuration_only) {
        m_directory.on_configuration(message);
        update_directory(now, message.source.value());
        return;
    }
    if (m_upstream.source != message.source) {
        return;
    }
    m_pull_pending = false;
    m_followed_sequence = message.sequence;
    if (!m_directory.on_relay(now, message)) {
        m_log.event({severity::info,
                     telemetry::category::membership,
                     "peer is behind; its directory is asked for again",
                     {},
                     {{"peer", message.source.value()},
                      {"revision", static_cast<std::int64_t>(message.revision)},
                      {"own_revision", static_cast<std::int64_t>(m_directory.revision())}}});
        m_followed_sequence = 0;
        m_last_pull = now + retry_of_outdated_directory;
    }
    update_directory(now, message.source.value());
}

void daemon::send(time_point now, const endpoint& to, wire::message message)
{
    if (to == m_settings.peers) {
        deliver(now, message);
        return;
    }
    if (!m_network->send(to, std::move(message))) {
        m_log.event({severity::warning,
                     telemetry::category::peer,
                     "message to peer dropped",
                     {},
                     {{"peer", to.value()}}});
    }
}

workers::instance_status daemon::own_status(time_point now) const
{
    workers::instance_status status;
    status.address = m_settings.peers;
    status.data_centre = m_settings.data_centre;
    status.cpu_milli = m_settings.cpu_milli;
    status.leaving = m_leaving;
    status.directory_current = directory_current(now);
    status.directory_source = is_directory_source(now);
    status.configuration_version = m_configuration.version;
    status.directory_sequence = m_directory.sequence();
    status.pools = m_pools.loads(now);
    status.clock = workers::clock_reading(now);
    status.orders_owners = true;
    return status;
}

workers::instance_status daemon::refresh_own_status(time_point now)
{
    workers::instance_status status = own_status(now);
    m_peers.on_status(now, status);
    m_router.on_status(status.address);
    m_pools.on_other_pools(m_peers, now);
    workers::instance_status to_self = status;
    m_router.add_offers_in_force(now, m_settings.peers, to_self);
    take_offers_in_force(now, to_self);
    return status;
}

void daemon::send_statuses(time_point now)
{
    const workers::instance_status own = refresh_own_status(now);
    std::set<endpoint> related;
    m_router.add_holders(related);
    m_pools.add_owners(related);
    const bool speaks = !m_pools.held().empty() || is_directory_source(now);
    for (const routing::due_status& due :
         m_schedule.due(now, {m_peers, m_network_targets, related, speaks})) {
        send_status(now, due, own);
    }
}

void daemon::announce(time_point now)
{
    const workers::instance_status own = refresh_own_status(now);
    for (const endpoint& to : m_network_targets) {
        if (to != m_settings.peers) {
            send_status(now, {to, routing::job_peer_status_interval}, own);
        }
    }
}

void daemon::send_status(time_point now, const routing::due_status& due, const workers::instance_status& own)
{
    workers::instance_status status = own;
    status.next_status_within = due.interval;
    m_router.add_offers_in_force(now, due.to, status);
    m_schedule.on_sent(now, due);
    m_network->send(due.to, std::move(status));
}

// A holder stops the jobs of an owner that it does not hear for the interval that the owner has promised
// last, so the promise must be a short one before the first job.
void daemon::relate(time_point now, const endpoint& holder)
{
    if (holder != m_settings.peers && !m_schedule.has_job_peer_interval(now, holder)) {
        send_status(now, {holder, routing::job_peer_status_interval}, own_status(now));
    }
}

}  // namespace poplarshed::instance
