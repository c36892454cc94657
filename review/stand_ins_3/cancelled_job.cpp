// Case 12: a caller's job is cancelled while another instance than the one that gets the DELETE serves it.
// Arguments: the record file, and 0 to leave the disruption out.

#include "deployment.h"

using namespace poplarshed::review;

namespace {

constexpr const char* job = "5c0e7a21d94b36f8";
constexpr int steps = 40;
constexpr int step_ms = 300;
constexpr milliseconds caller_waits{25'000};
// The front selects an instance by a hash of the client: this client's is the first one. Retries reach others.
constexpr std::size_t hashed = 0;
constexpr std::size_t other = 1;

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
    deployment world(out, 3, 6);
    if (!world.wait_ready(milliseconds(15'000))) {
        out.line("an instance does not become ready");
        return 2;
    }
    // Traffic starts 10 s after the machines do on the site; what is needed here is that all is calm.
    std::this_thread::sleep_for(contact_time);
    const std::string path = std::string("/p/") + job;
    auto post = std::make_unique<request>(world.callers_port(hashed), "POST", path, body(), caller_waits);
    out.line("client: POST " + path + " to front-0 (" + std::to_string(steps) + " steps of " +
             std::to_string(step_ms) + " ms, one after the other)");
    std::this_thread::sleep_for(milliseconds(500));
    if (trouble) {
        post->reset();
        out.line("disruption: the connection of the POST is reset; client: " + shown(post->finish()));
        std::this_thread::sleep_for(resend_delay);
        post = std::make_unique<request>(world.callers_port(other), "POST", path, body(), caller_waits);
        out.line("client: POST " + path + " again, to front-1");
    }
    std::this_thread::sleep_for(milliseconds(1000));
    if (world.running() == 0) {
        out.line("the job does not run");
        return 2;
    }
    request cancel(world.callers_port(hashed), "DELETE", path, "", milliseconds(4000));
    out.line("client: DELETE " + path + " to front-0, while " + std::to_string(world.running()) +
             " task of the job runs");
    const answer cancelled = cancel.finish();
    out.line("client: DELETE answered: " + shown(cancelled));
    if (cancelled.status != 410 && cancelled.status / 100 != 2) {
        out.line("the cancelling was not acknowledged");
        return 2;
    }
    const answer result = post->finish();
    out.line("client: POST answered: " + shown(result));
    std::this_thread::sleep_until(cancelled.at + cancel_bound + milliseconds(1000));
    std::size_t late = 0;
    for (const auto& start : world.starts()) {
        const auto after = std::chrono::duration_cast<milliseconds>(start.at - cancelled.at);
        if (after > cancel_bound) {
            ++late;
            out.line("runner " + std::to_string(start.worker) + " started " + start.task + " " +
                     std::to_string(after.count()) + " ms after the cancelling was acknowledged");
        }
    }
    out.line(std::to_string(world.starts().size()) + " starts, " + std::to_string(late) + " later than " +
             std::to_string(cancel_bound.count()) + " ms after the acknowledgement");
    return late > 0 ? 1 : 0;
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
