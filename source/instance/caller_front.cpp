#include "instance/caller_front.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <poll.h>

#include <mutex>
#include <set>
#include <unordered_map>

namespace poplarshed::instance {

namespace {

namespace web = Pistache::Http;

constexpr std::size_t header_allowance_bytes = std::size_t{32} * 1024;
constexpr std::size_t max_answer_bytes = std::size_t{1} << 20U;
constexpr int backlog = 1024;

std::string header_value(const web::Request& request, const std::string& name)
{
    const auto raw = request.headers().tryGetRaw(name);
    return raw ? raw->value() : std::string();
}

std::optional<http::method> method_of(web::Method method)
{
    switch (method) {
        case web::Method::Get:
            return http::method::get;
        case web::Method::Post:
            return http::method::post;
        case web::Method::Delete:
            return http::method::remove;
        default:
            return std::nullopt;
    }
}

std::string host_of(const web::Request& request)
{
    const auto header = request.headers().tryGet<web::Header::Host>();
    return header ? header->host() : std::string();
}

void send_answer(web::ResponseWriter& writer, const caller_answer& answer, bool close)
{
    writer.headers().add<web::Header::ContentType>(MIME(Application, Json));
    if (close) {
        writer.headers().add<web::Header::Connection>(web::ConnectionControl::Close);
    }
    if (answer.retry_after.count() > 0) {
        // Whole seconds, rounded up: the header knows no fractions.
        writer.headers().addRaw(
            web::Header::Raw("Retry-After", std::to_string((answer.retry_after.count() + 999) / 1000)));
    }
    writer.send(static_cast<web::Code>(answer.status), answer.body);
}

}  // namespace

/// The answer to new requests once the core thread takes no more.
struct caller_front::refusal {
    std::atomic<bool> active{false};
    caller_answer answer;  ///< written before `active`
};

/// Requests that wait for an answer, by caller and by connection.
class caller_front::writer_table {
public:
    routing::caller_id add(web::ResponseWriter writer)
    {
        const auto connection = writer.peer();
        const std::scoped_lock lock(m_mutex);
        const routing::caller_id caller(++m_last);
        const std::size_t connection_id = connection ? connection->getID() : 0;
        m_connections[connection_id].insert(caller);
        m_writers.emplace(caller,
                          entry{std::move(writer), connection_id, connection ? connection->fd() : -1});
        return caller;
    }

    std::optional<web::ResponseWriter> take(routing::caller_id caller)
    {
        const std::scoped_lock lock(m_mutex);
        auto node = m_writers.extract(caller);
        if (node.empty()) {
            return std::nullopt;
        }
        const auto connection = m_connections.find(node.mapped().connection);
        if (connection != m_connections.end()) {
            connection->second.erase(caller);
            if (connection->second.empty()) {
                m_connections.erase(connection);
            }
        }
        return std::move(node.mapped().writer);
    }

    /// Forgets the requests of a closed connection. @returns their callers
    std::set<routing::caller_id> close(std::size_t connection)
    {
        const std::scoped_lock lock(m_mutex);
        auto node = m_connections.extract(connection);
        if (node.empty()) {
            return {};
        }
        for (const routing::caller_id caller : node.mapped()) {
            m_writers.erase(caller);
        }
        return std::move(node.mapped());
    }

    std::size_t size() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_writers.size();
    }

    bool is_connected(routing::caller_id caller) const
    {
        // The listener's thread calls close() before it closes the descriptor, so the lock keeps this open.
        const std::scoped_lock lock(m_mutex);
        const auto found = m_writers.find(caller);
        if (found == m_writers.end()) {
            return false;
        }
        pollfd state{found->second.descriptor, POLLRDHUP, 0};
        return poll(&state, 1, 0) <= 0 || (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) == 0;
    }

private:
    struct entry {
        web::ResponseWriter writer;
        std::size_t connection = 0;
        int descriptor = -1;  ///< of the connection
    };

    mutable std::mutex m_mutex;
    std::uint64_t m_last = 0;
    std::unordered_map<routing::caller_id, entry> m_writers;
    std::unordered_map<std::size_t, std::set<routing::caller_id>> m_connections;
};

class caller_front::handler : public web::Handler {
public:
    HTTP_PROTOTYPE(handler)

    handler(const front_options& options, core_inbox& inbox, std::shared_ptr<writer_table> writers,
            std::shared_ptr<const refusal> refused)
        : m_options(options), m_inbox(&inbox), m_writers(std::move(writers)), m_refusal(std::move(refused))
    {}

