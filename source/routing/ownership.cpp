#include "routing/ownership.h"

#include <algorithm>

namespace poplarshed::routing {

namespace {

// After a start, time for the statuses of all instances to arrive.
constexpr milliseconds startup_delay{350};
// Before an instance of another data centre claims a pool, time for one of the pool's data centre to claim
// it.
constexpr milliseconds other_data_centre_delay{400};
// While the store is unreachable the record cannot be changed, so the pool must be without a reachable holder
// for longer.
constexpr milliseconds storeless_delay{800};

// An instance that has written a record reaches the store, so an instance that cannot reach it may be cut off
// itself. Without this time two such instances take a pool from each other at every check. It is shorter than
// the lease of a record, which covers a holder that ends right after its claim.
constexpr milliseconds claimed_record_protection{1000};

// A token consists of the revision of the record and, in its lowest bits, a suffix. The suffix is 0 for
// tokens from the store. While the store is unreachable it is derived from the address of the instance, so
// that two instances that take a pool at the same time, without a connection to each other, have different
// tokens.
constexpr unsigned storeless_bits = 16;
constexpr std::uint64_t storeless_mask = (std::uint64_t{1} << storeless_bits) - 1;

std::uint64_t storeless_suffix(const endpoint& address)
{
    return std::max<std::uint64_t>(1, digest::of(address.value()).prefix() & storeless_mask);
}

/// Rank of an instance as the holder of a pool; the highest rank claims the pool.
struct preference {
    std::int64_t cpu_milli_per_pool = 0;
    std::uint64_t tie_break = 0;

