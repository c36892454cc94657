#pragma once

#include <memory>

#include "common/random_source.h"
#include "soak/promises.h"

namespace poplarshed::soak {

/// Callers that send jobs over connections which they keep, and send a job again where it got no answer.
class callers {
public:
    struct options {
        std::size_t count = 12;
        milliseconds pause{60};        ///< mean time between two jobs of a caller
        double leaving_share = 0.05;   ///< of the jobs whose caller leaves early
        double crashing_share = 0.02;  ///< of the jobs, whose tasks crash their workers
        milliseconds time_limit{2500};
        milliseconds crashing_time_limit{9000};  ///< of jobs whose tasks crash their workers
        milliseconds retransmit{1300};
    };

    callers(deployment& world, promises& checks, options values, std::uint64_t seed);

    void start();
    void stop() { m_stopped = true; }
    bool idle() const { return m_busy == 0; }
    void set_pause(milliseconds pause) { m_options.pause = pause; }
    void set_leaving_share(double share) { m_options.leaving_share = share; }

    /// Jobs since the last call of count_anew(): answered completed, and all.
    std::size_t completed() const { return m_completed; }
    std::size_t sent() const { return m_sent; }
    void count_anew() { m_completed = m_sent = 0; }

private:
    struct connection {
        explicit connection(net::io_context& io) : socket(io) {}
        tcp::socket socket;
        std::size_t instance = 0;
        std::uint64_t life = 0;
        bool open = false;
    };

    struct probe_answer {
        std::uint64_t life = 0;
        bool served = false;
    };

    net::awaitable<void> run_caller(std::size_t number);
    net::awaitable<void> run_probe(std::size_t instance);
    /// @returns nothing if there is no answer that tells whether the route exists
    net::awaitable<std::optional<probe_answer>> probe(std::size_t instance, const std::string& path);
    net::awaitable<void> send_job(connection& to);
    net::awaitable<attempt_record> attempt(connection& to, const std::string& body, const job_record& job,
                                           milliseconds limit);
    milliseconds time_limit_of(const job_record& job) const;
    net::awaitable<bool> connect(connection& to);
    std::optional<std::size_t> pick_instance();

    deployment& m_world;
    promises& m_checks;
    options m_options;
    random_source m_random;
    std::uint64_t m_last_job = 0;
    std::size_t m_busy = 0;
    std::size_t m_completed = 0;
    std::size_t m_sent = 0;
    bool m_stopped = false;
};

}  // namespace poplarshed::soak
