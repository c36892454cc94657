#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.h"

/// Bounded reading of JSON for settings, bundles and command line input.
namespace poplarshed::json {

using value = nlohmann::json;

enum class comments { refused, ignored };

/// Bounds on a document, checked before or while it is read.
struct limits {
    std::size_t max_bytes = 1U << 20U;
    std::size_t max_depth = 16;
    json::comments comments = json::comments::refused;
    /// Values, containers included; every field of an object has one.
    std::size_t max_fields = std::numeric_limits<std::size_t>::max();
};

/// Reads one document. A key that occurs twice in an object is an error, since readers disagree on which one
/// counts. Thread-safe. @param name file or source, for the error, which names line or key path
result<value> parse(std::string_view text, std::string_view name, const limits& bounds);

/// Reads a whole file of at most `max_bytes`. Thread-safe.
result<std::string> read_file(const std::string& path, std::size_t max_bytes);

/// "; did you mean 'x'?" for the candidate nearest to a misspelt word, empty if none is near. Thread-safe.
std::string suggestion(std::string_view word, std::span<const std::string> candidates);

/// Canonical text of a scalar or container for error messages, shortened to a bounded length. Thread-safe.
std::string shown(const value& item);

/// Reads the fields of one object and collects every fault with its key path. Belongs to one thread.
class object_reader {
public:
    /// @param path key path of the object, empty for the root @param faults receives one line for each fault
    object_reader(const value& object, std::string path, std::vector<std::string>& faults);

    /// Each read leaves `target` as it is if the key is absent.
    void read(const std::string& key, bool& target);
    void read(const std::string& key, std::string& target);
    void read(const std::string& key, std::uint64_t& target, std::uint64_t minimum, std::uint64_t maximum);
    void read(const std::string& key, double& target, double minimum, double maximum);
    /// Reads one of several words as its index.
    void read_word(const std::string& key, std::size_t& target, std::span<const std::string_view> words);
    /// The member of a key if it is present and an object (or array), else nothing.
    const value* object(const std::string& key);
    const value* array(const std::string& key);

    /// Faults the absence of a key.
    void require(const std::string& key);
    /// Faults each key that was not read. Call after the last read.
    void finish();

    std::string path_of(const std::string& key) const;
    void fault(const std::string& key, const std::string& what);

private:
    const value* find(const std::string& key);
    void wrong(const std::string& key, const value& item, const std::string& allowed);

    const value& m_object;
    std::string m_path;
    std::vector<std::string>& m_faults;
    std::vector<std::string> m_known;
};

/// Faults as one text, one line each, bounded in length.
std::string joined(std::span<const std::string> faults);

}  // namespace poplarshed::json
