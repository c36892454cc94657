#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <optional>
#include <string>

#include "common/common.h"

namespace poplarshed::peer {

/// Socket address of "ip:port" or "[ip]:port"; nothing if the text is neither.
inline std::optional<boost::asio::ip::tcp::endpoint> parse_address(const endpoint& address)
{
    const std::string& text = address.value();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code not_an_ip;
    const auto ip = boost::asio::ip::make_address(host, not_an_ip);
    if (failed != std::errc() || stop != end || not_an_ip) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

/// True for an address that a connection can be opened to: "ip:port" or "[ip6]:port" with a port above 0 and
/// no other spelling of the same. The one check of addresses that come from the store, workers or peers; what
/// passes it is safe in a URL.
inline bool is_connectable(const endpoint& address)
{
    // "[" 39 characters "]:65535"
    constexpr std::size_t longest_address = 47;
    const std::string& text = address.value();
    const auto parsed = text.size() <= longest_address ? parse_address(address) : std::nullopt;
    if (!parsed || parsed->port() == 0 || parsed->address().is_unspecified() ||
        parsed->address().is_multicast()) {
        return false;
    }
    // A scope ("%eth0") holds for one machine only. Of IPv6 many spellings are in use, of ports just one.
    const std::size_t colon = text.rfind(':');
    const bool bracketed = text.front() == '[' && text[colon - 1] == ']';
    return bracketed == parsed->address().is_v6() && text.find('%') == std::string::npos &&
           text.substr(colon + 1) == std::to_string(parsed->port());
}

/// "ip:port" of a socket address.
inline endpoint format_address(const boost::asio::ip::tcp::endpoint& address)
{
    const std::string host = address.address().to_string();
    const bool is_v6 = address.address().is_v6();
    return endpoint((is_v6 ? "[" + host + "]" : host) + ":" + std::to_string(address.port()));
}

}  // namespace poplarshed::peer
