#pragma once

#include <memory>
#include <optional>

#include "instance/fleet_time.h"
#include "routing/routing.h"

namespace poplarshed::instance::test {

/// What an instance reads from the store.
struct store_view {
    std::map<routing::pool_id, routing::pool_record> records;
    std::shared_ptr<const routing::pool_map> directory;
};

/// The platform's store, as far as holders of pools need it: records under a condition and a lease, and the
/// list of workers.
class virtual_store {
public:
    /// One life of an instance; its records are removed when it has not read for the time of its lease.
    using session = std::pair<std::size_t, std::uint64_t>;

    explicit virtual_store(virtual_time& time) : m_time(time) {}

    void publish(routing::pool_map directory);
    /// Answers nobody for a time. Leases pause meanwhile, or lapse.
    void go_away(milliseconds length, bool leases_pause);
    /// Reads everything and renews the lease. @param answer called unless the store is away
    void read(session from, std::function<void(store_view)> answer);
    /// Writes a holder if the record has a revision. @param answer called once, without a revision if the
    /// claim was refused or has got no answer
    void claim(session from, const endpoint& holder, const routing::claim_pool& wanted,
               std::function<void(std::optional<std::uint64_t>)> answer);
    /// By the record; it must be there.
    const endpoint& holder(const routing::pool_id& pool) const { return m_items.at(pool).record.holder; }
    /// Ends leases.
    void step();

private:
    struct item {
        routing::pool_record record;
        session owner;
    };

    bool is_away() const { return m_time.now() < m_away_until; }
    std::optional<std::uint64_t> write(session from, const endpoint& holder,
                                       const routing::claim_pool& wanted);

    virtual_time& m_time;
    std::shared_ptr<const routing::pool_map> m_directory = std::make_shared<routing::pool_map>();
    std::map<routing::pool_id, item> m_items;
    std::map<session, time_point> m_leases;
    std::uint64_t m_revision = 100;
    time_point m_away_until;
};

}  // namespace poplarshed::instance::test
