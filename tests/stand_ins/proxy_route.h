#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include "stand_ins/relay.h"

namespace poplarshed::stand_ins {

/// One listening port whose connections lead to one target, and the faults of that way. Runs on the thread of
/// its io_context.
class proxy_route {
public:
    /// @param port 0 lets the kernel choose
    proxy_route(net::io_context& io, std::uint16_t port, const std::string& target);

    std::uint16_t port() const { return m_listener.port(); }
    /// Applies the named fields: delay_ms, cut, freeze, drop_answers, refuse, break, target. Throws
    /// std::exception for unknown fields or values.
    void set_faults(const json& fields);
    void restore();
    json status() const;

private:
    using setter = void (*)(proxy_route&, const json&);

    static const std::map<std::string, setter, std::less<>>& setters();
    void set_directions(const json& value, bool direction_faults::*fault);
    void refuse(bool on);
    void retarget(const std::string& target);
    void close_connections(bool only_damaged);
    net::awaitable<void> serve(tcp::socket client);

    net::io_context& m_io;
    std::string m_target;
    route_faults m_faults;
    std::unordered_set<std::shared_ptr<relay_connection>> m_connections;
    std::uint64_t m_accepted = 0;
    tcp_listener m_listener;
};

}  // namespace poplarshed::stand_ins
