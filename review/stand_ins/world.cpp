#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace review {

namespace stand_ins = poplarshed::stand_ins;
namespace http = boost::beast::http;
using stand_ins::http_request;
using stand_ins::http_response;
using stand_ins::json_response;

namespace {

// Bounds of the deployment, as in DEPLOY.md and the site files.
constexpr milliseconds hold_max{1000};
constexpr milliseconds heartbeat{1500};
constexpr milliseconds step{2};
// Longer than any caller waits.
constexpr std::chrono::seconds silence{30};
constexpr const char* host = "desk.example";

sockaddr_in socket_address(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in found{};
    found.sin_family = AF_INET;
    found.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &found.sin_addr);
    return found;
}

void replace_all(std::string& text, const std::string& from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace

record::record(const std::string& path) : m_file(path), m_start(steady_clock::now()) {}

std::int64_t record::now_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_start).count();
}

void record::line(const std::string& text)
{
    const std::scoped_lock lock(m_mutex);
    m_file << now_ms() << " ms  " << text << '\n' << std::flush;
}

// ---------------------------------------------------------------------------------------------- runners

runners::runners(net::io_context& io, stand_ins::leased_store& store, record& log,
                 std::vector<runner_kind> kinds)
    : m_io(io), m_store(store), m_log(log)
{
    for (runner_kind& kind : kinds) {
        auto added = std::make_unique<runner>();
        runner& on = *added;
        on.kind = std::move(kind);
        on.ended = std::make_unique<stand_ins::wake_list>(m_io);
        on.server = std::make_shared<stand_ins::http_server>(
            m_io, [this, &on](http_request request) { return handle(on, std::move(request)); });
        on.server->open(0);
        m_runners.emplace(on.kind.id, std::move(added));
        restart(on.kind.id, on.kind);
        // Runners that have started at different times do not write at the same moment.
        on.next_beat += heartbeat * m_runners.size() / kinds.size() - heartbeat;
    }
}

void runners::crash(const std::string& id)
{
    runner& on = *m_runners.at(id);
    on.up = false;
    on.runs.clear();
    on.closed.clear();
    on.ends.clear();
    on.last_end = 0;
    on.token = 0;
    // The port stays taken; handle() closes connections unanswered while the runner is down.
    on.server->drop_connections();
    on.ended->notify_all();
    m_log.line("runner " + id + " crashes");
}

void runners::restart(const std::string& id, runner_kind kind)
{
    runner& on = *m_runners.at(id);
    on.kind = std::move(kind);
    on.up = true;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    on.born = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(wall).count());
    on.started = steady_clock::now();
    on.lease_until = {};
    on.seq = 0;
    announce(on);
    m_log.line("runner " + id + " starts, labels " + json(on.kind.labels).dump());
}

void runners::set_cut(const std::string& id, bool calls, bool answers)
{
    runner& on = *m_runners.at(id);
    on.calls_cut = calls;
    on.answers_cut = answers;
    m_log.line("runner " + id + (calls ? " is cut off" : answers ? " loses its answers" : " is reachable"));
}

void runners::announce(runner& on)
{
    on.next_beat = steady_clock::now() + heartbeat;
    on.listed = true;
    m_store.put("servers/" + on.kind.id,
                {{"service", "desk"},
                 {"address", "127.0.0.1:" + std::to_string(on.server->port())},
                 {"zone", on.kind.zone},
                 {"version", "1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"capacity", {{"cpu", on.kind.cpu}, {"mem_mb", 65'536}}},
                 {"labels", on.kind.labels},
                 {"born", on.born},
                 {"seq", ++on.seq}});
}

std::int64_t runners::clock_ms(const runner& on)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - on.started).count();
}

void runners::extend_lease(runner& on, std::int64_t expires_ms)
{
    const milliseconds left(expires_ms - clock_ms(on));
    on.lease_until = std::max(on.lease_until, steady_clock::now() + std::min(left, hold_max));
}

json runners::answer(const runner& on) const
{
    return {{"clock_ms", clock_ms(on)}, {"born", on.born}};
}

http_response runners::conflict(const runner& on, const char* reason) const
{
    json body = answer(on);
    body["reason"] = reason;
    return json_response(body, http::status::conflict);
}

std::vector<std::string> runners::running() const
{
    std::vector<std::string> found;
    for (const auto& [id, on] : m_runners) {
        for (const auto& [task, one] : on->runs) {
            found.push_back(task);
        }
    }
    return found;
}

