#include <array>

#include "peer/engine.h"

namespace poplarshed::peer {

std::string_view to_string(down_evidence value)
{
    static constexpr std::array<std::string_view, 3> names{"connection_refused", "closed", "timed_out"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(link_refusal value)
{
    static constexpr std::array<std::string_view, link_refusal_count> names{
        "wrong_key", "other_protocol",     "handshake_timeout",    "handshake_closed",
        "bad_frame", "unexpected_message", "too_many_connections", "own_address"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(drop_reason value)
{
    static constexpr std::array<std::string_view, drop_reason_count> names{"not_connected", "queue_full",
                                                                           "too_large", "link_closed"};
    return names.at(static_cast<std::size_t>(value));
}

result<std::unique_ptr<network>> network::start(network_options options, network_callbacks callbacks)
{
    if (options.cluster_key.empty()) {
        return error{"peer links need a cluster key"};
    }
    auto implementation = std::make_unique<engine>(std::move(options), std::move(callbacks));
    if (auto failed = implementation->listen()) {
        return std::move(*failed);
    }
    implementation->run();
    return std::unique_ptr<network>(new network(std::move(implementation)));
}

network::network(std::unique_ptr<engine> implementation) : m_engine(std::move(implementation)) {}

network::~network() = default;

const endpoint& network::address() const
{
    return m_engine->greeting().instance.address;
}

instance_id network::self() const
{
    return m_engine->greeting().instance;
}

bool network::set_peers(std::vector<endpoint> learned)
{
    return m_engine->set_learned(std::move(learned));
}

bool network::send(const endpoint& to, wire::message value)
{
    return m_engine->push(to, std::nullopt, std::move(value));
}

bool network::send(const instance_id& to, wire::message value)
{
    return m_engine->push(to.address, to.incarnation, std::move(value));
}

bool network::reconnect(const endpoint& to)
{
    return m_engine->reconnect(to);
}

bool network::flush(milliseconds limit)
{
    return m_engine->flush(limit);
}

network_counters network::counters() const
{
    return m_engine->counters();
}

}  // namespace poplarshed::peer
