#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>

namespace review {

namespace {

// Bounds of the small deployments (sites/*.toml).
constexpr milliseconds hold_max{1000};
constexpr milliseconds cancel_time{3000};
constexpr milliseconds stop_timeout{50};
constexpr milliseconds step_time{5};

std::string task_name(const std::string& job, std::size_t step_index, std::size_t index)
{
    return job + ".0." + std::to_string(step_index) + "." + std::to_string(index);
}

std::vector<std::string> split(const std::string& text, char mark)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, mark);) {
        parts.push_back(part);
    }
    return parts;
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
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || text.str().empty()) {
        throw cannot_run(path + " cannot be read");
    }
    return text.str();
}

/// The program of the deploy file.
std::string program()
{
    const std::string text = read_file("deploy/system.toml");
    const std::string mark = "run = \"";
    const auto begin = text.find(mark);
    if (begin == std::string::npos) {
        throw cannot_run("deploy/system.toml has no run");
    }
    const auto first = begin + mark.size();
    return text.substr(first, text.find('"', first) - first);
}

bool is_free(const std::string& ip, int port)
{
    net::io_context io;
    tcp::acceptor acceptor(io);
    boost::system::error_code failed;
    const tcp::endpoint wanted(net::ip::make_address_v4(ip), static_cast<std::uint16_t>(port));
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(wanted, failed);
    return !failed;
}

}  // namespace

void record::line(const std::string& text)
{
    m_file << at() << " ms: " << text << std::endl;
}

void record::broken(const std::string& rule, const std::string& text)
{
    m_violations.push_back(rule + ": " + text);
    line("BROKEN " + rule + ": " + text);
}

json job::body() const
{
    json rows = json::array();
    for (const step& one : steps) {
        json row = {{"count", one.count}, {"estimate_ms", one.estimate_ms}};
        if (one.need.cpu > 0) {
            row["cpu"] = one.need.cpu;
        }
        if (one.need.mem_mb > 0) {
            row["mem_mb"] = one.need.mem_mb;
        }
        if (one.need.gpu > 0) {
            row["gpu"] = one.need.gpu;
        }
        if (!one.after.empty()) {
            row["after"] = one.after;
        }
        if (!one.constraints.empty()) {
            row["constraints"] = one.constraints;
        }
        if (one.anti_affinity > 0) {
            row["anti_affinity"] = one.anti_affinity;
        }
        rows.push_back(row);
    }
    return {{"spec", spec}, {"best_effort", true}, {"steps", rows}};
}

std::size_t job::task_count() const
{
    std::size_t total = 0;
    for (const step& one : steps) {
        total += one.count;
    }
    return total;
}

// Runners

runners::runners(net::io_context& io, leased_store& store, job_table& jobs, record& log)
    : m_io(io), m_store(store), m_jobs(jobs), m_log(log)
{}

std::size_t runners::add(const options& wanted)
{
    const std::size_t index = m_all.size();
    auto created = std::make_unique<runner>();
    created->about = wanted;
    created->id = "i-" + std::to_string(index);
    created->ended = std::make_unique<wake_list>(m_io);
    created->born = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    created->server =
        std::make_shared<http_server>(m_io, [this, index](http_request request) { return handle(index, std::move(request)); });
    created->server->open(0);
    m_all.push_back(std::move(created));
    announce(*m_all.back());
    return index;
}

void runners::announce(runner& on)
{
    m_store.put("servers/" + on.id,
                {{"service", on.about.service},
                 {"address", "127.0.0.1:" + std::to_string(on.server->port())},
                 {"zone", on.about.zone},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", on.draining ? "draining" : "ready"},
                 {"cold_ms", 0},
                 {"capacity",
                  {{"cpu", on.about.capacity.cpu}, {"mem_mb", on.about.capacity.mem_mb}, {"gpu", on.about.capacity.gpu}}},
                 {"labels", on.about.labels},
                 {"born", on.born},
                 {"clock_ms", clock_ms(on)},
                 {"seq", ++on.seq}});
}

