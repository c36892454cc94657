#include "routing/configuration_relay.h"

#include <algorithm>

namespace poplarshed::routing {

namespace {

// The directory takes a fraction of this time to bring a new configuration. A configuration must be in force
// two seconds after its acknowledgement.
constexpr milliseconds directory_time{700};
// An answer takes two hops, and up to some hundred milliseconds for a configuration of 250 KB on a slow link.
constexpr milliseconds pull_interval{250};

}  // namespace

std::optional<endpoint> configuration_relay::decide(time_point now, const peer_table& peers,
                                                    std::uint64_t own_version)
{
    std::uint64_t newest = own_version;
    std::vector<endpoint> ahead;
    for (const workers::instance_status* other : peers.live(now)) {
        if (other->configuration_version > newest) {
            newest = other->configuration_version;
            ahead.clear();
        }
        if (other->configuration_version == newest && newest > own_version) {
            ahead.push_back(other->address);
        }
    }
    if (ahead.empty()) {
        m_behind_since.reset();
        return std::nullopt;
    }
    m_behind_since = m_behind_since.value_or(now);
    if (now < *m_behind_since + directory_time || now < m_last_pull + pull_interval) {
        return std::nullopt;
    }
    m_last_pull = now;
    // live() returns instances in ascending order. Each instance begins with those after itself, so that not
    // all ask the same one, and goes on with the next if there was no answer.
    const endpoint& after = m_last_asked.empty() ? peers.self() : m_last_asked;
    const auto next = std::upper_bound(ahead.begin(), ahead.end(), after);
    m_last_asked = next == ahead.end() ? ahead.front() : *next;
    return m_last_asked;
}

}  // namespace poplarshed::routing
