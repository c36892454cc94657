#include "integration/harness/process.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>
//
#include <boost/process.hpp>

namespace poplarshed::integration {

namespace {

constexpr milliseconds poll_interval{5};
// Part of an output that a message quotes.
constexpr std::size_t quoted_bytes = 1500;

std::string tail(const std::string& text)
{
    return text.size() <= quoted_bytes ? text : text.substr(text.size() - quoted_bytes);
}

}  // namespace

bool eventually(const std::function<bool()>& condition, milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

void require_eventually(const std::string& what, const std::function<bool()>& condition, milliseconds limit)
{
    if (!eventually(condition, limit)) {
        throw std::runtime_error("not within " + std::to_string(limit.count()) + " ms: " + what);
    }
}

scratch_folder::scratch_folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "poplarshed-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), pattern);
    }
    m_path = pattern;
}

scratch_folder::~scratch_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

struct child_process::child_holder {
    boost::process::child child;
};

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::filesystem::path& folder, const std::string& name)
    : m_output(folder / name)
{
    namespace bp = boost::process;
    const std::string executable = std::string(POPLARSHED_BIN_DIR) + "/" + program;
    bp::child child(bp::exe = executable, bp::args = arguments,
                    bp::std_in<bp::null, bp::std_out> m_output.string() + ".out",
                    bp::std_err > m_output.string() + ".err");
    m_child = std::make_unique<child_holder>(child_holder{std::move(child)});
}

child_process::~child_process()
{
    kill();
}

json child_process::ready()
{
    json parsed;
    const auto line_is_complete = [&] {
        std::istringstream text(read_output(".out"));
        for (std::string line; std::getline(text, line) && !text.eof();) {
            parsed = json::parse(line, nullptr, false);
            if (!parsed.is_object() || !parsed.contains("level")) {
                return true;
            }
        }
        return !running();
    };
    const bool answered = eventually(line_is_complete);
    if (!answered || !parsed.is_object() || parsed.contains("level")) {
        throw std::runtime_error("did not become ready: " + describe());
    }
    return parsed;
}

std::string child_process::read_output(const char* suffix) const
{
    std::ifstream file(m_output.string() + suffix);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void child_process::signal(int number)
{
    if (running()) {
        ::kill(m_child->child.id(), number);
    }
}

void child_process::kill()
{
    if (!running()) {
        return;
    }
    signal(SIGKILL);
    std::error_code ignored;
    m_child->child.wait(ignored);
}

bool child_process::running()
{
    std::error_code failed;
    return m_child->child.running(failed) && !failed;
}

int child_process::pid() const
{
    return m_child->child.id();
}

std::string child_process::describe()
{
    const std::string state =
        running() ? "runs" : "ended with code " + std::to_string(m_child->child.exit_code());
    return m_output.filename().string() + ' ' + state + ": " + tail(read_output(".err")) +
           tail(read_output(".out"));
}

std::optional<int> child_process::wait_for_exit(milliseconds limit)
{
    if (!eventually([this] { return !running(); }, limit)) {
        return std::nullopt;
    }
    return m_child->child.exit_code();
}

}  // namespace poplarshed::integration