std::int64_t runners::clock_ms(const runner& on)
{
    return std::chrono::duration_cast<milliseconds>(clock::now().time_since_epoch()).count() + on.clock_offset_ms;
}

void runners::crash(std::size_t index, milliseconds down, std::vector<std::string> labels,
                    std::optional<resources> capacity)
{
    runner& on = *m_all.at(index);
    m_log.line("runner " + on.id + " crashes with " + std::to_string(on.runs.size()) + " runs");
    on.runs.clear();
    on.closed.clear();
    on.ends.clear();
    on.last_end = 0;
    on.token = 0;
    on.lease_until = {};
    on.seq = 0;
    on.back_at = clock::now() + down;
    if (!labels.empty()) {
        on.about.labels = std::move(labels);
    }
    on.about.capacity = capacity.value_or(on.about.capacity);
    on.server->close();
    on.server->drop_connections();
}

void runners::set_draining(std::size_t index)
{
    m_all.at(index)->draining = true;
    announce(*m_all.at(index));
}

void runners::set_silent(std::size_t index, bool silent)
{
    m_all.at(index)->silent = silent;
    m_log.line("runner " + m_all.at(index)->id + (silent ? " is silent" : " answers again"));
}

void runners::advance()
{
    const auto now = clock::now();
    for (auto& owned : m_all) {
        runner& on = *owned;
        if (on.back_at && now >= *on.back_at) {
            on.back_at.reset();
            on.born = static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
            on.clock_offset_ms = -std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
            on.server->open(0);
            announce(on);
            m_log.line("runner " + on.id + " is back");
        }
        std::vector<std::pair<std::string, std::string>> ended;
        for (const auto& [task, one] : on.runs) {
            if (now >= one.ends_at && one.ends_at <= on.lease_until) {
                ended.emplace_back(task, "done");
            } else if (now >= on.lease_until) {
                ended.emplace_back(task, "lapsed");
            }
        }
        for (const auto& [task, how] : ended) {
            end(on, task, how);
        }
    }
}

void runners::end(runner& on, const std::string& task, const std::string& how)
{
    const run one = on.runs.at(task);
    on.runs.erase(task);
    on.closed[task] = std::max(on.closed[task], one.number);
    on.ends.push_back(json::array({++on.last_end, task, one.number, how, ""}));
    const auto known = m_jobs.find(split(task, '.').at(0));
    if (how == "done" && known != m_jobs.end()) {
        known->second.done.insert(task);
    }
    m_log.line("run " + std::to_string(one.number) + " of " + task + " on " + on.id + " ends " + how);
    on.ended->notify_all();
}

http_response runners::conflict(const runner& on, const char* reason) const
{
    return json_response({{"clock_ms", clock_ms(on)}, {"reason", reason}}, http::status::conflict);
}

void runners::extend_lease(runner& on, std::int64_t expires_ms)
{
    const milliseconds left(expires_ms - clock_ms(on));
    on.lease_until = std::max(on.lease_until, clock::now() + std::min(left, hold_max));
}

