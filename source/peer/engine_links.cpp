// Connections of the engine: accepting, connecting, and the table of linked peers.

#include <algorithm>
#include <cmath>

#include "peer/address.h"
#include "peer/engine.h"

namespace poplarshed::peer {

namespace {

// After an accept that failed for lack of descriptors, which no wait on the socket signals.
constexpr milliseconds accept_pause{100};
constexpr unsigned max_doublings = 16;

}  // namespace

link_context network::engine::context()
{
    return {m_options, m_greeting, m_counters, *this};
}

void network::engine::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& failed, tcp::socket socket) {
        on_accepted(failed, std::move(socket));
    });
}

void network::engine::on_accepted(const boost::system::error_code& failed, tcp::socket socket)
{
    if (failed) {
        m_accept_timer.expires_after(accept_pause);
        m_accept_timer.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled) {
                accept();
            }
        });
        return;
    }
    if (m_accepted >= m_options.max_accepted_links || m_accepted_open >= m_options.max_open_handshakes) {
        ++m_counters.refused.at(static_cast<std::size_t>(link_refusal::too_many_connections));
    } else {
        const auto accepted = std::make_shared<link>(context(), std::move(socket), side::accepting);
        ++m_accepted;
        ++m_accepted_open;
        m_links.insert(accepted);
        accepted->start();
    }
    accept();
}

void network::engine::add_target(const endpoint& address)
{
    const bool is_own = address == m_greeting.instance.address;
    const auto [added, is_new] = m_targets.try_emplace(address);
    if (!is_new) {
        return;
    }
    added->second.is_self = is_own;
    added->second.timer = std::make_unique<boost::asio::steady_timer>(m_io);
    if (!is_own) {
        connect(address);
    }
}

void network::engine::remove_target(const endpoint& address)
{
    const auto node = m_targets.extract(address);
    if (node.mapped().current) {
        node.mapped().current->close(down_evidence::closed);
    }
}

void network::engine::connect(const endpoint& address)
{
    const auto socket_address = parse_address(address);
    if (!socket_address) {
        return;
    }
    target& state = m_targets.at(address);
    const auto socket = std::make_shared<tcp::socket>(m_io);
    state.connecting = socket;
    socket->async_connect(*socket_address, [this, address, socket](const boost::system::error_code& failed) {
        on_connected(address, socket, failed);
    });
    state.timer->expires_after(m_options.connect_timeout);
    state.timer->async_wait([socket](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
}

void network::engine::on_connected(const endpoint& address, const std::shared_ptr<tcp::socket>& socket,
                                   const boost::system::error_code& failed)
{
    const auto found = m_targets.find(address);
    // The address may have been removed, and added again, since the attempt began.
    if (found == m_targets.end() || found->second.connecting != socket) {
        return;
    }
    target& state = found->second;
    state.timer->cancel();
    state.connecting.reset();
    if (failed || !socket->is_open()) {
        const bool refused = failed == boost::asio::error::connection_refused;
        on_connect_failed(address, refused ? down_evidence::connection_refused : down_evidence::timed_out);
        return;
    }
    state.current = std::make_shared<link>(context(), std::move(*socket), side::connecting);
    m_links.insert(state.current);
    state.current->start();
}

void network::engine::on_connect_failed(const endpoint& address, down_evidence evidence)
{
    retry_later(address);
    report_down(address, evidence);
}

void network::engine::retry_later(const endpoint& address)
{
    target& state = m_targets.at(address);
    const unsigned doublings = std::min(state.failures, max_doublings);
    ++state.failures;
    const double limit_ms = static_cast<double>(m_options.backoff_limit.count());
    const double full_ms = std::min(limit_ms, std::ldexp(static_cast<double>(m_options.backoff_first.count()),
                                                         static_cast<int>(doublings)));
    const std::chrono::duration<double, std::milli> delay(full_ms * (0.5 + 0.5 * m_random.unit()));
    state.timer->expires_after(std::chrono::duration_cast<duration>(delay));
    state.timer->async_wait([this, address](const boost::system::error_code& cancelled) {
        if (!cancelled && m_targets.contains(address)) {
            connect(address);
        }
    });
}

void network::engine::report_down(const endpoint& address, down_evidence evidence)
{
    if (m_callbacks.on_peer_down) {
        m_callbacks.on_peer_down(address, evidence);
    }
}

void network::engine::end_former_run(const wire::hello& identity)
{
    const auto found = m_peers.find(identity.instance.address);
    if (found == m_peers.end() || found->second.identity.instance == identity.instance) {
        return;
    }
    close_links(identity.instance.address, down_evidence::closed);
}

void network::engine::close_links(const endpoint& address, down_evidence evidence)
{
    const auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        return;
    }
    // close() removes the link from the table, so the loop runs over a copy.
    const auto former = found->second.links;
    for (const auto& item : former) {
        item->close(evidence);
    }
}

void network::engine::on_link_up(const std::shared_ptr<link>& from)
{
    if (from->local_side() == side::accepting) {
        --m_accepted_open;
    }
    for (auto& [address, state] : m_targets) {
        if (state.current == from) {
            state.failures = 0;
        }
    }
    const wire::hello identity = from->remote();
    end_former_run(identity);
    linked_peer& entry = m_peers[identity.instance.address];
    entry.identity = identity;
    entry.links.push_back(from);
    if (entry.links.size() == 1 && m_callbacks.on_peer_up) {
        m_callbacks.on_peer_up(identity.instance, identity.data_centre);
    }
}

void network::engine::on_link_message(link& from, wire::message value)
{
    if (m_callbacks.on_message) {
        m_callbacks.on_message(from.remote().instance, from.remote().data_centre, std::move(value));
    }
}

void network::engine::on_link_closed(link& from)
{
    const auto self = from.shared_from_this();
    m_links.erase(self);
    if (from.local_side() == side::accepting) {
        --m_accepted;
        m_accepted_open -= from.is_up() ? 0 : 1;
    }
    const endpoint address = from.remote().instance.address;
    if (from.is_up() && from.unwritten_frames() > 0) {
        drop(address, drop_reason::link_closed, from.unwritten_frames());
    }
    const auto found = m_peers.find(address);
    if (from.is_up() && found != m_peers.end()) {
        std::erase(found->second.links, self);
        if (found->second.links.empty()) {
            m_peers.erase(found);
            report_down(address, from.evidence());
        }
    }
    forget_target_link(from);
}

void network::engine::forget_target_link(const link& from)
{
    for (auto& [address, state] : m_targets) {
        if (state.current.get() != &from) {
            continue;
        }
        state.current.reset();
        if (from.refused_for(link_refusal::own_address)) {
            state.is_self = true;
            return;
        }
        retry_later(address);
        if (!from.is_up() && from.evidence() == down_evidence::timed_out) {
            report_down(address, down_evidence::timed_out);
        }
        return;
    }
}

}  // namespace poplarshed::peer
