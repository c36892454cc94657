#include "workers/locality.h"

#include <algorithm>
#include <cmath>

namespace poplarshed::workers {

namespace {

// Estimates of single tasks are off by 40%: a wait whose only gain is room must leave this share of the time
// to spare.
constexpr double duration_margin = 1.25;
// Of a run that exceeds its expected duration, this share of the time that it has taken is expected to be
// left. With run times of up to seven times the mean, most of those that are late at all end soon after.
constexpr double overrun_share = 0.25;

}  // namespace

time_point expected_run_end(time_point now, time_point sent, milliseconds expected)
{
    if (now < sent + expected) {
        return sent + expected;
    }
    const auto taken = std::chrono::duration_cast<milliseconds>(now - sent);
    const auto left = std::llround(static_cast<double>(taken.count()) * overrun_share);
    return now + milliseconds(std::max<std::int64_t>(1, left));
}

room_forecast::room_forecast(time_point now, const resources& left, std::vector<room_release> releases)
    : m_from(now), m_left(left), m_releases(std::move(releases))
{
    std::sort(m_releases.begin(), m_releases.end(),
              [](const room_release& one, const room_release& other) { return one.at < other.at; });
}

std::optional<time_point> room_forecast::available(const resources& need) const
{
    resources left = m_left;
    if (left.fits(need)) {
        return m_from;
    }
    for (const room_release& release : m_releases) {
        left = left.plus(release.amount);
        if (left.fits(need)) {
            return std::max(m_from, release.at);
        }
    }
    return std::nullopt;
}

void room_forecast::occupy(time_point from, const resources& need, milliseconds duration)
{
    m_from = std::max(m_from, from);
    const auto later = std::find_if(m_releases.begin(), m_releases.end(),
                                    [this](const room_release& release) { return release.at > m_from; });
    for (auto release = m_releases.begin(); release != later; ++release) {
        m_left = m_left.plus(release->amount);
    }
    m_releases.erase(m_releases.begin(), later);
    m_left = m_left.minus(need);
    const room_release added{m_from + duration, need};
    const auto position =
        std::find_if(m_releases.begin(), m_releases.end(),
                     [&added](const room_release& release) { return release.at > added.at; });
    m_releases.insert(position, added);
}

time_point wait_end(const wait_terms& terms)
{
    return terms.due - terms.elsewhere;
}

bool wait_pays(const near_run& run, const wait_terms& terms)
{
    const bool ends_earlier = run.end <= terms.now + terms.elsewhere;
    if (wait_end(terms) < terms.now) {
        // Elsewhere the job is late already, so that only the earlier end counts.
        return ends_earlier;
    }
    if (run.start > wait_end(terms)) {
        return false;
    }
    const auto time = std::chrono::duration<double>(run.end - terms.now) * duration_margin;
    const bool in_time = time <= std::chrono::duration<double>(terms.due - terms.now);
    return ends_earlier || (terms.scarce && in_time);
}

rack_plan plan_wait(std::span<const near_worker> workers, const resources& need, std::size_t tasks,
                    const wait_terms& terms)
{
    rack_plan plan;
    for (std::size_t task = 0; task < std::min(tasks, max_tasks_together); ++task) {
        const near_worker* chosen = nullptr;
        near_run best;
        for (const near_worker& worker : workers) {
            const auto start = worker.forecast->available(need);
            if (start && (chosen == nullptr || *start + worker.duration < best.end)) {
                chosen = &worker;
                best = {*start, *start + worker.duration};
            }
        }
        if (chosen != nullptr && task == 0) {
            plan.first = best;
        }
        if (chosen == nullptr || !wait_pays(best, terms)) {
            break;
        }
        chosen->forecast->occupy(best.start, need, chosen->duration);
        ++plan.waiting;
    }
    return plan;
}

milliseconds time_after(const std::vector<job_step>& steps, std::uint32_t step)
{
    std::vector<milliseconds> after(steps.size());
    for (std::size_t later = steps.size(); later-- > step;) {
        for (const std::uint32_t earlier : steps[later].after) {
            after.at(earlier) = std::max(after.at(earlier), steps[later].estimate + after[later]);
        }
    }
    return after.at(step);
}

}  // namespace poplarshed::workers
