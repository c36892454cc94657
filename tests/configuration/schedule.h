#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration/samples.h"

/// Random schedules in simulated time: several instances, a platform with faults and concurrent operators.
namespace poplarshed::configuration::samples {

/// Result of one or more schedules.
struct schedule_report {
    std::vector<std::string> faults;  ///< violated rules, with seed and instance
    std::uint64_t accepted = 0;       ///< versions rolled out
    std::uint64_t applied = 0;        ///< bundles put in force, over all instances
    std::uint64_t lost_races = 0;     ///< roll-outs refused because another operator was first
    milliseconds slowest{0};  ///< until every instance had the newest version, from the end of the faults

    schedule_report& operator+=(const schedule_report& other)
    {
        faults.insert(faults.end(), other.faults.begin(), other.faults.end());
        accepted += other.accepted;
        applied += other.applied;
        lost_races += other.lost_races;
        slowest = std::max(slowest, other.slowest);
        return *this;
    }

    std::string first_fault() const { return faults.empty() ? "none" : faults.front(); }
};

/// Platform store with the history of the pointer, for stale reads.
struct fake_platform {
    struct change {
        time_point time;
        pointer document;
    };

    std::vector<change> history;
    std::map<configuration_version, bundle> bundles;
    bool unreachable = false;
    duration staleness{};  ///< replication lag of reads

    std::optional<pointer> newest() const
    {
        return history.empty() ? std::nullopt : std::optional(history.back().document);
    }

    /// Value that a lagging replica returns.
    std::optional<pointer> stale(time_point now) const
    {
        std::optional<pointer> found;
        for (const change& entry : history) {
            if (entry.time <= now - staleness) {
                found = entry.document;
            }
        }
        return found;
    }
};

template <class Core>
class schedule {
public:
    explicit schedule(std::uint64_t seed) : m_seed(seed), m_random(seed), m_instances(instance_count)
    {
        for (std::size_t i = 0; i < instance_count; ++i) {
            restart(i);
        }
    }

    /// Injects faults for 20 s. In the following 7 s without faults each instance must reach the newest
    /// accepted version.
    schedule_report run()
    {
        const time_point faults_end = start_time + seconds(20);
        const time_point end = faults_end + seconds(7);
        for (; m_now < end; m_now += step) {
            if (m_now < faults_end) {
                inject_faults();
            } else if (m_now == faults_end) {
                end_faults();
            }
            if (m_now.time_since_epoch() % milliseconds(500) == duration::zero()) {
                exchange_heartbeats();
            }
            m_timers.run(m_now);
            for (std::size_t i = 0; i < instance_count; ++i) {
                if (m_instances[i].core->next_timer() <= m_now) {
                    perform(i, m_instances[i].core->on_timer(m_now));
                }
            }
            record_progress(faults_end);
        }
        check_all_newest();
        m_report.accepted += m_platform.history.size();
        return m_report;
    }

private:
    static constexpr std::size_t instance_count = 8;
    static constexpr duration step = milliseconds(10);
    static constexpr time_point start_time{seconds(1000)};

    struct instance {
        std::optional<Core> core;
        std::uint64_t incarnation = 0;
        time_point started;
        configuration_version in_force;
        configuration_version offered_at_start;  ///< highest that a peer named before the first bundle
        std::optional<bundle> content;
        bool platform_unreachable = false;
        bool peers_unreachable = false;
    };

    bool chance(unsigned per_mille) { return m_random.below(1000) < per_mille; }

    endpoint address(std::size_t i) const { return endpoint("127.0.0.1:" + std::to_string(i + 1)); }

    void fault(std::size_t i, const std::string& what)
    {
        m_report.faults.push_back("seed " + std::to_string(m_seed) + ", instance " + std::to_string(i) +
                                  ": " + what);
    }

    void restart(std::size_t i)
    {
        instance& restarted = m_instances[i];
        const std::uint64_t incarnation = restarted.incarnation + 1;
        const instance previous = std::move(restarted);
        restarted = instance{};
        restarted.incarnation = incarnation;
        restarted.started = m_now;
        restarted.platform_unreachable = previous.platform_unreachable;
        restarted.peers_unreachable = previous.peers_unreachable;
        restarted.core.emplace(rollout_options{}, m_random.bits(), m_now);
    }

    void inject_faults()
    {
        if (chance(20)) {
            m_platform.unreachable = chance(400);
        }
        if (chance(20)) {
            m_platform.staleness = milliseconds(m_random.below(3000));
        }
        if (chance(40)) {
            instance& target = m_instances[m_random.below(instance_count)];
            target.platform_unreachable = chance(300);
            target.peers_unreachable = chance(300);
        }
        if (chance(15)) {
            restart(m_random.below(instance_count));
        }
        if (chance(8)) {
            propose_and_roll_out();
        }
    }

    void end_faults()
    {
        m_platform.unreachable = false;
        m_platform.staleness = duration::zero();
        m_lossy = false;
        // Half of the instances cannot reach the platform and depend on their peers.
        for (std::size_t i = 0; i < instance_count; ++i) {
            m_instances[i].platform_unreachable = i % 2 == 1;
            m_instances[i].peers_unreachable = false;
        }
        propose_and_roll_out();
    }

