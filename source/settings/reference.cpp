#include "settings/catalogue.h"
#include "settings/values.h"

namespace poplarshed::settings {

namespace {

template <class T>
std::string default_text(const setting<T>& declaration)
{
    if (declaration.presence == presence::required) {
        return "required";
    }
    const std::string text = to_text(setting_value(default_of(declaration)));
    return text.empty() ? "empty" : text;
}

}  // namespace

std::string reference_text()
{
    std::string text;
    for_each_setting([&text](const auto& declaration) {
        text += declaration.path() + "\n";
        text += "    " + std::string(declaration.description) + "\n";
        text +=
            "    default: " + default_text(declaration) + "; allowed: " + allowed_text(declaration) + "\n";
    });
    return text;
}

std::string reference_markdown()
{
    std::string text =
        "# Settings of poplarshed-entry\n\n"
        "Printed by `poplarshedctl settings --markdown` from the declarations in "
        "`source/settings/settings.h`.\n"
        "The limits for callers of `poplarshed-instance` are in "
        "[settings-instance.md](settings-instance.md).\n"
        "The file is JSON and may hold comments. Unknown keys, wrong types and values out of bounds are "
        "errors. A\n"
        "duration is text with a unit (`\"500ms\"`, `\"3s\"`, `\"10min\"`, `\"1h\"`); a size is a number of "
        "bytes "
        "or text such as\n`\"16MiB\"`. A change takes effect at the next start.\n\n"
        "| setting | default | allowed | unit | meaning |\n|---|---|---|---|---|\n";
    for_each_setting([&text](const auto& declaration) {
        text += "| `" + declaration.path() + "` | " + default_text(declaration) + " | " +
                allowed_text(declaration) + " | " + std::string(declaration.unit) + " | " +
                std::string(declaration.description) + " |\n";
    });
    return text;
}

}  // namespace poplarshed::settings
