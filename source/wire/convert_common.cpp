#include <algorithm>

#include "wire/conversion.h"

namespace poplarshed::wire {

namespace {

template <std::size_t Size>
bool copy_exactly(const flatbuffers::Vector<std::uint8_t>& from, std::array<std::uint8_t, Size>& to)
{
    if (from.size() != Size) {
        return false;
    }
    std::copy(from.begin(), from.end(), to.begin());
    return true;
}

template <std::size_t Size>
auto pack_bytes(builder& out, const std::array<std::uint8_t, Size>& bytes)
{
    return out.CreateVector(bytes.data(), bytes.size());
}

}  // namespace

fb::digest pack(const digest& value)
{
    return fb::digest(
        flatbuffers::span<const std::uint8_t, digest::size>(value.bytes().data(), digest::size));
}

digest unpack(const fb::digest& value)
{
    digest::bytes_type bytes{};
    std::copy_n(value.bytes()->begin(), digest::size, bytes.begin());
    return digest(bytes);
}

flatbuffers::Offset<fb::identity> pack(builder& out, const instance_id& value)
{
    return fb::Createidentity(out, pack(out, value.address), value.incarnation.value());
}

instance_id unpack(const fb::identity& table)
{
    return {endpoint(table.address()->str()), incarnation(table.incarnation())};
}

flatbuffers::Offset<fb::hello> pack(builder& out, const hello& value)
{
    const auto data_centre = pack(out, value.data_centre);
    const auto instance = pack(out, value.instance);
    const auto nonce = pack_bytes(out, value.nonce);
    return fb::Createhello(out, value.protocol, data_centre, instance, nonce);
}

std::optional<hello> unpack(const fb::hello& table)
{
    hello value;
    value.protocol = table.protocol();
    value.data_centre = data_centre_id(table.data_centre()->str());
    value.instance = unpack(*table.instance());
    if (!copy_exactly(*table.nonce(), value.nonce)) {
        return std::nullopt;
    }
    return value;
}

flatbuffers::Offset<fb::hello_proof> pack(builder& out, const hello_proof& value)
{
    return fb::Createhello_proof(out, pack_bytes(out, value.proof));
}

std::optional<hello_proof> unpack(const fb::hello_proof& table)
{
    hello_proof value;
    if (!copy_exactly(*table.proof(), value.proof)) {
        return std::nullopt;
    }
    return value;
}

flatbuffers::Offset<fb::refusal> pack(builder& out, const refusal& value)
{
    // The reason travels as text, so that a new reason of another release is seen as such.
    const auto reason = out.CreateString(std::string(to_string(value.reason)));
    const auto detail = out.CreateString(value.detail);
    const std::int64_t retry_after = value.retry_after ? value.retry_after->count() : -1;
    return fb::Createrefusal(out, static_cast<std::uint8_t>(value.ran), reason, retry_after, detail);
}

std::optional<refusal> unpack(const fb::refusal& table)
{
    if (table.verdict() > static_cast<std::uint8_t>(verdict::ran)) {
        return std::nullopt;
    }
    refusal value;
    value.ran = static_cast<verdict>(table.verdict());
    value.reason = parse_refusal_reason(table.reason()->str()).value_or(refusal_reason::internal_error);
    if (table.retry_after_ms() >= 0) {
        value.retry_after = std::chrono::milliseconds(table.retry_after_ms());
    }
    value.detail = text(table.detail());
    return value;
}

}  // namespace poplarshed::wire
