#pragma once

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "instance/protocol.h"
#include "routing/routing.h"

namespace poplarshed::instance {

using worker_order = std::variant<workers::start_command, workers::stop_command, workers::list_command>;

/// An order on its way to a worker, and the hold on the pool under which it was given.
struct pending_order {
    routing::pool_id pool;
    workers::fencing_token token;
    worker_order order;
};

/// Where a pool host sends what its pools decide.
class pool_outputs {
public:
    virtual ~pool_outputs() = default;
    virtual void send_order(pending_order order) = 0;
    virtual void send_to_owner(time_point now, const endpoint& owner, workers::owner_message message) = 0;
    /// Tells all peers.
    virtual void report_losses(const workers::job_losses& losses) = 0;
    /// The set of held pools has changed; peers and the router must know before anything else is sent.
    virtual void on_held_changed(time_point now) = 0;
    virtual void log(time_point now, const workers::decision_record& record,
                     const routing::pool_id& pool) = 0;
    virtual void log_hold(std::string_view event, const routing::pool_id& pool, std::string_view cause) = 0;
};

struct pool_host_options {
    endpoint self;
    std::int64_t cpu_milli = 1000;  ///< processor share of this instance, in thousandths of a core
    milliseconds longest_lease{1000};
    milliseconds stop_time{50};
    double remote_slowdown = 1;
};

/// The pools that this instance holds. Not thread-safe; no I/O.
class pool_host {
public:
    pool_host(pool_host_options options, pool_outputs& outputs, time_point started);

    /// What decides which pools to hold, beside the directory.
    struct surroundings {
        const routing::peer_table& peers;
        const std::map<routing::pool_id, routing::pool_record>& records;
        bool store_reachable = false;
        bool leaving = false;
    };

    /// Workers by pool.
    void on_directory(time_point now, routing::pool_map pools);
    /// @param complete no worker that may be alive is missing
    void on_directory_completeness(bool complete);
    /// Data centres whose workers get no more tasks.
    void set_evacuated(time_point now, std::set<data_centre_id> evacuated);
    /// Drops and takes pools. @returns claims to write to the store
    std::vector<routing::claim_pool> decide(time_point now, const surroundings& view);
    /// @param revision of the claim's record, where the store accepted it
    void on_claim_answer(time_point now, const routing::pool_id& pool, std::optional<std::uint64_t> revision,
                         bool leaving);

    /// @returns false if the pool is not held here
    bool on_offer(time_point now, workers::job_offer& offer);
    void on_cancel(time_point now, const workers::job_cancel& cancel);
    /// A peer has reported losses of workers, or their causes.
    void on_losses(time_point now, const workers::job_losses& report);
    /// Known losses of workers under tasks of a job, held here or elsewhere.
    std::vector<workers::task_loss> losses_of(const routing::job_id& job) const { return m_losses.find(job); }
    void on_active_offers(time_point now, const workers::active_offers& offers);
    void on_owner_lost(time_point now, const endpoint& owner);
    void on_owner_timed_out(time_point now, const endpoint& owner);
    /// This process did not run for a while: leases have lapsed and other instances may hold its pools.
    void on_pause(time_point now);
    /// The pool that an answer belongs to; nullptr if it was given up since the order was sent.
    workers::pool* find(const pending_order& order);
    void on_other_pools(const routing::peer_table& peers, time_point now);
    void on_tick(time_point now);
    /// Passes on what the pools have decided. @returns false if there was nothing
    bool pump(time_point now);

    const routing::pool_map& directory() const { return m_directory; }
    std::vector<routing::pool_id> held() const;
    std::vector<workers::pool_load> loads(time_point now) const;
    std::size_t job_count() const;
    /// Runs on workers of a data centre, in the pools that are held here.
    std::size_t run_count(const data_centre_id& data_centre) const;
    /// Adds the instances whose jobs are here.
    void add_owners(std::set<endpoint>& owners) const;

private:
    void take(time_point now, const routing::pool_id& pool, workers::fencing_token token);
    void drop(time_point now, const routing::pool_id& pool, std::string_view cause);
    void execute(time_point now, const routing::pool_id& pool, workers::fencing_token token,
                 workers::action& action);

    pool_host_options m_options;
    pool_outputs& m_outputs;
    routing::ownership m_ownership;
    routing::pool_map m_directory;
    bool m_complete = false;
    std::set<data_centre_id> m_evacuated;
    std::map<routing::pool_id, std::unique_ptr<workers::pool>> m_pools;
    std::uint64_t m_last_run = 0;
    workers::loss_ledger m_losses;
};

}  // namespace poplarshed::instance
