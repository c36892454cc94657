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
    std::set<data_centre_id> evacuated;
};

/// What may happen to a claim; shares of all claims.
struct claim_faults {
    double late_answer = 0;  ///< written in time, and answered late
    double deferred = 0;     ///< not answered, and written seconds later if its condition still holds
};

/// The platform's store, as far as holders of pools need it: records under a condition and a lease, and the
/// list of workers.
class virtual_store {
public:
    /// One life of an instance; its records are removed when it has not read for the time of its lease.
    using session = std::pair<std::size_t, std::uint64_t>;

    explicit virtual_store(virtual_time& time) : m_time(time) {}

    void publish(routing::pool_map directory);
    /// Orders the evacuation of a data centre, or takes it back.
    void set_evacuated(const data_centre_id& data_centre, bool evacuated);
    /// Answers nobody for a time. Leases pause meanwhile, or lapse.
    void go_away(milliseconds length, bool leases_pause);
    claim_faults& faults() { return m_faults; }
    /// Ends the lease of a holder that is drawn; its records are removed at once.
    void revoke_one();
    /// An instance goes on reading what is stored now for a time.
    void show_stale(std::size_t instance, milliseconds length);
    /// Reads everything and renews the lease. @param answer called unless the store is away
    void read(session from, std::function<void(store_view)> answer);
    /// Writes a holder if the record has a revision. @param answer called once, without a revision if the
    /// claim was refused or has got no answer
    void claim(session from, const endpoint& holder, const routing::claim_pool& wanted,
               std::function<void(std::optional<std::uint64_t>)> answer);
    /// By the record; it must be there.
    const endpoint& holder(const routing::pool_id& pool) const { return m_items.at(pool).record.holder; }
    bool has_holder(const routing::pool_id& pool) const { return m_items.contains(pool); }
    /// Ends leases.
    void step();

private:
    struct item {
        routing::pool_record record;
        session owner;
    };

    struct stale_view {
        time_point until;
        store_view view;
    };

    bool is_away() const { return m_time.now() < m_away_until; }
    store_view current() const;
    std::optional<std::uint64_t> write(session from, const endpoint& holder,
                                       const routing::claim_pool& wanted);

    virtual_time& m_time;
    std::shared_ptr<const routing::pool_map> m_directory = std::make_shared<routing::pool_map>();
    std::set<data_centre_id> m_evacuated;
    std::map<routing::pool_id, item> m_items;
    std::map<session, time_point> m_leases;
    std::uint64_t m_revision = 100;
    time_point m_away_until;
    claim_faults m_faults;
    std::map<std::size_t, stale_view> m_stale;  ///< by instance
};

}  // namespace poplarshed::instance::test