void runners::check_start(runner& on, const std::string& task, const job& known, const step& of, std::uint32_t step_index)
{
    for (const auto& other : m_all) {
        if (other.get() != &on && other->runs.contains(task)) {
            m_log.broken("TWICE", task + " starts on " + on.id + " and runs on " + other->id);
        }
    }
    for (const std::uint32_t earlier : of.after) {
        for (std::uint32_t i = 0; i < known.steps.at(earlier).count; ++i) {
            if (!known.done.contains(task_name(known.id, earlier, i))) {
                m_log.broken("ORDER", task + " starts before " + task_name(known.id, earlier, i) + " has ended");
            }
        }
    }
    const auto& labels = on.about.labels;
    if (!of.constraints.empty() && std::find(labels.begin(), labels.end(), of.constraints) == labels.end()) {
        m_log.broken("ROUTE", task + " needs " + of.constraints + " and starts on " + on.id);
    }
    std::uint32_t same = 1;
    resources used = of.need;
    for (const auto& [name, one] : on.runs) {
        used = {used.cpu + one.need.cpu, used.mem_mb + one.need.mem_mb, used.gpu + one.need.gpu};
        const auto parts = split(name, '.');
        same += parts.at(0) == known.id && parts.at(2) == std::to_string(step_index) ? 1 : 0;
    }
    if (of.anti_affinity > 0 && same > of.anti_affinity) {
        m_log.broken("ROUTE", task + " is one of " + std::to_string(same) + " on " + on.id);
    }
    if (!on.about.enforces_capacity && (used.cpu > on.about.capacity.cpu || used.mem_mb > on.about.capacity.mem_mb ||
                                        used.gpu > on.about.capacity.gpu)) {
        m_log.broken("LIMIT", task + " brings " + on.id + " to " + std::to_string(used.cpu) + " cpu, " +
                                  std::to_string(used.mem_mb) + " MB, " + std::to_string(used.gpu) + " gpu");
    }
    if (known.cancel_acknowledged && clock::now() > *known.cancel_acknowledged + cancel_time) {
        m_log.broken("UNASKED", task + " starts later than cancel_ms after its cancelling was acknowledged");
    }
}

http_response runners::start(runner& on, const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::uint64_t>();
    const auto expires = body.at("expires_ms").get<std::int64_t>();
    const auto parts = split(task, '.');
    const auto present = on.runs.find(task);
    if (present != on.runs.end() && present->second.number == number) {
        return json_response({{"clock_ms", clock_ms(on)}});
    }
    if (expires <= clock_ms(on)) {
        return conflict(on, "late");
    }
    const auto closed = on.closed.find(task);
    if ((closed != on.closed.end() && closed->second >= number) || present != on.runs.end()) {
        extend_lease(on, expires);
        return conflict(on, "old");
    }
    const auto known = m_jobs.find(parts.at(0));
    const std::size_t step_index = std::stoul(parts.at(2));
    if (known == m_jobs.end() || step_index >= known->second.steps.size() ||
        std::stoul(parts.at(3)) >= known->second.steps[step_index].count ||
        body.at("spec").get<std::string>() != known->second.spec) {
        m_log.broken("UNASKED", task + " was sent by no client, or with another spec");
        return conflict(on, "late");
    }
    const step& of = known->second.steps[step_index];
    resources used = of.need;
    for (const auto& [name, one] : on.runs) {
        used = {used.cpu + one.need.cpu, used.mem_mb + one.need.mem_mb, used.gpu + one.need.gpu};
    }
    const resources& room = on.about.capacity;
    if (on.about.enforces_capacity && (used.cpu > room.cpu || used.mem_mb > room.mem_mb || used.gpu > room.gpu)) {
        extend_lease(on, expires);
        return conflict(on, "room");
    }
    check_start(on, task, known->second, of, static_cast<std::uint32_t>(step_index));
    extend_lease(on, expires);
    on.runs[task] = {number, clock::now() + milliseconds(of.work_ms), of.need};
    ++m_starts[known->second.id];
    m_log.line("run " + std::to_string(number) + " of " + task + " starts on " + on.id);
    return json_response({{"clock_ms", clock_ms(on)}});
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
    return json_response({{"clock_ms", clock_ms(on)}});
}

net::awaitable<http_response> runners::hold(std::size_t index, json body)
{
    runner& on = *m_all.at(index);
    if (body.contains("expires_ms")) {
        extend_lease(on, body.at("expires_ms").get<std::int64_t>());
    }
    const auto acknowledged = body.value("acked", std::uint64_t{0});
    std::erase_if(on.ends, [&](const json& row) { return row[0].get<std::uint64_t>() <= acknowledged; });
    const std::uint64_t born = on.born;
    if (on.ends.empty()) {
        co_await on.ended->wait_until(clock::now() + milliseconds(body.value("wait_ms", 0)));
    }
    if (on.born != born || on.back_at) {
        co_return json_response(json::object(), http::status::service_unavailable);
    }
    json running = json::array();
    for (const auto& [task, one] : on.runs) {
        running.push_back(json::array({task, one.number, "", 100, one.need.cpu}));
    }
    json finished = json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(500, on.ends.size()); ++i) {
        finished.push_back(on.ends[i]);
    }
    co_return json_response(
        {{"clock_ms", clock_ms(on)}, {"born", on.born}, {"running", running}, {"finished", finished}});
}

