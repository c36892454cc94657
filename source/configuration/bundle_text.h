#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/common.h"
#include "configuration/bundle.h"

namespace poplarshed::configuration {

/// Maximum size of a bundle's text in bytes; the platform stores no larger value.
inline constexpr std::size_t max_bundle_bytes = 1'000'000;
inline constexpr std::size_t max_services = 256;
inline constexpr std::size_t max_workspaces = 1'024;

/// Parses and validates a bundle. The error message lists every fault with its key path, value and what is
/// allowed.
/// @param name file or platform key, for the error message
/// @param comments whether the text may contain comments: true for operators' files, false for stored bundles
result<bundle> parse_bundle(std::string_view text, const std::string& name, bool comments = false);

/// Checks the rules that involve several fields. @returns one message per fault; empty for a valid bundle
std::vector<std::string> check(const bundle& content);

/// Canonical JSON of a bundle: sorted keys, all fields, no white space. parse_bundle() restores an equal
/// bundle from it.
std::string canonical_text(const bundle& content);

/// The canonical JSON with indentation, for operators.
std::string readable_text(const bundle& content);

/// Digest of the canonical JSON.
digest digest_of(const bundle& content);

/// One changed value as JSON. `before` is empty for an addition, `after` for a removal.
struct difference {
    std::string path;
    std::string before;
    std::string after;

    bool operator==(const difference&) const = default;
};

/// Differences between two bundles, ordered by path. Versions are not compared.
std::vector<difference> differences(const bundle& before, const bundle& after);

/// One line per difference: "+ path = value", "- path = value" or "~ path: before -> after".
std::string to_text(const std::vector<difference>& changes);

}  // namespace poplarshed::configuration
