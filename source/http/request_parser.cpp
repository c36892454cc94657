#include "http/request_parser.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>

namespace poplarshed::http {

namespace {

namespace beast = boost::beast;

// Host names stand without their port in routes; an IPv6 address keeps its brackets.
std::string without_port(beast::string_view host)
{
    const auto colon = host.rfind(':');
    const auto bracket = host.rfind(']');
    const bool has_port =
        colon != beast::string_view::npos && (bracket == beast::string_view::npos || bracket < colon);
    const auto name = has_port ? host.substr(0, colon) : host;
    return {name.data(), name.size()};
}

}  // namespace

request_parser::request_parser(const request_limits& limits, const std::vector<std::string>& names)
    : m_names(&names), m_max_head_bytes(limits.head_bytes), m_max_fields(limits.header_fields)
{
    m_request.fields.resize(names.size());
    header_limit(static_cast<std::uint32_t>(limits.head_bytes));
    body_limit(limits.body_bytes);
    eager(true);
}

std::size_t request_parser::held_bytes() const
{
    std::size_t bytes = m_request.path.capacity() + m_request.host.capacity() + m_request.body.capacity();
    for (const std::string& value : m_request.fields) {
        bytes += value.capacity();
    }
    return bytes;
}

void request_parser::on_request_impl(beast::http::verb, string_view method_text, string_view target,
                                     int version, error_code& failed)
{
    constexpr int version_1_0 = 10;
    m_http_1_0 = version == version_1_0;
    count_head(method_text.size() + target.size(), failed);
    m_request.method.assign(method_text.data(), method_text.size());
    const auto path = target.substr(0, target.find('?'));
    m_request.path.assign(path.data(), path.size());
}

void request_parser::on_field_impl(beast::http::field name, string_view name_text, string_view value,
                                   error_code& failed)
{
    ++m_fields;
    count_head(name_text.size() + value.size(), failed);
    if (failed) {
        return;
    }
    if (name == beast::http::field::host) {
        m_request.host = without_port(value);
    }
    if (name == beast::http::field::expect) {
        m_expects_continue = beast::iequals(value, "100-continue");
    }
    for (std::size_t i = 0; i < m_names->size(); ++i) {
        if (beast::iequals((*m_names)[i], name_text)) {
            m_request.fields[i].assign(value.data(), value.size());
        }
    }
}

void request_parser::on_body_init_impl(const optional_length& length, error_code&)
{
    m_length = length ? static_cast<std::size_t>(*length) : 0;
}

std::size_t request_parser::on_body_impl(string_view piece, error_code&)
{
    append(piece);
    return piece.size();
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t, string_view piece, error_code&)
{
    append(piece);
    return piece.size();
}

void request_parser::on_chunk_header_impl(std::uint64_t, string_view extensions, error_code& failed)
{
    count_head(extensions.size(), failed);
}

void request_parser::count_head(std::size_t bytes, error_code& failed)
{
    m_head_bytes += bytes;
    if (m_head_bytes > m_max_head_bytes || m_fields > m_max_fields) {
        failed = beast::http::error::header_limit;
    }
}

void request_parser::append(string_view piece)
{
    std::string& body = m_request.body;
    const std::size_t needed = body.size() + piece.size();
    if (needed > body.capacity()) {
        // Grows with what has come, never beyond what was announced.
        const std::size_t doubled = std::max(needed, body.capacity() * 2);
        body.reserve(m_length > 0 ? std::max(needed, std::min(doubled, m_length)) : doubled);
    }
    body.append(piece.data(), piece.size());
}

}  // namespace poplarshed::http