net::awaitable<std::optional<http_response>> runners::handle(std::size_t index, http_request request)
{
    runner& on = *m_all.at(index);
    advance();
    if (on.back_at) {
        co_return std::nullopt;
    }
    if (on.silent) {
        co_await sleep_for(m_io, std::chrono::seconds(60));
        co_return std::nullopt;
    }
    const std::string target(request.target());
    const std::string path(path_of(target));
    if (request.method() == http::verb::get) {
        co_return text_response("", on.draining ? http::status::service_unavailable : http::status::ok);
    }
    const auto expected = request.find("Poplarshed-Expect-Instance");
    if (expected != request.end() && expected->value() != on.id) {
        co_return text_response("", static_cast<http::status>(421));
    }
    const json body = json::parse(request.body());
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < on.token) {
        co_return conflict(on, "fence");
    }
    on.token = token;
    if (path == "/run-start") {
        co_return start(on, body);
    }
    if (path == "/run-stop") {
        co_return stop(on, body);
    }
    co_return co_await hold(index, body);
}

std::vector<std::string> runners::running(const std::string& job_id) const
{
    std::vector<std::string> found;
    for (const auto& on : m_all) {
        for (const auto& [task, one] : on->runs) {
            if (task.starts_with(job_id + ".")) {
                found.push_back(task + " on " + on->id);
            }
        }
    }
    return found;
}

std::size_t runners::running_count() const
{
    std::size_t total = 0;
    for (const auto& on : m_all) {
        total += on->runs.size();
    }
    return total;
}

std::size_t runners::starts_of(const std::string& job_id) const
{
    const auto found = m_starts.find(job_id);
    return found == m_starts.end() ? 0 : found->second;
}

// Clients

connection::connection(net::io_context& io, const std::string& address)
    : m_io(io), m_address(parse_endpoint(address)), m_socket(io)
{}

net::awaitable<bool> connection::open()
{
    boost::system::error_code failed;
    co_await m_socket.async_connect(m_address, net::redirect_error(net::use_awaitable, failed));
    co_return !failed;
}

void connection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

net::awaitable<bool> connection::send(http::verb method, std::string target, std::string body, milliseconds limit)
{
    http_request request(method, target, 11);
    request.set(http::field::host, "desk.example");
    request.set("Poplarshed-Timeout-Ms", std::to_string(limit.count()));
    request.set(http::field::connection, "keep-alive");
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(body);
    }
    request.prepare_payload();
    boost::system::error_code failed;
    co_await http::async_write(m_socket, request, net::redirect_error(net::use_awaitable, failed));
    co_return !failed;
}

net::awaitable<answer> connection::receive(milliseconds limit)
{
    answer result;
    auto expired = std::make_shared<bool>(false);
    auto timer = std::make_shared<net::steady_timer>(m_io, limit);
    timer->async_wait([this, expired, timer](boost::system::error_code cancelled) {
        if (!cancelled) {
            *expired = true;
            close();
        }
    });
    boost::system::error_code failed;
    http_response response;
    co_await http::async_read(m_socket, m_buffer, response, net::redirect_error(net::use_awaitable, failed));
    timer->cancel();
    if (failed) {
        result.error = *expired ? "no answer within the client's limit" : failed.message();
        co_return result;
    }
    result.status = static_cast<int>(response.result_int());
    result.body = response.body();
    const auto header = response.find(http::field::connection);
    result.connection = header == response.end() ? "" : std::string(header->value());
    co_return result;
}

