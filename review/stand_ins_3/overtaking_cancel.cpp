// Case 12: a caller cancels its job while the instance that has got the POST stands still; the cancelling is
// read first. Arguments: the record file, and 0 to leave the disruption out.

#include <csignal>

#include "deployment.h"

using namespace poplarshed::review;

namespace {

constexpr const char* job = "7b1d3c90a4e2f865";
constexpr int steps = 30;
constexpr int step_ms = 500;
constexpr milliseconds caller_waits{30'000};
// The front selects an instance by a hash of the client: this client's is the first one.
constexpr std::size_t hashed = 0;
// On the site a freeze lasts up to 3.5 s (troubles, node_freeze).
constexpr milliseconds freeze_before_post{200};
constexpr milliseconds post_before_cancel{800};
constexpr milliseconds cancel_before_thaw{500};

std::string body()
{
    json rows = json::array();
    for (int i = 0; i < steps; ++i) {
        json row = {{"count", 1}, {"cpu", 14000}, {"mem_mb", 64}, {"estimate_ms", step_ms}};
        if (i > 0) {
            row["after"] = {i - 1};
        }
        rows.push_back(row);
    }
    return json{{"spec", std::to_string(step_ms)}, {"best_effort", true}, {"steps", rows}}.dump();
}

std::string shown(const answer& one)
{
    return one.status == 0 ? "no answer" : std::to_string(one.status) + " " + one.body;
}

int run(record& out, bool trouble)
{
    // As many as the site has, so that the freeze of one is the share that its entry gives there.
    deployment world(out, 6, 6);
    if (!world.wait_ready(milliseconds(15'000))) {
        out.line("an instance does not become ready");
        return 2;
    }
    std::this_thread::sleep_for(contact_time);
    const std::string path = std::string("/p/") + job;
    const std::string text = body();
    // The instance is at work when it is stopped, as on any day with traffic.
    open_connection open(world.callers_port(hashed));
    const std::string usual = json{{"spec", "60"},
                                   {"best_effort", true},
                                   {"steps", {{{"count", 2}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", 60}}}}}
                                  .dump();
    out.line("client: a usual job at front-0, on a connection that stays open: " +
             shown(open.call("POST", "/p/7b1d3c90a4e2f864", usual, milliseconds(4000))));
    if (trouble) {
        ::kill(world.pid(hashed), SIGSTOP);
        out.line("disruption: front-0 stands still (SIGSTOP)");
    }
    std::this_thread::sleep_for(freeze_before_post);
    request post(world.callers_port(hashed), "POST", path, text, caller_waits);
    out.line("client: POST " + path + " to front-0, on a new connection (" + std::to_string(steps) + " steps of " +
             std::to_string(step_ms) + " ms, one after the other; " + std::to_string(text.size()) + " bytes)");
    std::this_thread::sleep_for(post_before_cancel);
    auto cancel = std::async(std::launch::async,
                             [&] { return open.call("DELETE", path, "", milliseconds(4000)); });
    out.line("client: DELETE " + path + " to front-0, on the open connection");
    std::this_thread::sleep_for(cancel_before_thaw);
    if (trouble) {
        ::kill(world.pid(hashed), SIGCONT);
        out.line("front-0 goes on (SIGCONT)");
    }
    const answer cancelled = cancel.get();
    out.line("client: DELETE answered: " + shown(cancelled));
    if (cancelled.status != 410 && cancelled.status / 100 != 2) {
        out.line("the cancelling was not acknowledged");
        return 2;
    }
    const answer result = post.finish();
    out.line("client: POST answered: " + shown(result));
    std::this_thread::sleep_until(cancelled.at + cancel_bound + milliseconds(1000));
    std::size_t late = 0;
    std::size_t in_touch = 0;
    for (const auto& start : world.starts()) {
        if (!start.task.starts_with(job)) {
            continue;
        }
        const auto after = std::chrono::duration_cast<milliseconds>(start.at - cancelled.at);
        late += after > cancel_bound ? 1 : 0;
        // The freeze ended before the answer, so that front-0 is in touch contact_time after it at the latest.
        in_touch += after > cancel_bound && after > contact_time ? 1 : 0;
        if (after > cancel_bound && (late <= 3 || late % 5 == 0)) {
            out.line("runner " + std::to_string(start.worker) + " started " + start.task + " " +
                     std::to_string(after.count()) + " ms after the cancelling was acknowledged");
        }
    }
    out.line(std::to_string(world.starts().size()) + " starts, " + std::to_string(late) + " later than " +
             std::to_string(cancel_bound.count()) + " ms after the acknowledgement");
    return in_touch > 0 ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments)
{
    if (count < 3) {
        return 2;
    }
    record out(arguments[1]);
    const int code = run(out, std::string(arguments[2]) != "0");
    out.line(code == 1 ? "UNASKED is broken" : code == 0 ? "UNASKED holds" : "the case could not run");
    return code;
}
