#include "instance/fleet_store.h"

#include <utility>

namespace poplarshed::instance::test {

namespace {

constexpr milliseconds lease_time{1300};
constexpr milliseconds call_timeout{700};
constexpr milliseconds greatest_delay{8};
constexpr double lost_answers = 0.03;
constexpr milliseconds least_late_answer{100};
constexpr milliseconds least_deferral{1000};
constexpr milliseconds greatest_deferral{6000};

}  // namespace

void virtual_store::publish(routing::pool_map directory)
{
    m_directory = std::make_shared<routing::pool_map>(std::move(directory));
}

void virtual_store::set_evacuated(const data_centre_id& data_centre, bool evacuated)
{
    if (evacuated) {
        m_evacuated.insert(data_centre);
    } else {
        m_evacuated.erase(data_centre);
    }
}

void virtual_store::go_away(milliseconds length, bool leases_pause)
{
    m_away_until = std::max(m_away_until, m_time.now() + length);
    for (auto& [owner, until] : m_leases) {
        until += leases_pause ? length : milliseconds(0);
    }
}

void virtual_store::read(session from, std::function<void(store_view)> answer)
{
    if (is_away()) {
        return;
    }
    m_leases[from] = std::max(m_leases[from], m_time.now() + lease_time);
    const auto stale = m_stale.find(from.first);
    const bool is_stale = stale != m_stale.end() && m_time.now() < stale->second.until;
    store_view view = is_stale ? stale->second.view : current();
    m_time.after(m_time.between(milliseconds(1), greatest_delay),
                 [answer = std::move(answer), view = std::move(view)] { answer(view); });
}

store_view virtual_store::current() const
{
    store_view view;
    view.directory = m_directory;
    view.evacuated = m_evacuated;
    for (const auto& [pool, kept] : m_items) {
        view.records.emplace(pool, kept.record);
    }
    return view;
}

void virtual_store::show_stale(std::size_t instance, milliseconds length)
{
    m_stale.insert_or_assign(instance, stale_view{m_time.now() + length, current()});
}

void virtual_store::revoke_one()
{
    if (m_items.empty()) {
        return;
    }
    const auto chosen = std::next(m_items.begin(), static_cast<std::ptrdiff_t>(m_time.below(m_items.size())));
    const session owner = chosen->second.owner;
    m_leases.erase(owner);
    m_revision += std::erase_if(m_items, [&owner](const auto& kept) { return kept.second.owner == owner; });
}

void virtual_store::claim(session from, const endpoint& holder, const routing::claim_pool& wanted,
                          std::function<void(std::optional<std::uint64_t>)> answer)
{
    // No draw while the fault is off: the schedules of earlier seeds must not change.
    if (m_faults.deferred > 0 && m_time.chance(m_faults.deferred)) {
        m_time.after(m_time.between(least_deferral, greatest_deferral), [this, from, holder, wanted] {
            if (!is_away() && write(from, holder, wanted)) {
                m_time.note({}, "FAULT deferred claim of " + holder.value() + " written");
            }
        });
        m_time.after(call_timeout, [answer] { answer(std::nullopt); });
        return;
    }
    const bool late = m_faults.late_answer > 0 && m_time.chance(m_faults.late_answer);
    const milliseconds longest_answer = late ? call_timeout - milliseconds(1) : greatest_delay;
    const milliseconds shortest_answer = late ? least_late_answer : milliseconds(1);
    const bool answered = !m_time.chance(lost_answers);
    m_time.after(
        m_time.between(milliseconds(1), greatest_delay),
        [this, from, holder, wanted, answered, shortest_answer, longest_answer, answer = std::move(answer)] {
            const bool away = is_away();
            const auto revision = away ? std::nullopt : write(from, holder, wanted);
            if (away || !answered) {
                m_time.after(call_timeout, [answer] { answer(std::nullopt); });
            } else {
                m_time.after(m_time.between(shortest_answer, longest_answer),
                             [answer, revision] { answer(revision); });
            }
        });
}

std::optional<std::uint64_t> virtual_store::write(session from, const endpoint& holder,
                                                  const routing::claim_pool& wanted)
{
    const auto known = m_items.find(wanted.pool);
    const std::uint64_t current = known == m_items.end() ? 0 : known->second.record.revision;
    if (current != wanted.expected_revision || !m_leases.contains(from)) {
        return std::nullopt;
    }
    m_items.insert_or_assign(wanted.pool, item{{holder, ++m_revision}, from});
    return m_revision;
}

void virtual_store::step()
{
    if (is_away()) {
        return;
    }
    std::erase_if(m_leases, [this](const auto& lease) { return m_time.now() > lease.second; });
    const auto removed =
        std::erase_if(m_items, [this](const auto& kept) { return !m_leases.contains(kept.second.owner); });
    m_revision += removed;
}

}  // namespace poplarshed::instance::test
