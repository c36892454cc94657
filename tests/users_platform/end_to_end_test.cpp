#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <future>

#include "integration/harness/http.h"
#include "integration/harness/reserved_port.h"
#include "stand_ins/users_platform.h"

namespace poplarshed::users_platform::test {

namespace {

using integration::http_result;
using integration::json;
using std::chrono::milliseconds;

constexpr milliseconds grace{3000};

/// Instances of one data centre on the stand-in platform.
class deployment {
public:
    deployment() : m_platform(4)
    {
        m_platform.put("op/config", stand_ins::desk_configuration(1, {"/p/"}));
        start(0);
        start(1);
        for (std::size_t i = 0; i < 2; ++i) {
            if (!integration::eventually([&] { return ready(i); })) {
                throw std::runtime_error("not ready: " + process(i).describe());
            }
        }
    }

    void start(std::size_t index)
    {
        instance& one = m_instances.at(index);
        const auto file = m_folder.path() / ("instance-" + std::to_string(index) + ".json");
        const json settings = {
            {"instance", {{"name", "front-" + std::to_string(index)}, {"data_centre", "ollur"}}},
            {"callers", {{"listen", one.callers.address()}}},
            {"readiness", {{"listen", one.readiness.address()}}},
            {"peers", {{"listen", one.peers.address()}, {"key", "test"}}},
            {"store", {{"address", m_platform.store_address()}}},
            {"drain", {{"grace_ms", grace.count()}}}};
        std::ofstream(file) << settings.dump();
        one.process = std::make_unique<integration::child_process>(
            "poplarshed-instance", std::vector<std::string>{"--settings", file.string()}, m_folder.path(),
            "front-" + std::to_string(index) + "-" + std::to_string(++m_started));
    }

    bool ready(std::size_t index)
    {
        return integration::call(m_instances.at(index).readiness.address(), "/readyz").status == 200;
    }

    http_result submit(std::size_t index, const std::string& id, int work_ms, std::uint32_t tasks,
                       const std::string& prefix = "/p/", milliseconds timeout = milliseconds(6000))
    {
        const json body = {
            {"spec", std::to_string(work_ms)},
            {"best_effort", true},
            {"steps", {{{"count", tasks}, {"cpu", 14000}, {"mem_mb", 64}, {"estimate_ms", work_ms}}}}};
        integration::http_options options;
        options.method = "POST";
        options.body = body.dump();
        options.headers = {{"Host", "desk.example"},
                           {"Content-Type", "application/json"},
                           {"Poplarshed-Timeout-Ms", std::to_string(timeout.count())}};
        options.timeout = timeout;
        return integration::call(m_instances.at(index).callers.address(), prefix + id, options);
    }

    integration::child_process& process(std::size_t index) { return *m_instances.at(index).process; }
    stand_ins::users_platform& platform() { return m_platform; }

private:
    struct instance {
        integration::reserved_port callers;
        integration::reserved_port readiness;
        integration::reserved_port peers;
        std::unique_ptr<integration::child_process> process;
    };

