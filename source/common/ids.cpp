#include "common/ids.h"

#include <openssl/evp.h>

#include <charconv>
#include <optional>

namespace poplarshed {

namespace {

struct issued_parts {
    std::string_view home;
    std::string_view epoch;
};

// Issued ids have the form <home>.<epoch>.<random>; the home may not contain a dot.
std::optional<issued_parts> split_issued(std::string_view text)
{
    const auto first = text.find('.');
    if (first == std::string_view::npos || first == 0) {
        return std::nullopt;
    }
    const auto second = text.find('.', first + 1);
    if (second == std::string_view::npos) {
        return issued_parts{text.substr(0, first), {}};
    }
    return issued_parts{text.substr(0, first), text.substr(first + 1, second - first - 1)};
}

}  // namespace

digest digest::of(std::string_view content)
{
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> full{};
    unsigned int length = 0;
    EVP_Digest(content.data(), content.size(), full.data(), &length, EVP_sha256(), nullptr);
    bytes_type bytes{};
    std::copy_n(full.begin(), size, bytes.begin());
    return digest(bytes);
}

std::string digest::to_hex() const
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * size);
    for (const std::uint8_t byte : m_bytes) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return text;
}

std::uint64_t digest::prefix() const
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i) {
        value = (value << 8U) | m_bytes[i];
    }
    return value;
}

data_centre_id home_prefix(const submission_id& id)
{
    const auto parts = split_issued(id.value());
    return parts ? data_centre_id(std::string(parts->home)) : data_centre_id();
}

view_epoch issue_epoch(const submission_id& id)
{
    const auto parts = split_issued(id.value());
    if (!parts || parts->epoch.empty()) {
        return view_epoch();
    }
    std::uint64_t value = 0;
    const char* const end = parts->epoch.data() + parts->epoch.size();
    const auto [stop, error] = std::from_chars(parts->epoch.data(), end, value);
    return error == std::errc() && stop == end ? view_epoch(value) : view_epoch();
}

}  // namespace poplarshed
