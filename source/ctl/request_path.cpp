#include "ctl/request_path.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <fstream>
#include <functional>
#include <iomanip>
#include <set>
#include <sstream>

#include "json/json.h"

namespace poplarshed::ctl {

namespace {

using std::chrono::milliseconds;

// Longest line that an instance writes, with room for a collector's prefix.
constexpr std::size_t max_line_bytes = 65'536;
// Time before a request in which its cause may lie: the longest wait for leases to lapse.
constexpr milliseconds context_time{2000};
// A job of 1,300 tasks, each started twice, fits.
constexpr std::size_t max_own_lines = 6000;
constexpr std::size_t max_around_lines = 200;

// Lines that decide how a request ends, and what their times mean.
struct decisive_message {
    std::string_view message;
    std::string_view meaning;
    std::string_view input;
    std::string_view limit;
};

constexpr std::array<decisive_message, 13> decisive_messages{{
    {"task_given_up", "workers crashed or fell silent under one of its tasks", "", ""},
    {"refused_too_late", "the job could no longer end in time", "waited", "left"},
    {"refused_no_worker", "no worker of the pool can take a task of this size", "", ""},
    {"waits_for_lapse", "the instance that ran the job was lost; its leases had to lapse first", "", ""},
    {"offered_again", "the pool got another holder, which took the job over", "expected", ""},
    {"run_overdue", "a task took much longer than its estimate", "ran", "expected"},
    {"start_failed", "a worker did not take a task", "", ""},
    {"fenced", "another instance had taken the pool", "", ""},
    {"returned_to_owner", "the pool gave the job back", "", ""},
    {"given_back", "the holder had lost the pool or dropped the job", "waited", ""},
    {"superseded", "the caller had sent the job again through another instance", "waited", ""},
    {"awaits_owner", "another instance had read the job; its runs had to end first", "", ""},
    {"offer not sent", "the caller had left before the job was offered", "", ""},
}};

// Ends that are told to the caller without a job.
struct refusing_message {
    std::string_view message;
    std::string_view meaning;
};

constexpr std::array<refusing_message, 3> refusing_messages{{
    {"no route", "no route of the configuration in force matches host and path"},
    {"request refused", "the request itself was refused"},
    {"refused", "the instance took no more jobs"},
}};

std::optional<milliseconds> parse_time(const std::string& text)
{
    std::tm parts{};
    std::istringstream in(text);
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    int fraction = 0;
    if (in.fail() || in.get() != '.' || !(in >> fraction)) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(std::chrono::seconds(timegm(&parts))) +
           milliseconds(fraction);
}

std::string text_of(const log_entry& line, const std::string& field)
{
    const auto found = line.fields.find(field);
    if (found == line.fields.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

const log_entry* find_last(const std::vector<log_entry>& lines, std::string_view message)
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(),
                                    [message](const log_entry& line) { return line.message == message; });
    return found == lines.rend() ? nullptr : &*found;
}

std::string where(const log_entry& line)
{
    return line.instance + " at " + line.time_text;
}

// The last decision that explains an end other than completion; empty if there is none.
std::string decided_by(const std::vector<log_entry>& own)
{
    for (auto line = own.rbegin(); line != own.rend(); ++line) {
        for (const decisive_message& known : decisive_messages) {
            if (line->message != known.message) {
                continue;
            }
            std::string text =
                "; decided by " + line->message + " of " + where(*line) + ": " + std::string(known.meaning);
            const std::string detail = text_of(*line, "detail");
            if (known.input.empty() && !detail.empty()) {
                text += " (" + detail + ")";
            }
            if (!known.input.empty()) {
                text += ", " + std::string(known.input) + " " + text_of(*line, "input_ms") + " ms";
            }
            if (!known.limit.empty()) {
                text += ", " + std::string(known.limit) + " " + text_of(*line, "limit_ms") + " ms";
            }
            return text;
        }
    }
    return {};
}

std::string conclude_answered(const log_entry& answered, const std::vector<log_entry>& own)
{
    const std::string detail = text_of(answered, "detail");
    std::string text =
        "answered " + detail + " after " + text_of(answered, "input_ms") + " ms by " + where(answered);
    if (detail == "completed") {
        return text;
    }
    const std::size_t mark = detail.find(": ");
    if (const auto reason =
            parse_refusal_reason(mark == std::string::npos ? detail : detail.substr(mark + 2))) {
        text += " (" + std::string(explanation(*reason)) + ")";
    }
    return text + decided_by(own);
}

// The owner is the instance that took the request.
std::string conclude_unanswered(const std::vector<log_entry>& own, const std::vector<log_entry>& around)
{
    const log_entry* const received = find_last(own, "received");
    const log_entry& owner = received != nullptr ? *received : own.front();
    std::string text =
        "no answer was logged; the last line is " + own.back().message + " of " + where(own.back());
    for (const log_entry& line : around) {
        if (line.instance == owner.instance && line.time >= owner.time &&
            (line.message == "started" || line.message == "stopped")) {
            return text + "; " + owner.instance + ", which had taken the request, " + line.message + " at " +
                   line.time_text +
                   (line.message == "started" ? " without having stopped: it was killed" : "");
        }
    }
    return text + "; " + owner.instance +
           " was killed, still had the request, or its lines are not in these files";
}

// Calls back for each line of each file.
std::optional<failure> read_files(const std::vector<std::string>& files,
                                  const std::function<void(const std::string&)>& call)
{
    for (const std::string& path : files) {
        std::ifstream file(path);
        if (!file) {
            return failure{exit_code::usage, path + ": cannot be read", {}};
        }
        std::string line;
        while (std::getline(file, line)) {
            call(line);
        }
    }
    return std::nullopt;
}

// Lines about the process that may explain a request: those of the instances that dealt with it, shortly
// before and meanwhile, without those about other pools.
class around_filter {
public:
    /// @param own lines about the request in order of time, at least one
    explicit around_filter(const std::vector<log_entry>& own)
        : m_from(own.front().time - context_time), m_until(own.back().time + context_time)
    {
        for (const log_entry& line : own) {
            m_instances.insert(line.instance);
            m_pools.insert(text_of(line, "pool"));
            // Routing lines name the pool in the detail.
            m_pools.insert(text_of(line, "detail"));
        }
    }

