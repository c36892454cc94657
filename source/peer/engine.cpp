#include "peer/engine.h"

#include <boost/asio/post.hpp>
#include <future>

#include "peer/address.h"

namespace poplarshed::peer {

network::engine::engine(network_options options, network_callbacks callbacks)
    : m_options(std::move(options)),
      m_callbacks(std::move(callbacks)),
      m_random(m_options.incarnation.value()),
      m_commands(m_options.command_capacity, [this] { wake(); })
{
    m_greeting.data_centre = m_options.data_centre;
    m_greeting.instance.incarnation = m_options.incarnation;
}

network::engine::~engine()
{
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_commands.close();
}

std::optional<error> network::engine::listen()
{
    const auto address = parse_address(m_options.listen);
    if (!address) {
        return error{"peer listener: \"" + m_options.listen.value() +
                     "\" is not an address of the form ip:port"};
    }
    boost::system::error_code failed;
    m_acceptor.open(address->protocol(), failed);
    if (!failed) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        m_acceptor.bind(*address, failed);
    }
    if (!failed) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return error{"peer listener " + m_options.listen.value() + ": " + failed.message()};
    }
    const bool own_address = m_options.advertised.empty();
    m_greeting.instance.address =
        own_address ? format_address(m_acceptor.local_endpoint()) : m_options.advertised;
    return std::nullopt;
}

void network::engine::run()
{
    accept();
    for (const endpoint& address : m_options.peers) {
        m_configured.insert(address);
        add_target(address);
    }
    m_thread = std::jthread([this] {
        const auto work = boost::asio::make_work_guard(m_io);
        m_io.run();
    });
}

bool network::engine::push(const endpoint& to, std::optional<incarnation> run, wire::message value)
{
    if (push(outgoing{to, run, std::move(value)})) {
        return true;
    }
    ++m_counters.dropped.at(static_cast<std::size_t>(drop_reason::queue_full));
    return false;
}

bool network::engine::push(command item)
{
    return m_commands.try_push(std::move(item));
}

bool network::engine::set_learned(std::vector<endpoint> learned)
{
    const auto left_out =
        std::erase_if(learned, [](const endpoint& address) { return !is_connectable(address); });
    return push(learned_peers{std::move(learned)}) && left_out == 0;
}

bool network::engine::reconnect(const endpoint& to)
{
    return push(silent_peer{to});
}

void network::engine::wake()
{
    if (!m_wake_posted.exchange(true)) {
        boost::asio::post(m_io, [this] { execute_commands(); });
    }
}

void network::engine::execute_commands()
{
    // Cleared first: a command pushed from here on posts the next call.
    m_wake_posted = false;
    m_commands.drain(m_batch);
    for (command& item : m_batch) {
        std::visit([this](auto& value) { execute(value); }, item);
    }
    m_batch.clear();
}

void network::engine::execute(outgoing& item)
{
    const auto found = m_peers.find(item.to);
    if (found == m_peers.end() || (item.run && found->second.identity.instance.incarnation != *item.run)) {
        drop(item.to, drop_reason::not_connected, 1);
        return;
    }
    const auto bytes = wire::encode(item.value);
    if (!bytes) {
        drop(item.to, drop_reason::too_large, 1);
        return;
    }
    if (!found->second.links.front()->queue(bytes.value())) {
        drop(item.to, drop_reason::queue_full, 1);
    }
}

void network::engine::execute(const learned_peers& item)
{
    std::set<endpoint> wanted = m_configured;
    wanted.insert(item.addresses.begin(), item.addresses.end());
    std::vector<endpoint> unwanted;
    for (const auto& [address, state] : m_targets) {
        if (!wanted.contains(address)) {
            unwanted.push_back(address);
        }
    }
    for (const endpoint& address : unwanted) {
        remove_target(address);
    }
    for (const endpoint& address : wanted) {
        add_target(address);
    }
}

void network::engine::execute(const silent_peer& item)
{
    close_links(item.address, down_evidence::timed_out);
}

void network::engine::drop(const endpoint& to, drop_reason reason, std::size_t messages)
{
    m_counters.dropped.at(static_cast<std::size_t>(reason)) += messages;
    if (m_callbacks.on_dropped) {
        m_callbacks.on_dropped(to, reason, messages);
    }
}

bool network::engine::is_idle()
{
    return m_commands.size() == 0 && std::all_of(m_links.begin(), m_links.end(), [](const auto& item) {
               return item->unwritten_frames() == 0;
           });
}

bool network::engine::flush(milliseconds limit)
{
    constexpr milliseconds check_period{1};
    const time_point deadline = steady_clock::now() + limit;
    while (steady_clock::now() < deadline) {
        const auto answer = std::make_shared<std::promise<bool>>();
        auto idle = answer->get_future();
        boost::asio::post(m_io, [this, answer] { answer->set_value(is_idle()); });
        if (idle.wait_until(deadline) == std::future_status::ready && idle.get()) {
            return true;
        }
        std::this_thread::sleep_for(check_period);
    }
    return false;
}

network_counters network::engine::counters() const
{
    network_counters copy;
    copy.frames_in = m_counters.frames_in;
    copy.frames_out = m_counters.frames_out;
    copy.bytes_in = m_counters.bytes_in;
    copy.bytes_out = m_counters.bytes_out;
    copy.writes = m_counters.writes;
    copy.links_up = m_counters.links_up;
    std::copy(m_counters.refused.begin(), m_counters.refused.end(), copy.refused.begin());
    std::copy(m_counters.bad_frames.begin(), m_counters.bad_frames.end(), copy.bad_frames.begin());
    std::copy(m_counters.dropped.begin(), m_counters.dropped.end(), copy.dropped.begin());
    return copy;
}

}  // namespace poplarshed::peer
