#include "instance/pool_host.h"

#include <algorithm>

namespace poplarshed::instance {

pool_host::pool_host(pool_host_options options, pool_outputs& outputs, time_point started)
    : m_options(std::move(options)), m_outputs(outputs), m_ownership(started)
{}

void pool_host::on_directory_completeness(bool complete)
{
    m_complete = complete;
    for (const auto& [id, pool] : m_pools) {
        pool->on_directory_completeness(complete);
    }
}

void pool_host::on_directory(time_point now, routing::pool_map pools)
{
    m_directory = std::move(pools);
    for (const auto& [id, pool] : m_pools) {
        const auto found = m_directory.find(id);
        pool->on_directory(now,
                           found == m_directory.end() ? std::vector<workers::worker_entry>() : found->second);
    }
}

void pool_host::set_evacuated(time_point now, std::set<data_centre_id> evacuated)
{
    m_evacuated = std::move(evacuated);
    for (const auto& [id, pool] : m_pools) {
        pool->set_evacuated(now, m_evacuated.contains(routing::data_centre_of(id)));
    }
}

std::vector<routing::claim_pool> pool_host::decide(time_point now, const surroundings& view)
{
    std::vector<routing::pool_id> fenced;
    for (const auto& [id, pool] : m_pools) {
        if (pool->is_fenced()) {
            fenced.push_back(id);
        }
    }
    for (const routing::pool_id& id : fenced) {
        drop(now, id, "fenced");
    }
    std::vector<routing::claim_pool> claims;
    for (const auto& action :
         m_ownership.decide(now, {view.peers, view.records, m_directory, m_options.cpu_milli,
                                  view.store_reachable, view.leaving})) {
        if (const auto* claim = std::get_if<routing::claim_pool>(&action)) {
            claims.push_back(*claim);
        } else if (const auto* hold = std::get_if<routing::hold_pool_without_store>(&action)) {
            m_outputs.log_hold("pool taken without the store", hold->pool, "store is not reachable");
            take(now, hold->pool, hold->token);
        } else {
            drop(now, std::get<routing::release_pool>(action).pool, "held elsewhere or without workers");
        }
    }
    return claims;
}

void pool_host::on_claim_answer(time_point now, const routing::pool_id& pool,
                                std::optional<std::uint64_t> revision, bool leaving)
{
    // The last workers of a pool may leave while a claim is on its way.
    if (!revision || leaving || !m_directory.contains(pool)) {
        m_ownership.on_claim_failed(pool);
        return;
    }
    m_ownership.on_claimed(pool, *revision);
    take(now, pool, routing::token_of(*revision));
}

void pool_host::take(time_point now, const routing::pool_id& pool, workers::fencing_token token)
{
    const std::vector<workers::worker_entry>& entries = m_directory.at(pool);
    workers::pool_options options;
    options.pool = pool;
    options.service = entries.front().service;
    options.own_address = m_options.self;
    options.token = token;
    options.first_run_number = std::max(wall_microseconds(), m_last_run + 1);
    options.max_lease = m_options.longest_lease;
    options.lease = std::min(options.lease, m_options.longest_lease);
    options.stop_time = m_options.stop_time;
    options.remote_slowdown = m_options.remote_slowdown;
    options.evacuated = m_evacuated.contains(routing::data_centre_of(pool));
    m_last_run = options.first_run_number;
    auto created = std::make_unique<workers::pool>(options, now);
    created->on_directory_completeness(m_complete);
    created->on_directory(now, entries);
    m_pools.insert_or_assign(pool, std::move(created));
    m_outputs.on_held_changed(now);
}

void pool_host::drop(time_point now, const routing::pool_id& pool, std::string_view cause)
{
    m_ownership.on_released(pool);
    const auto node = m_pools.extract(pool);
    if (node.empty()) {
        return;
    }
    m_outputs.log_hold("pool dropped", pool, cause);
    // The owners must learn of the new holder from the statuses, not from this instance's own.
    m_outputs.on_held_changed(now);
    node.mapped()->hand_over(now);
    for (workers::action& action : node.mapped()->take_actions()) {
        if (!std::holds_alternative<workers::list_command>(action)) {
            execute(now, pool, node.mapped()->token(), action);
        }
    }
}

bool pool_host::on_offer(time_point now, workers::job_offer& offer)
{
    m_losses.add(now, offer.job, offer.losses);
    offer.losses = m_losses.find(offer.job);
    const auto found = m_pools.find(offer.pool);
    if (found == m_pools.end()) {
        return false;
    }
    const endpoint owner = offer.owner;
    found->second->on_offer(now, owner, std::move(offer));
    return true;
}

void pool_host::on_cancel(time_point now, const workers::job_cancel& cancel)
{
    for (const auto& [id, pool] : m_pools) {
        pool->on_cancel(now, cancel);
    }
}

void pool_host::on_losses(time_point now, const workers::job_losses& report)
{
    if (!m_losses.add(now, report.job, report.losses)) {
        return;
    }
    for (const auto& [id, pool] : m_pools) {
        pool->on_losses(now, report.job, report.losses);
    }
}

void pool_host::on_active_offers(time_point now, const workers::active_offers& offers)
{
    for (const auto& [id, pool] : m_pools) {
        pool->on_active_offers(now, offers);
    }
}

void pool_host::on_owner_lost(time_point now, const endpoint& owner)
{
    for (const auto& [id, pool] : m_pools) {
        pool->on_owner_lost(now, owner);
    }
}

void pool_host::on_owner_timed_out(time_point now, const endpoint& owner)
{
    for (const auto& [id, pool] : m_pools) {
        pool->on_owner_timed_out(now, owner);
    }
}

void pool_host::on_pause(time_point now)
{
    for (const routing::pool_id& pool : held()) {
        drop(now, pool, "paused");
    }
}

workers::pool* pool_host::find(const pending_order& order)
{
    const auto found = m_pools.find(order.pool);
    const bool same = found != m_pools.end() && found->second->token() == order.token;
    return same ? found->second.get() : nullptr;
}

void pool_host::on_other_pools(const routing::peer_table& peers, time_point now)
{
    for (const auto& [held, pool] : m_pools) {
        const routing::pool_id& id = held;
        std::vector<workers::pool_load> others;
        peers.for_each_pool(now, pool->service(), [&](const auto& status, const workers::pool_load& load) {
            if (!status.leaving && load.pool != id) {
                others.push_back(load);
            }
        });
        pool->on_other_pools(std::move(others));
    }
}

void pool_host::on_tick(time_point now)
{
    for (const auto& [id, pool] : m_pools) {
        pool->on_tick(now);
    }
}

bool pool_host::pump(time_point now)
{
    bool any = false;
    for (const routing::pool_id& id : held()) {
        const auto found = m_pools.find(id);
        if (found == m_pools.end()) {
            continue;
        }
        const workers::fencing_token token = found->second->token();
        for (workers::action& action : found->second->take_actions()) {
            any = true;
            execute(now, id, token, action);
        }
    }
    return any;
}

void pool_host::execute(time_point now, const routing::pool_id& pool, workers::fencing_token token,
                        workers::action& action)
{
    if (auto* start = std::get_if<workers::start_command>(&action)) {
        m_outputs.send_order({pool, token, std::move(*start)});
    } else if (auto* stop = std::get_if<workers::stop_command>(&action)) {
        m_outputs.send_order({pool, token, std::move(*stop)});
    } else if (auto* list = std::get_if<workers::list_command>(&action)) {
        m_outputs.send_order({pool, token, std::move(*list)});
    } else if (auto* out = std::get_if<workers::owner_notification>(&action)) {
        m_outputs.send_to_owner(now, out->owner, std::move(out->message));
    } else if (const auto* losses = std::get_if<workers::job_losses>(&action)) {
        on_losses(now, *losses);
        m_outputs.report_losses(*losses);
    } else {
        m_outputs.log(now, std::get<workers::decision_record>(action), pool);
    }
}

std::vector<routing::pool_id> pool_host::held() const
{
    std::vector<routing::pool_id> found;
    found.reserve(m_pools.size());
    for (const auto& [id, pool] : m_pools) {
        found.push_back(id);
    }
    return found;
}

std::vector<workers::pool_load> pool_host::loads(time_point now) const
{
    std::vector<workers::pool_load> found;
    found.reserve(m_pools.size());
    for (const auto& [id, pool] : m_pools) {
        found.push_back(pool->load(now));
    }
    return found;
}

void pool_host::add_owners(std::set<endpoint>& owners) const
{
    for (const auto& [id, pool] : m_pools) {
        pool->add_owners(owners);
    }
}

std::size_t pool_host::run_count(const data_centre_id& data_centre) const
{
    std::size_t total = 0;
    for (const auto& [id, pool] : m_pools) {
        total += routing::data_centre_of(id) == data_centre ? pool->run_count() : 0;
    }
    return total;
}

std::size_t pool_host::job_count() const
{
    std::size_t total = 0;
    for (const auto& [id, pool] : m_pools) {
        total += pool->job_count();
    }
    return total;
}

}  // namespace poplarshed::instance