    void onRequest(const web::Request& request, web::ResponseWriter writer) override
    {
        const auto method = method_of(request.method());
        if (!method) {
            writer.send(web::Code::Method_Not_Allowed);
            return;
        }
        if (m_refusal->active) {
            send_answer(writer, m_refusal->answer, true);
            return;
        }
        request_arrived event;
        event.request = {*method,
                         host_of(request),
                         request.resource(),
                         header_value(request, m_options.request_id_header),
                         header_value(request, m_options.time_limit_header),
                         request.body()};
        event.caller = m_writers->add(std::move(writer));
        const routing::caller_id caller = event.caller;
        if (!m_inbox->try_push(std::move(event))) {
            if (auto refused = m_writers->take(caller)) {
                refused->send(web::Code::Service_Unavailable);
            }
        }
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& connection) override
    {
        for (const routing::caller_id caller : m_writers->close(connection->getID())) {
            m_inbox->push(caller_left{caller});
        }
    }

private:
    front_options m_options;
    core_inbox* m_inbox;
    std::shared_ptr<writer_table> m_writers;
    std::shared_ptr<const refusal> m_refusal;
};

/// Readiness and metrics; answers without the core thread.
class caller_front::control_handler : public web::Handler {
public:
    HTTP_PROTOTYPE(control_handler)

    control_handler(std::string ready_path, std::shared_ptr<std::atomic<bool>> ready, metrics_source metrics)
        : m_ready_path(std::move(ready_path)), m_ready(std::move(ready)), m_metrics(std::move(metrics))
    {}

    void onRequest(const web::Request& request, web::ResponseWriter writer) override
    {
        if (request.resource() == m_ready_path) {
            writer.send(*m_ready ? web::Code::Ok : web::Code::Service_Unavailable);
            return;
        }
        writer.send(web::Code::Ok, m_metrics(), MIME(Text, Plain));
    }

private:
    std::string m_ready_path;
    std::shared_ptr<std::atomic<bool>> m_ready;
    metrics_source m_metrics;
};

class caller_front::listener {
public:
    listener(const std::string& address, const std::shared_ptr<web::Handler>& handler, std::size_t max_body)
        : m_endpoint(Pistache::Address(address))
    {
        m_endpoint.init(web::Endpoint::options()
                            .threads(1)
                            .backlog(backlog)
                            .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                            .maxRequestSize(max_body + header_allowance_bytes)
                            .maxResponseSize(max_answer_bytes));
        m_endpoint.setHandler(handler);
        m_endpoint.serveThreaded();
    }

    void shutdown() { m_endpoint.shutdown(); }

private:
    web::Endpoint m_endpoint;
};

caller_front::caller_front(front_options options, core_inbox& inbox, metrics_source metrics)
    : m_options(std::move(options)),
      m_inbox(inbox),
      m_metrics(std::move(metrics)),
      m_writers(std::make_shared<writer_table>()),
      m_ready(std::make_shared<std::atomic<bool>>(false)),
      m_refusal(std::make_shared<refusal>())
{}

caller_front::~caller_front()
{
    shutdown();
}

std::optional<error> caller_front::listen()
{
    const auto callers = std::make_shared<handler>(m_options, m_inbox, m_writers, m_refusal);
    const auto control = std::make_shared<control_handler>(m_options.ready_path, m_ready, m_metrics);
    std::string address = m_options.address;
    try {
        m_listeners.push_back(std::make_unique<listener>(address, callers, m_options.max_body_bytes));
        address = m_options.ready_address;
        if (!address.empty()) {
            m_listeners.push_back(std::make_unique<listener>(address, control, 0));
        }
        address = m_options.metrics_address;
        if (!address.empty()) {
            m_listeners.push_back(std::make_unique<listener>(address, control, 0));
        }
    } catch (const std::exception& exception) {
        return error{"cannot listen on " + address + ": " + exception.what()};
    }
    return std::nullopt;
}

void caller_front::respond(routing::caller_id caller, const caller_answer& answer, bool close)
{
    auto writer = m_writers->take(caller);
    if (!writer) {
        return;
    }
    send_answer(*writer, answer, close);
}

void caller_front::refuse_new(const caller_answer& answer)
{
    if (!m_refusal->active) {
        m_refusal->answer = answer;
        m_refusal->active = true;
    }
}

void caller_front::set_ready(bool ready)
{
    *m_ready = ready;
}

std::size_t caller_front::waiting() const
{
    return m_writers->size();
}

bool caller_front::is_connected(routing::caller_id caller) const
{
    return m_writers->is_connected(caller);
}

void caller_front::shutdown()
{
    for (auto& item : m_listeners) {
        item->shutdown();
    }
    m_listeners.clear();
}

}  // namespace poplarshed::instance
