#include "instance/store_link.h"

#include <algorithm>

namespace poplarshed::instance {

namespace {

// A watch is held this long, so that a connection that has gone silent is noticed within the time in which a
// configuration must be in force.
constexpr milliseconds watch_wait{1500};
constexpr milliseconds feed_retry{250};
// Workers write their entries often; a pause between watches lets one call return the changes of many. An
// eighth of the time within which a leaving worker must get no more work.
constexpr milliseconds workers_pause{250};
// A watch that was answered this long ago goes on where it stopped; the store remembers for longer.
constexpr milliseconds resumable_time{10'000};
// The least lease that the store grants is one second; three renewals fit into this one.
constexpr milliseconds lease_ttl{1500};
constexpr milliseconds renew_interval{450};
constexpr milliseconds lease_retry{300};
// The store counts as away after two renewals without an answer.
constexpr milliseconds away_after{1100};
constexpr milliseconds rewrite_interval{500};
// Items of a list in all its pages: ten times those of the largest site known. A list that goes on without
// end must not fill the memory.
constexpr std::size_t max_listed = 50'000;

constexpr std::array<std::string_view, store_call::purpose_count> purpose_names{
    "list", "watch", "grant", "renew", "write", "claim", "layout"};

}  // namespace

std::string_view to_string(store_call::purpose value)
{
    return purpose_names.at(static_cast<std::size_t>(value));
}

store_link::store_link(options values, const protocol& protocol, directory& items)
    : m_options(std::move(values)), m_protocol(protocol), m_directory(items)
{
    m_feeds[0].prefix = protocol.operator_prefix();
    m_feeds[1].prefix = protocol.workers_prefix();
    m_feeds[2].prefix = protocol.own_prefix();
}

std::vector<store_call> store_link::due(time_point now)
{
    std::vector<store_call> calls;
    if (m_watching) {
        add_feed_calls(now, calls);
    }
    if (!m_lease_pending && now >= m_next_lease) {
        m_lease_pending = true;
        m_next_lease = now + renew_interval;
        using purpose = store_call::purpose;
        calls.push_back(m_lease ? store_call{purpose::renew, 0, {}, m_protocol.renew_lease(*m_lease)}
                                : store_call{purpose::grant, 0, {}, m_protocol.grant_lease(lease_ttl)});
    }
    if (m_lease && reachable(now)) {
        add_record_calls(now, calls);
    }
    return calls;
}

void store_link::add_feed_calls(time_point now, std::vector<store_call>& calls)
{
    using purpose = store_call::purpose;
    for (std::size_t i = 0; i < feed_count; ++i) {
        feed& item = m_feeds.at(i);
        if (item.pending || now < item.next_try) {
            continue;
        }
        item.pending = true;
        if (item.state == feed_state::watching && now < item.answered + resumable_time) {
            calls.push_back(
                {purpose::watch, i, {}, m_protocol.watch_items(item.prefix, item.revision, watch_wait)});
        } else {
            item.state = feed_state::listing;
            calls.push_back({purpose::list, i, {}, m_protocol.list_items(item.prefix, item.after)});
        }
    }
}

void store_link::add_record_calls(time_point now, std::vector<store_call>& calls)
{
    const own_records& own = m_directory.own();
    const std::string value = own_records::value(m_options.address, m_options.data_centre);
    const auto write = [&](const std::string& key, std::optional<std::uint64_t> expected_revision) {
        m_rewritten[key] = now;
        calls.push_back({store_call::purpose::write, 0, key,
                         m_protocol.write_item({key, value, *m_lease, expected_revision})});
    };
    if (!m_recorded) {
        if (!std::exchange(m_record_pending, true)) {
            write(own.instance_key(), std::nullopt);
        }
        return;
    }
    std::vector<std::string> wanted{own.instance_key()};
    for (const routing::pool_id& pool : m_held) {
        wanted.push_back(own.pool_key(pool));
    }
    for (const std::string& key : wanted) {
        if (!m_directory.contains(key) && now >= m_rewritten[key] + rewrite_interval) {
            write(key, 0);
        }
    }
}

store_call store_link::claim(const routing::pool_id& pool, std::uint64_t expected_revision) const
{
    return {store_call::purpose::claim, 0, pool.value(),
            m_protocol.write_item({m_directory.own().pool_key(pool),
                                   own_records::value(m_options.address, m_options.data_centre),
                                   m_lease.value_or(0), expected_revision})};
}

store_call store_link::write_layout(const routing::layout_change& wanted) const
{
    const std::string key = m_directory.own().layout_key(wanted.group);
    // Without a lease: the division must outlive every instance that knows of it.
    return {store_call::purpose::layout, 0, key,
            m_protocol.write_item({key, own_records::value(wanted.pools), 0, wanted.expected_revision})};
}

store_answer store_link::on_answer(time_point now, const store_call& call, const http::response& response)
{
    using purpose = store_call::purpose;
    if (call.kind == purpose::list || call.kind == purpose::watch) {
        feed& item = m_feeds.at(call.feed);
        item.pending = false;
        call.kind == purpose::list ? on_items(now, item, response) : on_events(now, item, response);
        return {};
    }
    store_answer answer = m_protocol.decode_answer(response);
    // Records without a lease would outlive this instance, and workers refuse a token without a revision.
    if (answer.status == store_status::done && ((call.kind == purpose::grant && answer.lease == 0) ||
                                                (call.kind == purpose::claim && answer.revision == 0))) {
        answer.status = store_status::failed;
    }
    if (answer.status == store_status::failed) {
        m_directory.on_store_failure(now);
    } else {
        m_answered = now;
    }
    on_lease_answer(now, call, answer);
    return answer;
}

void store_link::on_lease_answer(time_point now, const store_call& call, const store_answer& answer)
{
    using purpose = store_call::purpose;
    if (call.kind == purpose::grant || call.kind == purpose::renew) {
        m_lease_pending = false;
        if (answer.status == store_status::failed) {
            m_next_lease = now + lease_retry;
        } else if (call.kind == purpose::grant && answer.status == store_status::done) {
            m_lease = answer.lease;
            m_recorded = false;
        }
    } else if (call.kind == purpose::write && call.key == m_directory.own().instance_key()) {
        m_record_pending = false;
        m_recorded = m_recorded || answer.status == store_status::done;
    }
    if (answer.status == store_status::lease_lapsed) {
        m_lease.reset();
        m_recorded = false;
        m_next_lease = now;
    }
}

void store_link::on_items(time_point now, feed& item, const http::response& response)
{
    auto page = m_protocol.decode_items(response);
    if (!page || !goes_on(item, page.value())) {
        report_unreadable(item, response);
        m_directory.on_store_failure(now);
        item.next_try = now + feed_retry;
        item.after.clear();
        item.page.clear();
        return;
    }
    m_answered = now;
    report_skipped(item, page.value());
    auto& items = page.value().items;
    if (item.after.empty()) {
        // Changes after the first page are seen by the watch, which begins there.
        item.revision = page.value().revision;
    }
    item.page.insert(item.page.end(), items.begin(), items.end());
    if (page.value().more) {
        item.after = items.back().key;
        return;
    }
    m_directory.on_list(now, item.prefix, item.page);
    item.after.clear();
    item.page.clear();
    item.state = feed_state::watching;
    item.listed = true;
    item.answered = now;
}

// A page that does not lead to the next one would be asked for again and again, or taken for the last one.
bool store_link::goes_on(const feed& item, const store_page& page)
{
    if (item.page.size() + page.items.size() > max_listed) {
        return false;
    }
    return !page.more || (!page.items.empty() && page.items.back().key > item.after);
}

void store_link::report_skipped(const feed& item, const store_page& page)
{
    if (page.skipped > 0) {
        m_directory.skip(item.prefix, {input_fault::unreadable, "rows without a key"});
    }
}

void store_link::report_unreadable(const feed& item, const http::response& response)
{
    constexpr int http_ok = 200;
    if (response.answered() && response.status == http_ok) {
        m_directory.skip(item.prefix, {input_fault::unreadable, "a list or watch cannot be read"});
    }
}

void store_link::on_events(time_point now, feed& item, const http::response& response)
{
    auto page = m_protocol.decode_items(response);
    if (!page) {
        // What was missed meanwhile is found by listing anew.
        item.state = feed_state::idle;
        report_unreadable(item, response);
        if (page.error() != store_status::history_lost) {
            item.next_try = now + feed_retry;
            m_directory.on_store_failure(now);
        }
        return;
    }
    m_answered = now;
    item.answered = now;
    report_skipped(item, page.value());
    m_directory.on_events(now, page.value().items);
    item.revision = std::max(item.revision, page.value().revision);
    if (item.prefix == m_protocol.workers_prefix()) {
        item.next_try = now + workers_pause;
    }
}

bool store_link::reachable(time_point now) const
{
    return m_answered != time_point{} && now < m_answered + away_after;
}

bool store_link::watches(time_point now) const
{
    return m_watching && reachable(now) &&
           std::all_of(m_feeds.begin(), m_feeds.end(), [now](const feed& item) {
               return item.listed && now < item.answered + watch_wait + away_after;
           });
}

}  // namespace poplarshed::instance
