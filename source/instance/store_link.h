#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "instance/directory.h"

namespace poplarshed::instance {

/// Call of the store link. `kind` tells the link what an answer belongs to.
struct store_call {
    enum class purpose { list, watch, grant, renew, write, claim, layout };
    static constexpr std::size_t purpose_count = 7;

    purpose kind = purpose::list;
    std::size_t feed = 0;  ///< of list and watch
    std::string key;       ///< of write, claim and layout
    http::request request;
    time_point sent{};
};

/// Name of a call in metrics.
std::string_view to_string(store_call::purpose value);

/// Keeps the directory up to date from the store, and this instance's lease and records there. Decides when
/// to call; the owner makes the calls. Not thread-safe.
class store_link {
public:
    struct options {
        endpoint address;  ///< of this instance, for its peers
        data_centre_id data_centre;
    };

    store_link(options values, const protocol& protocol, directory& items);

    /// Calls that are due.
    std::vector<store_call> due(time_point now);
    /// Call that writes this instance's name to a pool's record.
    store_call claim(const routing::pool_id& pool, std::uint64_t expected_revision) const;
    /// Call that writes into how many pools a group of workers is divided.
    store_call write_layout(const routing::layout_change& wanted) const;
    /// @returns the answer to a write or claim; `failed` for the other calls
    store_answer on_answer(time_point now, const store_call& call, const http::response& response);

    /// While a peer passes the directory on, the store is not watched from here.
    void set_watching(bool watching) { m_watching = watching; }
    /// The store answers, and every watch is in place.
    bool watches(time_point now) const;
    bool reachable(time_point now) const;
    std::optional<std::uint64_t> lease() const { return m_lease; }
    /// Pools that this instance holds, whose records are written again under a new lease.
    void set_held(std::vector<routing::pool_id> pools) { m_held = std::move(pools); }

private:
    enum class feed_state { idle, listing, watching };

    struct feed {
        std::string prefix;
        feed_state state = feed_state::idle;
        bool pending = false;
        bool listed = false;  ///< at least once
        std::string after;
        std::uint64_t revision = 0;
        std::vector<store_item> page;
        time_point next_try;
        time_point answered;
    };

    static constexpr std::size_t feed_count = 3;

    void on_items(time_point now, feed& item, const http::response& response);
    static bool goes_on(const feed& item, const store_page& page);
    void report_unreadable(const feed& item, const http::response& response);
    void report_skipped(const feed& item, const store_page& page);
    void on_events(time_point now, feed& item, const http::response& response);
    void add_feed_calls(time_point now, std::vector<store_call>& calls);
    void add_record_calls(time_point now, std::vector<store_call>& calls);
    void on_lease_answer(time_point now, const store_call& call, const store_answer& answer);

    options m_options;
    const protocol& m_protocol;
    directory& m_directory;
    std::array<feed, feed_count> m_feeds;
    bool m_watching = true;
    time_point m_answered;
    std::optional<std::uint64_t> m_lease;
    bool m_lease_pending = false;
    bool m_record_pending = false;
    bool m_recorded = false;
    time_point m_next_lease;
    std::vector<routing::pool_id> m_held;
    std::map<std::string, time_point> m_rewritten;
};

}  // namespace poplarshed::instance
