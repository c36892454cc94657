#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "common/common.h"
#include "configuration/bundle.h"

/// Documents stored on the platform next to the bundles, and the rules for changing them.
namespace poplarshed::configuration {

/// Platform key of the pointer document.
inline constexpr std::string_view pointer_key = "configuration/current";
/// Platform key of a bundle.
std::string bundle_key(configuration_version version);
/// Platform key of a proposal.
std::string proposal_key(configuration_version version);

/// Names the version in force. Written by compare-and-swap only.
struct pointer {
    configuration_version version;
    digest content;                  ///< digest of the bundle
    configuration_version previous;  ///< version in force before this one; 0 if none
    operator_id proposer;
    operator_id signed_off_by;
    operator_id rolled_out_by;
    std::uint64_t nonce = 0;  ///< identifies the writer's own write if the response is lost

    bool operator==(const pointer&) const = default;
};

/// A bundle proposed under a version number. Creating the proposal reserves that number.
struct proposal {
    configuration_version version;
    digest content;
    configuration_version base;  ///< version in force on which the change is based
    operator_id proposer;
    std::string note;
    operator_id signed_off_by;  ///< empty until signed off
    std::uint64_t nonce = 0;

    bool operator==(const proposal&) const = default;
};

/// JSON text of a document.
std::string to_text(const pointer& document);
std::string to_text(const proposal& document);

/// Parses a document. @param name platform key, for the error message
result<pointer> parse_pointer(std::string_view text, const std::string& name);
result<proposal> parse_proposal(std::string_view text, const std::string& name);

/// Parses an operator's name: 1 to 64 characters of [a-z0-9._-]. Upper case and spaces are not allowed, so
/// that spellings which differ only in these cannot count as two operators.
result<operator_id> parse_operator(std::string_view text);

/// Parses a digest of lower-case hexadecimal digits; std::nullopt if the text is malformed.
std::optional<digest> parse_digest(std::string_view text);

/// Adds a sign-off to a proposal. Error unless the signer is not the proposer, has reviewed the proposed
/// content, and no other operator has signed off.
/// @param reviewed digest of the content that the signer has reviewed
result<proposal> sign_off(const proposal& document, const operator_id& signer, const digest& reviewed);

/// Computes the pointer after a roll-out. Error unless an operator other than the proposer has signed off,
/// `stored` is the proposed content, its version is above the version in force, and the proposal is based on
/// the version in force.
/// @param current pointer in force; std::nullopt before the first roll-out
result<pointer> roll_out(const std::optional<pointer>& current, const proposal& document,
                         const bundle& stored, const operator_id& rolled_out_by, std::uint64_t nonce);

}  // namespace poplarshed::configuration
