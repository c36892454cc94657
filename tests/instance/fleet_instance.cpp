#include "instance/fleet_instance.h"

#include <algorithm>
#include <utility>

namespace poplarshed::instance::test {

namespace {

// The daemon's figures.
constexpr milliseconds tick_interval{20};
constexpr milliseconds ownership_interval{50};
constexpr milliseconds status_check_interval{30};
constexpr milliseconds pause_limit = routing::min_status_interval + routing::status_timeout_margin;
constexpr milliseconds read_interval{100};
constexpr milliseconds store_away_after{1100};
constexpr milliseconds outage_memory{2500};
constexpr milliseconds lapse_memory{30'000};
constexpr milliseconds greatest_network_lag{6};

// A late timer runs once and skips what it has missed.
bool is_due(time_point now, time_point& next, milliseconds interval)
{
    if (now < next) {
        return false;
    }
    next += ((now - next) / interval + 1) * interval;
    return true;
}

// Offer numbers come from the time of day, as in the daemon.
routing::router_options options_of(time_point now, milliseconds wall_offset)
{
    set_wall_time(now, wall_offset);
    routing::router_options options;
    options.offer_number_base = wall_microseconds();
    return options;
}

}  // namespace

virtual_instance::virtual_instance(instance_identity identity, std::uint64_t life, bool knows_all_workers,
                                   instance_surroundings surroundings)
    : m_identity(std::move(identity)),
      m_life(life),
      m_world(std::move(surroundings)),
      m_peers(m_identity.address, m_identity.data_centre),
      m_router(options_of(m_world.time.now(), m_identity.wall_offset), m_peers, local_time()),
      m_pools({m_identity.address, m_identity.cpu_milli}, *this, local_time()),
      m_worker_lapsed(knows_all_workers ? local_time() - lapse_memory : local_time())
{
    for (const endpoint& address : m_world.addresses) {
        if (address != m_identity.address) {
            m_targets.push_back(address);
        }
    }
    const time_point now = local_time();
    m_next_tick = now + m_world.time.between({}, tick_interval);
    m_next_status = now + m_world.time.between({}, status_check_interval);
    m_next_ownership = now + m_world.time.between({}, ownership_interval);
    m_next_read = now;
}

void virtual_instance::turn()
{
    if (is_paused()) {
        m_paused_time += milliseconds(1);
        return;
    }
    const time_point now = local_time();
    if (m_inbox.empty() && now < std::min({m_next_tick, m_next_status, m_next_ownership})) {
        return;
    }
    set_wall_time(m_world.time.now(), m_identity.wall_offset);
    check_for_pause(now);
    for (event& item : std::exchange(m_inbox, {})) {
        item(now);
    }
    run_timers(now);
    pump(now);
}

void virtual_instance::check_for_pause(time_point now)
{
    const time_point last = std::exchange(m_last_turn, now);
    if (last == time_point{} || now - last < pause_limit) {
        return;
    }
    note({}, "notices its pause");
    m_pools.on_pause(now);
    m_router.on_pause(now);
}

void virtual_instance::pause(milliseconds length)
{
    m_paused_until = std::max(m_paused_until, m_world.time.now() + length);
    m_network_lag = m_world.time.between({}, greatest_network_lag);
}

void virtual_instance::push_frame(event item)
{
    const time_point from = m_paused_until + m_network_lag;
    if (m_world.time.now() >= from) {
        push(std::move(item));
        return;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(from - m_world.time.now());
    m_world.time.after(left, [self = weak_from_this(), item = std::move(item)]() mutable {
        if (const auto alive = self.lock()) {
            alive->push_frame(std::move(item));
        }
    });
}

void virtual_instance::run_timers(time_point now)
{
    if (is_due(now, m_next_tick, tick_interval)) {
        tick(now);
    }
    if (is_due(now, m_next_status, status_check_interval)) {
        send_statuses(now);
    }
    if (is_due(now, m_next_ownership, ownership_interval)) {
        decide_ownership(now);
    }
}

void virtual_instance::tick(time_point now)
{
    if (is_due(now, m_next_read, read_interval)) {
        read_store(now);
    }
    if (!store_reachable(now)) {
        m_store_failed = now;
    }
    m_pools.on_directory_completeness(knows_all_workers(now));
    m_router.on_tick(now);
    m_pools.on_tick(now);
}

void virtual_instance::pump(time_point now)
{
    bool busy = true;
    while (busy) {
        busy = false;
        for (routing::routing_action& action : m_router.take_actions()) {
            busy = true;
            execute(now, action);
        }
        busy = m_pools.pump(now) || busy;
    }
}

void virtual_instance::read_store(time_point /*now*/)
{
    m_world.store.read({m_identity.index, m_life}, [self = weak_from_this()](const store_view& view) {
        if (const auto alive = self.lock()) {
            alive->push([raw = alive.get(), view](time_point at) { raw->on_store_view(at, view); });
        }
    });
}

void virtual_instance::on_store_view(time_point now, const store_view& view)
{
    m_store_answered = now;
    m_records = view.records;
    m_router.set_evacuated(view.evacuated);
    m_pools.set_evacuated(now, view.evacuated);
    if (m_directory == view.directory) {
        return;
    }
    if (m_directory != nullptr) {
        for (const auto& [pool, entries] : *m_directory) {
            const auto found = view.directory->find(pool);
            if (found == view.directory->end() || found->second.size() < entries.size()) {
                m_worker_lapsed = now;
            }
        }
    }
    m_directory = view.directory;
    m_pools.on_directory_completeness(knows_all_workers(now));
    m_pools.on_directory(now, *m_directory);
}

bool virtual_instance::store_reachable(time_point now) const
{
    return m_store_answered != time_point{} && now < m_store_answered + store_away_after;
}

bool virtual_instance::knows_all_workers(time_point now) const
{
    return store_reachable(now) && now > m_store_failed + outage_memory &&
           now > m_worker_lapsed + lapse_memory;
}

void virtual_instance::decide_ownership(time_point now)
{
    for (const endpoint& silent : m_peers.newly_unreachable(now)) {
        note({}, "peer " + silent.value() + " is silent");
        m_pools.on_owner_lost(now, silent);
    }
    for (const endpoint& owner : m_peers.newly_timed_out(now)) {
        m_pools.on_owner_timed_out(now, owner);
    }
    for (const routing::claim_pool& claim :
         m_pools.decide(now, {m_peers, m_records, store_reachable(now), false})) {
        m_world.store.claim({m_identity.index, m_life}, m_identity.address, claim,
                            [self = weak_from_this(), claim](std::optional<std::uint64_t> revision) {
                                if (const auto alive = self.lock()) {
                                    alive->push([raw = alive.get(), claim, revision](time_point at) {
                                        raw->note({}, std::string(revision ? "claims " : "does not get ") +
                                                          claim.pool.value());
                                        raw->m_pools.on_claim_answer(at, claim.pool, revision, false);
                                    });
                                }
                            });
    }
}

void virtual_instance::send_order(pending_order order)
{
    m_world.workers.send(m_identity.index, order,
                         [self = weak_from_this(), order](const order_answer& answer) {
                             if (const auto alive = self.lock()) {
                                 alive->push([raw = alive.get(), order, answer](time_point at) {
                                     raw->finish_order(at, order, answer);
                                 });
                             }
                         });
}

void virtual_instance::finish_order(time_point now, const pending_order& order, const order_answer& answer)
{
    workers::pool* pool = m_pools.find(order);
    if (pool == nullptr) {
        return;
    }
    if (const auto* started = std::get_if<workers::start_reply>(&answer)) {
        pool->on_start_reply(now, *started);
    } else if (const auto* stopped = std::get_if<workers::stop_reply>(&answer)) {
        pool->on_stop_reply(now, *stopped);
    } else if (const auto* listed = std::get_if<workers::listing>(&answer)) {
        pool->on_listing(now, *listed);
    } else {
        pool->on_list_failure(now, std::get<workers::list_command>(order.order).target.worker,
                              std::get<workers::list_failure>(answer));
    }
}

void virtual_instance::submit(routing::caller_id caller, const routing::route& target,
                              const routing::caller_job& job)
{
    push([this, caller, target, job](time_point now) { m_router.on_job(now, caller, target, job); });
}

void virtual_instance::on_caller_left(routing::caller_id caller, milliseconds read_lag)
{
    m_closed_connections.insert(caller);
    const time_point read_at = m_paused_until + read_lag;
    if (read_lag > milliseconds(0) && m_world.time.now() < read_at) {
        const auto left = std::chrono::duration_cast<milliseconds>(read_at - m_world.time.now());
        m_world.time.after(left, [self = weak_from_this(), caller, read_lag] {
            if (const auto alive = self.lock()) {
                alive->on_caller_left(caller, read_lag);
            }
        });
        return;
    }
    push([this, caller](time_point now) { m_router.on_caller_left(now, caller); });
}

}  // namespace poplarshed::instance::test
