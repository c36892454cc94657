#include <algorithm>
#include <utility>

#include "instance/fleet_instance.h"

namespace poplarshed::instance::test {

namespace {

std::string job_of(const fleet_message& message)
{
    return std::visit(
        [](const auto& item) -> std::string {
            if constexpr (requires { item.job; }) {
                return item.job.value();
            }
            return {};
        },
        message);
}

std::string text_of(const fleet_message& message)
{
    if (const auto* offer = std::get_if<workers::job_offer>(&message)) {
        std::string text = "offer of " + offer->pool.value();
        if (offer->may_have_run) {
            text += ", may have run, " + std::to_string(offer->uncertain_tasks.size()) +
                    " tasks uncertain for " + std::to_string(offer->uncertain_for.count()) + " ms";
        }
        return text;
    }
    if (const auto* result = std::get_if<workers::job_result>(&message)) {
        return "result " + std::string(to_string(result->end)) +
               (result->may_have_run ? ", may have run" : "");
    }
    if (const auto* losses = std::get_if<workers::job_losses>(&message)) {
        return "report of " + std::to_string(losses->losses.size()) + " losses";
    }
    return std::holds_alternative<workers::job_cancel>(message) ? "cancel" : "progress";
}

}  // namespace

void virtual_instance::note(const std::string& job, const std::string& text)
{
    m_world.time.note(job, m_identity.address.value() + ": " + text);
}

void virtual_instance::receive(std::size_t from, fleet_message message)
{
    const milliseconds arrived = m_world.time.elapsed();
    push_frame([this, from, arrived, message = std::move(message)](time_point now) mutable {
        const std::string job = job_of(message);
        if (!job.empty()) {
            note(job, "gets " + text_of(message) + " of " + m_world.addresses.at(from).value() +
                          ", arrived " + std::to_string(arrived.count()));
        }
        deliver(now, from, message);
    });
}

void virtual_instance::deliver(time_point now, std::size_t /*from*/, fleet_message& message)
{
    std::visit([this, now](auto& item) { handle(now, item); }, message);
}

void virtual_instance::on_closed(std::size_t peer)
{
    push_frame([this, peer](time_point now) {
        const endpoint& address = m_world.addresses.at(peer);
        if (m_peers.is_live(now, address)) {
            note({}, "connection to " + address.value() + " closed");
            m_peers.on_disconnected(address);
        }
    });
}

void virtual_instance::handle(time_point now, workers::instance_status& message)
{
    m_peers.on_status(now, message);
    m_router.on_status(message.address);
    take_offers_in_force(now, message);
}

void virtual_instance::take_offers_in_force(time_point now, const workers::instance_status& status)
{
    m_pools.on_active_offers(now, {status.address, status.echoed_clock, status.offers, status.last_offer});
}

void virtual_instance::handle(time_point now, workers::job_offer& message)
{
    if (!m_pools.on_offer(now, message)) {
        send(now, message.owner,
             workers::job_result{message.job,
                                 m_identity.address,
                                 workers::job_end::not_held,
                                 {},
                                 {},
                                 false,
                                 message.uncertain_tasks,
                                 message.number});
    }
}

void virtual_instance::handle(time_point now, workers::job_cancel& message)
{
    m_pools.on_cancel(now, message);
}

void virtual_instance::handle(time_point /*now*/, workers::job_progress& message)
{
    m_router.on_progress(message);
}

void virtual_instance::handle(time_point now, workers::job_result& message)
{
    m_router.on_result(now, message.holder, message);
}

void virtual_instance::handle(time_point now, workers::job_losses& message)
{
    m_pools.on_losses(now, message);
}

void virtual_instance::report_losses(const workers::job_losses& losses)
{
    for (const endpoint& to : m_targets) {
        send(local_time(), to, losses);
    }
}

void virtual_instance::send(time_point now, const endpoint& to, fleet_message message)
{
    const std::string job = job_of(message);
    if (!job.empty()) {
        note(job, "sends " + text_of(message) + " to " + to.value());
    }
    if (to == m_identity.address) {
        deliver(now, m_identity.index, message);
        return;
    }
    const auto& all = m_world.addresses;
    const auto index = std::distance(all.begin(), std::find(all.begin(), all.end(), to));
    m_world.links.send(m_identity.index, static_cast<std::size_t>(index), std::move(message));
}

bool virtual_instance::has_caller(time_point now, const routing::job_id& job)
{
    const auto caller = m_router.caller_of(job);
    if (caller && m_closed_connections.contains(*caller)) {
        m_router.on_caller_left(now, *caller);
        return false;
    }
    return caller.has_value();
}

void virtual_instance::execute(time_point now, routing::routing_action& action)
{
    if (auto* out = std::get_if<routing::send_to_holder>(&action)) {
        if (auto* offer = std::get_if<workers::job_offer>(&out->message)) {
            offer->losses = m_pools.losses_of(offer->job);
            if (!has_caller(now, offer->job)) {
                return;
            }
            relate(now, out->holder);
        }
        std::visit([&](auto& message) { send(now, out->holder, std::move(message)); }, out->message);
    } else if (const auto* reply = std::get_if<routing::answer_caller>(&action)) {
        m_world.answer(m_identity.index, *reply);
    } else {
        const auto& record = std::get<routing::routing_record>(action);
        note(record.job.value(), std::string(routing::to_string(record.decision)) + " " +
                                     record.holder.value() + " " + record.detail + ", status age " +
                                     std::to_string(record.status_age.count()));
    }
}

void virtual_instance::send_to_owner(time_point now, const endpoint& owner, workers::owner_message message)
{
    const auto* result = std::get_if<workers::job_result>(&message);
    if (result != nullptr && result->end == workers::job_end::not_held) {
        relate(now, owner);
    }
    std::visit([&](auto& item) { send(now, owner, std::move(item)); }, message);
}

void virtual_instance::relate(time_point now, const endpoint& peer)
{
    if (peer != m_identity.address && !m_schedule.has_job_peer_interval(now, peer)) {
        send_status(now, {peer, routing::job_peer_status_interval}, own_status(now));
    }
}

void virtual_instance::log(time_point /*now*/, const workers::decision_record& record,
                           const routing::pool_id& pool)
{
    note(record.job.value(), "pool " + pool.value() + " " + std::string(workers::to_string(record.kind)) +
                                 " " + record.worker.value() + " " + record.detail);
}

void virtual_instance::log_hold(std::string_view what, const routing::pool_id& pool, std::string_view cause)
{
    note({}, std::string(what) + " " + pool.value() + ": " + std::string(cause));
}

workers::instance_status virtual_instance::own_status(time_point now) const
{
    workers::instance_status status;
    status.address = m_identity.address;
    status.data_centre = m_identity.data_centre;
    status.cpu_milli = m_identity.cpu_milli;
    status.directory_current = store_reachable(now);
    status.pools = m_pools.loads(now);
    status.clock = workers::clock_reading(now);
    status.orders_owners = true;
    return status;
}

workers::instance_status virtual_instance::refresh_own_status(time_point now)
{
    workers::instance_status status = own_status(now);
    m_peers.on_status(now, status);
    m_router.on_status(status.address);
    m_pools.on_other_pools(m_peers, now);
    workers::instance_status to_self = status;
    m_router.add_offers_in_force(now, m_identity.address, to_self);
    take_offers_in_force(now, to_self);
    return status;
}

void virtual_instance::send_statuses(time_point now)
{
    const workers::instance_status own = refresh_own_status(now);
    std::set<endpoint> related;
    m_router.add_holders(related);
    m_pools.add_owners(related);
    for (const routing::due_status& due :
         m_schedule.due(now, {m_peers, m_targets, related, !m_pools.held().empty()})) {
        send_status(now, due, own);
    }
}

void virtual_instance::announce(time_point now)
{
    const workers::instance_status own = refresh_own_status(now);
    for (const endpoint& to : m_targets) {
        send_status(now, {to, routing::job_peer_status_interval}, own);
    }
}

void virtual_instance::send_status(time_point now, const routing::due_status& due,
                                   const workers::instance_status& own)
{
    workers::instance_status status = own;
    status.next_status_within = due.interval;
    m_router.add_offers_in_force(now, due.to, status);
    m_schedule.on_sent(now, due);
    send(now, due.to, std::move(status));
}

}  // namespace poplarshed::instance::test
