#include <algorithm>
#include <cstdlib>

#include "json/json.h"
#include "settings/catalogue.h"
#include "settings/values.h"

namespace poplarshed::settings {

namespace {

constexpr std::size_t max_file_bytes = 1U << 20U;

using value_map = std::map<std::string, setting_value>;

// Collects values from one file; the first fault stops it.
class loader {
public:
    loader(const json::value& root, std::string name) : m_root(root), m_name(std::move(name)) {}

    result<entry_settings> run()
    {
        check_names();
        for_each_setting([this](const auto& declaration) { read(declaration); });
        resolve_advertised();
        resolve_secret(inner_key, inner_key_environment);
        resolve_secret(operator_token, operator_token_environment);
        if (!m_fault && !std::get<peer_list>(m_values.at(inner_peers.path())).empty() &&
            text(inner_key).empty()) {
            fail(inner_key.path(),
                 "is required when inner.peers is not empty; set it or " + inner_key_environment.path());
        }
        if (m_fault) {
            return *m_fault;
        }
        return entry_settings(std::move(m_values));
    }

private:
    void fail(const std::string& path, const std::string& what)
    {
        if (!m_fault) {
            m_fault = error{m_name + ": " + path + " " + what};
        }
    }

    void check_names()
    {
        std::map<std::string, std::vector<std::string>> known;
        for_each_setting([&known](const auto& declaration) {
            known[std::string(declaration.section)].emplace_back(declaration.key);
        });
        std::vector<std::string> sections;
        sections.reserve(known.size());
        for (const auto& [section, keys] : known) {
            sections.push_back(section);
        }
        if (!m_root.is_object()) {
            fail("the file", "must hold a JSON object");
            return;
        }
        for (const auto& [section, content] : m_root.items()) {
            const auto found = known.find(section);
            if (found == known.end()) {
                fail(section, "is no section of the settings" + json::suggestion(section, sections));
            } else if (!content.is_object()) {
                fail(section, "is " + json::shown(content) + "; an object is expected");
            } else {
                check_keys(section, content, found->second);
            }
        }
    }

    void check_keys(const std::string& section, const json::value& content,
                    const std::vector<std::string>& keys)
    {
        for (const auto& [key, item] : content.items()) {
            if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
                fail(std::string(section).append(".").append(key),
                     "is no setting" + json::suggestion(key, keys));
            }
        }
    }

    template <class T>
    void read(const setting<T>& declaration)
    {
        const std::string path = declaration.path();
        m_values.emplace(path, default_of(declaration));
        const json::value* const item = find(declaration.section, declaration.key);
        if (item == nullptr) {
            if (declaration.presence == presence::required) {
                fail(path, "is required; allowed: " + allowed_text(declaration));
            }
            return;
        }
        auto value = read_value(*item, declaration);
        if (!value || !within_bounds(*value, declaration)) {
            const bool secret = declaration.visibility == visibility::secret;
            fail(path, (secret ? std::string("has a wrong value") : "is " + json::shown(*item)) +
                           "; allowed: " + allowed_text(declaration));
            return;
        }
        m_values.insert_or_assign(path, std::move(*value));
    }

    const json::value* find(std::string_view section, std::string_view key) const
    {
        if (!m_root.is_object()) {
            return nullptr;
        }
        const auto content = m_root.find(std::string(section));
        if (content == m_root.end() || !content->is_object()) {
            return nullptr;
        }
        const auto item = content->find(std::string(key));
        return item == content->end() ? nullptr : &*item;
    }

    const std::string& text(const setting<std::string>& declaration) const
    {
        return std::get<std::string>(m_values.at(declaration.path()));
    }

    // A listener on all addresses cannot be advertised as it is. Port 0 is known only once it listens.
    void resolve_advertised()
    {
        const std::string& listen = text(inner_listen);
        const std::string port = listen.substr(listen.rfind(':') + 1);
        if (!text(inner_advertise).empty() || port == "0") {
            return;
        }
        const std::string& address = text(instance_address);
        const bool is_v6 = address.find(':') != std::string::npos;
        m_values.insert_or_assign(inner_advertise.path(),
                                  (is_v6 ? "[" + address + "]" : address) + ":" + port);
    }

    void resolve_secret(const setting<std::string>& direct, const setting<std::string>& variable)
    {
        const std::string& name = text(variable);
        if (name.empty()) {
            return;
        }
        if (!text(direct).empty()) {
            fail(variable.path(), "is set together with " + direct.path() + "; only one of them is allowed");
            return;
        }
        // Read while the daemon starts, before its threads; nothing in the daemon changes the environment.
        const char* const value = std::getenv(name.c_str());  // NOLINT(concurrency-mt-unsafe)
        if (value == nullptr || *value == '\0') {
            fail(variable.path(), "names the environment variable " + name + ", which is not set");
        } else if (direct.rule != nullptr && !direct.rule->accepts(value)) {
            fail(variable.path(), "names the environment variable " + name +
                                      ", whose value is wrong; allowed: " + allowed_text(direct));
        } else {
            m_values.insert_or_assign(direct.path(), std::string(value));
        }
    }

    const json::value& m_root;
    std::string m_name;
    value_map m_values;
    std::optional<error> m_fault;
};

}  // namespace

result<entry_settings> parse_entry_settings(std::string_view text, const std::string& name)
{
    const json::limits bounds{.max_bytes = max_file_bytes, .comments = json::comments::ignored};
    const auto root = json::parse(text, name, bounds);
    if (!root) {
        return root.error();
    }
    return loader(root.value(), name).run();
}

result<entry_settings> load_entry_settings(const std::string& path)
{
    const auto text = json::read_file(path, max_file_bytes);
    if (!text) {
        return text.error();
    }
    return parse_entry_settings(text.value(), path);
}

std::string entry_settings::to_text() const
{
    std::string text;
    for_each_setting([this, &text](const auto& declaration) {
        const std::string value = settings::to_text(m_values.at(declaration.path()));
        const bool hidden = declaration.visibility == visibility::secret && !value.empty();
        text += declaration.path() + " = " + (hidden ? "(hidden)" : value) + "\n";
    });
    return text;
}

}  // namespace poplarshed::settings
