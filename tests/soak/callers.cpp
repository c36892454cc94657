#include "soak/callers.h"

#include <boost/beast/core.hpp>
#include <iomanip>
#include <sstream>

namespace poplarshed::soak {

namespace {

namespace http = boost::beast::http;

constexpr milliseconds connect_retry{100};
// An answer that is later than the caller's limit is still an answer; after this time there is none.
constexpr milliseconds patience{1500};
constexpr milliseconds probe_interval{150};
constexpr milliseconds probe_limit{1000};
constexpr int max_attempts = 2;

/// Closes a socket unless it is told in time that the exchange has ended.
class deadline {
public:
    deadline(net::io_context& io, tcp::socket& socket, milliseconds limit) : m_timer(io, clock::now() + limit)
    {
        m_timer.async_wait([&socket](const boost::system::error_code& cancelled) {
            if (!cancelled) {
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
    }

private:
    net::steady_timer m_timer;
};

net::awaitable<http::response<http::string_body>> exchange(tcp::socket& socket,
                                                           http::request<http::string_body> request,
                                                           boost::system::error_code& failed)
{
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    request.prepare_payload();
    co_await http::async_write(socket, request, net::redirect_error(net::use_awaitable, failed));
    if (!failed) {
        co_await http::async_read(socket, buffer, response, net::redirect_error(net::use_awaitable, failed));
    }
    co_return response;
}

http::request<http::string_body> request_of(http::verb method, const std::string& target)
{
    http::request<http::string_body> request(method, target, 11);
    request.set(http::field::host, "desk.example");
    request.set(http::field::content_type, "application/json");
    return request;
}

}  // namespace

callers::callers(deployment& world, promises& checks, options values, std::uint64_t seed)
    : m_world(world), m_checks(checks), m_options(values), m_random(seed)
{}

void callers::start()
{
    for (std::size_t i = 0; i < m_options.count; ++i) {
        net::co_spawn(m_world.io(), run_caller(i), net::detached);
    }
    for (std::size_t i = 0; i < m_world.size(); ++i) {
        net::co_spawn(m_world.io(), run_probe(i), net::detached);
    }
}

// As the platform does: new connections go to instances that run and are not leaving.
std::optional<std::size_t> callers::pick_instance()
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < m_world.size(); ++i) {
        if (m_world.at(i).state == deployment::state::running) {
            found.push_back(i);
        }
    }
    return found.empty() ? std::nullopt : std::optional(found[m_random.below(found.size())]);
}

net::awaitable<bool> callers::connect(connection& to)
{
    const auto chosen = pick_instance();
    if (!chosen) {
        co_return false;
    }
    to.instance = *chosen;
    to.life = m_world.at(*chosen).life;
    to.socket = tcp::socket(m_world.io());
    boost::system::error_code failed;
    const deadline limit(m_world.io(), to.socket, connect_retry * 3);
    co_await to.socket.async_connect(stand_ins::parse_endpoint(m_world.at(*chosen).callers.address()),
                                     net::redirect_error(net::use_awaitable, failed));
    to.open = !failed;
    co_return to.open;
}

net::awaitable<void> callers::run_caller(std::size_t number)
{
    connection to(m_world.io());
    co_await stand_ins::sleep_for(m_world.io(), milliseconds(10 * number));
    while (!m_stopped) {
        ++m_busy;
        co_await send_job(to);
        --m_busy;
        const auto range = static_cast<std::uint64_t>(m_options.pause.count()) * 2;
        co_await stand_ins::sleep_for(m_world.io(), milliseconds(1 + m_random.below(range)));
    }
}

milliseconds callers::time_limit_of(const job_record& job) const
{
    return job.crashes_workers ? m_options.crashing_time_limit : m_options.time_limit;
}

net::awaitable<attempt_record> callers::attempt(connection& to, const std::string& body,
                                                const job_record& job, milliseconds limit)
{
    attempt_record made;
    made.instance = to.instance;
    made.life = to.life;
    made.sent = clock::now();
    auto request = request_of(http::verb::post, lasting_route + job.id);
    request.set("Poplarshed-Timeout-Ms", std::to_string(time_limit_of(job).count()));
    request.set("Request-Id", job.id);
    request.body() = body;
    boost::system::error_code failed;
    const deadline guard(m_world.io(), to.socket, limit);
    const auto response = co_await exchange(to.socket, std::move(request), failed);
    if (failed) {
        to.open = false;
        co_return made;
    }
    made.status = static_cast<int>(response.result_int());
    made.body = response.body();
    to.open = response.keep_alive();
    co_return made;
}

net::awaitable<void> callers::send_job(connection& to)
{
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << ++m_last_job;
    const std::uint64_t work = 60 + m_random.below(4) * 120;
    const auto tasks = static_cast<std::uint32_t>(1 + m_random.below(4));
    const bool crashes = m_random.unit() < m_options.crashing_share;
    const std::string what = crashes ? " ms, " + std::string(stand_ins::crashing_spec) + ' ' : " ms ";
    job_record& job = m_checks.add_job(id.str(), std::to_string(work) + what + id.str(), crashes ? 1 : tasks);
    job.crashes_workers = crashes;
    const json body = {
        {"spec", job.spec},
        {"best_effort", true},
        {"steps", {{{"count", job.tasks}, {"cpu", 14'000}, {"mem_mb", 64}, {"estimate_ms", work}}}}};
    const bool leaves = !crashes && m_random.unit() < m_options.leaving_share;
    std::vector<int> statuses;
    ++m_sent;
    for (int i = 0; i < max_attempts; ++i) {
        while (!to.open && !m_stopped && !co_await connect(to)) {
            co_await stand_ins::sleep_for(m_world.io(), connect_retry);
        }
        if (!to.open) {
            break;
        }
        if (leaves) {
            job.departed = clock::now() + milliseconds(m_random.below(work * 2));
        }
        const milliseconds limit =
            leaves ? std::chrono::duration_cast<milliseconds>(*job.departed - clock::now())
                   : time_limit_of(job) + patience;
        const attempt_record made = co_await attempt(to, body.dump(), job, limit);
        m_checks.on_attempt(job, made);
        statuses.push_back(made.status);
        m_completed += made.status == 200 ? 1 : 0;
        const bool may_repeat = made.status == 0 || made.status == 502 || made.status == 504;
        if (!may_repeat || leaves) {
            break;
        }
        co_await stand_ins::sleep_for(m_world.io(), m_options.retransmit);
    }
    m_checks.on_departed(job, statuses);
}

net::awaitable<std::optional<callers::probe_answer>> callers::probe(std::size_t instance,
                                                                    const std::string& path)
{
    const deployment::instance& at = m_world.at(instance);
    tcp::socket socket(m_world.io());
    const deadline guard(m_world.io(), socket, probe_limit);
    boost::system::error_code failed;
    co_await socket.async_connect(stand_ins::parse_endpoint(at.callers.address()),
                                  net::redirect_error(net::use_awaitable, failed));
    if (failed) {
        co_return std::nullopt;
    }
    // Of the process that has taken the connection: an earlier one has ended, and no answer comes.
    const std::uint64_t life = at.life;
    const auto response = co_await exchange(socket, request_of(http::verb::get, path), failed);
    const bool served = response.result() == http::status::ok;
    if (failed || (!served && response.result() != http::status::not_found)) {
        co_return std::nullopt;
    }
    co_return probe_answer{life, served};
}

net::awaitable<void> callers::run_probe(std::size_t instance)
{
    while (!m_stopped) {
        co_await stand_ins::sleep_for(m_world.io(), probe_interval);
        if (m_world.at(instance).state != deployment::state::running) {
            continue;
        }
        const std::uint64_t version = m_world.version();
        const auto sent = clock::now();
        const auto known = co_await probe(instance, lasting_route_of(version));
        if (!known) {
            continue;
        }
        m_checks.on_probe(instance, known->life, version, known->served, sent);
        if (!known->served || version <= route_versions) {
            continue;
        }
        const auto removed = co_await probe(instance, route_of(version - route_versions));
        if (removed && removed->life == known->life) {
            m_checks.on_probe_for_removed(instance, removed->life, version, removed->served, sent);
        }
    }
}

}  // namespace poplarshed::soak
