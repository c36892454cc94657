#include "cases.h"

namespace review {

namespace {

constexpr milliseconds case_limit{100'000};

layout small_deployment(std::size_t instances, std::size_t runner_count)
{
    layout wanted;
    wanted.instances = instances;
    wanted.workers.assign(runner_count, {});
    return wanted;
}

// The client follows PROTOCOL.md: after a 504 the job is sent again retransmit_ms later, to any node.
net::awaitable<void> play_resend(deployment& world)
{
    constexpr milliseconds retransmit{1300};
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start_instance(i);
    }
    co_await world.wait_ready();
    step work;
    work.count = 4;
    work.need = {2000, 256, 0};
    work.estimate_ms = 5000;
    work.work_ms = 5000;
    const std::string id = world.add_job({work}).id;
    net::co_spawn(world.io(), [&world, id, retransmit]() -> net::awaitable<void> {
        const answer got = co_await world.submit(0, id, milliseconds(20'000));
        if (got.status == 0 || got.status == 502 || got.status == 504) {
            co_await world.wait(retransmit);
            co_await world.submit(0, id, milliseconds(20'000));
        }
    }, net::detached);
    co_await world.wait_until("the job's tasks run", [&] { return world.workers().running(id).size() == 4; },
                              milliseconds(5000));
    co_await world.wait(milliseconds(500));
    if (with_trouble()) {
        co_await world.cancel(0, id);
    }
    co_await world.wait(milliseconds(8000));
}

// While the store is away, the only runner of kind "b" restarts under its id as one of kind "a".
net::awaitable<void> play_kind(deployment& world)
{
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start_instance(i);
    }
    co_await world.wait_ready();
    step work;
    work.count = 1;
    work.need = {2000, 256, 0};
    work.estimate_ms = 200;
    work.work_ms = 200;
    work.constraints = "b";
    const std::string before = world.add_job({work}).id;
    co_await world.submit(0, before, milliseconds(5000));
    co_await world.wait(milliseconds(1000));
    if (with_trouble()) {
        store_faults away;
        away.silent = true;
        world.store().set_faults(away);
        world.log().line("the store is silent");
        co_await world.wait(milliseconds(500));
        world.workers().crash(0, milliseconds(1000), {"a", "r1"});
        co_await world.wait(milliseconds(1500));
    }
    const std::string during = world.add_job({work}).id;
    co_await world.submit(0, during, milliseconds(3000));
    world.store().set_faults({});
    co_await world.wait(milliseconds(1000));
}

// While the store is away, an idle runner that doesn't guard its capacity restarts under its id with less of it.
net::awaitable<void> play_room(deployment& world)
{
    // A room that has shrunk counts contact_ms (3,000) and one beat (1,500) later.
    constexpr milliseconds room_time{4500};
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start_instance(i);
    }
    co_await world.wait_ready();
    step work;
    work.count = 1;
    work.need = {14'000, 256, 0};
    work.estimate_ms = 200;
    work.work_ms = 200;
    work.constraints = "b";
    const std::string before = world.add_job({work}).id;
    co_await world.submit(0, before, milliseconds(5000));
    co_await world.wait(milliseconds(500));
    if (with_trouble()) {
        store_faults away;
        away.silent = true;
        world.store().set_faults(away);
        world.log().line("the store is silent");
        co_await world.wait(milliseconds(50));
        world.workers().crash(0, milliseconds(300), {}, resources{8000, 65'536, 0});
        co_await world.wait(milliseconds(320) + room_time + milliseconds(150));
    }
    const std::string during = world.add_job({work}).id;
    co_await world.submit(0, during, milliseconds(400));
    world.store().set_faults({});
    world.log().line("the store answers");
    co_await world.wait(milliseconds(1000));
}

// A job's queue is dropped by a new configuration; the client goes on trying to cancel the job.
net::awaitable<void> play_dropped_route(deployment& world)
{
    constexpr milliseconds config_time{2000};
    constexpr milliseconds acknowledge_time{4000};
    constexpr milliseconds cancel_time{3000};
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start_instance(i);
    }
    co_await world.wait_ready();
    std::vector<step> steps;
    for (std::uint32_t i = 0; i < 16; ++i) {
        step work;
        work.count = 2;
        work.need = {2000, 256, 0};
        work.estimate_ms = 1000;
        work.work_ms = 1000;
        if (i > 0) {
            work.after = {i - 1};
        }
        steps.push_back(work);
    }
    const std::string id = world.add_job(steps).id;
    net::co_spawn(world.io(), [&world, id]() -> net::awaitable<void> {
        co_await world.submit(0, id, milliseconds(25'000));
    }, net::detached);
    co_await world.wait_until("the job's tasks run", [&] { return !world.workers().running(id).empty(); },
                              milliseconds(5000));
    if (with_trouble()) {
        world.configure(2, false);
        world.log().line("configuration 2 is acknowledged; it drops the job's route");
    }
    co_await world.wait(config_time + milliseconds(500));
    const auto first = clock::now();
    bool acknowledged = false;
    std::size_t started = 0;
    while (clock::now() < first + acknowledge_time + cancel_time + milliseconds(3500)) {
        if (!acknowledged) {
            const answer got = co_await world.cancel(0, id);
            acknowledged = got.status / 100 == 2 || got.status == 410;
        }
        if (!acknowledged && clock::now() > first + acknowledge_time + cancel_time) {
            const std::size_t now_started = world.workers().starts_of(id);
            if (started != 0 && now_started > started) {
                world.log().broken("UNASKED", std::to_string(now_started - started) +
                                                  " tasks start later than ack_ms + cancel_ms after the first DELETE");
                break;
            }
            started = now_started;
        }
        co_await world.wait(milliseconds(500));
    }
    // Starts after an acknowledgement are checked by the runners.
    co_await world.wait(milliseconds(500));
}

}  // namespace

int resend_case(const std::string& record_path)
{
    deployment world(record_path, small_deployment(2, 4));
    return world.play(play_resend, case_limit);
}

int kind_case(const std::string& record_path)
{
    layout wanted = small_deployment(2, 8);
    wanted.workers.at(0).labels = {"b", "r1"};
    deployment world(record_path, wanted);
    return world.play(play_kind, case_limit);
}

int room_case(const std::string& record_path)
{
    layout wanted = small_deployment(2, 8);
    wanted.workers.at(0).labels = {"b", "r1"};
    for (runners::options& one : wanted.workers) {
        one.enforces_capacity = false;
    }
    deployment world(record_path, wanted);
    return world.play(play_room, case_limit);
}

int dropped_route_case(const std::string& record_path)
{
    deployment world(record_path, small_deployment(2, 4));
    return world.play(play_dropped_route, case_limit);
}

}  // namespace review
