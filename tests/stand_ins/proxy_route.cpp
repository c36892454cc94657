#include "stand_ins/proxy_route.h"

#include <stdexcept>

namespace poplarshed::stand_ins {

proxy_route::proxy_route(net::io_context& io, std::uint16_t port, const std::string& target)
    : m_io(io),
      m_target(target),
      m_faults(io),
      m_listener(io, [this](tcp::socket client) { return serve(std::move(client)); })
{
    parse_endpoint(target);
    m_listener.open(port);
}

void proxy_route::set_faults(const json& fields)
{
    for (const auto& [name, value] : fields.items()) {
        const auto found = setters().find(name);
        if (found == setters().end()) {
            throw std::invalid_argument("unknown fault: " + name);
        }
        found->second(*this, value);
    }
    m_faults.changed.notify_all();
    close_connections(true);
}

void proxy_route::restore()
{
    m_faults.to_target = {};
    m_faults.to_client = {};
    refuse(false);
    m_faults.changed.notify_all();
    close_connections(true);
}

json proxy_route::status() const
{
    return {{"listen", m_listener.port()},
            {"target", m_target},
            {"connections", m_connections.size()},
            {"accepted", m_accepted},
            {"refusing", !m_listener.is_open()}};
}

const std::map<std::string, proxy_route::setter, std::less<>>& proxy_route::setters()
{
    static const std::map<std::string, setter, std::less<>> table{
        {"delay_ms",
         [](proxy_route& self, const json& value) {
             const std::chrono::milliseconds delay(value.get<std::uint32_t>());
             self.m_faults.to_target.delay = delay;
             self.m_faults.to_client.delay = delay;
         }},
        {"cut",
         [](proxy_route& self, const json& value) { self.set_directions(value, &direction_faults::cut); }},
        {"freeze",
         [](proxy_route& self, const json& value) { self.set_directions(value, &direction_faults::freeze); }},
        {"drop_answers",
         [](proxy_route& self, const json& value) { value.get_to(self.m_faults.to_client.drop_chunks); }},
        {"refuse", [](proxy_route& self, const json& value) { self.refuse(value.get<bool>()); }},
        {"break", [](proxy_route& self, const json& /*value*/) { self.close_connections(false); }},
        {"target", [](proxy_route& self, const json& value) { self.retarget(value.get<std::string>()); }},
    };
    return table;
}

void proxy_route::set_directions(const json& value, bool direction_faults::*fault)
{
    const auto name = value.get<std::string>();
    if (name != "off" && name != "both" && name != "to_target" && name != "to_client") {
        throw std::invalid_argument("unknown direction: " + name);
    }
    m_faults.to_target.*fault = name == "both" || name == "to_target";
    m_faults.to_client.*fault = name == "both" || name == "to_client";
}

void proxy_route::refuse(bool on)
{
    if (on) {
        m_listener.close();
        close_connections(false);
    } else if (!m_listener.is_open()) {
        m_listener.open(0);
    }
}

void proxy_route::retarget(const std::string& target)
{
    parse_endpoint(target);
    m_target = target;
}

void proxy_route::close_connections(bool only_damaged)
{
    const bool cut = m_faults.to_target.cut || m_faults.to_client.cut;
    for (const auto& connection : m_connections) {
        if (!only_damaged) {
            connection->close();
        } else if (!cut) {
            connection->close_if_damaged();
        }
    }
}

net::awaitable<void> proxy_route::serve(tcp::socket client)
{
    ++m_accepted;
    auto connection = std::make_shared<relay_connection>(m_io, std::move(client), m_faults);
    m_connections.insert(connection);
    co_await relay_connection::run(connection, parse_endpoint(m_target));
    connection->close();
    m_connections.erase(connection);
}

}  // namespace poplarshed::stand_ins
