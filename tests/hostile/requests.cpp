#include "hostile/requests.h"

#include <array>
#include <cstdio>

namespace poplarshed::hostile::test {

namespace {

std::string head(const std::string& method, const target& to)
{
    return method + ' ' + to.path + " HTTP/1.1\r\nHost: desk.example\r\n";
}

std::string post_head(const target& to)
{
    return head("POST", to) + "Content-Type: application/json\r\nPoplarshed-Timeout-Ms: 6000\r\n";
}

std::string with_body(const target& to, const std::string& body)
{
    return post_head(to) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

shared_bytes shared(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

}  // namespace

shared_bytes post_with_length(const target& to, std::size_t declared_bytes, std::size_t sent_bytes)
{
    std::string text = post_head(to) + "Content-Length: " + std::to_string(declared_bytes) + "\r\n\r\n";
    return shared(text.append(sent_bytes, ' '));
}

shared_bytes post_with_chunks(const target& to, std::size_t chunks, std::size_t chunk_bytes)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
    std::string text = post_head(to) + "Transfer-Encoding: chunked\r\n\r\n";
    text.reserve(text.size() + chunks * (chunk_bytes + size.size()));
    for (std::size_t i = 0; i < chunks; ++i) {
        text.append(size.data()).append(chunk_bytes, ' ').append("\r\n");
    }
    return shared(std::move(text));
}

shared_bytes post_with_members(const target& to, std::size_t fields)
{
    std::string body = "{";
    for (std::size_t i = 0; i < fields; ++i) {
        std::array<char, 16> member{};
        std::snprintf(member.data(), member.size(), "%s\"%05zx\":1", i == 0 ? "" : ",", i);
        body.append(member.data());
    }
    return shared(with_body(to, body + '}'));
}

shared_bytes post_with_nesting(const target& to, std::size_t depth)
{
    return shared(with_body(to, std::string(depth, '[') + std::string(depth, ']')));
}

shared_bytes get_with_header_lines(const target& to, std::size_t fields, bool complete)
{
    std::string text = head("GET", to);
    for (std::size_t i = 0; i < fields; ++i) {
        text.append("a:b\r\n");
    }
    return shared(text + (complete ? "\r\n" : ""));
}

shared_bytes pipelined_gets(const target& to, std::size_t requests)
{
    const std::string one = head("GET", to) + "\r\n";
    std::string text;
    text.reserve(requests * one.size());
    for (std::size_t i = 0; i < requests; ++i) {
        text.append(one);
    }
    return shared(std::move(text));
}

shared_bytes half_head(const target& to)
{
    return shared(head("GET", to) + "Request-");
}

shared_bytes raw_bytes(std::size_t count)
{
    // Read as a length in either byte order, the first four bytes announce about 2 GiB.
    return shared(std::string("\x7f\xff\xff\x7f", 4).append(count, '\x5a'));
}

}  // namespace poplarshed::hostile::test
