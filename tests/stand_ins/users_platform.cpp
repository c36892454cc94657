#include "stand_ins/users_platform.h"

namespace poplarshed::stand_ins {

namespace {

constexpr std::chrono::milliseconds step{5};

}  // namespace

json desk_configuration(std::uint64_t version, const std::vector<std::string>& prefixes)
{
    json routes = json::array();
    for (const std::string& prefix : prefixes) {
        routes.push_back({{"name", "r" + prefix},
                          {"host", "desk.example"},
                          {"prefix", prefix},
                          {"slo_ms", 60},
                          {"priority", 0},
                          {"service", "desk"},
                          {"max_attempts", 3},
                          {"stretch", 1.6}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", "desk"}}}},
            {"limits", {{"max_body_bytes", 262'144}}}};
}

users_platform::users_platform(std::size_t workers)
    : m_work(net::make_work_guard(m_io)),
      m_store(m_io),
      m_workers(m_io, m_store, std::vector<std::string>(workers, "ollur"))
{
    net::co_spawn(m_io, advance(), net::detached);
    m_thread = std::jthread([this] { m_io.run(); });
}

users_platform::~users_platform()
{
    m_io.stop();
    m_thread.join();
}

net::awaitable<void> users_platform::advance()
{
    for (;;) {
        co_await sleep_for(m_io, step);
        m_store.advance();
        m_workers.advance();
    }
}

void users_platform::put(const std::string& key, const json& value)
{
    on_thread([&] { m_store.put(key, value); });
}

void users_platform::set_store_down(bool down)
{
    on_thread([&] {
        store_faults faults;
        faults.resets = down;
        m_store.set_faults(faults);
    });
}

std::size_t users_platform::running()
{
    return on_thread([this] { return m_workers.running(); });
}

std::size_t users_platform::starts()
{
    return on_thread([this] { return m_workers.starts().size(); });
}

std::vector<std::string> users_platform::overlaps()
{
    return on_thread([this] { return m_workers.overlaps(); });
}

}  // namespace poplarshed::stand_ins