net::awaitable<answer> connection::call(http::verb method, std::string target, std::string body, milliseconds limit)
{
    const bool sent = co_await send(method, target, body, limit);
    answer result;
    result.error = "the request could not be sent";
    if (sent) {
        result = co_await receive(limit);
    }
    co_return result;
}

// Instances

int instance::front_port = 0;
int instance::ready_port = 0;
int instance::control_port = 0;

instance::~instance()
{
    kill();
}

void instance::start(const std::string& store, const std::vector<std::string>& seeds)
{
    std::string text = read_file("deploy/settings.json.in");
    replace_all(text, "{{node|json}}", json(m_at.name).dump());
    replace_all(text, "{{zone|json}}", json(m_at.zone).dump());
    replace_all(text, "{{limits.cpu_share}}", "0.25");
    replace_all(text, "{{listen.front|json}}", json(front()).dump());
    replace_all(text, "{{listen.ready|json}}", json(ready()).dump());
    replace_all(text, "{{listen.control|json}}", json(control()).dump());
    replace_all(text, "{{ip}}", m_at.ip);
    replace_all(text, "{{seeds|json}}", json(seeds).dump());
    replace_all(text, "{{platform.address|json}}", json(store).dump());
    replace_all(text, "{{bounds.hold_max_ms}}", "1000");
    replace_all(text, "{{bounds.stop_timeout_ms}}", "50");
    replace_all(text, "{{bounds.remote_slowdown}}", "3");
    replace_all(text, "{{bounds.grace_s}}", "6");
    if (text.find("{{") != std::string::npos) {
        throw cannot_run("the settings template has a placeholder that this case doesn't know");
    }
    const std::string settings = m_folder + "/" + m_at.name + ".json";
    std::ofstream(settings) << text;
    const std::string output = m_folder + "/" + m_at.name + "-" + std::to_string(++m_life) + ".log";
    std::vector<std::string> words = split(program(), ' ');
    std::vector<std::string> variables{"POPLARSHED_NODE_FILE=" + settings, "PATH=/usr/bin:/bin", "LANG=C.UTF-8"};
    std::vector<char*> arguments;
    std::vector<char*> environment;
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    for (std::string& variable : variables) {
        environment.push_back(variable.data());
    }
    arguments.push_back(nullptr);
    environment.push_back(nullptr);
    m_end.clear();
    m_pid = fork();
    if (m_pid == 0) {
        // Ends with the case, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(file, 1);
        dup2(file, 2);
        for (int descriptor = 3; descriptor < 1024; ++descriptor) {
            close(descriptor);
        }
        execve(arguments[0], arguments.data(), environment.data());
        _exit(127);
    }
    if (m_pid < 0) {
        throw cannot_run("fork failed");
    }
}

void instance::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

bool instance::running()
{
    if (m_pid <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == 0) {
        return true;
    }
    m_end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                : "exit code " + std::to_string(WEXITSTATUS(status));
    m_pid = -1;
    return false;
}

void instance::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_pid = -1;
        m_end = "killed by the case";
    }
}

// Deployment

deployment::deployment(const std::string& record_path, const layout& wanted)
    : m_log(record_path), m_layout(wanted), m_store(m_io), m_runners(m_io, m_store, m_jobs, m_log)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::random_device device;
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw cannot_run("no temporary folder");
    }
    m_folder = pattern;
    const std::string network =
        "127." + std::to_string(64 + device() % 128) + "." + std::to_string(1 + device() % 250) + ".";
    const auto free_port = [&](int first) {
        for (int port = first; port < first + 500; ++port) {
            bool free = true;
            for (std::size_t i = 0; i < wanted.instances; ++i) {
                free = free && is_free(network + std::to_string(i + 1), port);
            }
            if (free) {
                return port;
            }
        }
        throw cannot_run("no free port");
    };
    instance::front_port = free_port(18'100);
    instance::ready_port = free_port(18'700);
    instance::control_port = free_port(19'300);
    for (std::size_t i = 0; i < wanted.instances; ++i) {
        const std::string ip = network + std::to_string(i + 1);
        const std::string zone = wanted.zones.at(i % wanted.zones.size());
        m_instances.push_back(std::make_unique<instance>(
            instance::place{"front-" + zone + "-" + std::to_string(i + 1), zone, ip}, m_folder));
        if (m_seeds.size() < 3) {
            m_seeds.push_back(m_instances.back()->control());
        }
    }
    for (const runners::options& one : wanted.workers) {
        m_runners.add(one);
    }
    configure(1);
}

deployment::~deployment()
{
    m_instances.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_folder);
    } else {
        std::cerr << "logs: " << m_folder << '\n';
    }
}

