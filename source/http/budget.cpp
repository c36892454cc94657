#include "http/budget.h"

#include <algorithm>

namespace poplarshed::http {

namespace {

constexpr std::size_t min_small_bytes = std::size_t{4} * 1024;
constexpr std::size_t max_small_bytes = std::size_t{16} * 1024;

std::size_t small_bytes_of(const budget_limits& limits)
{
    const std::size_t share = limits.bytes / 2 / std::max<std::size_t>(limits.connections, 1);
    return std::clamp(share, min_small_bytes, max_small_bytes);
}

}  // namespace

budget::budget(const budget_limits& limits) : m_limits(limits), m_small_bytes(small_bytes_of(limits)) {}

void budget::open(connection_id id, time_point now)
{
    entry& added = m_entries[id];
    added.progress = now;
    m_held += added.held;
}

void budget::close(connection_id id)
{
    set_small(id);
    const auto node = m_entries.extract(id);
    if (!node.empty()) {
        m_held -= node.mapped().held;
    }
}

void budget::set_held(connection_id id, std::size_t bytes)
{
    entry& item = m_entries.at(id);
    m_held -= item.held;
    item.held = bytes + connection_bytes;
    m_held += item.held;
}

void budget::on_moved(connection_id id, std::size_t bytes, time_point now)
{
    entry& item = m_entries.at(id);
    item.moved += bytes;
    if (item.moved * 1000 >= m_limits.progress_bytes_per_s * static_cast<std::size_t>(stall_time.count())) {
        restart(id, now);
    }
}

void budget::restart(connection_id id, time_point now)
{
    entry& item = m_entries.at(id);
    item.moved = 0;
    item.progress = now;
}

void budget::set_owed(connection_id id, bool owed, time_point now)
{
    entry& item = m_entries.at(id);
    if (item.owed != owed) {
        item.owed = owed;
        restart(id, now);
    }
}

bool budget::try_make_large(connection_id id)
{
    entry& item = m_entries.at(id);
    if (item.large) {
        return true;
    }
    if (!accepts_large()) {
        return false;
    }
    item.large = ++m_last_large;
    m_large.emplace(*item.large, id);
    return true;
}

void budget::set_small(connection_id id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.large) {
        m_large.erase(*found->second.large);
        found->second.large.reset();
    }
}

bool budget::is_large(connection_id id) const
{
    return m_entries.at(id).large.has_value();
}

bool budget::may_receive(connection_id id) const
{
    return !under_pressure() || !is_large(id) || m_large.begin()->second == id;
}

std::optional<connection_id> budget::memory_victim(time_point now) const
{
    return victim(now, 2 * connection_bytes);
}

std::optional<connection_id> budget::connection_victim(time_point now) const
{
    return victim(now, 0);
}

std::optional<connection_id> budget::victim(time_point now, std::size_t least_held) const
{
    std::optional<connection_id> chosen;
    double greatest = 0;
    for (const auto& [id, item] : m_entries) {
        const duration stalled = now - item.progress;
        if (item.owed || item.held < least_held || stalled < stall_time) {
            continue;
        }
        const double weight = static_cast<double>(item.held) * std::chrono::duration<double>(stalled).count();
        if (weight > greatest) {
            greatest = weight;
            chosen = id;
        }
    }
    return chosen;
}

}  // namespace poplarshed::http
