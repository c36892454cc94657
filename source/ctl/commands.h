#pragma once

#include <memory>
#include <string>
#include <vector>

#include "ctl/ctl.h"
#include "ctl/report.h"

namespace poplarshed::ctl {

/// Options of the command line that several commands use.
struct command_options {
    std::string platform;  ///< "ip:port" of the platform's service
    std::string operator_name;
    std::string token;  ///< for the entry instances
    std::vector<std::string> instances;
    bool json = false;
    // Arguments of single commands.
    std::string file;
    std::string other;
    std::string note;
    std::string digest;
    std::string reason;  ///< or the id of a request
    std::vector<std::string> logs;
    std::uint64_t version = 0;
    std::size_t limit = 20;
    bool markdown = false;
};

/// The commands of poplarshedctl. Each prints its result and returns the exit code.
class commands {
public:
    explicit commands(const command_options& options) : m_options(options) {}

    exit_code status();
    exit_code drain();
    exit_code evacuation();
    exit_code explain();
    exit_code settings();
    exit_code validate();
    exit_code propose();
    exit_code sign_off();
    exit_code roll_out();
    exit_code history();
    exit_code diff();
    exit_code show();

private:
    using outcome = ctl_result<report>;
    /// Work on the configuration; the workflow lives for one call.
    using configuration_task = outcome (commands::*)(workflow& work);

    exit_code print(const outcome& result) const;
    exit_code with_workflow(configuration_task task, bool needs_operator);
    /// Calls each instance; the worst exit code counts.
    exit_code for_each_instance(outcome (commands::*task)(const endpoint& instance));

    outcome run_propose(workflow& work);
    outcome run_sign_off(workflow& work);
    outcome run_roll_out(workflow& work);
    outcome run_history(workflow& work);
    outcome run_diff(workflow& work);
    outcome run_show(workflow& work);
    outcome instance_status(const endpoint& instance);
    outcome instance_drain(const endpoint& instance);
    outcome instance_evacuations(const endpoint& instance);

    ctl_result<configuration::bundle> read_bundle_file(const std::string& path) const;
    /// A version number, "current" or the name of a file.
    ctl_result<configuration::bundle> resolve(workflow& work, const std::string& name) const;

    const command_options& m_options;
};

}  // namespace poplarshed::ctl
