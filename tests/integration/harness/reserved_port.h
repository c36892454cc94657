#pragma once

#include <boost/asio.hpp>
#include <string>

namespace poplarshed::integration {

/// A loopback port for a server that a child process opens. Bound without listening, so that the kernel does
/// not give the port to an outgoing connection before the child listens, or while it restarts.
class reserved_port {
public:
    reserved_port() : m_socket(m_io, boost::asio::ip::tcp::v4())
    {
        m_socket.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
        m_socket.bind({boost::asio::ip::address_v4::loopback(), 0});
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_socket.local_endpoint().port()); }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
};

}  // namespace poplarshed::integration
