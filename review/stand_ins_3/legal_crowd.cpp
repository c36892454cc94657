// Case 11: a crowd of clients, each of which hands in one job of legal size on a connection of its own, runs
// instances out of their memory. Arguments: the record file, and 0 to leave the crowd out.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "deployment.h"

using namespace poplarshed::review;

namespace {

// About a fifth of the connections that an instance takes (callers.limits.connections: 2,050 with 4,100
// descriptors); one job on each.
constexpr std::size_t crowd = 450;
constexpr std::size_t most_steps = 1300;  // README.md: up to 1,300 tasks
constexpr std::size_t after_steps = 28;
constexpr int step_ms = 1000;
constexpr std::size_t most_body_bytes = 262'144;  // limits.max_body_bytes of the configuration
constexpr milliseconds caller_waits{1'400'000};
// RULES.md, Fault: a tenth of the machines, two at least, three times in the day.
constexpr std::size_t machines_needed = 2;
constexpr int ends_needed = 3;
constexpr milliseconds wave_limit{25'000};
constexpr milliseconds total_limit{95'000};
constexpr milliseconds calm_time{20'000};

// A chain of steps of a second each, as long as the caller waits; each names the 28 steps before it.
std::string big_body()
{
    json rows = json::array();
    for (std::size_t i = 0; i < most_steps; ++i) {
        json row = {{"count", 1}, {"cpu", 10}, {"mem_mb", 1}, {"estimate_ms", step_ms}};
        for (std::size_t k = i - std::min(i, after_steps); k < i; ++k) {
            row["after"].push_back(k);
        }
        rows.push_back(row);
    }
    return json{{"spec", std::to_string(step_ms)}, {"best_effort", true}, {"steps", rows}}.dump();
}

std::string small_body()
{
    return json{{"spec", "60"},
                {"best_effort", true},
                {"steps", {{{"count", 2}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", 60}}}}}
        .dump();
}

std::string id_of(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

/// The clients of one wave. They send as the instance reads, and wait for their answers.
class wave {
public:
    wave(int port, const std::string& body, std::uint64_t first_id)
    {
        for (std::size_t i = 0; i < crowd; ++i) {
            m_clients.push_back({connect_to(port),
                                 "POST /p/" + id_of(first_id + i) +
                                     " HTTP/1.1\r\nHost: desk.example\r\nPoplarshed-Timeout-Ms: " +
                                     std::to_string(caller_waits.count()) +
                                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body,
                                 0});
        }
    }
    ~wave()
    {
        for (const client& one : m_clients) {
            ::close(one.socket);
        }
    }
    wave(const wave&) = delete;
    wave& operator=(const wave&) = delete;

    /// Sends what the instance takes now.
    void go_on()
    {
        for (client& one : m_clients) {
            if (one.sent < one.text.size()) {
                const ssize_t count = ::send(one.socket, one.text.data() + one.sent, one.text.size() - one.sent,
                                             MSG_NOSIGNAL | MSG_DONTWAIT);
                one.sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            }
        }
    }
    std::size_t sent() const
    {
        return static_cast<std::size_t>(std::count_if(m_clients.begin(), m_clients.end(), [](const client& one) {
            return one.sent == one.text.size();
        }));
    }
    /// Answers by status, 0 for a closed connection.
    std::map<int, int> answers() const
    {
        std::map<int, int> found;
        for (const client& one : m_clients) {
            char text[64] = {};
            const ssize_t count = ::recv(one.socket, text, sizeof text - 1, MSG_DONTWAIT | MSG_PEEK);
            if (count >= 0 || errno != EAGAIN) {
                ++found[count > 12 ? std::atoi(text + 9) : 0];
            }
        }
        return found;
    }

private:
    struct client {
        int socket;
        std::string text;
        std::size_t sent;
    };

    static int connect_to(int port)
    {
        const std::string address = loopback(port);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        ::inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(), &to.sin_addr);
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        ::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to);
        return socket;
    }

    std::vector<client> m_clients;
};

int run(record& out, bool trouble)
{
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 8192);
    ::setrlimit(RLIMIT_NOFILE, &files);

    constexpr std::size_t instances = 3;
    deployment world(out, instances, 12);
    if (!world.wait_ready(milliseconds(15'000))) {
        out.line("an instance does not become ready");
        return 2;
    }
    const std::string body = big_body();
    if (body.size() > most_body_bytes) {
        return 2;
    }
    out.line("a job of the crowd has " + std::to_string(body.size()) + " bytes, at most " +
             std::to_string(most_body_bytes) + " are allowed");
    std::array<int, instances> ends{};
    std::size_t highest = 0;
    const auto watch = [&](std::size_t index) {
        const std::size_t now = world.resident(index);
        highest = std::max(highest, now);
        if (now <= memory_mb << 20U) {
            return false;
        }
        ++ends[index];
        out.line("front-" + std::to_string(index) + " has " + std::to_string(now >> 20U) + " MiB, over its " +
                 std::to_string(memory_mb) + "; the platform kills it (" + std::to_string(ends[index]) + ")");
        world.kill_and_restart(index);
        return true;
    };
    const auto ordinary = [&](std::size_t index, std::uint64_t number) {
        request one(world.callers_port(index), "POST", "/p/" + id_of(number), small_body(), milliseconds(4000));
        const answer got = one.finish();
        out.line("ordinary job to front-" + std::to_string(index) + ": " +
                 (got.status == 0 ? "no answer" : std::to_string(got.status) + " " + got.body));
    };
    const auto begin = clock::now();
    std::uint64_t next_id = 0x1000;
    ordinary(2, 1);
    if (!trouble) {
        while (clock::now() < begin + calm_time) {
            ordinary(next_id % instances, next_id);
            ++next_id;
            for (std::size_t i = 0; i < instances; ++i) {
                watch(i);
            }
            std::this_thread::sleep_for(milliseconds(200));
        }
    }
    for (std::size_t target = 0; trouble && target < machines_needed; ++target) {
        while (ends[target] < ends_needed && clock::now() < begin + total_limit) {
            if (!world.wait_ready(milliseconds(10'000))) {
                out.line("an instance does not become ready again");
                break;
            }
            out.line(std::to_string(crowd) + " clients hand in one job each at front-" + std::to_string(target));
            wave clients(world.callers_port(target), body, next_id);
            next_id += crowd;
            const auto wave_end = clock::now() + wave_limit;
            bool ended = false;
            while (!ended && clock::now() < wave_end) {
                clients.go_on();
                for (std::size_t i = 0; i < instances; ++i) {
                    ended = watch(i) || ended;
                }
                std::this_thread::sleep_for(milliseconds(5));
            }
            std::string answered;
            for (const auto& [status, count] : clients.answers()) {
                answered += " " + std::to_string(status) + ":" + std::to_string(count);
            }
            out.line(std::to_string(clients.sent()) + " jobs sent in full; answers by status:" +
                     (answered.empty() ? " none" : answered));
        }
    }
    ordinary(2, 2);
    std::size_t machines = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        machines += ends[i] >= ends_needed ? 1 : 0;
    }
    out.line("most memory: " + std::to_string(highest >> 20U) + " MiB; machines with " +
             std::to_string(ends_needed) + " ends: " + std::to_string(machines));
    return machines >= machines_needed ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments)
{
    if (count < 3) {
        return 2;
    }
    record out(arguments[1]);
    const int code = run(out, std::string(arguments[2]) != "0");
    out.line(code == 1 ? "Fault: processes end by themselves" : code == 0 ? "no Fault" : "the case could not run");
    return code;
}
