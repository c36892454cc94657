#include "configuration/rollout.h"

#include <algorithm>

#include "configuration/bundle_text.h"

namespace poplarshed::configuration {

namespace {

// Key of the platform in m_sources; no peer has an empty address.
const endpoint platform_source;

}  // namespace

rollout::rollout(const rollout_options& options, std::uint64_t seed, time_point now)
    : m_options(options), m_random(seed), m_started(now), m_next_poll(now), m_retry_at(now), m_last_call(now)
{}

rollout_actions rollout::on_pointer(const std::optional<pointer>& document, time_point now)
{
    rollout_actions out;
    m_platform_answered = true;
    // The read may be stale, so only a higher version is accepted.
    if (document && (!m_pointer || document->version > m_pointer->version)) {
        m_pointer = document;
        m_sources[platform_source] = {document->version, 0};
        note_version(document->version);
    }
    start_fetch(out, now);
    return out;
}

rollout_actions rollout::on_pointer_failed(time_point now)
{
    rollout_actions out;
    start_fetch(out, now);
    return out;
}

rollout_actions rollout::on_peer_version(const endpoint& peer, configuration_version version, time_point now)
{
    rollout_actions out;
    source& offered = m_sources[peer];
    if (offered.version != version) {
        offered = {version, 0};
    }
    m_peer_answered = m_peer_answered || version.value() != 0;
    note_version(version);
    start_fetch(out, now);
    return out;
}

rollout_actions rollout::on_peer_disconnected(const endpoint& peer, time_point now)
{
    rollout_actions out;
    if (m_fetch && m_fetch->from == peer) {
        m_fetch.reset();
    }
    m_sources.erase(peer);
    start_fetch(out, now);
    return out;
}

rollout_actions rollout::on_bundle(const bundle& content, time_point now)
{
    rollout_actions out;
    const bool wrong_digest =
        m_pointer && m_pointer->version == content.version && m_pointer->content != digest_of(content);
    if (wrong_digest) {
        out.emplace_back(bundle_rejected{content.version});
        fail_fetch(now);
        start_fetch(out, now);
        return out;
    }
    if (m_fetch && content.version < m_fetch->version) {
        // A restarted peer can return an older version than it announced before.
        fail_fetch(now);
    }
    m_fetch.reset();
    if (content.version >= lowest_applicable(now)) {
        m_in_force = content.version;
        note_version(content.version);
        out.emplace_back(apply_bundle{content});
    }
    start_fetch(out, now);
    return out;
}

rollout_actions rollout::on_fetch_failed(time_point now)
{
    rollout_actions out;
    fail_fetch(now);
    start_fetch(out, now);
    return out;
}

rollout_actions rollout::on_timer(time_point now)
{
    rollout_actions out;
    if (now >= m_next_poll) {
        // Random jitter of a quarter of the interval, so that the instances do not read at the same time.
        const auto jitter = m_options.poll_interval.count() / 4;
        m_next_poll =
            now + m_options.poll_interval -
            duration(static_cast<duration::rep>(m_random.below(static_cast<std::uint64_t>(jitter))));
        out.emplace_back(read_pointer{});
    }
    if (m_fetch && now >= m_fetch->started + m_options.answer_timeout) {
        fail_fetch(now);
    }
    start_fetch(out, now);
    return out;
}

time_point rollout::next_timer() const
{
    time_point next = m_next_poll;
    if (m_fetch) {
        next = std::min(next, m_fetch->started + m_options.answer_timeout);
        return next;
    }
    // Times that have passed need no timer.
    for (const time_point candidate :
         {m_retry_at, m_started + m_options.start_grace, m_started + m_options.start_limit}) {
        if (candidate > m_last_call && m_newest_known > m_in_force) {
            next = std::min(next, candidate);
        }
    }
    return next;
}

void rollout::note_version(configuration_version version)
{
    m_newest_known = std::max(m_newest_known, version);
}

configuration_version rollout::lowest_applicable(time_point now) const
{
    if (!ready() && now < m_started + m_options.start_limit) {
        return std::max(m_newest_known, configuration_version(1));
    }
    return m_in_force.next();
}

void rollout::start_fetch(rollout_actions& out, time_point now)
{
    m_last_call = now;
    if (m_fetch || now < m_retry_at || in_start_grace(now)) {
        return;
    }
    const auto from = choose_source(now);
    if (!from) {
        return;
    }
    const configuration_version version = m_sources.at(*from).version;
    m_fetch = fetch{*from, version, now};
    if (*from == platform_source) {
        out.emplace_back(fetch_from_platform{version});
    } else {
        out.emplace_back(pull_from_peer{*from, version});
    }
}

bool rollout::in_start_grace(time_point now) const
{
    if (ready() || !m_options.expects_peers || now >= m_started + m_options.start_grace) {
        return false;
    }
    return !(m_platform_answered && m_peer_answered);
}

// Prefers the source with the fewest failures, so that a source whose version cannot be fetched does not
// block the others; then the newest version. Chooses at random among equal sources to spread the load.
std::optional<endpoint> rollout::choose_source(time_point now)
{
    const configuration_version lowest = lowest_applicable(now);
    std::vector<endpoint> best;
    const source* best_source = nullptr;
    for (const auto& [from, offered] : m_sources) {
        if (offered.version < lowest) {
            continue;
        }
        const bool better =
            best_source == nullptr || offered.failures < best_source->failures ||
            (offered.failures == best_source->failures && offered.version > best_source->version);
        if (better) {
            best.clear();
            best_source = &offered;
        }
        if (better ||
            (offered.failures == best_source->failures && offered.version == best_source->version)) {
            best.push_back(from);
        }
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return best[m_random.below(best.size())];
}

void rollout::fail_fetch(time_point now)
{
    if (!m_fetch) {
        return;
    }
    const auto found = m_sources.find(m_fetch->from);
    if (found != m_sources.end()) {
        ++found->second.failures;
    }
    m_fetch.reset();
    m_retry_at = now + retry_delay();
}

// Exponential in the failures of the best source, so that a version that cannot be fetched causes few
// requests.
duration rollout::retry_delay() const
{
    constexpr unsigned max_doublings = 4;
    unsigned fewest = max_doublings;
    for (const auto& [from, offered] : m_sources) {
        if (offered.version > m_in_force) {
            fewest = std::min(fewest, offered.failures);
        }
    }
    return fewest == 0 ? duration::zero() : m_options.retry_delay * (1U << (fewest - 1));
}

}  // namespace poplarshed::configuration