    auto operator<=>(const preference&) const = default;
};

// Instances differ in size, so the rank is the processor share that remains for each pool.
preference preference_of(const pool_id& pool, const endpoint& address, std::int64_t cpu_milli,
                         std::size_t held)
{
    return {cpu_milli / static_cast<std::int64_t>(held + 1),
            digest::of(pool.value() + '@' + address.value()).prefix()};
}

}  // namespace

workers::fencing_token token_of(std::uint64_t revision)
{
    return workers::fencing_token(revision << storeless_bits);
}

std::vector<ownership_action> ownership::decide(time_point now, const ownership_view& view)
{
    track_records(now, view);
    std::vector<ownership_action> actions;
    for (const auto& [pool, token] : m_held) {
        if (must_release(now, view, pool)) {
            actions.emplace_back(release_pool{pool});
        }
    }
    if (view.leaving || now < m_started + startup_delay) {
        return actions;
    }
    const instances others = view.peers.live(now);
    for (const auto& [pool, entries] : view.pools) {
        if (m_held.contains(pool) || m_claiming.contains(pool)) {
            continue;
        }
        if (!may_claim(now, view, others, pool)) {
            m_claimable_since.erase(pool);
            continue;
        }
        const time_point since = m_claimable_since.try_emplace(pool, now).first->second;
        const bool own_data_centre = data_centre_of(pool) == view.peers.data_centre();
        if (!own_data_centre && now < since + other_data_centre_delay) {
            continue;
        }
        if (view.store_reachable) {
            const auto record = view.records.find(pool);
            m_claiming.insert(pool);
            actions.emplace_back(
                claim_pool{pool, record == view.records.end() ? 0 : record->second.revision});
        } else if (now >= since + storeless_delay) {
            m_held.emplace(pool, storeless_token(view, pool));
            actions.emplace_back(hold_pool_without_store{pool, m_held.at(pool)});
        }
    }
    return actions;
}

bool ownership::must_release(time_point now, const ownership_view& view, const pool_id& pool) const
{
    if (!view.pools.contains(pool)) {
        return true;
    }
    endpoint best;
    const workers::pool_load* load = view.peers.holder(now, pool, best);
    // Of two holders with the same token, the peer table returns the one with the lower address.
    if (load != nullptr && best != view.peers.self() && !(load->token < m_held.at(pool))) {
        return true;
    }
    const auto record = view.records.find(pool);
    return record != view.records.end() && record->second.holder != view.peers.self() &&
           m_held.at(pool) < token_of(record->second.revision) &&
           view.peers.is_live(now, record->second.holder);
}

void ownership::track_records(time_point now, const ownership_view& view)
{
    for (const auto& [pool, record] : view.records) {
        const auto [tracked, is_new] =
            m_tracked_records.try_emplace(pool, tracked_record{record.revision, {}});
        if (!is_new && tracked->second.revision != record.revision) {
            tracked->second = {record.revision, now};
        }
    }
}

bool ownership::was_claimed_recently(time_point now, const pool_id& pool) const
{
    const auto tracked = m_tracked_records.find(pool);
    return tracked != m_tracked_records.end() && tracked->second.changed_at &&
           now < *tracked->second.changed_at + claimed_record_protection;
}

bool ownership::is_preferred(const ownership_view& view, const instances& others, const pool_id& pool) const
{
    const data_centre_id pool_data_centre = data_centre_of(pool);
    const bool own_data_centre = pool_data_centre == view.peers.data_centre();
    const preference own =
        preference_of(pool, view.peers.self(), view.cpu_milli, m_held.size() + m_claiming.size());
    return std::none_of(others.begin(), others.end(), [&](const workers::instance_status* other) {
        return (other->data_centre == pool_data_centre) == own_data_centre &&
               own < preference_of(pool, other->address, other->cpu_milli, other->pools.size());
    });
}

bool ownership::may_claim(time_point now, const ownership_view& view, const instances& others,
                          const pool_id& pool) const
{
    const data_centre_id pool_data_centre = data_centre_of(pool);
    const bool own_data_centre = pool_data_centre == view.peers.data_centre();
    const auto record = view.records.find(pool);
    bool held_by_other = false;
    for (const workers::instance_status* other : others) {
        const bool holds = std::any_of(other->pools.begin(), other->pools.end(),
                                       [&pool](const workers::pool_load& load) { return load.pool == pool; });
        const bool in_pool_data_centre = other->data_centre == pool_data_centre;
        if (holds && (in_pool_data_centre || !own_data_centre)) {
            return false;
        }
        held_by_other = held_by_other || holds;
        if (in_pool_data_centre && !own_data_centre) {
            return false;
        }
    }
    // Computes a digest for each instance, so it comes after the conditions that most pools fail.
    if (!is_preferred(view, others, pool)) {
        return false;
    }
    const bool recorded_elsewhere =
        record != view.records.end() && !(record->second.holder == view.peers.self()) && !held_by_other;
    const bool holder_leaving = recorded_elsewhere && view.peers.is_live(now, record->second.holder);
    if (!recorded_elsewhere || holder_leaving) {
        return view.peers.reaches_at_least_half(now) || !recorded_elsewhere;
    }
    // The record exists while its holder renews its lease. So a network partition between data centres, in
    // which the holder still reaches the store, does not move the pool to another data centre.
    const auto holder = view.peers.all().find(record->second.holder);
    return own_data_centre && view.peers.reaches_at_least_half(now) && !was_claimed_recently(now, pool) &&
           (holder == view.peers.all().end() ||
            view.peers.has_statuses_of_half(now, holder->second.last_status_at));
}

workers::fencing_token ownership::storeless_token(const ownership_view& view, const pool_id& pool) const
{
    workers::fencing_token highest_token;
    const auto record = view.records.find(pool);
    if (record != view.records.end()) {
        highest_token = token_of(record->second.revision);
    }
    for (const auto& [address, peer] : view.peers.all()) {
        for (const workers::pool_load& load : peer.status.pools) {
            highest_token = load.pool == pool ? std::max(highest_token, load.token) : highest_token;
        }
    }
    const std::uint64_t own_suffix = storeless_suffix(view.peers.self());
    const std::uint64_t revision = highest_token.value() >> storeless_bits;
    const bool suffix_exhausted = own_suffix <= (highest_token.value() & storeless_mask);
    return workers::fencing_token(token_of(revision + (suffix_exhausted ? 1 : 0)).value() + own_suffix);
}

void ownership::on_claimed(const pool_id& pool, std::uint64_t revision)
{
    m_claiming.erase(pool);
    m_held.insert_or_assign(pool, token_of(revision));
}

void ownership::on_claim_failed(const pool_id& pool)
{
    m_claiming.erase(pool);
}

void ownership::on_released(const pool_id& pool)
{
    m_held.erase(pool);
    m_claimable_since.erase(pool);
}

}  // namespace poplarshed::routing
