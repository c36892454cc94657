#include "stand_ins/relay.h"

#include <array>
#include <stdexcept>

namespace poplarshed::stand_ins {

relay_connection::relay_connection(net::io_context& io, tcp::socket client, route_faults& faults)
    : m_io(io), m_client(std::move(client)), m_target(io), m_faults(faults), m_pump_done(io)
{}

net::awaitable<bool> relay_connection::run(self_pointer self, tcp::endpoint target, std::string first)
{
    co_await self->wait_while_held(self->m_faults.to_target);
    boost::system::error_code failed;
    co_await self->m_target.async_connect(target, net::redirect_error(net::use_awaitable, failed));
    if (failed) {
        self->m_target.close(failed);
        co_return false;
    }
    self->m_client.set_option(tcp::no_delay(true), failed);
    self->m_target.set_option(tcp::no_delay(true), failed);
    co_await net::async_write(self->m_target, net::buffer(first),
                              net::redirect_error(net::use_awaitable, failed));
    self->m_pumps = 2;
    net::co_spawn(self->m_io, pump(self, self->m_client, self->m_target, self->m_faults.to_target),
                  net::detached);
    net::co_spawn(self->m_io, pump(self, self->m_target, self->m_client, self->m_faults.to_client),
                  net::detached);
    while (self->m_pumps > 0) {
        co_await self->m_pump_done.wait();
    }
    self->close();
    co_return true;
}

void relay_connection::close()
{
    boost::system::error_code ignored;
    m_client.close(ignored);
    m_target.close(ignored);
}

void relay_connection::close_if_damaged()
{
    if (m_damaged) {
        close();
    }
}

net::awaitable<void> relay_connection::wait_while_held(const direction_faults& faults)
{
    while (faults.freeze || faults.cut) {
        co_await m_faults.changed.wait();
    }
}

net::awaitable<void> relay_connection::pump(self_pointer self, tcp::socket& from, tcp::socket& to,
                                            direction_faults& faults)
{
    std::array<char, 16'384> chunk{};
    boost::system::error_code failed;
    bool open = true;
    while (open) {
        const std::size_t length = co_await from.async_read_some(
            net::buffer(chunk), net::redirect_error(net::use_awaitable, failed));
        if (failed) {
            break;
        }
        open = co_await self->pass(length, chunk, to, faults);
    }
    // The end of a connection does not get through a cut or frozen direction either.
    co_await self->wait_while_held(faults);
    if (failed == net::error::eof) {
        to.shutdown(tcp::socket::shutdown_send, failed);
    } else {
        self->close();
    }
    --self->m_pumps;
    self->m_pump_done.notify_all();
}

net::awaitable<bool> relay_connection::pass(std::size_t length, const std::array<char, 16'384>& chunk,
                                            tcp::socket& to, direction_faults& faults)
{
    if (faults.delay.count() > 0) {
        co_await sleep_for(m_io, faults.delay);
    }
    if (faults.cut) {
        m_damaged = true;
        co_return true;
    }
    co_await wait_while_held(faults);
    if (faults.drop_chunks > 0) {
        --faults.drop_chunks;
        co_return false;
    }
    boost::system::error_code failed;
    co_await net::async_write(to, net::buffer(chunk.data(), length),
                              net::redirect_error(net::use_awaitable, failed));
    co_return !failed;
}

tcp_listener::tcp_listener(net::io_context& io, connection_handler handler)
    : m_io(io), m_handler(std::move(handler)), m_acceptor(std::make_shared<tcp::acceptor>(io))
{}

std::uint16_t tcp_listener::open(std::uint16_t port)
{
    const tcp::endpoint address(net::ip::address_v4::loopback(), m_port != 0 ? m_port : port);
    m_acceptor = std::make_shared<tcp::acceptor>(m_io);
    m_acceptor->open(address.protocol());
    m_acceptor->set_option(tcp::acceptor::reuse_address(true));
    m_acceptor->bind(address);
    m_acceptor->listen();
    m_port = m_acceptor->local_endpoint().port();
    net::co_spawn(m_io, accept(m_io, m_acceptor, m_handler), net::detached);
    return m_port;
}

void tcp_listener::close()
{
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
}

net::awaitable<void> tcp_listener::accept(net::io_context& io, std::shared_ptr<tcp::acceptor> acceptor,
                                          connection_handler handler)
{
    boost::system::error_code failed;
    while (acceptor->is_open()) {
        tcp::socket socket(io);
        co_await acceptor->async_accept(socket, net::redirect_error(net::use_awaitable, failed));
        if (failed) {
            co_return;
        }
        net::co_spawn(io, handler(std::move(socket)), net::detached);
    }
}

tcp::endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("expected ip:port, got " + text);
    }
    const unsigned long port = std::stoul(text.substr(colon + 1));
    return {net::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

}  // namespace poplarshed::stand_ins
