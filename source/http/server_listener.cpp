#include "http/server_engine.h"

namespace poplarshed::http {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int accept_backlog = 1024;
// Connections taken before others have their turn.
constexpr int accepts_per_turn = 64;

result<tcp::endpoint> resolve(const std::string& address, boost::asio::io_context& io)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return error{"the address is not of the form ip:port"};
    }
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    error_code failed;
    const auto found =
        tcp::resolver(io).resolve(host, address.substr(colon + 1), tcp::resolver::passive, failed);
    if (failed || found.empty()) {
        return error{failed.message()};
    }
    return found.begin()->endpoint();
}

}  // namespace

std::optional<error> server::engine::listener::open()
{
    const auto address = resolve(m_options.address, m_engine.m_io);
    if (!address) {
        return address.error();
    }
    error_code failed;
    m_acceptor.open(address.value().protocol(), failed);
    if (!failed) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        m_acceptor.bind(address.value(), failed);
    }
    if (!failed) {
        m_acceptor.listen(accept_backlog, failed);
    }
    if (!failed) {
        m_acceptor.non_blocking(true, failed);
    }
    return failed ? std::optional(error{failed.message()}) : std::nullopt;
}

void server::engine::listener::accept()
{
    m_acceptor.async_wait(tcp::acceptor::wait_read, [this](const error_code& failed) {
        if (!failed) {
            accept_ready();
        }
    });
}

void server::engine::listener::accept_ready()
{
    for (int i = 0; i < accepts_per_turn; ++i) {
        // Without room new clients wait with the kernel; the next tick looks again.
        m_accept_paused = !make_room();
        if (m_accept_paused) {
            return;
        }
        error_code failed;
        tcp::socket socket(m_engine.m_io);
        m_acceptor.accept(socket, failed);
        if (failed == boost::asio::error::would_block || failed == boost::asio::error::try_again) {
            break;
        }
        if (failed == boost::asio::error::connection_aborted) {
            continue;
        }
        if (failed) {
            // Out of descriptors or of the kernel's memory: the listener stays readable, so that waiting for
            // it at once would spin.
            m_accept_paused = true;
            return;
        }
        socket.non_blocking(true, failed);
        socket.set_option(tcp::no_delay(true), failed);
        const connection_id id(++m_engine.m_last_connection);
        m_budget.open(id, now());
        const auto added = std::make_shared<connection>(id, std::move(socket), *this);
        m_connections.emplace(id, added);
        added->start();
    }
    accept();
}

bool server::engine::listener::make_room()
{
    if (m_budget.has_free_connection()) {
        return true;
    }
    const auto victim = m_budget.connection_victim(now());
    if (victim) {
        close(*victim, close_reason::connections);
    }
    return victim.has_value();
}

void server::engine::listener::tick(time_point at)
{
    relieve();
    std::vector<std::shared_ptr<connection>> all;
    all.reserve(m_connections.size());
    for (const auto& [id, item] : m_connections) {
        all.push_back(item);
    }
    for (const auto& item : all) {
        item->on_tick(at);
    }
    if (m_accept_paused) {
        m_accept_paused = false;
        accept();
    }
}

void server::engine::listener::answer(reply& item)
{
    const auto found = m_connections.find(item.to.connection);
    if (found != m_connections.end()) {
        const auto kept = found->second;
        kept->answer(item.exchange, item.answer);
    }
}

exchange_id server::engine::listener::open_exchange(connection_id connection, int descriptor)
{
    const exchange_id id(++m_engine.m_last_exchange);
    if (m_options.answers_later) {
        m_engine.m_exchanges.add(id, {m_index, connection, descriptor});
    }
    return id;
}

void server::engine::listener::drop_exchange(exchange_id id)
{
    if (m_engine.m_exchanges.take(id)) {
        m_options.handler->on_left(id);
    }
}

std::shared_ptr<void> server::engine::listener::hold(std::size_t bytes)
{
    m_handed_over->fetch_add(bytes, std::memory_order_relaxed);
    return {nullptr,
            [total = m_handed_over, bytes](void*) { total->fetch_sub(bytes, std::memory_order_relaxed); }};
}

void server::engine::listener::count(request_refusal reason)
{
    if (m_engine.m_observer.on_refused) {
        const auto index = static_cast<std::size_t>(reason);
        m_engine.m_observer.on_refused(reason, m_engine.m_refusal_reports.due(index, now()));
    }
}

void server::engine::listener::relieve()
{
    while (!share().accepts_large()) {
        const auto victim = m_budget.memory_victim(now());
        if (!victim) {
            return;
        }
        close(*victim, close_reason::memory);
    }
}

void server::engine::listener::close(connection_id id, std::optional<close_reason> reason)
{
    const auto node = m_connections.extract(id);
    if (node.empty()) {
        return;
    }
    node.mapped()->drop_waiting();
    // Counted first, so that a client that sees the end of its connection finds it in the counters.
    if (reason && m_engine.m_observer.on_closed) {
        const auto index = static_cast<std::size_t>(*reason);
        m_engine.m_observer.on_closed(*reason, m_engine.m_close_reports.due(index, now()));
    }
    node.mapped()->close_socket();
    m_budget.close(id);
}

void server::engine::listener::shutdown()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& [id, item] : m_connections) {
        item->close_socket();
    }
    m_connections.clear();
}

}  // namespace poplarshed::http