    // An operator reads the pointer and writes it up to 2 s later; another may have written in between.
    void propose_and_roll_out()
    {
        if (m_platform.unreachable) {
            return;
        }
        const auto current = m_platform.newest();
        const std::uint64_t base = current ? current->version.value() : 0;
        const bundle content = bundle_of(++m_last_version, static_cast<std::uint32_t>(m_random.below(10)));
        m_platform.bundles[content.version] = content;
        const auto signed_document =
            sign_off(proposal_of(content, base), operator_id("biju"), digest_of(content));
        const auto review_time = milliseconds(m_lossy ? m_random.below(2000) : 0);
        m_timers.at(m_now + review_time, [this, document = signed_document.value(), content](time_point now) {
            const auto updated =
                roll_out(m_platform.newest(), document, content, operator_id("asha"), m_random.bits());
            if (updated) {
                m_platform.history.push_back({now, updated.value()});
            } else {
                ++m_report.lost_races;
            }
        });
    }

    void exchange_heartbeats()
    {
        for (std::size_t to = 0; to < instance_count; ++to) {
            for (std::size_t from = 0; from < instance_count; ++from) {
                if (from != to && connected(from, to)) {
                    const auto version = m_instances[from].in_force;
                    instance& target = m_instances[to];
                    if (!target.content) {
                        target.offered_at_start = std::max(target.offered_at_start, version);
                    }
                    perform(to, target.core->on_peer_version(address(from), version, m_now));
                }
            }
        }
    }

    bool connected(std::size_t a, std::size_t b) const
    {
        return !m_instances[a].peers_unreachable && !m_instances[b].peers_unreachable;
    }

    // Delivers the response after a random delay, unless the request or the response is lost or the instance
    // restarts in the meantime.
    void respond(std::size_t i, std::function<rollout_actions(Core&)> response)
    {
        if (m_lossy && chance(150)) {
            return;
        }
        // Some responses arrive after the request has timed out and a newer version is in force.
        const std::uint64_t max_delay_ms = m_lossy ? (chance(100) ? 5000 : 400) : 20;
        const auto delay = milliseconds(1 + m_random.below(max_delay_ms));
        m_timers.at(m_now + delay, [this, i, incarnation = m_instances[i].incarnation, response](time_point) {
            if (m_instances[i].incarnation == incarnation) {
                perform(i, response(*m_instances[i].core));
            }
        });
    }

    void perform(std::size_t i, const rollout_actions& actions)
    {
        for (const rollout_action& action : actions) {
            std::visit([this, i](const auto& alternative) { this->act(i, alternative); }, action);
        }
    }

    void act(std::size_t i, const read_pointer&)
    {
        const bool reachable = !m_platform.unreachable && !m_instances[i].platform_unreachable;
        const auto document = m_platform.stale(m_now);
        respond(i, [this, reachable, document](Core& core) {
            return reachable ? core.on_pointer(document, m_now) : core.on_pointer_failed(m_now);
        });
    }

    void act(std::size_t i, const fetch_from_platform& action)
    {
        const bool reachable = !m_platform.unreachable && !m_instances[i].platform_unreachable;
        const auto found = m_platform.bundles.find(action.version);
        // A lagging replica may not have the bundle yet, and a corrupt one may return other content.
        if (!reachable || found == m_platform.bundles.end() || (m_lossy && chance(200))) {
            respond(i, [this](Core& core) { return core.on_fetch_failed(m_now); });
            return;
        }
        bundle content = found->second;
        if (m_lossy && chance(50)) {
            content.services[service_id("damaged")];
        }
        respond(i, [this, content](Core& core) { return core.on_bundle(content, m_now); });
    }

    void act(std::size_t i, const pull_from_peer& action)
    {
        for (std::size_t from = 0; from < instance_count; ++from) {
            if (address(from) == action.peer && connected(from, i) && m_instances[from].content) {
                // The peer returns the version it has in force, which may be newer, or older after its
                // restart.
                respond(i, [this, content = *m_instances[from].content](Core& core) {
                    return core.on_bundle(content, m_now);
                });
            }
        }
    }

    void act(std::size_t i, const apply_bundle& action)
    {
        instance& target = m_instances[i];
        const configuration_version version = action.content.version;
        ++m_report.applied;
        if (version <= target.in_force) {
            fault(i, "version decreases to " + std::to_string(version.value()));
        }
        if (version < target.offered_at_start && !target.content &&
            m_now < target.started + rollout_options{}.start_limit) {
            fault(i, "starts with a version below that of a peer");
        }
        const auto accepted =
            std::find_if(m_platform.history.begin(), m_platform.history.end(),
                         [&](const auto& change) { return change.document.version == version; });
        if (accepted == m_platform.history.end() || accepted->document.content != digest_of(action.content)) {
            fault(i, "applies content that was not accepted, version " + std::to_string(version.value()));
        }
        target.in_force = version;
        target.content = action.content;
    }

    void act(std::size_t, const bundle_rejected&) {}

    bool all_newest() const
    {
        const auto newest = m_platform.newest();
        return !newest || std::all_of(m_instances.begin(), m_instances.end(), [&](const instance& target) {
            return target.in_force == newest->version;
        });
    }

    void record_progress(time_point faults_end)
    {
        if (m_now > faults_end && !all_newest()) {
            m_report.slowest = std::chrono::duration_cast<milliseconds>(m_now - faults_end);
        }
    }

    void check_all_newest()
    {
        if (!all_newest()) {
            fault(0, "not every instance has the newest version 7 s after the faults ended");
        }
    }

    std::uint64_t m_seed;
    random_source m_random;
    time_point m_now = start_time;
    timer_service m_timers;
    fake_platform m_platform;
    std::vector<instance> m_instances;
    schedule_report m_report;
    std::uint64_t m_last_version = 0;
    bool m_lossy = true;
};

}  // namespace poplarshed::configuration::samples