    bool wants(const log_entry& line) const
    {
        const std::string pool = text_of(line, "pool");
        return line.submission.empty() && line.time >= m_from && line.time <= m_until &&
               m_instances.contains(line.instance) && (pool.empty() || m_pools.contains(pool));
    }

private:
    milliseconds m_from;
    milliseconds m_until;
    std::set<std::string> m_instances;
    std::set<std::string> m_pools;
};

// Adds the lines of the files that are wanted, up to a number, in order of time.
std::optional<failure> collect(const std::vector<std::string>& files, std::size_t most, request_path& path,
                               std::vector<log_entry>& lines,
                               const std::function<bool(const log_entry&)>& wanted)
{
    auto failed = read_files(files, [&](const std::string& text) {
        auto line = read_log_line(text);
        if (!line || !wanted(*line)) {
            return;
        }
        if (lines.size() < most) {
            lines.push_back(std::move(*line));
        } else {
            path.cut_off = true;
        }
    });
    std::stable_sort(lines.begin(), lines.end(),
                     [](const log_entry& left, const log_entry& right) { return left.time < right.time; });
    return failed;
}

}  // namespace

std::optional<log_entry> read_log_line(const std::string& line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos || line.size() > max_line_bytes) {
        return std::nullopt;
    }
    const auto content = nlohmann::ordered_json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin),
                                                       line.end(), nullptr, false);
    if (!content.is_object()) {
        return std::nullopt;
    }
    const auto text = [&content](const char* key) {
        const auto found = content.find(key);
        return found != content.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    log_entry entry{{},
                    text("time"),
                    text("instance"),
                    text("submission"),
                    text("message"),
                    content.value("fields", nlohmann::ordered_json::object())};
    const auto time = parse_time(entry.time_text);
    if (!time || entry.message.empty() || !entry.fields.is_object()) {
        return std::nullopt;
    }
    entry.time = *time;
    return entry;
}

std::string conclude(const std::vector<log_entry>& own, const std::vector<log_entry>& around)
{
    if (own.empty()) {
        return "no line names this request: it reached none of these instances, or its lines were dropped "
               "(poplarshed_log_lines_dropped_total)";
    }
    if (const log_entry* const answered = find_last(own, "answered")) {
        return conclude_answered(*answered, own);
    }
    if (const log_entry* const left = find_last(own, "caller_left")) {
        return "the caller closed its connection to " + where(*left) + ", after " +
               text_of(*left, "input_ms") + " ms" + decided_by(own);
    }
    for (const refusing_message& known : refusing_messages) {
        if (const log_entry* const line = find_last(own, known.message)) {
            return line->message + " by " + where(*line) + ": " + std::string(known.meaning) + " " +
                   line->fields.dump();
        }
    }
    return conclude_unanswered(own, around);
}

ctl_result<request_path> find_request(const std::string& id, const std::vector<std::string>& files)
{
    // The line that takes the request joins the caller's id to that of the job.
    std::set<std::string> ids{id};
    request_path path;
    auto failed = read_files(files, [&](const std::string& text) {
        const auto line = read_log_line(text);
        if (!line) {
            ++path.unreadable;
        } else if (line->message == "received" && text_of(*line, "request") == id) {
            ids.insert(line->submission);
        }
    });
    if (failed) {
        return *failed;
    }
    failed = collect(files, max_own_lines, path, path.own, [&ids](const log_entry& line) {
        return !line.submission.empty() && ids.contains(line.submission);
    });
    if (!failed && !path.own.empty()) {
        const around_filter filter(path.own);
        failed = collect(files, max_around_lines, path, path.around,
                         [&filter](const log_entry& line) { return filter.wants(line); });
    }
    if (failed) {
        return *failed;
    }
    path.conclusion = conclude(path.own, path.around);
    return path;
}

}  // namespace poplarshed::ctl
