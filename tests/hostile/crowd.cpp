#include "hostile/crowd.h"

#include <algorithm>
#include <array>

namespace poplarshed::hostile::test {

namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A stand-still of this length means that the instance reads nothing more from the crowd.
constexpr milliseconds stall_time{1000};
// Load before the checks begin, for members that never finish.
constexpr milliseconds longest_load{5000};
constexpr milliseconds poll_interval{10};
// So that answers that are not read wait in the instance and not in the kernel.
constexpr int receive_buffer_bytes = 4096;
constexpr std::size_t default_piece_bytes = std::size_t{64} * 1024;

tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {net::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

}  // namespace

class crowd::member : public std::enable_shared_from_this<member> {
public:
    member(crowd& owner, const behaviour& what)
        : m_owner(owner),
          m_what(what),
          m_socket(owner.m_io),
          m_write_timer(owner.m_io),
          m_read_timer(owner.m_io)
    {}

    void start(const tcp::endpoint& to)
    {
        m_socket.open(tcp::v4());
        m_socket.set_option(tcp::no_delay(true));
        if (!m_what.reads || m_what.read_pause.count() > 0) {
            m_socket.set_option(net::socket_base::receive_buffer_size(receive_buffer_bytes));
        }
        m_socket.async_connect(to, [self = shared_from_this()](error_code failed) {
            if (failed) {
                self->finish();
                return;
            }
            self->m_connected = true;
            ++self->m_owner.m_open;
            self->write();
            self->read();
        });
    }

private:
    void write()
    {
        const std::string& bytes = *m_what.bytes;
        if (m_sent == bytes.size()) {
            finish();
            return;
        }
        const std::size_t count = std::min(next_piece(), bytes.size() - m_sent);
        net::async_write(m_socket, net::buffer(bytes.data() + m_sent, count),
                         [self = shared_from_this()](error_code failed, std::size_t sent) {
                             if (failed) {
                                 self->close();
                                 return;
                             }
                             self->m_sent += sent;
                             ++self->m_owner.m_writes;
                             self->write_later();
                         });
    }

    std::size_t next_piece() const
    {
        if (m_sent == 0 && m_what.first_bytes > 0) {
            return m_what.first_bytes;
        }
        return m_what.piece_bytes > 0 ? m_what.piece_bytes : default_piece_bytes;
    }

    void write_later()
    {
        if (m_what.pause.count() == 0) {
            write();
            return;
        }
        m_write_timer.expires_after(m_what.pause);
        m_write_timer.async_wait([self = shared_from_this()](error_code failed) {
            if (!failed) {
                self->write();
            }
        });
    }

    void read()
    {
        if (!m_what.reads) {
            return;
        }
        const std::size_t count = m_what.read_pause.count() > 0 ? 1 : m_input.size();
        m_socket.async_read_some(net::buffer(m_input.data(), count),
                                 [self = shared_from_this()](error_code failed, std::size_t) {
                                     if (failed) {
                                         self->close();
                                         return;
                                     }
                                     self->read_later();
                                 });
    }

    void read_later()
    {
        if (m_what.read_pause.count() == 0) {
            read();
            return;
        }
        m_read_timer.expires_after(m_what.read_pause);
        m_read_timer.async_wait([self = shared_from_this()](error_code failed) {
            if (!failed) {
                self->read();
            }
        });
    }

    void finish()
    {
        if (!m_finished) {
            m_finished = true;
            --m_owner.m_unfinished;
        }
    }

    void close()
    {
        finish();
        if (m_connected) {
            m_connected = false;
            --m_owner.m_open;
        }
        error_code ignored;
        m_socket.close(ignored);
        m_write_timer.cancel();
        m_read_timer.cancel();
    }

    crowd& m_owner;
    const behaviour& m_what;
    tcp::socket m_socket;
    net::steady_timer m_write_timer;
    net::steady_timer m_read_timer;
    std::array<char, 4096> m_input{};
    std::size_t m_sent = 0;
    bool m_connected = false;
    bool m_finished = false;
};

crowd::crowd(const std::string& address, std::size_t members, behaviour what)
    : m_what(std::move(what)), m_unfinished(members)
{
    for (std::size_t i = 0; i < members; ++i) {
        m_members.push_back(std::make_shared<member>(*this, m_what));
        m_members.back()->start(endpoint_of(address));
    }
    m_thread = std::jthread([this] {
        const auto keep_running = net::make_work_guard(m_io);
        m_io.run();
    });
}

crowd::~crowd()
{
    m_io.stop();
    m_thread.join();
}

void crowd::settle() const
{
    const auto begin = steady_clock::now();
    auto last_progress = begin;
    std::uint64_t writes = 0;
    while (m_unfinished > 0) {
        const auto now = steady_clock::now();
        if (const std::uint64_t seen = m_writes; seen != writes) {
            writes = seen;
            last_progress = now;
        }
        if (now - last_progress > stall_time || now - begin > longest_load) {
            return;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

}  // namespace poplarshed::hostile::test
