#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace poplarshed {

/// Text identifier that does not convert to another kind of identifier.
template <class Tag>
class text_id {
public:
    text_id() = default;
    explicit text_id(std::string value) : m_value(std::move(value)) {}

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const text_id&) const = default;

private:
    std::string m_value;
};

/// Integer identifier that does not convert to another kind of identifier.
template <class Tag>
class number_id {
public:
    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t value) : m_value(value) {}

    constexpr std::uint64_t value() const { return m_value; }
    constexpr number_id next() const { return number_id(m_value + 1); }

    constexpr auto operator<=>(const number_id&) const = default;

private:
    std::uint64_t m_value = 0;
};

/// Truncated SHA-256 of a text. 128 bits make an accidental collision negligible at 10^7 live ids.
class digest {
public:
    static constexpr std::size_t size = 16;
    using bytes_type = std::array<std::uint8_t, size>;

    constexpr digest() = default;
    constexpr explicit digest(const bytes_type& bytes) : m_bytes(bytes) {}

    /// Digest of any bytes.
    static digest of(std::string_view content);

    const bytes_type& bytes() const { return m_bytes; }
    /// Lower-case hexadecimal text of 32 characters.
    std::string to_hex() const;
    /// First eight bytes as a number, for hash tables and rendezvous hashing.
    std::uint64_t prefix() const;

    constexpr auto operator<=>(const digest&) const = default;

private:
    bytes_type m_bytes{};
};

using submission_id = text_id<struct submission_id_tag>;
using data_centre_id = text_id<struct data_centre_id_tag>;
using service_id = text_id<struct service_id_tag>;
using workspace_id = text_id<struct workspace_id_tag>;
using operator_id = text_id<struct operator_id_tag>;
/// "ip:port" of an instance's inner listener or of a runner.
using endpoint = text_id<struct endpoint_tag>;
/// Drawn anew at each start of a process, so that a restart at the same address is told apart.
using incarnation = number_id<struct incarnation_tag>;
/// Number of a data centre's membership view; each change adds one.
using view_epoch = number_id<struct view_epoch_tag>;
using configuration_version = number_id<struct configuration_version_tag>;
/// One attempt at one task; unique within a process.
using attempt_id = number_id<struct attempt_id_tag>;
/// One job held by this process; unique within a process.
using job_key = number_id<struct job_key_tag>;

/// One run of an entry process.
struct instance_id {
    endpoint address;
    poplarshed::incarnation incarnation;

    auto operator<=>(const instance_id&) const = default;
};

/// Home data centre named by the prefix of an issued id ("punkunnam.17.f3a9"), empty without one.
data_centre_id home_prefix(const submission_id& id);
/// Membership epoch in an issued id; epoch 0 where the id carries none.
view_epoch issue_epoch(const submission_id& id);

}  // namespace poplarshed

template <class Tag>
struct std::hash<poplarshed::text_id<Tag>> {
    std::size_t operator()(const poplarshed::text_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};

template <class Tag>
struct std::hash<poplarshed::number_id<Tag>> {
    std::size_t operator()(const poplarshed::number_id<Tag>& id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value());
    }
};

template <>
struct std::hash<poplarshed::digest> {
    std::size_t operator()(const poplarshed::digest& value) const noexcept { return value.prefix(); }
};

template <>
struct std::hash<poplarshed::instance_id> {
    std::size_t operator()(const poplarshed::instance_id& id) const noexcept
    {
        return std::hash<poplarshed::endpoint>{}(id.address) ^
               (std::hash<poplarshed::incarnation>{}(id.incarnation) * 0x9e3779b97f4a7c15U);
    }
};
