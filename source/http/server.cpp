#include "http/server_engine.h"

#include <poll.h>

#include <boost/asio/post.hpp>

namespace poplarshed::http {

namespace {

using boost::system::error_code;

// Time limits are checked, and a listener that had no descriptor or connection left tries again, this often.
constexpr milliseconds tick_interval{100};

bool is_open(int descriptor)
{
    pollfd state{descriptor, POLLRDHUP, 0};
    return poll(&state, 1, 0) <= 0 || (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) == 0;
}

}  // namespace

std::string_view to_string(close_reason value)
{
    static constexpr std::array<std::string_view, close_reason_count> names{
        "memory", "connections", "head_timeout", "slow_body", "unread_answers"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(request_refusal value)
{
    static constexpr std::array<std::string_view, request_refusal_count> names{"memory", "body_too_large",
                                                                               "head_too_large", "malformed"};
    return names.at(static_cast<std::size_t>(value));
}

bool exchange_table::is_connected(exchange_id id) const
{
    // Requests are taken from the table before their descriptor is closed, so the lock keeps it open.
    const std::scoped_lock lock(m_mutex);
    const auto found = m_entries.find(id);
    return found != m_entries.end() && is_open(found->second.descriptor);
}

server::engine::engine(server_observer observer) : m_observer(std::move(observer)), m_timer(m_io) {}

server::engine::~engine()
{
    shutdown();
}

std::optional<error> server::engine::listen(listener_options options)
{
    const std::string address = options.address;
    auto added = std::make_unique<listener>(*this, m_listeners.size(), std::move(options));
    if (const auto failed = added->open()) {
        return error{"cannot listen on " + address + ": " + failed->message};
    }
    m_listeners.push_back(std::move(added));
    return std::nullopt;
}

void server::engine::start()
{
    for (const auto& item : m_listeners) {
        item->accept();
    }
    tick();
    m_thread = std::jthread([this] { m_io.run(); });
}

void server::engine::tick()
{
    const time_point at = now();
    for (const auto& item : m_listeners) {
        item->tick(at);
    }
    m_timer.expires_after(tick_interval);
    m_timer.async_wait([this](const error_code& failed) {
        if (!failed) {
            tick();
        }
    });
}

void server::engine::respond(exchange_id id, server_answer answer)
{
    const auto to = m_exchanges.take(id);
    if (!to) {
        return;
    }
    const std::scoped_lock lock(m_reply_mutex);
    m_replies.push_back({*to, id, std::move(answer)});
    if (m_replies.size() == 1) {
        boost::asio::post(m_io, [this] { execute_replies(); });
    }
}

void server::engine::execute_replies()
{
    {
        const std::scoped_lock lock(m_reply_mutex);
        m_batch.swap(m_replies);
    }
    for (reply& item : m_batch) {
        m_listeners.at(item.to.listener)->answer(item);
    }
    m_batch.clear();
}

void server::engine::shutdown()
{
    m_exchanges.clear();
    if (m_thread.joinable()) {
        // After the answers that have been given, which would be lost with the connections otherwise.
        boost::asio::post(m_io, [this] { m_io.stop(); });
        m_thread.join();
    }
    m_exchanges.clear();
    for (const auto& item : m_listeners) {
        item->shutdown();
    }
}

std::uint16_t server::engine::port(std::size_t index) const
{
    return m_listeners.at(index)->port();
}

server::server(server_observer observer) : m_engine(std::make_unique<engine>(std::move(observer))) {}

server::~server() = default;

std::optional<error> server::listen(listener_options options)
{
    return m_engine->listen(std::move(options));
}

void server::start()
{
    m_engine->start();
}

void server::respond(exchange_id id, server_answer answer)
{
    m_engine->respond(id, std::move(answer));
}

std::size_t server::waiting() const
{
    return m_engine->exchanges().size();
}

bool server::is_connected(exchange_id id) const
{
    return m_engine->exchanges().is_connected(id);
}

void server::shutdown()
{
    m_engine->shutdown();
}

std::uint16_t server::port(std::size_t index) const
{
    return m_engine->port(index);
}

}  // namespace poplarshed::http
