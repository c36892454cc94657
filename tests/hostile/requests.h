#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace poplarshed::hostile::test {

/// Where a request goes.
struct target {
    std::string address;  ///< "ip:port" of the listener
    std::string path;     ///< empty: the listener does not speak HTTP

    bool operator==(const target&) const = default;
};

/// Bytes that all members of a crowd send, held once.
using shared_bytes = std::shared_ptr<const std::string>;

/// Largest body that the instance takes by default.
inline constexpr std::size_t largest_body_bytes = std::size_t{1} << 20U;

/// POST whose head announces `declared_bytes`, followed by `sent_bytes` of a body.
shared_bytes post_with_length(const target& to, std::size_t declared_bytes, std::size_t sent_bytes);
/// Chunked POST of `chunks` chunks without the last, empty one.
shared_bytes post_with_chunks(const target& to, std::size_t chunks, std::size_t chunk_bytes);
/// Complete POST with a JSON object of `fields` members of 10 bytes.
shared_bytes post_with_members(const target& to, std::size_t fields);
/// Complete POST with arrays nested `depth` deep.
shared_bytes post_with_nesting(const target& to, std::size_t depth);
/// GET with `fields` further header lines, with or without the end of the head.
shared_bytes get_with_header_lines(const target& to, std::size_t fields, bool complete);
/// `requests` complete GET requests.
shared_bytes pipelined_gets(const target& to, std::size_t requests);
/// Head of a GET that stops in a header line.
shared_bytes half_head(const target& to);
/// Bytes that are not a message of the peers' protocol: a length of 2 GiB and what follows it.
shared_bytes raw_bytes(std::size_t count);

}  // namespace poplarshed::hostile::test
