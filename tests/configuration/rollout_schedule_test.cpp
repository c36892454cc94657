#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "configuration/schedule.h"

using namespace poplarshed;
using namespace poplarshed::configuration;
using namespace poplarshed::configuration::samples;

namespace {

constexpr std::uint64_t schedule_count = 200;

// Faulty variant: applies every bundle that arrives, also one with a lower version.
class applies_any_version : public rollout {
public:
    using rollout::rollout;

    rollout_actions on_bundle(const bundle& content, time_point now)
    {
        auto actions = rollout::on_bundle(content, now);
        const bool decided = std::any_of(actions.begin(), actions.end(), [](const auto& action) {
            return std::holds_alternative<apply_bundle>(action) ||
                   std::holds_alternative<bundle_rejected>(action);
        });
        if (ready() && !decided) {
            actions.emplace_back(apply_bundle{content});
        }
        return actions;
    }
};

// Faulty variant: never fetches from peers, so it depends on the platform.
class ignores_peers : public rollout {
public:
    using rollout::rollout;

    rollout_actions on_peer_version(const endpoint&, configuration_version, time_point) { return {}; }
};

// Faulty variant: applies content whose digest differs from the signed-off digest.
class ignores_digests : public rollout {
public:
    using rollout::rollout;

    rollout_actions on_bundle(const bundle& content, time_point now)
    {
        auto actions = rollout::on_bundle(content, now);
        for (auto& action : actions) {
            if (std::holds_alternative<bundle_rejected>(action)) {
                action = apply_bundle{content};
            }
        }
        return actions;
    }
};

schedule_report run_all()
{
    schedule_report total;
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        total += schedule<rollout>(seed).run();
    }
    return total;
}

template <class Core>
bool is_detected()
{
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        const schedule_report report = schedule<Core>(seed).run();
        if (!report.faults.empty()) {
            BOOST_TEST_MESSAGE("detected: " << report.first_fault());
            return true;
        }
    }
    return false;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rollout_schedules)

// Guards against a version in force that decreases, content that was never accepted, and an instance that
// does not reach the newest version. Random schedules of eight instances with stale reads, platform outages,
// network partitions, lost responses, restarts and concurrent operators.
BOOST_AUTO_TEST_CASE(accepted_versions_reach_every_instance_and_never_decrease)
{
    const schedule_report report = run_all();
    BOOST_TEST_MESSAGE("seeds 1 to " << schedule_count << ": " << report.accepted << " accepted versions, "
                                     << report.applied << " applied, " << report.lost_races
                                     << " lost races, slowest " << report.slowest.count()
                                     << " ms after the faults ended");
    BOOST_TEST(report.faults.empty(), report.first_fault());
    BOOST_TEST(report.accepted > schedule_count);
    BOOST_TEST(report.lost_races > 0U);
}

// Guards against a checker that does not detect the faults listed above.
BOOST_AUTO_TEST_CASE(the_checker_detects_faulty_variants)
{
    BOOST_TEST(is_detected<applies_any_version>());
    BOOST_TEST(is_detected<ignores_peers>());
    BOOST_TEST(is_detected<ignores_digests>());
}

BOOST_AUTO_TEST_SUITE_END()