void runners::advance()
{
    const auto now = steady_clock::now();
    for (const auto& [id, on] : m_runners) {
        if (!on->up) {
            if (now >= on->next_beat + 2 * heartbeat && std::exchange(on->listed, false)) {
                m_store.remove("servers/" + id);
                m_log.line("the entry of " + id + " is removed after three heartbeats of silence");
            }
            continue;
        }
        std::vector<std::pair<std::string, std::string>> ended;
        for (const auto& [task, one] : on->runs) {
            if (now >= on->lease_until) {
                ended.emplace_back(task, "lapsed");
            } else if (now >= one.ends_at) {
                ended.emplace_back(task, "done");
            }
        }
        for (const auto& [task, how] : ended) {
            end(*on, task, how);
        }
        if (now >= on->next_beat) {
            announce(*on);
        }
    }
}

void runners::end(runner& on, const std::string& task, const std::string& how)
{
    const run one = on.runs.at(task);
    on.runs.erase(task);
    on.closed[task] = std::max(on.closed[task], one.number);
    on.ends.push_back(json::array({++on.last_end, task, one.number, how, ""}));
    m_log.line("run of " + task + " on " + on.kind.id + " ends: " + how);
    on.ended->notify_all();
}

http_response runners::start(runner& on, const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    const auto expires = body.at("expires_ms").get<std::int64_t>();
    const auto running_here = on.runs.find(task);
    if (running_here != on.runs.end() && running_here->second.number == number) {
        return json_response(answer(on));
    }
    if (expires <= clock_ms(on)) {
        return conflict(on, "late");
    }
    extend_lease(on, expires);
    const auto closed = on.closed.find(task);
    if (running_here != on.runs.end() || (closed != on.closed.end() && number <= closed->second)) {
        return conflict(on, "old");
    }
    const json spec = json::parse(body.at("spec").get<std::string>());
    const auto need = spec.at("cpu").get<std::int64_t>();
    std::int64_t used = need;
    for (const auto& [name, one] : on.runs) {
        used += one.cpu;
    }
    if (on.kind.guards && used > on.kind.cpu) {
        return conflict(on, "room");
    }
    for (const auto& [id, other] : m_runners) {
        if (other.get() != &on && other->runs.contains(task)) {
            m_overlaps.push_back(task);
            m_log.line("two runs of " + task + " at a time: " + id + " and " + on.kind.id);
        }
    }
    on.runs[task] = {number, need, steady_clock::now() + milliseconds(spec.at("ms").get<std::int64_t>())};
    m_starts.push_back({task, on.kind.id, on.kind.labels, spec, m_log.now_ms(), used, on.kind.cpu});
    m_log.line("start of " + task + " run " + std::to_string(number) + " on " + on.kind.id);
    return json_response(answer(on));
}

http_response runners::stop(runner& on, const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    on.closed[task] = std::max(on.closed[task], number);
    const auto found = on.runs.find(task);
    if (found != on.runs.end() && found->second.number <= number) {
        end(on, task, "stopped");
    }
    return json_response(answer(on));
}

net::awaitable<http_response> runners::hold(runner& on, json body)
{
    if (body.contains("expires_ms")) {
        extend_lease(on, body.at("expires_ms").get<std::int64_t>());
    }
    const auto acknowledged = body.value("acked", std::uint64_t{0});
    std::erase_if(on.ends, [&](const json& row) { return row[0].get<std::uint64_t>() <= acknowledged; });
    const std::uint64_t born = on.born;
    if (on.ends.empty()) {
        co_await on.ended->wait_until(steady_clock::now() + milliseconds(body.value("wait_ms", 0)));
    }
    if (on.born != born || !on.up) {
        throw std::runtime_error("the runner has crashed");
    }
    json found = answer(on);
    found["running"] = json::array();
    for (const auto& [task, one] : on.runs) {
        found["running"].push_back(json::array({task, one.number, "", 0, one.cpu}));
    }
    found["finished"] = on.ends;
    co_return json_response(found);
}

net::awaitable<std::optional<http_response>> runners::handle(runner& on, http_request request)
{
    if (!on.up) {
        co_return std::nullopt;
    }
    if (on.calls_cut) {
        co_await stand_ins::sleep_for(m_io, silence);
        co_return std::nullopt;
    }
    if (is_held(request)) {
        m_held_for = on.kind.id;
        net::co_spawn(m_io, execute_late(on, std::move(request)), net::detached);
        co_await stand_ins::sleep_for(m_io, silence);
        co_return std::nullopt;
    }
    std::optional<http_response> response = co_await execute(on, std::move(request));
    if (on.answers_cut) {
        co_await stand_ins::sleep_for(m_io, silence);
        co_return std::nullopt;
    }
    co_return response;
}

