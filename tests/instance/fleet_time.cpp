#include "instance/fleet_time.h"

#include <algorithm>
#include <utility>

namespace poplarshed::instance::test {

namespace {

constexpr time_point start_time{seconds(1000)};
// Faults that began this long before a job may still bear on it.
constexpr milliseconds context{2500};
// Of the virtual time of day; any number that is far from 0.
constexpr std::uint64_t wall_base = 1'700'000'000'000'000;

std::uint64_t& wall_time()
{
    static std::uint64_t value = wall_base;
    return value;
}

milliseconds since_start(time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - start_time);
}

}  // namespace

milliseconds virtual_time::elapsed() const
{
    return since_start(m_now);
}

void virtual_time::after(milliseconds delay, std::function<void()> call)
{
    m_calls.emplace(m_now + delay, std::move(call));
}

void virtual_time::step()
{
    m_now += milliseconds(1);
    while (!m_calls.empty() && m_calls.begin()->first <= m_now) {
        const auto call = std::move(m_calls.begin()->second);
        m_calls.erase(m_calls.begin());
        call();
    }
}

milliseconds virtual_time::between(milliseconds least, milliseconds greatest)
{
    return least + milliseconds(static_cast<std::int64_t>(
                       m_random.below(static_cast<std::uint64_t>((greatest - least).count() + 1))));
}

void virtual_time::note(const std::string& job, std::string text)
{
    m_notes.push_back({elapsed(), job, std::move(text)});
}

std::string virtual_time::history(const std::string& job) const
{
    const auto first =
        std::find_if(m_notes.begin(), m_notes.end(), [&job](const entry& item) { return item.job == job; });
    const milliseconds from = (first == m_notes.end() ? elapsed() : first->at) - context;
    std::string text;
    for (const entry& item : m_notes) {
        if (item.at >= from && (item.job == job || item.job.empty())) {
            text += "\n  " + std::to_string(item.at.count()) + " ms " + item.text;
        }
    }
    return text;
}

void set_wall_time(time_point virtual_now, milliseconds offset)
{
    const auto elapsed = std::chrono::duration_cast<microseconds>(virtual_now - start_time + offset);
    wall_time() = wall_base + static_cast<std::uint64_t>(elapsed.count());
}

}  // namespace poplarshed::instance::test

namespace poplarshed {

// Take the place of source/common/clock.cpp in this program, whose clocks would make run numbers differ from
// one run of a seed to the next.
std::uint64_t wall_microseconds()
{
    return instance::test::wall_time();
}

time_point boot_time_now()
{
    return time_point(microseconds(instance::test::wall_time()));
}

}  // namespace poplarshed
