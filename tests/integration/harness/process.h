#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace poplarshed::integration {

using nlohmann::json;
using std::chrono::milliseconds;

/// Longest wait for a condition that does not itself stand for a promised time.
inline constexpr milliseconds wait_limit{10'000};

/// Waits until `condition` holds. @returns false at the limit
bool eventually(const std::function<bool()>& condition, milliseconds limit = wait_limit);
/// The same, but throws std::runtime_error that names `what` at the limit.
void require_eventually(const std::string& what, const std::function<bool()>& condition,
                        milliseconds limit = wait_limit);

/// Folder for the files of one scenario, removed at its end.
class scratch_folder {
public:
    scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    ~scratch_folder();

    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

/// A program of this repository run as a child process. Killed by its process id at the end.
class child_process {
public:
    /// Starts `program` of the build's bin folder. Its output goes to files in `folder` named after `name`.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::filesystem::path& folder, const std::string& name);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process();

    /// First line of standard output that is no log line. Throws std::runtime_error with the error output if
    /// it does not come.
    json ready();
    void signal(int number);
    /// Kills the process and waits for its end.
    void kill();
    /// @returns the exit code, or nothing if the process still runs at the limit
    std::optional<int> wait_for_exit(milliseconds limit = wait_limit);
    bool running();
    /// Process id; also after the end of the process.
    int pid() const;
    /// Whether it runs, its exit code, and the end of its output; for messages about failures.
    std::string describe();

private:
    struct child_holder;

    std::string read_output(const char* suffix) const;

    std::filesystem::path m_output;
    std::unique_ptr<child_holder> m_child;
};

}  // namespace poplarshed::integration
