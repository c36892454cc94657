#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "configuration/samples.h"

using namespace poplarshed;
using namespace poplarshed::configuration;
using namespace poplarshed::configuration::samples;

namespace {

const endpoint peer_a("127.0.0.1:1");
const endpoint peer_b("127.0.0.1:2");
const time_point start{seconds(1000)};

bool has(const rollout_actions& actions, const rollout_action& wanted)
{
    return std::find(actions.begin(), actions.end(), wanted) != actions.end();
}

struct started_rollout {
    rollout core{rollout_options{}, 1, start};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_steps, started_rollout)

BOOST_AUTO_TEST_CASE(a_pointer_leads_to_a_fetch_and_the_bundle_is_applied)
{
    BOOST_TEST(has(core.on_timer(start), read_pointer{}));
    core.on_peer_version(peer_a, configuration_version(6), start);
    const auto fetch = core.on_pointer(pointer_to(bundle_of(7)), start);
    BOOST_TEST(has(fetch, fetch_from_platform{configuration_version(7)}));
    // A peer returns an older version first; shortly after the start only the newest known one is applied.
    core.on_bundle(bundle_of(6), start);
    BOOST_TEST(!core.ready());
    BOOST_TEST(has(core.on_bundle(bundle_of(7), start), apply_bundle{bundle_of(7)}));
    BOOST_TEST((core.in_force() == configuration_version(7)));
}

// Guards against a stale read, a delayed bundle or an outdated peer that puts an older version in force
// again.
BOOST_AUTO_TEST_CASE(an_older_version_is_never_applied)
{
    core.on_pointer(pointer_to(bundle_of(7)), start);
    core.on_bundle(bundle_of(7), start);
    BOOST_TEST(core.on_bundle(bundle_of(6), start).empty());
    BOOST_TEST(core.on_pointer(pointer_to(bundle_of(6)), start).empty());
    BOOST_TEST(core.on_peer_version(peer_a, configuration_version(5), start).empty());
    BOOST_TEST((core.in_force() == configuration_version(7)));
}

// Guards against an instance that starts while the platform is unreachable and gets no configuration, or
// becomes ready without one.
BOOST_AUTO_TEST_CASE(while_the_platform_is_unreachable_the_newest_version_of_the_peers_is_applied)
{
    core.on_timer(start);
    core.on_pointer_failed(start);
    core.on_peer_version(peer_a, configuration_version(6), start);
    BOOST_TEST(core.on_peer_version(peer_b, configuration_version(7), start).empty());
    const auto later = start + seconds(1);
    BOOST_TEST((core.next_timer() == later));
    BOOST_TEST(has(core.on_timer(later), pull_from_peer{peer_b, configuration_version(7)}));
    BOOST_TEST(!core.ready());
    BOOST_TEST(has(core.on_bundle(bundle_of(7), later), apply_bundle{bundle_of(7)}));
    BOOST_TEST(core.ready());
}

// Guards against a restarted instance that prefers a stale read of the platform to a peer's newer version.
BOOST_AUTO_TEST_CASE(after_the_start_no_fetch_begins_before_a_peer_has_answered)
{
    BOOST_TEST(core.on_pointer(pointer_to(bundle_of(6)), start).empty());
    const auto actions = core.on_peer_version(peer_a, configuration_version(7), start + milliseconds(300));
    BOOST_TEST(has(actions, pull_from_peer{peer_a, configuration_version(7)}));
}

// Guards against a lost response, or a version that no source can provide, that blocks every later version.
BOOST_AUTO_TEST_CASE(after_a_failure_another_source_is_chosen)
{
    core.on_peer_version(peer_a, configuration_version(99), start);
    const auto later = start + seconds(3);
    BOOST_TEST(has(core.on_timer(later), pull_from_peer{peer_a, configuration_version(99)}));
    core.on_pointer(pointer_to(bundle_of(7)), later);
    const auto after_timeout = core.on_timer(later + seconds(1));
    BOOST_TEST(has(after_timeout, fetch_from_platform{configuration_version(7)}));
}

// Guards against requests in a tight loop to a peer that returns an older version than it announced.
BOOST_AUTO_TEST_CASE(a_peer_that_returns_an_older_version_is_retried_after_a_delay)
{
    core.on_pointer(pointer_to(bundle_of(7)), start);
    core.on_bundle(bundle_of(7), start);
    BOOST_TEST(has(core.on_peer_version(peer_a, configuration_version(9), start),
                   pull_from_peer{peer_a, configuration_version(9)}));
    BOOST_TEST(core.on_bundle(bundle_of(7), start).empty());
    BOOST_TEST((core.on_timer(start) == rollout_actions{read_pointer{}}));
    BOOST_TEST((core.next_timer() > start));
}

// Guards against applying content that differs from the signed-off content.
BOOST_AUTO_TEST_CASE(a_bundle_with_another_digest_is_rejected)
{
    core.on_pointer(pointer_to(bundle_of(7)), start + seconds(1));
    const auto actions = core.on_bundle(bundle_of(7, 9), start + seconds(1));
    BOOST_TEST(has(actions, bundle_rejected{configuration_version(7)}));
    BOOST_TEST(!core.ready());
}

BOOST_AUTO_TEST_SUITE_END()