    integration::scratch_folder m_folder;
    stand_ins::users_platform m_platform;
    std::array<instance, 2> m_instances;
    int m_started = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(on_the_users_platform)

// Guards against a break anywhere on the path of a job.
BOOST_AUTO_TEST_CASE(a_job_is_answered_when_its_tasks_have_ended)
{
    deployment world;
    for (const std::size_t index : {std::size_t{0}, std::size_t{1}}) {
        const http_result answer = world.submit(index, "000000000000000" + std::to_string(index), 100, 4);
        BOOST_TEST(answer.status == 200, answer.body);
        BOOST_TEST(answer.body == R"({"state":"completed"})");
    }
    BOOST_TEST(world.platform().starts() == 8U);
    BOOST_TEST(world.submit(0, "0000000000000009", 100, 1, "/other/").status == 404);
    BOOST_TEST(world.submit(0, "nonsense", 100, 1).status == 400);
}

// Guards against a change of the configuration that does not come into force in time.
BOOST_AUTO_TEST_CASE(a_new_route_is_served_within_two_seconds)
{
    deployment world;
    world.platform().put("op/config", stand_ins::desk_configuration(2, {"/q/"}));
    BOOST_TEST(integration::eventually(
        [&] { return world.submit(0, "00000000000000aa", 20, 1, "/q/").status == 200; }, milliseconds(2000)));
    BOOST_TEST(world.submit(0, "00000000000000ab", 20, 1, "/p/").status == 404);
}

// Guards against jobs that are lost with the instance that holds the workers, and against a second run of
// what it had started.
BOOST_AUTO_TEST_CASE(a_killed_holder_costs_no_job_of_another_instance)
{
    for (const std::size_t victim : {std::size_t{0}, std::size_t{1}}) {
        deployment world;
        const std::size_t other = 1 - victim;
        auto answer =
            std::async(std::launch::async, [&] { return world.submit(other, "00000000000000cc", 1500, 4); });
        integration::require_eventually("tasks run", [&] { return world.platform().running() == 4; });
        world.process(victim).kill();
        const http_result received = answer.get();
        BOOST_TEST(received.status == 200, received.body + received.error);
        BOOST_TEST(world.platform().overlaps().empty());
    }
}

// Guards against a planned stop that cuts a request in flight.
BOOST_AUTO_TEST_CASE(a_stop_signal_costs_no_job)
{
    for (const std::size_t leaving : {std::size_t{0}, std::size_t{1}}) {
        deployment world;
        auto answer = std::async(std::launch::async,
                                 [&] { return world.submit(leaving, "00000000000000dd", 1500, 4); });
        integration::require_eventually("tasks run", [&] { return world.platform().running() == 4; });
        world.process(leaving).signal(SIGTERM);
        const http_result received = answer.get();
        BOOST_TEST(received.status == 200, received.body + received.error);
        BOOST_TEST(world.platform().overlaps().empty());
        BOOST_TEST(world.process(leaving).wait_for_exit(grace).value_or(-1) == 0);
        BOOST_TEST(!world.ready(leaving));
    }
}

// Guards against a process that ends only when it is killed, with answers that it has not sent.
BOOST_AUTO_TEST_CASE(a_job_that_outlives_the_grace_time_does_not_delay_the_end)
{
    deployment world;
    auto answer =
        std::async(std::launch::async, [&] { return world.submit(0, "00000000000000ab", 5500, 1); });
    integration::require_eventually("the task runs", [&] { return world.platform().running() == 1; });
    const auto signalled = std::chrono::steady_clock::now();
    world.process(0).signal(SIGTERM);
    BOOST_TEST(world.process(0).wait_for_exit(2 * grace).value_or(-1) == 0);
    const auto taken = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - signalled);
    BOOST_TEST(taken.count() <= grace.count());
    answer.wait();
}

// Guards against a path of a job that needs the store.
BOOST_AUTO_TEST_CASE(jobs_are_served_while_the_store_is_away)
{
    deployment world;
    world.platform().set_store_down(true);
    for (int i = 0; i < 20; ++i) {
        const http_result answer =
            world.submit(static_cast<std::size_t>(i % 2), "00000000000000" + std::to_string(10 + i), 100, 2);
        BOOST_TEST(answer.status == 200, answer.body + answer.error);
    }
    world.platform().set_store_down(false);
    BOOST_TEST(world.submit(0, "00000000000000ee", 100, 2).status == 200);
    BOOST_TEST(world.platform().overlaps().empty());
}

// Guards against work for callers that have gone.
BOOST_AUTO_TEST_CASE(tasks_stop_when_the_caller_leaves)
{
    deployment world;
    const http_result left = world.submit(0, "00000000000000ff", 4000, 2, "/p/", milliseconds(700));
    BOOST_TEST(left.status != 200);
    BOOST_TEST(integration::eventually([&] { return world.platform().running() == 0; }, milliseconds(1500)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace poplarshed::users_platform::test
