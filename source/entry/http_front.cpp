#include "entry/http_front.h"

#include <pistache/endpoint.h>

#include <array>
#include <charconv>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace poplarshed::entry {

namespace {

namespace http = Pistache::Http;

constexpr std::size_t header_allowance_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t max_ids_per_request = 1000;
constexpr std::int64_t max_time_limit_ms = 600'000;
constexpr std::string_view bearer = "Bearer ";

std::string header_value(const http::Request& request, const std::string& name)
{
    const auto raw = request.headers().tryGetRaw(name);
    return raw ? raw->value() : std::string();
}

std::optional<std::int64_t> parse_number(std::string_view text)
{
    std::int64_t value = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && stop == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

// Compares in time that does not depend on the position of the first difference.
bool equal_secrets(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

/// The part of a path between a prefix and a suffix, empty where they do not match.
std::string_view between(std::string_view path, std::string_view prefix, std::string_view suffix)
{
    if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) ||
        !path.ends_with(suffix)) {
        return {};
    }
    const std::string_view middle = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    return middle.find('/') == std::string_view::npos ? middle : std::string_view();
}

refusal refuse(refusal_reason reason, std::string detail = {})
{
    return {verdict::not_run, reason, {}, std::move(detail)};
}

}  // namespace

/// Requests that wait for an answer.
class http_front::writer_table {
public:
    jobs::caller_id add(http::ResponseWriter writer)
    {
        const std::scoped_lock lock(m_mutex);
        const jobs::caller_id caller(++m_last);
        m_writers.emplace(caller, std::move(writer));
        return caller;
    }

    std::optional<http::ResponseWriter> take(jobs::caller_id caller)
    {
        const std::scoped_lock lock(m_mutex);
        auto node = m_writers.extract(caller);
        return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
    }

    std::size_t size() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_writers.size();
    }

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_last = 0;
    std::unordered_map<jobs::caller_id, http::ResponseWriter> m_writers;
};

/// Parses requests; shared by the listener's threads, so it holds no state of a request.
class http_front::handler : public http::Handler {
public:
    HTTP_PROTOTYPE(handler)

    struct shared_parts {
        http_options options;
        core_inbox* inbox = nullptr;
        metrics_source metrics;
        refusal_counter count;
        std::shared_ptr<writer_table> writers;
        std::atomic<bool> ready{false};
    };

    explicit handler(std::shared_ptr<shared_parts> parts) : m_parts(std::move(parts)) {}

    void onRequest(const http::Request& request, http::ResponseWriter writer) override
    {
        for (const route& candidate : routes) {
            if (request.method() != candidate.method) {
                continue;
            }
            const std::string_view path = request.resource();
            const std::string_view middle = between(path, candidate.prefix, candidate.suffix);
            if (candidate.exact ? path == candidate.prefix : !middle.empty()) {
                (this->*candidate.action)(request, std::string(middle), std::move(writer));
                return;
            }
        }
        send(
            writer,
            {404,
             R"({"outcome":"refused","verdict":"not_run","reason":"invalid_body","detail":"no such path"})"});
    }

    shared_parts& parts() { return *m_parts; }

private:
    using action_type = void (handler::*)(const http::Request&, const std::string&, http::ResponseWriter);

    struct route {
        http::Method method;
        bool exact;
        std::string_view prefix;
        std::string_view suffix;
        action_type action;
    };

    static const std::array<route, 8> routes;

    static void send(http::ResponseWriter& writer, const http_answer& answer)
    {
        writer.headers().add<http::Header::ContentType>(MIME(Application, Json));
        writer.send(static_cast<http::Code>(answer.status), answer.body);
    }

    void refuse_now(http::ResponseWriter& writer, const refusal& cause)
    {
        m_parts->count(cause.reason);
        send(writer, to_answer(cause));
    }

    // Hands an event to the core thread; refuses the request if its queue is full.
    template <class Event>
    void post(http::ResponseWriter writer, Event event)
    {
        const jobs::caller_id caller = m_parts->writers->add(std::move(writer));
        event.caller = caller;
        if (m_parts->inbox->try_push(std::move(event))) {
            return;
        }
        if (auto refused = m_parts->writers->take(caller)) {
            refusal cause = refuse(refusal_reason::overloaded);
            // The core thread has not seen the id, so an earlier submission with it may have run.
            cause.ran = verdict::may_have_run;
            cause.retry_after = milliseconds(100);
            refuse_now(*refused, cause);
        }
    }

    request_result<jobs::job_submission> parse_job(const http::Request& request,
                                                   const std::string& service) const
    {
        auto id = parse_submission_id(header_value(request, "Idempotency-Key"));
        if (!id) {
            return std::move(id).error();
        }
        auto tasks = parse_tasks(request.body(), m_parts->options.limits);
        if (!tasks) {
            return std::move(tasks).error();
        }
        jobs::job_submission job;
        const std::string limit = header_value(request, "Poplarshed-Deadline-Ms");
        if (!limit.empty()) {
            const auto value = parse_number(limit);
            if (!value || *value <= 0 || *value > max_time_limit_ms) {
                return refuse(refusal_reason::invalid_body, "Poplarshed-Deadline-Ms is not in 1..600000");
            }
            job.time_limit = milliseconds(*value);
        }
        job.submission = std::move(id).value();
        job.service = service_id(service);
        job.workspace = workspace_id(header_value(request, "Poplarshed-Team"));
        job.body = digest::of(service + '\n' + job.workspace.value() + '\n' + request.body());
        job.tasks = std::move(tasks).value();
        job.first_send = header_value(request, "Poplarshed-First-Send") == "1";
        return job;
    }

