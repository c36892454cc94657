#include <algorithm>
#include <cmath>

#include "json/json.h"

namespace poplarshed::json {

namespace {

std::string range_text(const value& minimum, const value& maximum)
{
    return minimum.dump() + " to " + maximum.dump();
}

}  // namespace

object_reader::object_reader(const value& object, std::string path, std::vector<std::string>& faults)
    : m_object(object), m_path(std::move(path)), m_faults(faults)
{
    if (!m_object.is_object()) {
        m_faults.push_back((m_path.empty() ? "the document" : m_path) + " is " + shown(m_object) +
                           "; an object is expected");
    }
}

std::string object_reader::path_of(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void object_reader::fault(const std::string& key, const std::string& what)
{
    m_faults.push_back(path_of(key) + " " + what);
}

void object_reader::wrong(const std::string& key, const value& item, const std::string& allowed)
{
    fault(key, "is " + shown(item) + "; allowed: " + allowed);
}

const value* object_reader::find(const std::string& key)
{
    m_known.push_back(key);
    if (!m_object.is_object()) {
        return nullptr;
    }
    const auto found = m_object.find(key);
    return found == m_object.end() ? nullptr : &*found;
}

void object_reader::read(const std::string& key, bool& target)
{
    const value* const item = find(key);
    if (item == nullptr) {
        return;
    }
    if (!item->is_boolean()) {
        wrong(key, *item, "true or false");
        return;
    }
    target = item->get<bool>();
}

void object_reader::read(const std::string& key, std::string& target)
{
    const value* const item = find(key);
    if (item == nullptr) {
        return;
    }
    if (!item->is_string()) {
        wrong(key, *item, "text");
        return;
    }
    target = item->get<std::string>();
}

void object_reader::read(const std::string& key, std::uint64_t& target, std::uint64_t minimum,
                         std::uint64_t maximum)
{
    const value* const item = find(key);
    if (item == nullptr) {
        return;
    }
    if (!item->is_number_unsigned() || item->get<std::uint64_t>() < minimum ||
        item->get<std::uint64_t>() > maximum) {
        wrong(key, *item, range_text(minimum, maximum));
        return;
    }
    target = item->get<std::uint64_t>();
}

void object_reader::read(const std::string& key, double& target, double minimum, double maximum)
{
    const value* const item = find(key);
    if (item == nullptr) {
        return;
    }
    if (!item->is_number() || !(item->get<double>() >= minimum && item->get<double>() <= maximum)) {
        wrong(key, *item, range_text(minimum, maximum));
        return;
    }
    target = item->get<double>();
}

void object_reader::read_word(const std::string& key, std::size_t& target,
                              std::span<const std::string_view> words)
{
    const value* const item = find(key);
    if (item == nullptr) {
        return;
    }
    const auto found = item->is_string()
                           ? std::find(words.begin(), words.end(), item->get_ref<const std::string&>())
                           : words.end();
    if (found == words.end()) {
        std::string allowed = "one of";
        for (const std::string_view word : words) {
            allowed.append(" ").append(word);
        }
        wrong(key, *item, allowed);
        return;
    }
    target = static_cast<std::size_t>(found - words.begin());
}

const value* object_reader::object(const std::string& key)
{
    const value* const item = find(key);
    if (item != nullptr && !item->is_object()) {
        wrong(key, *item, "an object");
        return nullptr;
    }
    return item;
}

const value* object_reader::array(const std::string& key)
{
    const value* const item = find(key);
    if (item != nullptr && !item->is_array()) {
        wrong(key, *item, "a list");
        return nullptr;
    }
    return item;
}

void object_reader::require(const std::string& key)
{
    if (m_object.is_object() && !m_object.contains(key)) {
        fault(key, "is required");
    }
}

void object_reader::finish()
{
    if (!m_object.is_object()) {
        return;
    }
    for (const auto& [key, item] : m_object.items()) {
        if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
            fault(key, "is no known key" + suggestion(key, m_known));
        }
    }
}

std::string joined(std::span<const std::string> faults)
{
    constexpr std::size_t max_faults = 20;
    std::string text;
    for (const std::string& fault : faults.first(std::min(faults.size(), max_faults))) {
        text.append(text.empty() ? "" : "\n").append(fault);
    }
    if (faults.size() > max_faults) {
        text += "\nand " + std::to_string(faults.size() - max_faults) + " more";
    }
    return text;
}

}  // namespace poplarshed::json
