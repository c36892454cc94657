#include "configuration/documents.h"

#include <algorithm>
#include <limits>

#include "configuration/bundle_text.h"
#include "json/json.h"

namespace poplarshed::configuration {

namespace {

// Limit for pointers and proposals.
constexpr std::size_t max_document_bytes = 16'384;
constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();

// Reads the types of fields that the documents contain, and collects their faults.
class document_reader {
public:
    document_reader(const json::value& root, std::vector<std::string>& faults) : m_reader(root, "", faults) {}

    void read(const std::string& key, configuration_version& target)
    {
        std::uint64_t number = 0;
        m_reader.require(key);
        m_reader.read(key, number, 0, max_number);
        target = configuration_version(number);
    }

    void read(const std::string& key, digest& target)
    {
        const auto value = parse_digest(text(key));
        if (!value) {
            m_reader.fault(key, "is no digest of 32 hexadecimal characters");
            return;
        }
        target = *value;
    }

    void read(const std::string& key, operator_id& target, bool may_be_empty = false)
    {
        const std::string name = text(key);
        if (name.empty() && may_be_empty) {
            return;
        }
        const auto value = parse_operator(name);
        if (!value) {
            m_reader.fault(key, value.error().message);
            return;
        }
        target = value.value();
    }

    void read(const std::string& key, std::uint64_t& target) { m_reader.read(key, target, 0, max_number); }
    void read(const std::string& key, std::string& target) { m_reader.read(key, target); }
    void finish() { m_reader.finish(); }

private:
    std::string text(const std::string& key)
    {
        std::string value;
        m_reader.read(key, value);
        return value;
    }

    json::object_reader m_reader;
};

template <class Document, class Read>
result<Document> parse_document(std::string_view text, const std::string& name, Read read)
{
    const auto root = json::parse(text, name, {.max_bytes = max_document_bytes, .max_depth = 2});
    if (!root) {
        return root.error();
    }
    std::vector<std::string> faults;
    document_reader reader(root.value(), faults);
    Document document;
    read(reader, document);
    reader.finish();
    if (!faults.empty()) {
        return error{name + ": " + json::joined(faults)};
    }
    return document;
}

std::string text_of(configuration_version version)
{
    return std::to_string(version.value());
}

}  // namespace

std::string bundle_key(configuration_version version)
{
    return "configuration/bundles/" + text_of(version);
}

std::string proposal_key(configuration_version version)
{
    return "configuration/proposals/" + text_of(version);
}

std::string to_text(const pointer& document)
{
    return json::value{{"version", document.version.value()},
                       {"digest", document.content.to_hex()},
                       {"previous", document.previous.value()},
                       {"proposer", document.proposer.value()},
                       {"signed_off_by", document.signed_off_by.value()},
                       {"rolled_out_by", document.rolled_out_by.value()},
                       {"nonce", document.nonce}}
        .dump();
}

std::string to_text(const proposal& document)
{
    return json::value{{"version", document.version.value()},
                       {"digest", document.content.to_hex()},
                       {"base", document.base.value()},
                       {"proposer", document.proposer.value()},
                       {"note", document.note},
                       {"signed_off_by", document.signed_off_by.value()},
                       {"nonce", document.nonce}}
        .dump(-1, ' ', false, json::value::error_handler_t::replace);
}

result<pointer> parse_pointer(std::string_view text, const std::string& name)
{
    return parse_document<pointer>(text, name, [](document_reader& reader, pointer& document) {
        reader.read("version", document.version);
        reader.read("digest", document.content);
        reader.read("previous", document.previous);
        reader.read("proposer", document.proposer);
        reader.read("signed_off_by", document.signed_off_by);
        reader.read("rolled_out_by", document.rolled_out_by);
        reader.read("nonce", document.nonce);
    });
}

result<proposal> parse_proposal(std::string_view text, const std::string& name)
{
    return parse_document<proposal>(text, name, [](document_reader& reader, proposal& document) {
        reader.read("version", document.version);
        reader.read("digest", document.content);
        reader.read("base", document.base);
        reader.read("proposer", document.proposer);
        reader.read("note", document.note);
        reader.read("signed_off_by", document.signed_off_by, true);
        reader.read("nonce", document.nonce);
    });
}

result<operator_id> parse_operator(std::string_view text)
{
    constexpr std::size_t max_name_length = 64;
    const bool valid =
        !text.empty() && text.size() <= max_name_length && std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
        });
    if (!valid) {
        return error{"'" + std::string(text.substr(0, max_name_length)) +
                     "' is no operator's name; allowed: 1 to 64 characters of [a-z0-9._-]"};
    }
    return operator_id(std::string(text));
}

std::optional<digest> parse_digest(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    if (text.size() != 2 * digest::size) {
        return std::nullopt;
    }
    digest::bytes_type bytes{};
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto digit = digits.find(text[i]);
        if (digit == std::string_view::npos) {
            return std::nullopt;
        }
        bytes.at(i / 2) = static_cast<std::uint8_t>((bytes.at(i / 2) << 4U) | digit);
    }
    return digest(bytes);
}

result<proposal> sign_off(const proposal& document, const operator_id& signer, const digest& reviewed)
{
    const std::string version_text = "version " + text_of(document.version);
    if (signer == document.proposer) {
        return error{version_text + " was proposed by " + signer.value() +
                     "; another operator must sign it off"};
    }
    if (reviewed != document.content) {
        return error{version_text + " has digest " + document.content.to_hex() + ", but " +
                     reviewed.to_hex() + " was reviewed"};
    }
    if (!document.signed_off_by.empty() && document.signed_off_by != signer) {
        return error{version_text + " is already signed off by " + document.signed_off_by.value()};
    }
    proposal signed_document = document;
    signed_document.signed_off_by = signer;
    return signed_document;
}

result<pointer> roll_out(const std::optional<pointer>& current, const proposal& document,
                         const bundle& stored, const operator_id& rolled_out_by, std::uint64_t nonce)
{
    const std::string version_text = "version " + text_of(document.version);
    const configuration_version in_force = current ? current->version : configuration_version();
    if (document.signed_off_by.empty()) {
        return error{version_text + " is not signed off"};
    }
    if (document.signed_off_by == document.proposer) {
        return error{version_text + " was signed off by its proposer"};
    }
    if (stored.version != document.version || digest_of(stored) != document.content) {
        return error{"the stored bundle of " + version_text + " is not the one that was signed off"};
    }
    if (document.version <= in_force) {
        return error{version_text + " is not above the version in force, " + text_of(in_force)};
    }
    if (document.base != in_force) {
        return error{version_text + " starts from version " + text_of(document.base) + ", but version " +
                     text_of(in_force) + " is in force now; propose it again on top of that"};
    }
    return pointer{document.version,       document.content, in_force, document.proposer,
                   document.signed_off_by, rolled_out_by,    nonce};
}

}  // namespace poplarshed::configuration
