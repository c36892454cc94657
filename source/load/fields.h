#pragma once

#include <cmath>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "json/json.h"

namespace poplarshed::load {

/// Range of a number, both ends included.
struct bounds {
    double min = 0;
    double max = std::numeric_limits<double>::max();
};

/// Reads the keys of one JSON object and collects the first error, which names the key's path.
class fields {
public:
    fields(const json::value& object, std::string path, std::string& first_error)
        : m_object(object), m_path(std::move(path)), m_error(first_error)
    {
        if (!m_object.is_object()) {
            fail("", "must be an object");
        }
    }

    /// Value of a key, nullptr if it is absent. Marks the key as known.
    const json::value* find(const std::string& key)
    {
        m_known.insert(key);
        return m_object.is_object() && m_object.contains(key) ? &m_object.at(key) : nullptr;
    }

    template <class Number>
    void number(const std::string& key, Number& into, bounds range)
    {
        const json::value* item = find(key);
        if (item == nullptr) {
            return;
        }
        const double value = item->is_number() ? item->get<double>() : std::nan("");
        if (!(value >= range.min && value <= range.max)) {
            fail(key, "must be a number from " + json::value(range.min).dump() + " to " +
                          json::value(range.max).dump());
            return;
        }
        into = static_cast<Number>(value);
    }

    void time(const std::string& key, std::chrono::milliseconds& into)
    {
        constexpr double day_ms = 86'400'000;
        std::int64_t count = into.count();
        number(key, count, {0, day_ms});
        into = std::chrono::milliseconds(count);
    }

    void flag(const std::string& key, bool& into)
    {
        const json::value* item = find(key);
        if (item != nullptr && !item->is_boolean()) {
            fail(key, "must be true or false");
        } else if (item != nullptr) {
            into = item->get<bool>();
        }
    }

    std::string text(const std::string& key, bool required)
    {
        const json::value* item = find(key);
        const bool present = item != nullptr && item->is_string() && !item->get<std::string>().empty();
        if (!present && (required || item != nullptr)) {
            fail(key, "must be a text that is not empty");
        }
        return present ? item->get<std::string>() : std::string();
    }

    /// Calls `read` with the fields of each object of an array.
    template <class Read>
    void each(const std::string& key, Read read)
    {
        const json::value* item = find(key);
        if (item == nullptr) {
            return;
        }
        if (!item->is_array()) {
            fail(key, "must be an array");
            return;
        }
        for (std::size_t index = 0; index < item->size(); ++index) {
            fields inner((*item)[index], path_of(key) + "[" + std::to_string(index) + "]", m_error);
            read(inner);
            inner.refuse_unknown();
        }
    }

    /// Calls `read` with the fields of an object, if it is present.
    template <class Read>
    void object(const std::string& key, Read read)
    {
        if (const json::value* item = find(key)) {
            fields inner(*item, path_of(key), m_error);
            read(inner);
            inner.refuse_unknown();
        }
    }

    void refuse_unknown()
    {
        if (!m_object.is_object()) {
            return;
        }
        const std::vector<std::string> known(m_known.begin(), m_known.end());
        for (const auto& [key, value] : m_object.items()) {
            if (!m_known.contains(key)) {
                fail(key, "is not known" + json::suggestion(key, known));
            }
        }
    }

    void fail(const std::string& key, const std::string& problem)
    {
        if (m_error.empty()) {
            m_error = path_of(key) + ": " + problem;
        }
    }

private:
    std::string path_of(const std::string& key) const
    {
        if (m_path.empty() || key.empty()) {
            return m_path.empty() && key.empty() ? "document" : m_path + key;
        }
        return m_path + "." + key;
    }

    const json::value& m_object;
    std::string m_path;
    std::string& m_error;
    std::set<std::string> m_known;
};

}  // namespace poplarshed::load
