#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "integration/harness/process.h"
#include "integration/harness/reserved_port.h"
#include "stand_ins/leased_workers.h"
#include "stand_ins/proxy_route.h"

namespace poplarshed::soak {

using stand_ins::json;
using stand_ins::net::ip::tcp;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;
namespace net = stand_ins::net;

struct size_options {
    std::uint64_t seed = 1;
    std::size_t instances = 6;
    std::size_t data_centres = 3;
    std::size_t workers = 18;
    milliseconds grace{6000};
};

/// The ways between instances. Each is reached through a port of its own, and the sender is known from its
/// greeting, so that each direction of each pair can fail by itself.
class peer_network {
public:
    explicit peer_network(net::io_context& io) : m_io(io) {}

    /// Adds an instance that listens at `target`. @returns the address that its peers use
    std::string add(const std::string& target);
    /// Faults of what one instance sends to another over connections that it opened, and of their answers.
    void set(std::size_t from, std::size_t to, const stand_ins::direction_faults& there,
             const stand_ins::direction_faults& back);
    /// Resets the connections of an instance.
    void reset(std::size_t instance);

private:
    struct way {
        explicit way(net::io_context& io) : faults(io) {}
        stand_ins::route_faults faults;
        std::unordered_set<std::shared_ptr<stand_ins::relay_connection>> connections;
    };

    struct node {
        std::string address;
        std::string target;
        std::unique_ptr<stand_ins::tcp_listener> listener;
    };

    net::awaitable<void> serve(std::size_t to, tcp::socket client);
    way& between(std::size_t from, std::size_t to);

    net::io_context& m_io;
    std::deque<node> m_nodes;
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<way>> m_ways;
};

/// Real instances on the stand-in platform, each with its own ways to the store and to its peers.
class deployment {
public:
    enum class state { running, paused, leaving, down };

    struct instance {
        std::size_t data_centre = 0;
        integration::reserved_port callers;
        integration::reserved_port readiness;
        integration::reserved_port peers;
        integration::reserved_port metrics;
        std::string advertised;
        std::unique_ptr<stand_ins::proxy_route> store;
        std::unique_ptr<integration::child_process> process;
        deployment::state state = deployment::state::down;
        std::uint64_t life = 0;  ///< number of its starts
        clock::time_point started;
        clock::time_point stop_sent;
    };

    deployment(net::io_context& io, const size_options& options, const std::filesystem::path& folder);

    void start(std::size_t index);
    void kill(std::size_t index);
    void pause(std::size_t index);
    void resume(std::size_t index);
    /// SIGTERM; the process drains and ends.
    void terminate(std::size_t index);

    std::size_t size() const { return m_instances.size(); }
    std::size_t data_centres() const { return m_options.data_centres; }
    instance& at(std::size_t index) { return m_instances.at(index); }
    stand_ins::leased_store& store() { return m_store; }
    stand_ins::leased_workers& workers() { return m_workers; }
    peer_network& network() { return m_network; }
    net::io_context& io() { return m_io; }

    /// Writes a configuration that serves the route of its number and of the number before, and the lasting
    /// routes of all numbers up to its own.
    void configure(std::uint64_t version);
    std::uint64_t version() const { return m_version; }

private:
    net::io_context& m_io;
    size_options m_options;
    std::filesystem::path m_folder;
    stand_ins::leased_store m_store;
    stand_ins::leased_workers m_workers;
    peer_network m_network;
    std::deque<instance> m_instances;
    std::uint64_t m_version = 0;
};

/// Path prefix of the route that a version adds and that the second version after it removes.
std::string route_of(std::uint64_t version);
/// How many versions have the route of a number.
inline constexpr std::uint64_t route_versions = 2;
/// Path prefix of the route that a version adds and that every later one has: who serves it knows that
/// version or a later one, and who does not knows an older one, however many versions are written meanwhile.
std::string lasting_route_of(std::uint64_t version);
/// Path prefix of the route that every version has.
inline const std::string lasting_route = "/p/";

}  // namespace poplarshed::soak
