#include "upstream/upstream.h"

#include <algorithm>
#include <cctype>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "http/http.h"

namespace poplarshed::upstream {

namespace {

constexpr int http_ok = 200;
constexpr int http_unavailable = 503;
constexpr int http_client_error = 400;
constexpr int http_server_error = 500;

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
    });
}

/// What a runner's headers say beside its answer.
struct runner_notice {
    bool leaving = false;
    bool not_run = false;
};

runner_notice notice_of(const http::response& response)
{
    runner_notice notice;
    for (const auto& [name, value] : response.headers) {
        notice.leaving = notice.leaving || name == "poplarshed-draining" ||
                         (name == "connection" && equals_ignoring_case(value, "close"));
        notice.not_run = notice.not_run || (name == "poplarshed-not-run" && value == "1");
    }
    return notice;
}

dispatch::attempt_status status_of_answer(int code)
{
    if (code == http_ok) {
        return dispatch::attempt_status::succeeded;
    }
    if (code == http_unavailable) {
        return dispatch::attempt_status::runner_full;
    }
    if (code >= http_client_error && code < http_server_error) {
        return dispatch::attempt_status::rejected;
    }
    return dispatch::attempt_status::runner_failed;
}

verdict verdict_of_answer(bool not_run_promised, dispatch::attempt_status status)
{
    if (status == dispatch::attempt_status::runner_full) {
        return not_run_promised ? verdict::not_run : verdict::may_have_run;
    }
    return status == dispatch::attempt_status::succeeded ? verdict::ran : verdict::may_have_run;
}

dispatch::attempt_status status_of_failure(const http::response& response)
{
    if (response.outcome == http::outcome_kind::abandoned) {
        return dispatch::attempt_status::abandoned;
    }
    if (!response.written) {
        return dispatch::attempt_status::connection_refused;
    }
    if (response.outcome == http::outcome_kind::timed_out) {
        return dispatch::attempt_status::timed_out;
    }
    return response.outcome == http::outcome_kind::too_large ? dispatch::attempt_status::runner_failed
                                                             : dispatch::attempt_status::connection_lost;
}

dispatch::attempt_result result_of(attempt_id attempt, bool promises_not_run, http::response response)
{
    const runner_notice notice = notice_of(response);
    if (!response.answered()) {
        return {attempt, status_of_failure(response),
                response.written ? verdict::may_have_run : verdict::not_run, std::move(response.detail),
                notice.leaving};
    }
    const dispatch::attempt_status status = status_of_answer(response.status);
    return {attempt, status, verdict_of_answer(promises_not_run && notice.not_run, status),
            std::move(response.body), notice.leaving};
}

http::request request_of(dispatch::start_attempt attempt)
{
    http::request request;
    request.method = http::method::post;
    request.host = attempt.runner;
    request.target = "/run/" + attempt.service.value();
    request.headers = {{"Poplarshed-Task", attempt.submission.value() + "/" + std::to_string(attempt.task) +
                                               "/" + std::to_string(attempt.attempt_number)},
                       {"Content-Type", "application/octet-stream"}};
    request.body = std::move(attempt.payload);
    request.timeout = attempt.timeout;
    return request;
}

http::client_options http_options(const client_options& options)
{
    return {options.connections_per_runner, options.queue_capacity, options.max_response_bytes,
            options.connect_timeout, true};
}

}  // namespace

/// Keeps which attempts may trust a runner's promise that it has not run them.
class client::loop {
public:
    loop(const client_options& options, result_handler on_result)
        : m_on_result(std::move(on_result)),
          m_client(http_options(options), [this](http::call_id id, http::response response) {
              const attempt_id attempt(id.value());
              m_on_result(result_of(attempt, take_promise(attempt), std::move(response)));
          })
    {}

    bool start(dispatch::start_attempt attempt)
    {
        const attempt_id id = attempt.attempt;
        if (attempt.promises_not_run) {
            const std::scoped_lock lock(m_mutex);
            m_promises.insert(id);
        }
        if (m_client.start(http::call_id(id.value()), request_of(std::move(attempt)))) {
            return true;
        }
        take_promise(id);
        return false;
    }

    bool abandon(attempt_id attempt) { return m_client.abandon(http::call_id(attempt.value())); }

private:
    bool take_promise(attempt_id attempt)
    {
        const std::scoped_lock lock(m_mutex);
        return m_promises.erase(attempt) > 0;
    }

    result_handler m_on_result;
    std::mutex m_mutex;
    std::unordered_set<attempt_id> m_promises;
    http::client m_client;
};

client::client(client_options options, result_handler on_result)
    : m_loop(std::make_unique<loop>(options, std::move(on_result)))
{}

client::~client() = default;

bool client::start(dispatch::start_attempt attempt)
{
    return m_loop->start(std::move(attempt));
}

bool client::abandon(dispatch::abandon_attempt attempt)
{
    return m_loop->abandon(attempt.attempt);
}

}  // namespace poplarshed::upstream
