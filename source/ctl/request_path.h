#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl/ctl.h"

/// From a request's id to its cause, by the logs of all instances.
namespace poplarshed::ctl {

/// One line of an instance's log.
struct log_entry {
    std::chrono::milliseconds time{};  ///< since the start of 1970, by the clock of the instance
    std::string time_text;             ///< UTC, as it stands in the log
    std::string instance;
    std::string submission;  ///< id of the request; empty for lines about the process
    std::string message;
    nlohmann::ordered_json fields;
};

/// What the logs tell of one request.
struct request_path {
    std::vector<log_entry> own;  ///< lines about the request, in order of time
    std::vector<log_entry>
        around;  ///< changes of what the same instances believed, shortly before and meanwhile
    std::size_t unreadable = 0;  ///< lines that are no log lines
    bool cut_off = false;        ///< there were more lines than are kept
    std::string conclusion;      ///< how the request ended and what decided it
};

/// Reads a line. Text before the first brace is skipped, since collectors of logs add names there.
std::optional<log_entry> read_log_line(const std::string& line);

/// How a request ended, from its lines in order of time and those around them.
std::string conclude(const std::vector<log_entry>& own, const std::vector<log_entry>& around);

/// Finds a request by its id, or by the Request-Id of its caller.
/// @param files logs of the instances; each is read three times
/// @returns `usage` for a file that cannot be read
ctl_result<request_path> find_request(const std::string& id, const std::vector<std::string>& files);

}  // namespace poplarshed::ctl
