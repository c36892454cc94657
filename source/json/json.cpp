#include "json/json.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <numeric>
#include <optional>
#include <set>
#include <stdexcept>
#include <vector>

namespace poplarshed::json {

namespace {

// Thrown from the parser's callback; never leaves parse().
struct structure_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class structure_check {
public:
    explicit structure_check(std::size_t max_depth) : m_max_depth(max_depth) {}

    void on_event(value::parse_event_t event, const value& parsed)
    {
        switch (event) {
            case value::parse_event_t::object_start:
            case value::parse_event_t::array_start:
                enter();
                break;
            case value::parse_event_t::object_end:
            case value::parse_event_t::array_end:
                m_keys.pop_back();
                m_path.pop_back();
                break;
            case value::parse_event_t::key:
                add_key(parsed.get_ref<const std::string&>());
                break;
            case value::parse_event_t::value:
                break;
        }
    }

private:
    void enter()
    {
        if (m_keys.size() >= m_max_depth) {
            throw structure_error("nested deeper than " + std::to_string(m_max_depth) + " levels");
        }
        m_keys.emplace_back();
        m_path.emplace_back();
    }

    void add_key(const std::string& key)
    {
        m_path.back() = key;
        if (!m_keys.back().insert(key).second) {
            throw structure_error("key '" + path() + "' occurs twice");
        }
    }

    std::string path() const
    {
        std::string text;
        for (const std::string& part : m_path) {
            text += text.empty() || part.empty() ? part : "." + part;
        }
        return text;
    }

    std::size_t m_max_depth;
    std::vector<std::set<std::string>> m_keys;
    std::vector<std::string> m_path;
};

// Counts values and levels without a document tree, and stops at the first that is too many.
class size_check : public nlohmann::json_sax<value> {
public:
    explicit size_check(const limits& bounds) : m_bounds(bounds) {}

    bool null() override { return add(); }
    bool boolean(bool) override { return add(); }
    bool number_integer(number_integer_t) override { return add(); }
    bool number_unsigned(number_unsigned_t) override { return add(); }
    bool number_float(number_float_t, const string_t&) override { return add(); }
    bool string(string_t&) override { return add(); }
    bool binary(binary_t&) override { return add(); }
    bool start_object(std::size_t) override { return enter(); }
    bool start_array(std::size_t) override { return enter(); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool end_array() override { return leave(); }
    /// The parser reports it again, with its place.
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override
    {
        return false;
    }

    bool has_too_many() const { return m_fields > m_bounds.max_fields; }

private:
    bool add() { return ++m_fields <= m_bounds.max_fields; }
    bool enter() { return ++m_depth <= m_bounds.max_depth && add(); }
    bool leave()
    {
        --m_depth;
        return true;
    }

    const limits& m_bounds;
    std::size_t m_fields = 0;
    std::size_t m_depth = 0;
};

bool has_too_many_fields(std::string_view text, const limits& bounds)
{
    // Each value but the last takes two bytes at least, so that a short text needs no count.
    if (text.size() / 2 < bounds.max_fields) {
        return false;
    }
    size_check check(bounds);
    value::sax_parse(text, &check, value::input_format_t::json, true, bounds.comments == comments::ignored);
    return check.has_too_many();
}

// The library's text begins with "[json.exception.parse_error.101] ", which means nothing to an operator.
std::string without_prefix(std::string_view what)
{
    const auto end = what.find("] ");
    return std::string(end == std::string_view::npos ? what : what.substr(end + 2));
}

// Insertions, deletions, replacements and swaps of neighbours that turn one text into the other.
std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::vector<std::size_t>> rows(left.size() + 1, std::vector<std::size_t>(right.size() + 1));
    for (std::size_t i = 0; i <= left.size(); ++i) {
        rows[i][0] = i;
    }
    std::iota(rows[0].begin(), rows[0].end(), 0U);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = rows[i - 1][j - 1] + (left[i - 1] == right[j - 1] ? 0 : 1);
            rows[i][j] = std::min({replaced, rows[i][j - 1] + 1, rows[i - 1][j] + 1});
            if (i > 1 && j > 1 && left[i - 1] == right[j - 2] && left[i - 2] == right[j - 1]) {
                rows[i][j] = std::min(rows[i][j], rows[i - 2][j - 2] + 1);
            }
        }
    }
    return rows.back().back();
}

}  // namespace

result<value> parse(std::string_view text, std::string_view name, const limits& bounds)
{
    const std::string prefix = std::string(name) + ": ";
    if (text.size() > bounds.max_bytes) {
        return error{prefix + std::to_string(text.size()) + " bytes, at most " +
                     std::to_string(bounds.max_bytes) + " allowed"};
    }
    if (has_too_many_fields(text, bounds)) {
        return error{prefix + "more than " + std::to_string(bounds.max_fields) + " fields"};
    }
    structure_check check(bounds.max_depth);
    const auto callback = [&check](int, value::parse_event_t event, value& parsed) {
        check.on_event(event, parsed);
        return true;
    };
    try {
        return value::parse(text, callback, true, bounds.comments == comments::ignored);
    } catch (const structure_error& fault) {
        return error{prefix + fault.what()};
    } catch (const value::exception& fault) {
        return error{prefix + without_prefix(fault.what())};
    }
}

result<std::string> read_file(const std::string& path, std::size_t max_bytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error{path + ": cannot be opened: " + std::strerror(errno)};
    }
    std::string content(max_bytes + 1, '\0');
    file.read(content.data(), static_cast<std::streamsize>(content.size()));
    if (file.bad()) {
        return error{path + ": cannot be read"};
    }
    content.resize(static_cast<std::size_t>(file.gcount()));
    if (content.size() > max_bytes) {
        return error{path + ": more than " + std::to_string(max_bytes) + " bytes"};
    }
    return content;
}

std::string suggestion(std::string_view word, std::span<const std::string> candidates)
{
    // A longer word is no misspelling, and the comparison takes time in proportion to its length.
    constexpr std::size_t max_word = 64;
    if (word.size() > max_word) {
        return {};
    }
    std::optional<std::size_t> nearest;
    std::string_view found;
    for (const std::string& candidate : candidates) {
        const std::size_t distance = edit_distance(word, candidate);
        if (!nearest || distance < *nearest) {
            nearest = distance;
            found = candidate;
        }
    }
    // A third of the length separates misspellings from unrelated words.
    if (!nearest || *nearest > std::max<std::size_t>(1, found.size() / 3)) {
        return {};
    }
    return "; did you mean '" + std::string(found) + "'?";
}

std::string shown(const value& item)
{
    constexpr std::size_t max_shown = 80;
    std::string text = item.dump(-1, ' ', false, value::error_handler_t::replace);
    if (text.size() > max_shown) {
        text.resize(max_shown);
        text += "...";
    }
    return text;
}

}  // namespace poplarshed::json
