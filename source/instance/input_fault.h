#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace poplarshed::instance {

/// Why an item of the store or a row of an answer is not used; a label value of metrics.
enum class input_fault {
    unreadable,     ///< no JSON, too long, or nested too deeply
    missing_field,  ///< absent or of another type
    number,         ///< out of its range
    address,        ///< no connection can be opened to it
    name,           ///< of a worker, service or zone
    state,          ///< a word that is not known
    key,            ///< too long, with odd bytes, or of no known kind
    revision,       ///< 0, or too large for a fencing token
    exception,      ///< a decoder failed
};

std::string_view to_string(input_fault value);

struct input_error {
    input_fault reason = input_fault::unreadable;
    /// Holds nothing that changes with each writing of an item, such as a position in its text.
    std::string detail;

    bool operator==(const input_error&) const = default;
};

/// The last fault of each subject, so that each is reported once, and again after it has changed or was
/// corrected. Not thread-safe.
class fault_journal {
public:
    /// @returns true if the last fault of the subject was another one, or none
    bool is_new(const std::string& subject, const input_error& found);
    void forget(const std::string& subject) { m_last.erase(subject); }

private:
    std::map<std::string, input_error> m_last;
};

}  // namespace poplarshed::instance
