#include "hostile/world.h"

#include <boost/test/unit_test.hpp>
#include <fstream>

namespace poplarshed::hostile::test {

namespace {

using integration::json;
using std::chrono::milliseconds;

// Ends a hang; no promise is measured by it.
constexpr milliseconds hang_limit{30'000};
constexpr milliseconds sample_interval{5};
// An instance whose memory and descriptors stay as they are for so long takes in nothing more.
constexpr milliseconds intake_stall{1000};
constexpr milliseconds longest_intake{5000};
constexpr std::uint64_t job_ms = 20;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Shadow memory and quarantine of a sanitizer are a multiple of the program's own memory.
constexpr bool memory_is_measured = false;
#else
constexpr bool memory_is_measured = true;
#endif

std::filesystem::path proc(int pid)
{
    return std::filesystem::path("/proc") / std::to_string(pid);
}

/// A line of /proc/PID/status such as VmRSS, in kB; 0 if the process has ended.
std::size_t status_kb(int pid, const std::string& name)
{
    std::ifstream file(proc(pid) / "status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name + ':')) {
            return std::stoul(line.substr(name.size() + 1));
        }
    }
    return 0;
}

/// Open descriptors; 0 if the process has ended.
std::size_t descriptors(int pid)
{
    std::error_code failed;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator at(proc(pid) / "fd", failed), end; !failed && at != end;
         at.increment(failed)) {
        ++count;
    }
    return count;
}

json lowered_limits()
{
    return {{"memory_mb", memory_limit_mb}, {"connections", connection_limit},
            {"head_bytes", 32'768},         {"header_fields", 100},
            {"head_timeout_ms", 2'000},     {"body_progress_bytes_per_s", 512},
            {"pipelined_requests", 16},     {"unsent_bytes", 131'072},
            {"json_fields", 5'000},         {"json_depth", 16}};
}

json configuration()
{
    json value = stand_ins::desk_configuration(1, {"/p/"});
    value["limits"]["max_body_bytes"] = largest_body_bytes;
    return value;
}

}  // namespace

world::world()
{
    m_platform.put("op/config", configuration());
    start();
    integration::require_eventually("the instance is ready", [this] {
        return integration::call(m_readiness.address(), "/readyz").status == 200;
    });
    // A pool that has just been claimed may refuse its first jobs.
    integration::require_eventually("a job is completed before the load",
                                    [this] { return completes_a_job(); });
    m_idle_kb = status_kb(m_process->pid(), "VmRSS");
    m_idle_descriptors = descriptors(m_process->pid());
    m_sampler = std::jthread([this](const std::stop_token& stop) { sample_descriptors(stop); });
}

world::~world() = default;

json world::settings(bool with_limits) const
{
    json callers = {{"listen", m_callers.address()}};
    if (with_limits) {
        callers["limits"] = lowered_limits();
    }
    return {{"instance", {{"name", "front-0"}, {"data_centre", "ollur"}}},
            {"callers", callers},
            {"readiness", {{"listen", m_readiness.address()}}},
            {"metrics", {{"listen", m_metrics.address()}}},
            {"peers", {{"listen", m_peers.address()}, {"key", "test"}}},
            {"store", {{"address", m_platform.store_address()}}}};
}

// A build that knows the section must take the lowered values, too: start() fails otherwise.
bool world::knows_limits() const
{
    const auto file = m_folder.path() / "probe.json";
    json probe = settings(false);
    probe["callers"]["limits"] = json::object();
    std::ofstream(file) << probe.dump();
    integration::child_process check("poplarshed-instance", {"--settings", file.string(), "--check-settings"},
                                     m_folder.path(), "probe");
    return check.wait_for_exit(hang_limit).value_or(-1) == 0;
}

void world::start()
{
    const auto file = m_folder.path() / "instance.json";
    std::ofstream(file) << settings(knows_limits()).dump();
    m_process = std::make_unique<integration::child_process>(
        "poplarshed-instance", std::vector<std::string>{"--settings", file.string()}, m_folder.path(),
        "front-0");
}

void world::sample_descriptors(const std::stop_token& stop)
{
    const int pid = m_process->pid();
    while (!stop.stop_requested()) {
        m_peak_descriptors = std::max<std::size_t>(m_peak_descriptors, descriptors(pid));
        std::this_thread::sleep_for(sample_interval);
    }
}

bool world::completes_a_job()
{
    const json body = {{"spec", std::to_string(job_ms)},
                       {"best_effort", true},
                       {"steps", {{{"count", 2}, {"cpu", 14000}, {"mem_mb", 64}, {"estimate_ms", job_ms}}}}};
    integration::http_options options;
    options.method = "POST";
    options.body = body.dump();
    options.headers = {{"Host", "desk.example"},
                       {"Content-Type", "application/json"},
                       {"Poplarshed-Timeout-Ms", std::to_string(hang_limit.count())}};
    options.timeout = hang_limit;
    const std::string id = "000000000000" + std::to_string(1000 + ++m_jobs);
    const auto answer = integration::call(m_callers.address(), "/p/" + id, options);
    BOOST_TEST_MESSAGE("job: " << answer.status << ' ' << answer.body << answer.error);
    return answer.status == 200 && answer.body == R"({"state":"completed"})";
}

void world::check_process(const std::string& when)
{
    BOOST_TEST_CONTEXT(when)
    {
        BOOST_TEST(m_process->running(), m_process->describe());
        const std::size_t peak_kb = status_kb(m_process->pid(), "VmHWM");
        const std::size_t growth_kb = peak_kb > m_idle_kb ? peak_kb - m_idle_kb : 0;
        const std::size_t peak = m_peak_descriptors;
        const std::size_t growth = peak > m_idle_descriptors ? peak - m_idle_descriptors : 0;
        BOOST_TEST_MESSAGE(when << ": idle " << m_idle_kb << " kB, growth " << growth_kb
                                << " kB, descriptors " << m_idle_descriptors << " + " << growth);
        if (memory_is_measured) {
            BOOST_TEST(growth_kb <= memory_growth_bound_kb);
        }
        BOOST_TEST(growth <= descriptor_growth_bound);
    }
}

// A crowd that has sent everything may still wait in the kernel for an instance that has little of a core.
void world::await_intake() const
{
    const auto figures = [this] {
        return std::pair(descriptors(m_process->pid()), status_kb(m_process->pid(), "VmRSS"));
    };
    auto last = figures();
    auto last_change = std::chrono::steady_clock::now();
    const auto unchanged = [&] {
        const auto now = std::chrono::steady_clock::now();
        if (const auto seen = figures(); seen != last) {
            last = seen;
            last_change = now;
        }
        return now - last_change > intake_stall;
    };
    integration::eventually(unchanged, longest_intake);
}

void world::withstands(const target& to, std::size_t members, const behaviour& what)
{
    bool completed = false;
    {
        const crowd clients(to.address, members, what);
        clients.settle();
        await_intake();
        BOOST_TEST_MESSAGE("connections left open: " << clients.open() << " of " << members);
        completed = completes_a_job();
        BOOST_TEST(completed, "no job is completed beside the crowd");
        check_process("beside the crowd");
    }
    if (completed) {
        BOOST_TEST(completes_a_job(), "no job is completed after the crowd");
    }
    check_process("after the crowd");
}

}  // namespace poplarshed::hostile::test
