#include "common/clock.h"

#include <utility>

namespace poplarshed {

time_point boot_time_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

time_point steady_time_of(time_point at)
{
    return at == time_point::max() ? at : steady_clock::now() + (at - boot_time_now());
}

std::uint64_t wall_microseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(now).count());
}

timer_service::subscription timer_service::add(entry item)
{
    const std::uint64_t id = ++m_last;
    m_queue.emplace(item.due, id);
    m_entries.emplace(id, std::move(item));
    return static_cast<subscription>(id);
}

timer_service::subscription timer_service::at(time_point due, callback action)
{
    return add({due, duration::zero(), std::move(action)});
}

timer_service::subscription timer_service::every(duration period, time_point first, callback action)
{
    return add({first, period, std::move(action)});
}

void timer_service::cancel(subscription id)
{
    const auto found = m_entries.find(static_cast<std::uint64_t>(id));
    if (found == m_entries.end()) {
        return;
    }
    auto [begin, end] = m_queue.equal_range(found->second.due);
    for (auto it = begin; it != end; ++it) {
        if (it->second == found->first) {
            m_queue.erase(it);
            break;
        }
    }
    m_entries.erase(found);
}

void timer_service::run(time_point now)
{
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
        const std::uint64_t id = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        const auto found = m_entries.find(id);
        // The callback may cancel its own subscription, so it runs from a copy.
        const callback action = found->second.action;
        if (found->second.period == duration::zero()) {
            m_entries.erase(found);
        } else {
            found->second.due = now + found->second.period;
            m_queue.emplace(found->second.due, id);
        }
        action(now);
    }
}

time_point timer_service::next() const
{
    return m_queue.empty() ? time_point::max() : m_queue.begin()->first;
}

}  // namespace poplarshed
