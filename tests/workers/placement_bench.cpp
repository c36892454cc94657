#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>

#include "common/random_source.h"
#include "pool_fixture.h"

namespace poplarshed::workers::test {

namespace {

constexpr std::int64_t worker_cpu = 16'000;
constexpr std::int64_t least_need = 6'400;
constexpr std::uint64_t need_range = 3'200;

/// Offers jobs of one task each. Every offer is admitted and
/// scheduled, and its start is confirmed at once. @returns placements per second
double placements_per_second(std::size_t workers, std::size_t most)
{
    pool_fixture f(workers, worker_cpu);
    for (std::size_t i = 0; i < workers; ++i) {
        f.list(i);
    }
    random_source random(1);
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < most; ++i) {
        job_offer job = pool_fixture::offer("bench-" + std::to_string(i), 1);
        job.steps[0].need.cpu_milli = least_need + static_cast<std::int64_t>(random.below(need_range));
        f.offer_job(job);
        if (f.starts.size() > i) {
            f.confirm(f.starts.back());
        }
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
    return static_cast<double>(f.starts.size()) / taken.count();
}

}  // namespace

}  // namespace poplarshed::workers::test

int main(int argc, char** argv)
{
    CLI::App app("Measures how many placements a pool makes in a second, by its number of workers.");
    std::vector<std::size_t> sizes{350, 1'000, 10'000};
    std::size_t most = 300;
    app.add_option("workers", sizes, "Numbers of workers")->capture_default_str();
    app.add_option("--placements", most, "Placements for each number of workers")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    for (const std::size_t workers : sizes) {
        std::printf("%6zu workers: %8.0f placements/s\n", workers,
                    poplarshed::workers::test::placements_per_second(workers, most));
    }
    return 0;
}
