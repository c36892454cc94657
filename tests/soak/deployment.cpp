#include "soak/deployment.h"

#include <csignal>
#include <fstream>

#include "stand_ins/users_platform.h"

namespace poplarshed::soak {

namespace {

constexpr std::array<const char*, 4> data_centre_names{"ollur", "punkunnam", "ayyanthole", "kuttanellur"};
constexpr std::size_t greeting_bytes = 4096;

std::vector<std::string> places(const size_options& options)
{
    std::vector<std::string> found;
    for (std::size_t i = 0; i < options.workers; ++i) {
        found.emplace_back(data_centre_names.at(i % options.data_centres));
    }
    return found;
}

}  // namespace

std::string route_of(std::uint64_t version)
{
    return "/v" + std::to_string(version) + "/";
}

std::string lasting_route_of(std::uint64_t version)
{
    return "/since" + std::to_string(version) + "/";
}

std::string peer_network::add(const std::string& target)
{
    const std::size_t index = m_nodes.size();
    m_nodes.emplace_back();
    node& added = m_nodes.back();
    added.target = target;
    added.listener = std::make_unique<stand_ins::tcp_listener>(
        m_io, [this, index](tcp::socket client) { return serve(index, std::move(client)); });
    added.address = "127.0.0.1:" + std::to_string(added.listener->open(0));
    return added.address;
}

peer_network::way& peer_network::between(std::size_t from, std::size_t to)
{
    auto& found = m_ways[{from, to}];
    if (!found) {
        found = std::make_unique<way>(m_io);
    }
    return *found;
}

void peer_network::set(std::size_t from, std::size_t to, const stand_ins::direction_faults& there,
                       const stand_ins::direction_faults& back)
{
    way& changed = between(from, to);
    changed.faults.to_target = there;
    changed.faults.to_client = back;
    changed.faults.changed.notify_all();
    if (!there.cut && !back.cut) {
        for (const auto& connection : changed.connections) {
            connection->close_if_damaged();
        }
    }
}

void peer_network::reset(std::size_t instance)
{
    for (const auto& [pair, found] : m_ways) {
        if (pair.first == instance || pair.second == instance) {
            for (const auto& connection : found->connections) {
                connection->close();
            }
        }
    }
}

net::awaitable<void> peer_network::serve(std::size_t to, tcp::socket client)
{
    std::string first(greeting_bytes, '\0');
    boost::system::error_code failed;
    const std::size_t length =
        co_await client.async_read_some(net::buffer(first), net::redirect_error(net::use_awaitable, failed));
    first.resize(length);
    std::size_t from = to;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        from = first.find(m_nodes[i].address) != std::string::npos ? i : from;
    }
    if (failed || from == to) {
        co_return;
    }
    way& used = between(from, to);
    auto connection = std::make_shared<stand_ins::relay_connection>(m_io, std::move(client), used.faults);
    used.connections.insert(connection);
    co_await stand_ins::relay_connection::run(connection, stand_ins::parse_endpoint(m_nodes[to].target),
                                              std::move(first));
    connection->close();
    used.connections.erase(connection);
}

deployment::deployment(net::io_context& io, const size_options& options, const std::filesystem::path& folder)
    : m_io(io),
      m_options(options),
      m_folder(folder),
      m_store(io, options.seed),
      m_workers(io, m_store, places(options), options.seed),
      m_network(io)
{
    m_workers.set_guards_capacity(options.seed % 2 == 0);
    configure(1);
    for (std::size_t i = 0; i < options.instances; ++i) {
        instance& one = m_instances.emplace_back();
        one.data_centre = i % options.data_centres;
        one.advertised = m_network.add(one.peers.address());
        one.store =
            std::make_unique<stand_ins::proxy_route>(io, 0, "127.0.0.1:" + std::to_string(m_store.port()));
    }
}

void deployment::configure(std::uint64_t version)
{
    const std::string previous = version > 1 ? route_of(version - 1) : lasting_route;
    m_version = version;
    std::vector<std::string> routes{lasting_route, route_of(version), previous};
    for (std::uint64_t known = 1; known <= version; ++known) {
        routes.push_back(lasting_route_of(known));
    }
    m_store.put("op/config", stand_ins::desk_configuration(version, routes));
}

void deployment::start(std::size_t index)
{
    instance& one = m_instances.at(index);
    const std::string name = "front-" + std::to_string(index);
    json seeds = json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_instances.size()); ++i) {
        seeds.push_back(m_instances[i].advertised);
    }
    const json settings = {
        {"instance",
         {{"name", name}, {"data_centre", data_centre_names.at(one.data_centre)}, {"cpu_share", 0.25}}},
        {"callers", {{"listen", one.callers.address()}}},
        {"readiness", {{"listen", one.readiness.address()}}},
        {"metrics", {{"listen", one.metrics.address()}}},
        {"peers",
         {{"listen", one.peers.address()}, {"advertise", one.advertised}, {"seeds", seeds}, {"key", "soak"}}},
        {"store", {{"address", "127.0.0.1:" + std::to_string(one.store->port())}}},
        {"drain", {{"grace_ms", m_options.grace.count()}}}};
    const auto file = m_folder / (name + ".json");
    std::ofstream(file) << settings.dump();
    ++one.life;
    one.process = std::make_unique<integration::child_process>(
        "poplarshed-instance", std::vector<std::string>{"--settings", file.string()}, m_folder,
        name + "-" + std::to_string(one.life));
    one.state = state::running;
    one.started = clock::now();
}

void deployment::kill(std::size_t index)
{
    m_instances.at(index).process->kill();
    m_instances.at(index).state = state::down;
}

void deployment::pause(std::size_t index)
{
    m_instances.at(index).process->signal(SIGSTOP);
    m_instances.at(index).state = state::paused;
}

void deployment::resume(std::size_t index)
{
    m_instances.at(index).process->signal(SIGCONT);
    m_instances.at(index).state = state::running;
}

void deployment::terminate(std::size_t index)
{
    instance& one = m_instances.at(index);
    one.process->signal(SIGTERM);
    one.state = state::leaving;
    one.stop_sent = clock::now();
}

}  // namespace poplarshed::soak
