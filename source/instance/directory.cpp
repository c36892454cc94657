#include "instance/directory.h"

#include <algorithm>

namespace poplarshed::instance {

namespace {

// Entries that lapsed during an outage of the store are back within two seconds of its return.
constexpr milliseconds vanished_time{2300};
// A call has failed within this time: removals may be due to the outage.
constexpr milliseconds recent_outage{4000};
constexpr milliseconds outage_memory{2500};
// A worker that lapsed without draining may be cut off from the store and run on; cuts last some seconds.
constexpr milliseconds lapse_memory{30'000};
// Removals that are remembered for peers; beyond it they get all items.
constexpr std::size_t max_removed = 4096;
// Reports that wait for the owner, who takes them after each call; a whole list of odd items of the largest
// site.
constexpr std::size_t max_skipped = 4096;
// The key alone is the order.
constexpr std::string_view evacuation_value = "{}";

}  // namespace

directory::directory(const protocol& protocol, const std::string& node, std::uint64_t first_sequence)
    : m_protocol(protocol),
      m_operator_prefix(protocol.operator_prefix()),
      m_evacuation_prefix(protocol.evacuation_prefix()),
      m_workers_prefix(protocol.workers_prefix()),
      m_own(protocol.own_prefix(), node),
      m_sequence(first_sequence),
      m_first_sequence(first_sequence)
{}

void directory::on_list(time_point now, const std::string& prefix, const std::vector<store_item>& items)
{
    std::set<std::string> present;
    for (const store_item& one : items) {
        present.insert(one.key);
        apply(now, one);
    }
    keep_only(now, prefix, present);
}

void directory::on_events(time_point now, const std::vector<store_item>& items)
{
    for (const store_item& one : items) {
        apply(now, one);
    }
}

bool directory::was_removed(const std::string& key, std::uint64_t revision) const
{
    const auto removed = m_removed.find(key);
    return removed != m_removed.end() && revision < removed->second.content.revision;
}

bool directory::on_relay(time_point now, const workers::directory_push& push)
{
    bool is_behind = false;
    std::set<std::string> present;
    for (const workers::directory_item& one : push.items) {
        is_behind = is_behind || (!one.value.empty() && was_removed(one.key, one.revision));
        present.insert(one.key);
        apply(now, {one.key, one.value, one.revision, one.value.empty()});
    }
    // A peer that knows less than this instance cannot tell what is gone.
    if (push.complete && push.revision >= m_revision) {
        keep_only(now, "", present);
    }
    return !is_behind;
}

void directory::on_configuration(const workers::directory_push& push)
{
    for (const workers::directory_item& one : push.items) {
        const store_item content{one.key, one.value, one.revision, one.value.empty()};
        if (const auto fault = fault_of(content)) {
            skip(content.key, *fault);
        } else if (content.key == m_protocol.configuration_key()) {
            apply_configuration(content);
        }
    }
}

void directory::apply(time_point now, const store_item& content)
{
    m_lapsed = m_lapsed == time_point{} ? now : m_lapsed;
    if (is_unused(content.key)) {
        return;
    }
    if (const auto fault = fault_of(content)) {
        skip(content.key, *fault);
        return;
    }
    m_revision = std::max(m_revision, content.revision);
    if (content.key == m_protocol.configuration_key()) {
        apply_configuration(content);
        return;
    }
    const auto known = m_items.find(content.key);
    if (known != m_items.end() && known->second.content.revision > content.revision) {
        return;
    }
    if (content.removed) {
        remove(now, content);
        return;
    }
    if (was_removed(content.key, content.revision)) {
        return;
    }
    const auto removed = m_removed.find(content.key);
    m_vanished.erase(content.key);
    const bool matters = !is_worker(content.key) || apply_worker(now, content);
    item& kept = m_items[content.key];
    // A new division gives pools to holders that do not know what runs on the workers of the other pools.
    if (m_own.is_layout(content.key) && !kept.content.key.empty() && kept.content.value != content.value) {
        m_lapsed = now;
    }
    kept.content = content;
    if (is_evacuation(content.key)) {
        // Peers take an empty value for a removal.
        kept.content.value = evacuation_value;
    }
    if (matters) {
        kept.changed =
            number(content.key, removed == m_removed.end() ? kept.changed : removed->second.changed);
        if (removed != m_removed.end()) {
            m_removed.erase(removed);
        }
        if (!is_worker(content.key)) {
            apply_own(content);
        }
        mark(content.key);
    }
}

void directory::apply_configuration(const store_item& content)
{
    if (!content.removed && content.revision > m_configuration.content.revision) {
        m_configuration = {content, number(content.key, m_configuration.changed)};
        m_changes.configuration = true;
    }
}

void directory::apply_own(const store_item& content)
{
    if (const auto fault = m_own.apply(content)) {
        skip(content.key, *fault);
    } else {
        m_faults.forget(content.key);
    }
}

bool directory::is_unused(const std::string& key) const
{
    return key.starts_with(m_operator_prefix) && !is_evacuation(key) && key != m_protocol.configuration_key();
}

std::optional<input_error> directory::fault_of(const store_item& content) const
{
    const std::string& key = content.key;
    if (is_evacuation(key) && (key.size() == m_evacuation_prefix.size() ||
                               key.find('/', m_evacuation_prefix.size()) != std::string::npos)) {
        return input_error{input_fault::key, "the key names no data centre"};
    }
    const bool known_kind = key == m_protocol.configuration_key() || is_evacuation(key) || is_worker(key) ||
                            key.starts_with(m_own.prefix());
    if (!known_kind || key.size() > max_key_bytes ||
        !std::all_of(key.begin(), key.end(), [](unsigned char c) { return c > ' ' && c != 0x7f; })) {
        return input_error{input_fault::key, "the key is too long, has odd bytes, or is of no known kind"};
    }
    if (content.revision == 0 || content.revision > max_revision) {
        return input_error{input_fault::revision, "the revision is out of range"};
    }
    return std::nullopt;
}

bool directory::apply_worker(time_point now, const store_item& content)
{
    auto decoded = m_protocol.decode_worker(content.key, content.value);
    const auto known = m_workers.find(content.key);
    if (!decoded) {
        skip(content.key, decoded.error());
        if (known == m_workers.end()) {
            return !m_items.contains(content.key);
        }
        // Whoever has overwritten the entry, the worker may run on.
        m_lapsed = known->second.draining ? m_lapsed : now;
        m_workers.erase(known);
        return true;
    }
    m_faults.forget(content.key);
    if (known != m_workers.end() && known->second == decoded.value()) {
        return false;
    }
    if (known != m_workers.end() && (known->second.service != decoded.value().service ||
                                     known->second.data_centre != decoded.value().data_centre)) {
        m_lapsed = now;
    }
    m_workers.insert_or_assign(content.key, std::move(decoded).value());
    return true;
}

void directory::skip(const std::string& key, const input_error& cause)
{
    // Keys of other writers have any length.
    const std::string shown = key.substr(0, max_key_bytes);
    if (m_skipped.size() < max_skipped && m_faults.is_new(shown, cause)) {
        m_skipped.push_back({shown, cause});
    }
}

void directory::remove(time_point now, const store_item& content)
{
    if (!m_items.contains(content.key)) {
        return;
    }
    // Entries that lapse while the store is away come back soon after its return.
    if (is_worker(content.key) && now < m_failed + recent_outage) {
        m_vanished.try_emplace(content.key, now);
        return;
    }
    drop(now, content.key, content.revision);
}

void directory::drop(time_point now, const std::string& key, std::uint64_t revision)
{
    const auto known = m_items.find(key);
    if (known == m_items.end()) {
        return;
    }
    const auto worker = m_workers.find(key);
    if (worker != m_workers.end()) {
        m_lapsed = worker->second.draining ? m_lapsed : now;
        m_workers.erase(worker);
    }
    if (m_removed.size() >= max_removed) {
        for (const auto& [gone, one] : m_removed) {
            m_changed_keys.erase(one.changed);
        }
        m_removed.clear();
        m_first_sequence = m_sequence;
    }
    item& removed = m_removed[key];
    removed.content = {key, {}, std::max(revision, known->second.content.revision), true};
    removed.changed = number(key, known->second.changed);
    m_items.erase(known);
    m_faults.forget(key);
    m_own.forget(key);
    mark(key);
}

void directory::keep_only(time_point now, const std::string& prefix, const std::set<std::string>& present)
{
    std::vector<std::string> missing;
    for (const auto& [key, one] : m_items) {
        if (key.starts_with(prefix) && !present.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing) {
        if (is_worker(key)) {
            m_vanished.try_emplace(key, now);
        } else {
            drop(now, key);
        }
    }
}

void directory::forget_vanished(time_point now)
{
    for (auto position = m_vanished.begin(); position != m_vanished.end();) {
        if (now > position->second + vanished_time) {
            drop(now, position->first);
            position = m_vanished.erase(position);
        } else {
            ++position;
        }
    }
}

void directory::mark(const std::string& key)
{
    m_changes.workers = m_changes.workers || is_worker(key);
    m_changes.instances = m_changes.instances || m_own.is_instance(key);
    m_changes.layout = m_changes.layout || m_own.is_layout(key);
    m_changes.evacuations = m_changes.evacuations || is_evacuation(key);
}

directory::change directory::take_changes()
{
    return std::exchange(m_changes, {});
}

std::vector<directory::skipped_entry> directory::take_skipped()
{
    return std::exchange(m_skipped, {});
}

std::uint64_t directory::number(const std::string& key, std::uint64_t before)
{
    m_changed_keys.erase(before);
    m_changed_keys.emplace(++m_sequence, key);
    return m_sequence;
}

workers::directory_push directory::changes_since(std::uint64_t sequence) const
{
    workers::directory_push push;
    push.revision = m_revision;
    push.sequence = m_sequence;
    push.complete = !remembers(sequence);
    for (auto place = m_changed_keys.upper_bound(push.complete ? 0 : sequence); place != m_changed_keys.end();
         ++place) {
        const std::string& key = place->second;
        if (key == m_configuration.content.key) {
            push.items.push_back({key, m_configuration.content.revision, m_configuration.content.value});
        } else if (const auto kept = m_items.find(key); kept != m_items.end()) {
            push.items.push_back({key, kept->second.content.revision, kept->second.content.value});
        } else if (!push.complete) {
            push.items.push_back({key, m_removed.at(key).content.revision, {}});
        }
    }
    return push;
}

workers::directory_push directory::configuration() const
{
    workers::directory_push push;
    push.configuration_only = true;
    const store_item& content = m_configuration.content;
    if (!content.key.empty()) {
        push.items.push_back({content.key, content.revision, content.value});
    }
    return push;
}

std::vector<workers::worker_entry> directory::workers() const
{
    std::vector<workers::worker_entry> found;
    found.reserve(m_workers.size());
    for (const auto& [key, entry] : m_workers) {
        found.push_back(entry);
    }
    return found;
}

std::set<data_centre_id> directory::evacuated() const
{
    std::set<data_centre_id> found;
    for (auto place = m_items.lower_bound(m_evacuation_prefix);
         place != m_items.end() && is_evacuation(place->first); ++place) {
        found.emplace(place->first.substr(m_evacuation_prefix.size()));
    }
    return found;
}

bool directory::complete(time_point now) const
{
    return now > m_failed + outage_memory && now > m_lapsed + lapse_memory;
}

}  // namespace poplarshed::instance
