#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "configuration/configuration.h"
#include "settings/settings.h"

using namespace poplarshed;

namespace {

const std::filesystem::path root(POPLARSHED_ROOT);

std::string content_of(const std::filesystem::path& path)
{
    std::ostringstream content;
    content << std::ifstream(path).rdbuf();
    return content.str();
}

struct secrets {
    secrets()
    {
        ::setenv("POPLARSHED_INNER_KEY", "0123456789abcdef", 1);  // NOLINT(concurrency-mt-unsafe)
        ::setenv("POPLARSHED_OPERATOR_TOKEN", "token", 1);        // NOLINT(concurrency-mt-unsafe)
    }
};

/// Checks the settings files of a site: one for each data centre, 6 instances in each.
void check_site(const std::string& site, const std::set<std::string>& data_centres)
{
    for (const std::string& data_centre : data_centres) {
        const auto path = root / "packaging/samples" / site / ("entry-" + data_centre + ".json");
        const auto loaded = settings::load_entry_settings(path);
        BOOST_REQUIRE_MESSAGE(loaded.has_value(), (loaded ? "" : loaded.error().message));
        BOOST_TEST(loaded.value().get(settings::instance_data_centre) == data_centre);
        std::map<std::string, int> peers;
        for (const auto& peer : loaded.value().get(settings::inner_peers)) {
            ++peers[peer.data_centre.value()];
        }
        BOOST_TEST(peers.size() == data_centres.size());
        for (const std::string& other : data_centres) {
            BOOST_TEST(peers[other] == 6);
        }
    }
    const auto bundle = configuration::parse_bundle(
        content_of(root / "packaging/samples" / site / "bundle.json"), site, true);
    BOOST_REQUIRE_MESSAGE(bundle.has_value(), (bundle ? "" : bundle.error().message));
    BOOST_TEST(bundle.value().services.size() == 3U);
    BOOST_TEST(bundle.value().workspaces.size() == 3U);
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(samples, secrets)

// Guards against samples that the programs refuse.
BOOST_AUTO_TEST_CASE(thrissur)
{
    check_site("thrissur", {"ayyanthole", "punkunnam", "ollur"});
}

BOOST_AUTO_TEST_CASE(cefalu)
{
    check_site("cefalu", {"palermo", "catania", "messina", "siracusa"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(documents)

// Guards against a reason that the operators' guide does not explain, or explains with an old status.
BOOST_AUTO_TEST_CASE(the_operators_guide_lists_every_reason)
{
    const std::string guide = content_of(root / "docs/operators.md");
    for (const refusal_reason reason : all_refusal_reasons()) {
        const std::string row = "| `" + std::string(to_string(reason)) + "` | " +
                                std::to_string(http_status(reason)) + " | " +
                                std::string(explanation(reason)) + " |";
        BOOST_TEST(guide.find(row) != std::string::npos, "docs/operators.md lacks: " << row);
    }
    for (const retry_reason reason : all_retry_reasons()) {
        BOOST_TEST(guide.find("| `" + std::string(to_string(reason)) + "` |") != std::string::npos,
                   "docs/operators.md lacks the retry reason " << to_string(reason));
    }
}

BOOST_AUTO_TEST_SUITE_END()