void deployment::configure(std::uint64_t version, bool with_jobs)
{
    const auto route = [this](const char* name, const std::string& path) {
        return json{{"name", name},
                    {"host", "desk.example"},
                    {"prefix", path},
                    {"kind", "non_idempotent"},
                    {"timeout_ms", m_layout.timeout_ms},
                    {"slo_ms", 60},
                    {"priority", 0},
                    {"service", "desk"},
                    {"max_attempts", 3},
                    {"stretch", 1.6}};
    };
    json routes = json::array({route("r-other", "/other/")});
    if (with_jobs) {
        routes.push_back(route("r-hold", prefix()));
    }
    m_store.put("op/config",
                {{"version", version},
                 {"routes", routes},
                 {"services",
                  {{{"name", "desk"},
                    {"health_path", "/healthz"},
                    {"max_conns", 64},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"enforces_capacity", m_layout.workers.empty() || m_layout.workers[0].enforces_capacity},
                    {"standby", false}}}},
                 {"limits",
                  {{"max_header_bytes", 16'384},
                   {"max_body_bytes", 262'144},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15'000}}}});
}

void deployment::start_instance(std::size_t index)
{
    at(index).start(store_address(), m_seeds);
    m_log.line("instance " + at(index).name() + " starts");
}

net::awaitable<void> deployment::tick()
{
    while (!m_over) {
        co_await sleep_for(m_io, step_time);
        m_store.advance();
        m_runners.advance();
        check_cancelled();
    }
}

void deployment::check_cancelled()
{
    for (auto& [id, one] : m_jobs) {
        if (!one.cancel_acknowledged || one.cancel_reported ||
            clock::now() <= *one.cancel_acknowledged + cancel_time + stop_timeout) {
            continue;
        }
        const auto running = m_runners.running(id);
        if (!running.empty()) {
            one.cancel_reported = true;
            m_log.broken("UNASKED",
                         running.front() + " runs later than cancel_ms + stop_timeout_ms after its cancelling was "
                                           "acknowledged");
        }
    }
}

net::awaitable<void> deployment::wait_until(const std::string& what, std::function<bool()> condition, milliseconds limit)
{
    const auto end = clock::now() + limit;
    while (!condition()) {
        if (clock::now() > end) {
            throw cannot_run("not within " + std::to_string(limit.count()) + " ms: " + what);
        }
        co_await sleep_for(m_io, step_time);
    }
}

net::awaitable<void> deployment::wait_ready()
{
    const auto end = clock::now() + std::chrono::seconds(15);
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        for (;;) {
            if (!at(i).running()) {
                throw cannot_run(at(i).name() + " has ended: " + at(i).end());
            }
            connection probe(m_io, at(i).ready());
            if (co_await probe.open()) {
                const answer got = co_await probe.call(http::verb::get, "/readyz", "", milliseconds(1000));
                if (got.status == 200) {
                    break;
                }
            }
            if (clock::now() > end) {
                throw cannot_run(at(i).name() + " doesn't become ready");
            }
            co_await wait(milliseconds(100));
        }
    }
    // Statuses of all instances reach each other, and pools have holders.
    co_await wait(milliseconds(4000));
    m_log.line("all instances are ready");
}

