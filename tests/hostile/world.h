#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

#include "hostile/crowd.h"
#include "hostile/requests.h"
#include "integration/harness/http.h"
#include "integration/harness/reserved_port.h"
#include "stand_ins/users_platform.h"

namespace poplarshed::hostile::test {

// Limits of the instance under test, lowered so that a small crowd reaches them.
inline constexpr std::size_t memory_limit_mb = 8;
inline constexpr std::size_t connection_limit = 64;

/// Memory that the process may need beyond that of its idle state. A machine of 120 MB, of which the idle
/// process and its own work take 24 MB, leaves twice the default of 48 MB that clients may hold.
inline constexpr std::size_t memory_growth_bound_kb = 2 * memory_limit_mb * 1024;
/// Descriptors beyond those of the idle state: the connections of callers, and as many as half of them for
/// readiness, metrics and the links of the instance itself. The 64 open handshakes of the peers' port
/// (`peer::network_options::max_open_handshakes`) are within it.
inline constexpr std::size_t descriptor_growth_bound = connection_limit + connection_limit / 2;
/// Clients of a crowd that tries the bound of descriptors: twice that bound and more.
inline constexpr std::size_t many_connections = 200;

/// One instance on the stand-in platform, measured from outside. Its process is never started again.
class world {
public:
    /// Waits until the instance is ready and has completed a job, which ends the growth of a new process.
    world();
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    target route() const { return {m_callers.address(), "/p/00000000000000f0"}; }
    target unknown_path() const { return {m_callers.address(), "/no/such/path"}; }
    target readiness() const { return {m_readiness.address(), "/readyz"}; }
    target metrics() const { return {m_metrics.address(), "/metrics"}; }
    target peers() const { return {m_peers.address(), ""}; }

    /// Lets a crowd act and checks, while its connections stay open and after they have been closed, that the
    /// process lives within its bounds and that an ordinary job is taken and completed.
    void withstands(const target& to, std::size_t members, const behaviour& what);

private:
    void start();
    void check_process(const std::string& when);
    bool completes_a_job();
    void await_intake() const;
    bool knows_limits() const;
    integration::json settings(bool with_limits) const;
    void sample_descriptors(const std::stop_token& stop);

    integration::scratch_folder m_folder;
    stand_ins::users_platform m_platform{4};
    integration::reserved_port m_callers;
    integration::reserved_port m_readiness;
    integration::reserved_port m_metrics;
    integration::reserved_port m_peers;
    std::unique_ptr<integration::child_process> m_process;
    int m_jobs = 0;
    std::size_t m_idle_kb = 0;
    std::size_t m_idle_descriptors = 0;
    std::atomic<std::size_t> m_peak_descriptors{0};
    std::jthread m_sampler;
};

}  // namespace poplarshed::hostile::test
