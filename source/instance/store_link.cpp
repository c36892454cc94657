#include "instance/store_link.h"

#include <algorithm>

namespace poplarshed::instance {

namespace {

// A watch is held this long, so that a connection that has gone silent is noticed within the time in which a
// configuration must be in force.
constexpr milliseconds watch_wait{1500};
constexpr milliseconds feed_retry{250};
// Workers write their entries often; a pause between watches lets one call return the changes of many. A
// fifth of the time within which a leaving worker must get no more work.
constexpr milliseconds workers_pause{400};
// Entries that lapsed during an outage of the store are back within two seconds of its return.
constexpr milliseconds vanished_time{2300};
// The least lease that the store grants is one second; three renewals fit into this one.
constexpr milliseconds lease_ttl{1500};
constexpr milliseconds renew_interval{450};
constexpr milliseconds lease_retry{300};
// The store counts as away after two renewals without an answer.
constexpr milliseconds away_after{1100};
constexpr milliseconds rewrite_interval{500};
// A call has failed within this time: removals may be due to the outage.
constexpr milliseconds recent_outage{4000};

}  // namespace

store_link::store_link(options values, const protocol& protocol)
    : m_options(std::move(values)), m_protocol(protocol), m_own(protocol.own_prefix(), m_options.node)
{
    m_feeds[0].prefix = protocol.configuration_key();
    m_feeds[1].prefix = protocol.workers_prefix();
    m_feeds[2].prefix = m_own.prefix();
}

std::vector<store_call> store_link::due(time_point now)
{
    if (m_lapsed == time_point{}) {
        m_lapsed = now;
    }
    using purpose = store_call::purpose;
    std::vector<store_call> calls;
    forget_vanished(now);
    for (std::size_t i = 0; i < feed_count; ++i) {
        feed& item = m_feeds.at(i);
        if (item.pending || now < item.next_try) {
            continue;
        }
        item.pending = true;
        if (item.state == feed_state::watching) {
            calls.push_back(
                {purpose::watch, i, {}, m_protocol.watch_items(item.prefix, item.revision, watch_wait)});
        } else {
            item.state = feed_state::listing;
            calls.push_back({purpose::list, i, {}, m_protocol.list_items(item.prefix, item.after)});
        }
    }
    if (!m_lease_pending && now >= m_next_lease) {
        m_lease_pending = true;
        m_next_lease = now + renew_interval;
        calls.push_back(m_lease ? store_call{purpose::renew, 0, {}, m_protocol.renew_lease(*m_lease)}
                                : store_call{purpose::grant, 0, {}, m_protocol.grant_lease(lease_ttl)});
    }
    if (!m_lease || !current(now)) {
        return calls;
    }
    const auto rewrite = [&](const std::string& key) {
        time_point& last = m_rewritten[key];
        const auto known = m_items.find(key);
        if (known != m_items.end() || now < last + rewrite_interval) {
            return;
        }
        last = now;
        calls.push_back({purpose::write, 0, key,
                         m_protocol.write_item(
                             {key, m_own.value(m_options.address, m_options.data_centre), *m_lease, 0})});
    };
    if (!m_recorded && !m_record_pending) {
        m_record_pending = true;
        m_rewritten[m_own.instance_key()] = now;
        calls.push_back({purpose::write, 0, m_own.instance_key(),
                         m_protocol.write_item({m_own.instance_key(),
                                                m_own.value(m_options.address, m_options.data_centre),
                                                *m_lease, std::nullopt})});
    } else if (m_recorded) {
        rewrite(m_own.instance_key());
    }
    for (const routing::pool_id& pool : m_held) {
        rewrite(m_own.pool_key(pool));
    }
    return calls;
}

store_call store_link::claim(const routing::pool_id& pool, std::uint64_t expected_revision) const
{
    const std::string key = m_own.pool_key(pool);
    return {store_call::purpose::claim, 0, pool.value(),
            m_protocol.write_item({key, m_own.value(m_options.address, m_options.data_centre),
                                   m_lease.value_or(0), expected_revision})};
}

store_call store_link::write_layout(const routing::layout_change& wanted) const
{
    const std::string key = m_own.layout_key(wanted.group);
    // Without a lease: the division must outlive every instance that knows of it.
    return {store_call::purpose::layout, 0, key,
            m_protocol.write_item({key, m_own.value(wanted.pools), 0, wanted.expected_revision})};
}

std::optional<store_call> store_link::leave()
{
    if (!m_lease) {
        return std::nullopt;
    }
    return store_call{store_call::purpose::end, 0, {}, m_protocol.end_lease(*m_lease)};
}

store_answer store_link::on_answer(time_point now, const store_call& call, const http::response& response)
{
    using purpose = store_call::purpose;
    m_now = now;
    if (call.kind == purpose::list || call.kind == purpose::watch) {
        feed& item = m_feeds.at(call.feed);
        item.pending = false;
        call.kind == purpose::list ? on_items(now, item, response) : on_events(now, item, response);
        return {};
    }
    const store_answer answer = m_protocol.decode_answer(response);
    if (answer.status == store_status::failed) {
        m_failed = now;
    } else {
        m_answered = now;
    }
    if (call.kind == purpose::grant || call.kind == purpose::renew) {
        m_lease_pending = false;
        if (answer.status == store_status::lease_lapsed) {
            m_lease.reset();
            m_recorded = false;
            m_next_lease = now;
        } else if (answer.status == store_status::failed) {
            m_next_lease = now + lease_retry;
        } else if (call.kind == purpose::grant) {
            m_lease = answer.lease;
            m_recorded = false;
        }
    } else if (call.kind == purpose::write && call.key == m_own.instance_key()) {
        m_record_pending = false;
        m_recorded = m_recorded || answer.status == store_status::done;
    }
    if (answer.status == store_status::lease_lapsed) {
        m_lease.reset();
        m_recorded = false;
    }
    return answer;
}

void store_link::on_items(time_point now, feed& item, const http::response& response)
{
    auto page = m_protocol.decode_items(response);
    if (!page) {
        m_failed = now;
        item.next_try = now + feed_retry;
        item.after.clear();
        item.page.clear();
        return;
    }
    m_answered = now;
    auto& items = page.value().items;
    if (item.after.empty()) {
        // Changes after the first page are seen by the watch, which begins there.
        item.revision = page.value().revision;
    }
    item.page.insert(item.page.end(), items.begin(), items.end());
    if (page.value().more && !items.empty()) {
        item.after = items.back().key;
        return;
    }
    replace(now, item);
    item.after.clear();
    item.page.clear();
    item.state = feed_state::watching;
    item.listed = true;
    item.answered = now;
}

void store_link::replace(time_point now, feed& item)
{
    std::set<std::string> present;
    for (const store_item& one : item.page) {
        present.insert(one.key);
        apply(one);
    }
    keep_only(now, item.prefix, present);
}

// Worker entries that a whole list lacks stay for a while: they may have lapsed in an outage of the store.
void store_link::keep_only(time_point now, const std::string& prefix, const std::set<std::string>& present)
{
    std::vector<std::string> missing;
    for (const auto& [key, one] : m_items) {
        if (key.starts_with(prefix) && !present.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing) {
        if (key.starts_with(m_protocol.workers_prefix())) {
            m_vanished.try_emplace(key, now);
        } else {
            drop(key);
            mark(key);
        }
    }
}

void store_link::forget_vanished(time_point now)
{
    for (auto position = m_vanished.begin(); position != m_vanished.end();) {
        if (reachable(now) && now > position->second + vanished_time) {
            drop(position->first);
            mark(position->first);
            position = m_vanished.erase(position);
        } else {
            ++position;
        }
    }
}

void store_link::on_events(time_point now, feed& item, const http::response& response)
{
    auto page = m_protocol.decode_items(response);
    if (!page) {
        item.next_try = now + feed_retry;
        m_failed = now;
        if (page.error() == store_status::history_lost) {
            m_failed = m_answered;
            item.next_try = now;
        }
        // What was missed meanwhile is found by listing anew.
        item.state = feed_state::idle;
        return;
    }
    m_answered = now;
    item.answered = now;
    for (const store_item& one : page.value().items) {
        apply(one);
    }
    item.revision = std::max(item.revision, page.value().revision);
    if (item.prefix == m_protocol.workers_prefix()) {
        item.next_try = now + workers_pause;
    }
}

void store_link::apply(const store_item& item)
{
    m_revision = std::max(m_revision, item.revision);
    if (item.key == m_protocol.configuration_key()) {
        if (!item.removed && item.revision > m_configuration.revision) {
            m_configuration = item;
            m_changes.configuration = true;
        }
        return;
    }
    const auto known = m_items.find(item.key);
    if (known != m_items.end() && known->second.revision > item.revision) {
        return;
    }
    if (item.removed) {
        // Entries that lapse while the store is away come back soon after its return.
        if (item.key.starts_with(m_protocol.workers_prefix()) && m_now < m_failed + recent_outage) {
            m_vanished.try_emplace(item.key, m_now);
            return;
        }
        drop(item.key);
    } else {
        m_vanished.erase(item.key);
        m_items.insert_or_assign(item.key, item);
        m_own.apply(item);
    }
    mark(item.key);
}

void store_link::drop(const std::string& key)
{
    const auto known = m_items.find(key);
    if (known == m_items.end()) {
        return;
    }
    if (key.starts_with(m_protocol.workers_prefix())) {
        const auto entry = m_protocol.decode_worker(key, known->second.value);
        m_lapsed = entry && entry.value().draining ? m_lapsed : m_now;
    }
    m_items.erase(known);
    m_own.forget(key);
}

void store_link::mark(const std::string& key)
{
    m_changes.workers = m_changes.workers || key.starts_with(m_protocol.workers_prefix());
    m_changes.instances = m_changes.instances || m_own.is_instance(key);
    m_changes.layout = m_changes.layout || m_own.is_layout(key);
}

void store_link::on_relay(time_point now, const workers::directory_push& push)
{
    if (push.revision < m_revision || current(now)) {
        return;
    }
    std::set<std::string> present;
    for (const workers::directory_item& item : push.items) {
        present.insert(item.key);
        apply({item.key, item.value, item.revision, false});
    }
    keep_only(now, "", present);
    m_revision = std::max(m_revision, push.revision);
}

workers::directory_push store_link::relay() const
{
    workers::directory_push push;
    push.revision = m_revision;
    if (!m_configuration.key.empty()) {
        push.items.push_back({m_configuration.key, m_configuration.revision, m_configuration.value});
    }
    for (const auto& [key, item] : m_items) {
        push.items.push_back({key, item.revision, item.value});
    }
    return push;
}

store_link::change store_link::take_changes()
{
    return std::exchange(m_changes, {});
}

std::vector<store_item> store_link::worker_items() const
{
    std::vector<store_item> found;
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(m_protocol.workers_prefix())) {
            found.push_back(item);
        }
    }
    return found;
}

bool store_link::reachable(time_point now) const
{
    return m_answered != time_point{} && now < m_answered + away_after;
}

bool store_link::current(time_point now) const
{
    return reachable(now) && std::all_of(m_feeds.begin(), m_feeds.end(), [now](const feed& item) {
               return item.listed && now < item.answered + watch_wait + away_after;
           });
}

}  // namespace poplarshed::instance
