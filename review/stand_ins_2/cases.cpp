#include "cases.h"

#include <csignal>

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

net::awaitable<void> play_cancel(deployment& world)
{
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start_instance(i);
    }
    co_await world.wait_ready();
    step work;
    work.count = 4;
    work.need = {2000, 256, 0};
    work.estimate_ms = 7000;
    work.work_ms = 7000;
    const std::string id = world.add_job({work}).id;
    net::co_spawn(world.io(), [&world, id]() -> net::awaitable<void> {
        co_await world.submit(0, id, milliseconds(20'000));
    }, net::detached);
    co_await world.wait_until("the job's tasks run", [&] { return world.workers().running(id).size() == 4; },
                              milliseconds(5000));
    co_await world.wait(milliseconds(500));
    co_await world.cancel(with_trouble() ? 1 : 0, id);
    co_await world.wait(milliseconds(8000));
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

net::awaitable<void> send_job(deployment& world, connection& with, std::string id, milliseconds limit)
{
    world.log().line("client sends job " + id);
    const std::string body = world.jobs().at(id).body().dump();
    const bool sent = co_await with.send(http::verb::post, deployment::prefix() + id, body, limit);
    if (!sent) {
        throw cannot_run("the request could not be sent");
    }
}

// Two requests on one connection: answers come in the order of the requests (HTTP/1.1).
net::awaitable<void> play_pipeline(deployment& world)
{
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start_instance(i);
    }
    co_await world.wait_ready();
    step work;
    work.count = 4;
    work.need = {2000, 256, 0};
    work.estimate_ms = 3000;
    work.work_ms = 3000;
    const std::string first = world.add_job({work}).id;
    work.estimate_ms = 200;
    work.work_ms = 200;
    const std::string second = world.add_job({work}).id;
    connection open(world.io(), world.at(0).front());
    const bool connected = co_await open.open();
    if (!connected) {
        throw cannot_run("no connection");
    }
    constexpr milliseconds limit{20'000};
    co_await send_job(world, open, first, limit);
    if (with_trouble()) {
        co_await world.wait(milliseconds(100));
        co_await send_job(world, open, second, limit);
        const answer got = co_await open.receive(limit);
        world.check_answer(first, got);
    } else {
        const answer got = co_await open.receive(limit);
        world.check_answer(first, got);
        co_await send_job(world, open, second, limit);
    }
    const answer got = co_await open.receive(limit);
    world.check_answer(second, got);
}

net::awaitable<void> expect_answer(deployment& world, std::string id, milliseconds& lasted)
{
    const auto sent = clock::now();
    const answer got = co_await world.submit(0, id, milliseconds(20'000));
    lasted = std::chrono::duration_cast<milliseconds>(clock::now() - sent);
    if (got.status == 0) {
        world.log().broken("LOST", "job " + id + ", sent before the SIGTERM and not at a runner since, got no answer: " +
                                       got.error);
    }
}

// An instance is stopped while one job waits for room; it takes another one late in its time to drain.
net::awaitable<void> play_drain(deployment& world)
{
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.start_instance(i);
    }
    co_await world.wait_ready();
    step large;
    large.count = 8;
    large.need = {14'000, 256, 0};
    large.estimate_ms = 7500;
    large.work_ms = 7500;
    step waiting = large;
    waiting.count = 1;
    waiting.estimate_ms = 2000;
    waiting.work_ms = 2000;
    step small = large;
    small.count = 2;
    small.need.cpu = 2000;
    small.estimate_ms = 4500;
    small.work_ms = 4500;
    const std::string full = world.add_job({large}).id;
    const std::string waits = world.add_job({waiting}).id;
    const std::string late = world.add_job({small}).id;
    connection open(world.io(), world.at(0).front());
    const bool connected = co_await open.open();
    if (!connected) {
        throw cannot_run("no connection");
    }
    // The connection is in use before the signal, as a client's is, and the answer keeps it open.
    const answer before = co_await open.call(http::verb::get, deployment::prefix(), "", milliseconds(2000));
    world.log().line("the connection's first answer: " + std::to_string(before.status) + ", connection " +
                     before.connection);
    net::co_spawn(world.io(), [&world, full]() -> net::awaitable<void> {
        co_await world.submit(1, full, milliseconds(20'000));
    }, net::detached);
    co_await world.wait_until("the large job's tasks run", [&] { return world.workers().running(full).size() == 8; },
                              milliseconds(5000));
    milliseconds lasted{};
    net::co_spawn(world.io(), expect_answer(world, waits, lasted), net::detached);
    co_await world.wait(milliseconds(300));
    if (with_trouble()) {
        world.at(0).signal(SIGTERM);
        world.log().line("SIGTERM to " + world.at(0).name());
    }
    co_await world.wait(milliseconds(3300));
    const answer got = co_await world.submit_on(open, 0, late, milliseconds(20'000));
    world.log().line("starts: " + std::to_string(world.workers().starts_of(waits)) + " of the waiting job, " +
                     std::to_string(world.workers().starts_of(late)) + " of the late one");
    if (got.status == 0) {
        world.log().broken("LOST", "job " + late + ", sent 3.3 s after the SIGTERM, got no answer: " + got.error);
    }
    co_await world.wait_until("the waiting job has an answer", [&] { return lasted.count() > 0; },
                              milliseconds(20'000));
}

}  // namespace

int cancel_case(const std::string& record_path)
{
    deployment world(record_path, small_deployment(2, 4));
    return world.play(play_cancel, case_limit);
}

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

int pipeline_case(const std::string& record_path)
{
    deployment world(record_path, small_deployment(2, 4));
    return world.play(play_pipeline, case_limit);
}

int drain_case(const std::string& record_path)
{
    // The instance that is stopped holds no pool, so that nothing is handed over.
    layout wanted = small_deployment(2, 4);
    wanted.zones = {"punkunnam", "ollur"};
    deployment world(record_path, wanted);
    return world.play(play_drain, case_limit);
}

}  // namespace review