    void on_job(const http::Request& request, const std::string& service, http::ResponseWriter writer)
    {
        auto job = parse_job(request, service);
        if (!job) {
            refuse_now(writer, job.error());
            return;
        }
        post(std::move(writer), job_arrived{{}, std::move(job).value()});
    }

    void on_cancel(const http::Request& request, const std::string& submission, http::ResponseWriter writer)
    {
        auto id = parse_submission_id(submission);
        if (!id) {
            refuse_now(writer, id.error());
            return;
        }
        post(std::move(writer),
             cancel_requested{
                 {}, std::move(id).value(), workspace_id(header_value(request, "Poplarshed-Team"))});
    }

    void on_ids(const http::Request& request, const std::string& /*middle*/, http::ResponseWriter writer)
    {
        const auto count = parse_number(request.query().get("count").value_or("1"));
        if (!count || *count < 1 || *count > static_cast<std::int64_t>(max_ids_per_request)) {
            refuse_now(writer, refuse(refusal_reason::invalid_body, "count is not in 1..1000"));
            return;
        }
        post(std::move(writer), ids_requested{{}, static_cast<std::size_t>(*count)});
    }

    void on_metrics(const http::Request& /*request*/, const std::string& /*middle*/,
                    http::ResponseWriter writer)
    {
        writer.send(http::Code::Ok, m_parts->metrics(), MIME(Text, Plain));
    }

    void on_health(const http::Request& /*request*/, const std::string& /*middle*/,
                   http::ResponseWriter writer)
    {
        writer.send(http::Code::Ok, "alive\n", MIME(Text, Plain));
    }

    void on_ready(const http::Request& /*request*/, const std::string& /*middle*/,
                  http::ResponseWriter writer)
    {
        const bool ready = m_parts->ready;
        writer.send(ready ? http::Code::Ok : http::Code::Service_Unavailable,
                    ready ? "ready\n" : "not ready\n", MIME(Text, Plain));
    }

    void on_status(const http::Request& request, const std::string& /*middle*/, http::ResponseWriter writer)
    {
        if (authorize(request, writer)) {
            post(std::move(writer), status_requested{});
        }
    }

    void on_drain(const http::Request& request, const std::string& /*middle*/, http::ResponseWriter writer)
    {
        if (!authorize(request, writer)) {
            return;
        }
        m_parts->inbox->push(drain_requested{});
        send(writer, {202, R"({"draining":true})"});
    }

    bool authorize(const http::Request& request, http::ResponseWriter& writer)
    {
        std::string given = header_value(request, "Authorization");
        if (const auto parsed = request.headers().tryGet<http::Header::Authorization>()) {
            given = parsed->value();
        }
        const std::string& token = m_parts->options.operator_token;
        const std::string_view text = given;
        const bool valid =
            !token.empty() && text.starts_with(bearer) && equal_secrets(text.substr(bearer.size()), token);
        if (!valid) {
            refuse_now(writer, refuse(refusal_reason::unauthorized));
        }
        return valid;
    }

    std::shared_ptr<shared_parts> m_parts;
};

const std::array<http_front::handler::route, 8> http_front::handler::routes{{
    {http::Method::Post, false, "/v1/services/", "/jobs", &handler::on_job},
    {http::Method::Delete, false, "/v1/jobs/", "", &handler::on_cancel},
    {http::Method::Post, true, "/v1/submission-ids", "", &handler::on_ids},
    {http::Method::Get, true, "/metrics", "", &handler::on_metrics},
    {http::Method::Get, true, "/healthz", "", &handler::on_health},
    {http::Method::Get, true, "/readyz", "", &handler::on_ready},
    {http::Method::Get, true, "/v1/status", "", &handler::on_status},
    {http::Method::Post, true, "/v1/drain", "", &handler::on_drain},
}};

class http_front::server {
public:
    explicit server(const http_options& options) : endpoint(Pistache::Address(options.address))
    {
        auto settings = http::Endpoint::options()
                            .threads(options.threads)
                            .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                            .maxRequestSize(options.limits.max_body_bytes + header_allowance_bytes)
                            .maxResponseSize(max_answer_bytes);
        endpoint.init(settings);
    }

    http::Endpoint endpoint;
};

http_front::http_front(http_options options, core_inbox& inbox, metrics_source metrics, refusal_counter count)
    : m_options(std::move(options)), m_writers(std::make_shared<writer_table>())
{
    auto parts = std::make_shared<handler::shared_parts>();
    parts->options = m_options;
    parts->inbox = &inbox;
    parts->metrics = std::move(metrics);
    parts->count = std::move(count);
    parts->writers = m_writers;
    m_handler = std::make_shared<handler>(std::move(parts));
}

http_front::~http_front()
{
    shutdown();
}

result<endpoint> http_front::listen()
{
    try {
        m_server = std::make_unique<server>(m_options);
        m_server->endpoint.setHandler(m_handler);
        m_server->endpoint.serveThreaded();
        const std::string host = m_options.address.substr(0, m_options.address.rfind(':'));
        return endpoint(host + ":" + m_server->endpoint.getPort().toString());
    } catch (const std::exception& exception) {
        m_server.reset();
        return error{"cannot listen on " + m_options.address + ": " + exception.what()};
    }
}

void http_front::shutdown()
{
    if (m_server) {
        m_server->endpoint.shutdown();
        m_server.reset();
    }
}

void http_front::respond(jobs::caller_id caller, const http_answer& answer)
{
    auto writer = m_writers->take(caller);
    if (!writer) {
        return;
    }
    writer->headers().add<http::Header::ContentType>(MIME(Application, Json));
    writer->send(static_cast<http::Code>(answer.status), answer.body);
}

void http_front::set_ready(bool ready)
{
    m_handler->parts().ready = ready;
}

std::size_t http_front::waiting() const
{
    return m_writers->size();
}

}  // namespace poplarshed::entry