void runners::hold_next_start(std::string job, milliseconds lateness)
{
    m_held_job = std::move(job);
    m_lateness = lateness;
}

bool runners::is_held(const http_request& request)
{
    if (m_held_job.empty() || request.target() != "/run-start" ||
        !json::parse(request.body()).at("task").get<std::string>().starts_with(m_held_job)) {
        return false;
    }
    m_held_job.clear();
    return true;
}

net::awaitable<void> runners::execute_late(runner& on, http_request request)
{
    m_log.line("start to " + on.kind.id + " is held on its way: " + request.body());
    co_await stand_ins::sleep_for(m_io, m_lateness);
    if (!on.up) {
        co_return;
    }
    const auto response = co_await execute(on, std::move(request));
    m_log.line("the held start reaches " + on.kind.id + ": " + std::to_string(response->result_int()) + ' ' +
               response->body());
}

net::awaitable<std::optional<http_response>> runners::execute(runner& on, http_request request)
{
    const auto expected = request.find("Poplarshed-Expect-Instance");
    if (expected != request.end() && expected->value() != on.kind.id) {
        co_return json_response(answer(on), http::status::misdirected_request);
    }
    const json body = json::parse(request.body());
    const std::string target(request.target());
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < on.token) {
        co_return conflict(on, "fence");
    }
    on.token = token;
    const auto path = stand_ins::path_of(target);
    if (path == "/run-start") {
        co_return start(on, body);
    }
    if (path == "/run-stop") {
        co_return stop(on, body);
    }
    co_return co_await hold(on, body);
}

// ---------------------------------------------------------------------------------------------- clients

client::client(const std::string& address) : m_address(address)
{
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = socket_address(address);
    if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(m_socket);
        throw std::runtime_error("cannot connect to " + address);
    }
}

client::~client()
{
    ::close(m_socket);
}

client_answer client::call(const std::string& method, const std::string& path, const std::string& body,
                           milliseconds limit)
{
    std::string request = method + ' ' + path + " HTTP/1.1\r\nHost: " + host +
                          "\r\nConnection: keep-alive\r\nPoplarshed-Timeout-Ms: " + std::to_string(limit.count()) + "\r\n";
    if (!body.empty()) {
        request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    }
    request += "\r\n" + body;
    client_answer found;
    if (::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(request.size())) {
        found.ended = true;
        return found;
    }
    const auto deadline = steady_clock::now() + limit;
    std::string text;
    for (;;) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
        pollfd state{m_socket, POLLIN, 0};
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0) {
            found.timed_out = true;
            return found;
        }
        char buffer[4096];
        const ssize_t size = ::recv(m_socket, buffer, sizeof buffer, 0);
        if (size <= 0) {
            found.ended = true;
            return found;
        }
        text.append(buffer, static_cast<std::size_t>(size));
        const auto head = text.find("\r\n\r\n");
        if (head == std::string::npos) {
            continue;
        }
        std::string header = text.substr(0, head);
        std::transform(header.begin(), header.end(), header.begin(),
                       [](unsigned char item) { return static_cast<char>(std::tolower(item)); });
        const auto field = header.find("content-length:");
        const std::size_t length = field == std::string::npos ? 0 : std::stoul(header.substr(field + 15));
        if (text.size() >= head + 4 + length) {
            found.status = std::stoi(text.substr(9, 3));
            found.body = text.substr(head + 4, length);
            return found;
        }
    }
}