job& deployment::add_job(std::vector<step> steps)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random(~std::uint64_t{0})));
    job& added = m_jobs[id];
    added.id = id;
    added.steps = std::move(steps);
    return added;
}

std::uint64_t deployment::random(std::uint64_t below)
{
    m_random ^= m_random << 13U;
    m_random ^= m_random >> 7U;
    m_random ^= m_random << 17U;
    return (m_random * 0x2545F4914F6CDD1DULL) % below;
}

net::awaitable<answer> deployment::submit(std::size_t index, const std::string& id, milliseconds client_limit)
{
    connection with(m_io, at(index).front());
    if (!co_await with.open()) {
        m_log.line("job " + id + " at " + at(index).name() + ": no connection");
        answer none;
        none.error = "no connection";
        co_return none;
    }
    co_return co_await submit_on(with, index, id, client_limit);
}

net::awaitable<answer> deployment::submit_on(connection& with, std::size_t index, const std::string& id,
                                             milliseconds client_limit)
{
    m_log.line("client sends job " + id + " to " + at(index).name());
    const answer got = co_await with.call(http::verb::post, prefix() + id, m_jobs.at(id).body().dump(), client_limit);
    check_answer(id, got);
    co_return got;
}

void deployment::check_answer(const std::string& id, const answer& got)
{
    m_log.line("job " + id + " is answered " + std::to_string(got.status) + " " + got.body + got.error);
    const job& of = m_jobs.at(id);
    if (got.status == 200 && got.body == R"({"state":"completed"})" && of.done.size() < of.task_count()) {
        m_log.broken("MIXED", "job " + id + " is shown as completed with " + std::to_string(of.done.size()) + " of " +
                                  std::to_string(of.task_count()) + " tasks done");
    }
}

net::awaitable<answer> deployment::cancel(std::size_t index, const std::string& id)
{
    connection with(m_io, at(index).front());
    m_log.line("client cancels job " + id + " at " + at(index).name());
    answer got;
    if (co_await with.open()) {
        got = co_await with.call(http::verb::delete_, prefix() + id, "", milliseconds(4000));
    }
    m_log.line("the cancelling of " + id + " is answered " + std::to_string(got.status) + " " + got.body + got.error);
    job& of = m_jobs.at(id);
    if ((got.status / 100 == 2 || got.status == 410) && !of.cancel_acknowledged) {
        of.cancel_acknowledged = clock::now();
    }
    co_return got;
}

net::awaitable<answer> deployment::state(std::size_t index, const std::string& id)
{
    connection with(m_io, at(index).front());
    answer got;
    if (co_await with.open()) {
        got = co_await with.call(http::verb::get, prefix() + id, "", milliseconds(4000));
    }
    m_log.line("the state of " + id + " at " + at(index).name() + " is answered " + std::to_string(got.status) + " " +
               got.body + got.error);
    co_return got;
}

int deployment::play(const std::function<net::awaitable<void>(deployment&)>& story, milliseconds limit)
{
    std::exception_ptr failed;
    bool finished = false;
    net::co_spawn(m_io, tick(), net::detached);
    net::co_spawn(m_io, story(*this), [&](std::exception_ptr error) {
        failed = std::move(error);
        finished = true;
        m_over = true;
        m_io.stop();
    });
    m_io.run_for(limit);
    m_over = true;
    for (auto& one : m_instances) {
        one->kill();
    }
    int code = m_log.violations().empty() ? 0 : 1;
    if (failed) {
        try {
            std::rethrow_exception(failed);
        } catch (const std::exception& problem) {
            m_log.line(std::string("the case could not run: ") + problem.what());
            code = 2;
        }
    } else if (!finished) {
        m_log.line("the case did not end in time");
        code = 2;
    }
    m_log.line("exit code " + std::to_string(code));
    for (const std::string& one : m_log.violations()) {
        std::cout << one << '\n';
    }
    return code;
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}  // namespace review
