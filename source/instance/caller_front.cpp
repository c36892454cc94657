#include "instance/caller_front.h"

namespace poplarshed::instance {

namespace {

// Shares of readiness and of metrics: a balancer, a few scrapers and room for as many again that stall.
constexpr std::size_t control_connections = 64;
constexpr std::size_t control_bytes = std::size_t{4} << 20U;
constexpr std::size_t control_body_bytes = 1024;
// Each waiting answer of metrics is some 100 KB.
constexpr std::size_t control_pipelined_requests = 2;
constexpr std::size_t control_unsent_bytes = std::size_t{64} * 1024;
// Making the text of the metrics takes milliseconds, which a crowd of scrapers would take from callers.
constexpr milliseconds metrics_reuse{50};
constexpr milliseconds queue_full_retry{1000};

constexpr int ok = 200;
constexpr int method_not_allowed = 405;
constexpr int service_unavailable = 503;

std::optional<http::method> method_of(std::string_view name)
{
    if (name == "GET") {
        return http::method::get;
    }
    if (name == "POST") {
        return http::method::post;
    }
    return name == "DELETE" ? std::optional(http::method::remove) : std::nullopt;
}

http::server_answer to_server_answer(const caller_answer& answer, bool close)
{
    http::server_answer value;
    value.status = answer.status;
    value.body = answer.body;
    value.retry_after = answer.retry_after;
    value.close = close;
    return value;
}

http::server_answer plain_answer(int status, std::string body)
{
    http::server_answer value;
    value.status = status;
    value.body = std::move(body);
    value.content_type = "text/plain";
    return value;
}

}  // namespace

class caller_front::caller_handler : public http::request_handler {
public:
    explicit caller_handler(core_inbox& inbox) : m_inbox(inbox) {}

    /// Once; before that, requests go to the core thread. Any thread.
    void refuse_new(const caller_answer& answer)
    {
        if (!m_refusing) {
            m_refusal = answer;
            m_refusing = true;
        }
    }

    std::optional<http::server_answer> on_request(http::exchange_id id, http::received_request request,
                                                  std::shared_ptr<void> held) override
    {
        const auto method = method_of(request.method);
        if (!method) {
            return plain_answer(method_not_allowed, {});
        }
        if (m_refusing) {
            return to_server_answer(m_refusal, true);
        }
        request_arrived event;
        event.caller = routing::caller_id(id.value());
        event.request = {*method,
                         std::move(request.host),
                         std::move(request.path),
                         std::move(request.fields.at(0)),
                         std::move(request.fields.at(1)),
                         std::move(request.body)};
        event.held = std::move(held);
        if (m_inbox.try_push(std::move(event))) {
            return std::nullopt;
        }
        return to_server_answer({service_unavailable, R"({"reason":"overloaded"})", queue_full_retry}, false);
    }

    void on_left(http::exchange_id id) override { m_inbox.push(caller_left{routing::caller_id(id.value())}); }

private:
    core_inbox& m_inbox;
    std::atomic<bool> m_refusing{false};
    caller_answer m_refusal;  ///< written before `m_refusing`
};

/// Readiness and metrics; answers without the core thread.
class caller_front::control_handler : public http::request_handler {
public:
    control_handler(std::string ready_path, metrics_source metrics)
        : m_ready_path(std::move(ready_path)), m_metrics(std::move(metrics))
    {}

    void set_ready(bool ready) { m_ready = ready; }

    std::optional<http::server_answer> on_request(http::exchange_id, http::received_request request,
                                                  std::shared_ptr<void>) override
    {
        if (request.path == m_ready_path) {
            return plain_answer(m_ready ? ok : service_unavailable, {});
        }
        const time_point now = steady_clock::now();
        if (m_text.empty() || now - m_made >= metrics_reuse) {
            m_text = m_metrics();
            m_made = now;
        }
        return plain_answer(ok, m_text);
    }

    void on_left(http::exchange_id) override {}

private:
    std::string m_ready_path;
    metrics_source m_metrics;
    std::atomic<bool> m_ready{false};
    std::string m_text;  ///< of the metrics
    time_point m_made;   ///< when the text was made
};

caller_front::caller_front(front_options options, core_inbox& inbox, metrics_source metrics)
    : m_options(std::move(options)),
      m_callers(std::make_unique<caller_handler>(inbox)),
      m_control(std::make_unique<control_handler>(m_options.ready_path, std::move(metrics))),
      m_server(m_options.observer)
{}

caller_front::~caller_front()
{
    shutdown();
}

http::listener_options caller_front::caller_listener() const
{
    http::listener_options listener;
    listener.address = m_options.address;
    listener.share = m_options.share;
    listener.limits = m_options.limits;
    listener.limits.request.body_bytes = m_options.max_body_bytes;
    listener.kept_fields = {m_options.request_id_header, m_options.time_limit_header};
    listener.handler = m_callers.get();
    return listener;
}

http::listener_options caller_front::control_listener(const std::string& address) const
{
    http::listener_options listener;
    listener.address = address;
    listener.share = {control_bytes, control_connections, m_options.share.progress_bytes_per_s};
    listener.limits = m_options.limits;
    listener.limits.request.body_bytes = control_body_bytes;
    listener.limits.pipelined_requests = control_pipelined_requests;
    listener.limits.unsent_bytes = control_unsent_bytes;
    listener.handler = m_control.get();
    listener.answers_later = false;
    return listener;
}

std::optional<error> caller_front::listen()
{
    if (auto failed = m_server.listen(caller_listener())) {
        return failed;
    }
    for (const std::string& address : {m_options.ready_address, m_options.metrics_address}) {
        if (address.empty()) {
            continue;
        }
        if (auto failed = m_server.listen(control_listener(address))) {
            return failed;
        }
    }
    m_server.start();
    return std::nullopt;
}

void caller_front::respond(routing::caller_id caller, const caller_answer& answer, bool close)
{
    m_server.respond(http::exchange_id(caller.value()), to_server_answer(answer, close));
}

void caller_front::refuse_new(const caller_answer& answer)
{
    m_callers->refuse_new(answer);
}

void caller_front::set_ready(bool ready)
{
    m_control->set_ready(ready);
}

std::size_t caller_front::waiting() const
{
    return m_server.waiting();
}

bool caller_front::is_connected(routing::caller_id caller) const
{
    return m_server.is_connected(http::exchange_id(caller.value()));
}

void caller_front::shutdown()
{
    m_server.shutdown();
}

}  // namespace poplarshed::instance