std::string free_address()
{
    const int found = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socket_address("127.0.0.1:0");
    socklen_t size = sizeof address;
    if (::bind(found, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
        ::getsockname(found, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        ::close(found);
        throw std::runtime_error("no free port");
    }
    ::close(found);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// --------------------------------------------------------------------------------------------- instances

instance::instance(std::string name, std::string zone, const std::string& folder, const std::string& store,
                   std::vector<std::string> seeds, std::string peer_address)
    : m_name(std::move(name)),
      m_settings(folder + '/' + m_name + ".json"),
      m_output(folder + '/' + m_name + ".log"),
      m_front(free_address()),
      m_ready(free_address())
{
    // The template of the deploy file, filled in as the platform does; only the metrics port differs, since
    // the instances share an address here.
    std::string text = read_file("deploy/settings.json.in");
    const std::vector<std::pair<std::string, std::string>> values{
        {"{{node|json}}", json(m_name).dump()},
        {"{{zone|json}}", json(zone).dump()},
        {"{{limits.cpu_share}}", "0.25"},
        {"{{listen.front|json}}", json(m_front).dump()},
        {"{{listen.ready|json}}", json(m_ready).dump()},
        {"{{ip}}:9464", free_address()},
        {"{{listen.control|json}}", json(peer_address).dump()},
        {"{{seeds|json}}", json(seeds).dump()},
        {"{{platform.address|json}}", json(store).dump()},
        {"{{bounds.hold_max_ms}}", std::to_string(hold_max.count())},
        {"{{bounds.stop_timeout_ms}}", "50"},
        {"{{bounds.remote_slowdown}}", "3"},
        {"{{bounds.grace_s}}", "6"}};
    for (const auto& [from, to] : values) {
        replace_all(text, from, to);
    }
    std::ofstream(m_settings) << text;
}

instance::~instance()
{
    if (m_process > 0 && running()) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
    }
}

void instance::start()
{
    m_process = ::fork();
    if (m_process == 0) {
        const int output = ::open(m_output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::setenv("POPLARSHED_NODE_FILE", m_settings.c_str(), 1);
        ::execl("target/bin/poplarshed-instance", "target/bin/poplarshed-instance", nullptr);
        ::_exit(127);
    }
}

void instance::signal(int number) const
{
    ::kill(m_process, number);
}

bool instance::running()
{
    if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) != 0) {
        m_process = -1;
    }
    return m_process > 0;
}

bool instance::ready() const
{
    try {
        client checker(m_ready);
        return checker.call("GET", "/readyz", "", milliseconds(500)).status == 200;
    } catch (const std::exception&) {
        return false;
    }
}

// ------------------------------------------------------------------------------------------------- world

json route(const std::string& name, const std::string& prefix)
{
    return {{"name", name},         {"host", host},      {"prefix", prefix}, {"service", "desk"},
            {"max_attempts", 3},    {"priority", 0},     {"stretch", 1.6},   {"slo_ms", 60}};
}

std::string job_body(const json& spec, const json& steps)
{
    return json{{"spec", spec.dump()}, {"best_effort", true}, {"steps", steps}}.dump();
}

world::world(const std::string& folder, std::size_t instances, std::vector<runner_kind> kinds, json routes)
    : m_log(folder + "/record.txt"),
      m_work(m_io.get_executor()),
      m_store(m_io),
      m_runners(m_io, m_store, m_log, std::move(kinds))
{
    m_store.put("op/config", {{"version", 1},
                              {"routes", std::move(routes)},
                              {"services", {{{"name", "desk"}, {"enforces_capacity", true}}}},
                              {"limits", {{"max_body_bytes", 262'144}}}});
    net::co_spawn(m_io, advance(), net::detached);
    m_thread = std::jthread([this] { m_io.run(); });
    m_scratch = (std::filesystem::temp_directory_path() / "poplarshed-review-XXXXXX").string();
    if (::mkdtemp(m_scratch.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    std::vector<std::string> peers;
    for (std::size_t i = 0; i < instances; ++i) {
        peers.push_back(free_address());
    }
    for (std::size_t i = 0; i < instances; ++i) {
        m_instances.push_back(std::make_unique<instance>("front-ollur-" + std::to_string(i + 1), "ollur", m_scratch,
                                                         "127.0.0.1:" + std::to_string(m_store.port()), peers,
                                                         peers[i]));
        m_instances.back()->start();
    }
}

world::~world()
{
    m_instances.clear();
    m_io.stop();
    m_thread.join();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_scratch, ignored);
    }
}

net::awaitable<void> world::advance()
{
    for (;;) {
        co_await stand_ins::sleep_for(m_io, step);
        m_store.advance();
        m_runners.advance();
    }
}

bool world::wait_ready(milliseconds limit)
{
    const auto deadline = steady_clock::now() + limit;
    while (steady_clock::now() < deadline) {
        if (std::all_of(m_instances.begin(), m_instances.end(), [](const auto& one) { return one->ready(); })) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

client_answer world::submit(client& on, const std::string& path, const std::string& body, milliseconds limit)
{
    m_log.line("client sends POST " + path + ", waits for " + std::to_string(limit.count()) + " ms: " + body);
    client_answer found = on.call("POST", path, body, limit);
    m_log.line("POST " + path + (found.status != 0 ? " is answered: " + std::to_string(found.status) + ' ' + found.body
                                 : found.ended     ? " gets no answer, its connection has ended"
                                                   : " gets no answer in time"));
    return found;
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int run_case(const std::function<int()>& run)
{
    try {
        return run();
    } catch (const std::exception& failed) {
        std::cerr << "could not run: " << failed.what() << '\n';
        return could_not_run;
    }
}

}  // namespace review
