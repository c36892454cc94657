#include <CLI/CLI.hpp>
#include <iostream>

#include "ctl/commands.h"

namespace {

using namespace poplarshed::ctl;

using command = exit_code (commands::*)();

// Adds a subcommand that stores the command to run.
CLI::App* add(CLI::App& parent, const std::string& name, const std::string& help, command task,
              command& chosen)
{
    CLI::App* const added = parent.add_subcommand(name, help);
    added->callback([task, &chosen] { chosen = task; });
    added->fallthrough();
    return added;
}

void add_instance_commands(CLI::App& app, command_options& options, command& chosen)
{
    add(app, "status", "Show the status of entry instances", &commands::status, chosen);
    add(app, "drain", "Make entry instances finish their jobs and leave", &commands::drain, chosen);
    add(app, "evacuation", "Show which data centres are evacuated; --instance names metrics addresses",
        &commands::evacuation, chosen);
    CLI::App* const explain = add(app, "explain", "Explain a reason of a refusal, or how a request ended",
                                  &commands::explain, chosen);
    explain
        ->add_option("reason", options.reason,
                     "Reason as it stands in answers, logs and metrics; with --log the id of a request")
        ->required();
    explain->add_option("--log", options.logs, "Log file of an instance; may be repeated")
        ->check(CLI::ExistingFile);
    add(app, "settings", "Print the reference of poplarshed-entry's settings", &commands::settings, chosen)
        ->add_flag("--markdown", options.markdown, "As Markdown: the content of docs/settings.md");
}

void add_version(CLI::App* parent, command_options& options)
{
    parent->add_option("version", options.version, "Version number of the proposal")->required();
}

void add_configuration_commands(CLI::App& app, command_options& options, command& chosen)
{
    CLI::App* const config = app.add_subcommand("config", "Review and change the configuration");
    config->require_subcommand(1);
    config->fallthrough();
    add(*config, "validate", "Check a bundle file", &commands::validate, chosen)
        ->add_option("file", options.file, "Bundle (JSON with comments)")
        ->required();
    CLI::App* const propose =
        add(*config, "propose", "Store a bundle under the next version number", &commands::propose, chosen);
    propose->add_option("file", options.file, "Bundle (JSON with comments); its version is replaced")
        ->required();
    propose->add_option("--note", options.note, "Why the change is made");
    CLI::App* const sign_off =
        add(*config, "sign-off", "Approve a proposal of another operator", &commands::sign_off, chosen);
    add_version(sign_off, options);
    sign_off->add_option("--digest", options.digest, "Digest that was reviewed, from 'config show'")
        ->required();
    add_version(add(*config, "roll-out", "Put a signed-off proposal in force", &commands::roll_out, chosen),
                options);
    add(*config, "history", "List pending, current and past versions", &commands::history, chosen)
        ->add_option("--limit", options.limit, "Most past versions to list")
        ->capture_default_str();
    CLI::App* const diff = add(*config, "diff", "Compare two bundles", &commands::diff, chosen);
    diff->add_option("before", options.file, "Version number, 'current' or a file")->required();
    diff->add_option("after", options.other, "Version number, 'current' or a file")->required();
    add(*config, "show", "Print a stored bundle with its digest and changes", &commands::show, chosen)
        ->add_option("version", options.version, "Version number; the one in force if absent");
}

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app("Operates poplarshed: configuration, status and drain of entry instances.");
    command_options options;
    command chosen = nullptr;
    std::string output = "text";
    app.set_version_flag("--version", std::string("poplarshedctl ") + POPLARSHED_VERSION);
    app.add_option("--platform", options.platform, "ip:port of the platform's service")
        ->envname("POPLARSHED_PLATFORM");
    app.add_option("--operator", options.operator_name, "Name of the operator")
        ->envname("POPLARSHED_OPERATOR");
    app.add_option("--instance", options.instances, "ip:port of an entry instance; may be repeated");
    app.add_option("--output", output, "text or json")
        ->capture_default_str()
        ->check(CLI::IsMember({"text", "json"}));
    app.require_subcommand(1);
    add_instance_commands(app, options, chosen);
    add_configuration_commands(app, options, chosen);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& fault) {
        return app.exit(fault) == 0 ? 0 : static_cast<int>(exit_code::usage);
    }
    options.json = output == "json";
    // Not an option: the command line of a process can be read by every user of its machine.
    if (const char* const token =
            std::getenv("POPLARSHED_OPERATOR_TOKEN")) {  // NOLINT(concurrency-mt-unsafe)
        options.token = token;
    }
    return static_cast<int>((commands(options).*chosen)());
}
