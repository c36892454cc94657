#include "deployment.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace poplarshed::review {

namespace {

constexpr const char* program = "target/bin/poplarshed-instance";  // deploy/system.toml, roles.instance.run
constexpr const char* data_centre = "ollur";
constexpr milliseconds step{5};
constexpr milliseconds restart_delay{300};

// Instances listen on a loopback address of this run's own, so that no outgoing connection of another process
// takes a port while an instance is down.
std::uint32_t own_host()
{
    const auto id = static_cast<std::uint32_t>(::getpid());
    return (127U << 24U) | (77U << 16U) | ((id >> 7U & 0xffU) << 8U) | ((id & 0x7fU) + 1U);
}

sockaddr_in address_of(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(own_host());
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int connect_to(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(port);
    ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    return socket;
}

bool send_request(int socket, const std::string& method, const std::string& path, const std::string& body,
                  milliseconds wait)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n";
    text += "Poplarshed-Timeout-Ms: " + std::to_string(wait.count()) + "\r\n";
    if (!body.empty()) {
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    return ::send(socket, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

answer read_answer(int socket, milliseconds wait)
{
    const auto until = clock::now() + wait;
    std::string text;
    while (true) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
        pollfd state{socket, POLLIN, 0};
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0) {
            return {0, "", clock::now()};
        }
        char buffer[4096];
        const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return {0, "", clock::now()};
        }
        text.append(buffer, static_cast<std::size_t>(count));
        const auto head_end = text.find("\r\n\r\n");
        const auto length_at = text.find("Content-Length: ");
        if (head_end != std::string::npos && length_at < head_end) {
            const auto length = std::strtoul(text.c_str() + length_at + 16, nullptr, 10);
            if (text.size() >= head_end + 4 + length) {
                return {std::atoi(text.c_str() + 9), text.substr(head_end + 4, length), clock::now()};
            }
        }
    }
}

json configuration()
{
    return {{"version", 1},
            {"routes",
             {{{"name", "r"},
               {"host", "desk.example"},
               {"prefix", "/p/"},
               {"slo_ms", 60},
               {"priority", 0},
               {"service", "desk"},
               {"max_attempts", 3},
               {"stretch", 1.6}}}},
            {"services", {{{"name", "desk"}, {"enforces_capacity", true}}}},
            {"limits", {{"max_body_bytes", 262'144}}}};
}

}  // namespace

std::string loopback(int port)
{
    in_addr host{htonl(own_host())};
    char text[INET_ADDRSTRLEN];
    ::inet_ntop(AF_INET, &host, text, sizeof text);
    return std::string(text) + ":" + std::to_string(port);
}

record::record(const std::string& file) : m_file(file) {}

double record::seconds() const
{
    return std::chrono::duration<double>(clock::now() - m_begin).count();
}

void record::line(const std::string& text)
{
    const std::scoped_lock lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", seconds());
    m_file << time << text << std::endl;
    std::cout << time << text << std::endl;
}

std::vector<int> free_ports(std::size_t count)
{
    // All are held until the last one is chosen, so that none is chosen twice.
    std::vector<int> sockets;
    std::vector<int> ports;
    for (std::size_t i = 0; i < count; ++i) {
        sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address = address_of(0);
        ::bind(sockets.back(), reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t size = sizeof address;
        ::getsockname(sockets.back(), reinterpret_cast<sockaddr*>(&address), &size);
        ports.push_back(ntohs(address.sin_port));
    }
    for (const int socket : sockets) {
        ::close(socket);
    }
    return ports;
}

open_connection::open_connection(int port) : m_socket(connect_to(port)) {}

open_connection::~open_connection()
{
    ::close(m_socket);
}

answer open_connection::call(const std::string& method, const std::string& path, const std::string& body,
                             milliseconds wait)
{
    return send_request(m_socket, method, path, body, wait) ? read_answer(m_socket, wait)
                                                            : answer{0, "", clock::now()};
}

request::request(int port, const std::string& method, const std::string& path, const std::string& body,
                 milliseconds wait)
    : m_socket(connect_to(port)), m_answer(m_promise.get_future())
{
    if (!send_request(m_socket, method, path, body, wait)) {
        m_promise.set_value({0, "", clock::now()});
        return;
    }
    m_reader = std::jthread([this, wait] { m_promise.set_value(read_answer(m_socket, wait)); });
}

answer request::finish()
{
    return m_answer.get();
}

request::~request()
{
    if (m_socket >= 0) {
        ::shutdown(m_socket, SHUT_RDWR);
    }
    if (m_reader.joinable()) {
        m_reader.join();
    }
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

deployment::deployment(record& out, std::size_t instances, std::size_t workers)
    : m_record(out),
      m_work(stand_ins::net::make_work_guard(m_io)),
      m_store(m_io),
      m_workers(m_io, m_store, std::vector<std::string>(workers, data_centre)),
      m_instances(instances)
{
    char name[] = "/tmp/poplarshed-review-XXXXXX";
    m_folder = ::mkdtemp(name);
    m_store.put("op/config", configuration());
    stand_ins::net::co_spawn(m_io, advance(), stand_ins::net::detached);
    m_thread = std::jthread([this] { m_io.run(); });
    const std::vector<int> ports = free_ports(4 * m_instances.size());
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        instance& one = m_instances[i];
        one.callers = ports[4 * i];
        one.ready = ports[4 * i + 1];
        one.peers = ports[4 * i + 2];
        one.metrics = ports[4 * i + 3];
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        start(i);
    }
}

deployment::~deployment()
{
    for (instance& one : m_instances) {
        if (one.process > 0) {
            ::kill(one.process, SIGCONT);
            ::kill(one.process, SIGKILL);
            ::waitpid(one.process, nullptr, 0);
        }
    }
    m_io.stop();
    m_thread.join();
    std::filesystem::remove_all(m_folder);
}

// The settings of deploy/settings.json.in with the figures of a small site.
void deployment::start(std::size_t index)
{
    instance& one = m_instances.at(index);
    json seeds = json::array();
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_instances.size()); ++i) {
        seeds.push_back(loopback(m_instances[i].peers));
    }
    const json settings = {
        {"instance",
         {{"name", "front-" + std::to_string(index)},
          {"data_centre", data_centre},
          {"cpu_share", 0.25},
          {"memory_mb", memory_mb},
          {"max_fds", 4100}}},
        {"callers", {{"listen", loopback(one.callers)}, {"time_limit_header", "Poplarshed-Timeout-Ms"}}},
        {"readiness", {{"listen", loopback(one.ready)}}},
        {"metrics", {{"listen", loopback(one.metrics)}}},
        {"peers",
         {{"listen", loopback(one.peers)}, {"seeds", seeds}, {"key", "poplarshed-on-the-platform"}}},
        {"store", {{"address", "127.0.0.1:" + std::to_string(m_store.port())}}},
        {"workers", {{"longest_lease_ms", 1000}, {"stop_time_ms", 50}, {"remote_slowdown", 3}}},
        {"drain", {{"grace_ms", grace_ms}}}};
    const std::string file = m_folder + "/front-" + std::to_string(index) + ".json";
    std::ofstream(file) << settings.dump(2);
    const std::string log = m_folder + "/front-" + std::to_string(index) + ".log";
    one.process = ::fork();
    if (one.process == 0) {
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("POPLARSHED_NODE_FILE", file.c_str(), 1);
        ::execl(program, program, nullptr);
        ::_exit(127);
    }
    m_record.line("front-" + std::to_string(index) + " started, process " + std::to_string(one.process) +
                  ", callers " + loopback(one.callers));
}

stand_ins::net::awaitable<void> deployment::advance()
{
    auto beat = clock::now() + heartbeat;
    for (;;) {
        co_await stand_ins::sleep_for(m_io, step);
        m_store.advance();
        m_workers.advance();
        if (clock::now() >= beat) {
            beat = clock::now() + heartbeat;
            for (std::size_t i = 0; i < m_workers.size(); ++i) {
                m_workers.set_listed(i, true);
            }
        }
    }
}

bool deployment::is_ready(std::size_t index) const
{
    return request(m_instances.at(index).ready, "GET", "/readyz", "", milliseconds(500)).finish().status == 200;
}

std::size_t deployment::resident(std::size_t index) const
{
    std::ifstream file("/proc/" + std::to_string(pid(index)) + "/statm");
    std::size_t total = 0;
    std::size_t pages = 0;
    file >> total >> pages;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void deployment::kill_and_restart(std::size_t index)
{
    instance& one = m_instances.at(index);
    ::kill(one.process, SIGKILL);
    ::waitpid(one.process, nullptr, 0);
    std::this_thread::sleep_for(restart_delay);
    start(index);
}

bool deployment::wait_ready(milliseconds limit)
{
    const auto until = clock::now() + limit;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        while (!is_ready(i)) {
            if (clock::now() >= until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    return true;
}

std::vector<stand_ins::observed_start> deployment::starts()
{
    return on_thread([this] { return m_workers.starts(); });
}

std::size_t deployment::running()
{
    return on_thread([this] { return m_workers.running(); });
}

}  // namespace poplarshed::review
