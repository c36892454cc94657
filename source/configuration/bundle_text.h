#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"
#include "configuration/bundle.h"

namespace poplarshed::configuration {

/// Largest text of a bundle, in bytes; the platform stores no larger value.
inline constexpr std::size_t max_bundle_bytes = 1'000'000;
inline constexpr std::size_t max_services = 256;
inline constexpr std::size_t max_workspaces = 1'024;

/// Reads and checks a bundle. The error has one line for each fault, with key path, value and what is
/// allowed.
/// @param name file or platform key, for the error @param comments whether the text may hold comments
/// (operators' files may, stored bundles may not)
result<bundle> parse_bundle(std::string_view text, const std::string& name, bool comments = false);

/// Checks the rules that span several fields. One line for each fault; empty for a valid bundle.
std::vector<std::string> check(const bundle& content);

/// The one text of a bundle: JSON with sorted keys, all fields, no spaces. parse_bundle() reads it back
/// unchanged.
std::string canonical_text(const bundle& content);

/// The same with indentation, for operators.
std::string readable_text(const bundle& content);

/// Digest of the canonical text.
digest digest_of(const bundle& content);

/// One changed value. `before` is empty for an addition and `after` for a removal.
struct difference {
    std::string path;
    std::string before;
    std::string after;

    bool operator==(const difference&) const = default;
};

/// What changes from one bundle to another, in order of path. Versions are not compared.
std::vector<difference> differences(const bundle& before, const bundle& after);

/// One line for each difference: "+ path = value", "- path = value" or "~ path: before -> after".
std::string to_text(const std::vector<difference>& changes);

}  // namespace poplarshed::configuration
