#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarshed::http {

/// Bounds on one request.
struct request_limits {
    std::size_t head_bytes = std::size_t{32} * 1024;
    std::size_t header_fields = 100;  ///< trailers included
    std::size_t body_bytes = std::size_t{1} << 20U;

    bool operator==(const request_limits&) const = default;
};

/// A request as it was read. Of the header fields only those that a listener has named are kept.
struct received_request {
    std::string method;               ///< as sent
    std::string host;                 ///< without the port
    std::string path;                 ///< without the query
    std::vector<std::string> fields;  ///< values in the order of the names; empty where absent
    std::string body;
};

/// Reads one request piece by piece; no byte of a body is read twice. Belongs to one thread.
class request_parser : public boost::beast::http::basic_parser<true> {
public:
    /// @param names header fields to keep; outlives the parser
    request_parser(const request_limits& limits, const std::vector<std::string>& names);

    received_request& request() { return m_request; }
    bool expects_continue() const { return m_expects_continue; }
    bool is_http_1_0() const { return m_http_1_0; }
    /// Memory that the request holds.
    std::size_t held_bytes() const;

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;
    using optional_length = boost::optional<std::uint64_t>;

    void on_request_impl(boost::beast::http::verb method, string_view method_text, string_view target,
                         int version, error_code& failed) override;
    void on_response_impl(int, string_view, int, error_code&) override {}
    void on_field_impl(boost::beast::http::field name, string_view name_text, string_view value,
                       error_code& failed) override;
    void on_header_impl(error_code&) override {}
    void on_body_init_impl(const optional_length& length, error_code&) override;
    std::size_t on_body_impl(string_view piece, error_code&) override;
    void on_chunk_header_impl(std::uint64_t, string_view extensions, error_code& failed) override;
    std::size_t on_chunk_body_impl(std::uint64_t, string_view piece, error_code&) override;
    void on_finish_impl(error_code&) override {}

    /// Counts bytes of the head, of trailers and of chunk extensions, which have one limit.
    void count_head(std::size_t bytes, error_code& failed);
    void append(string_view piece);

    const std::vector<std::string>* m_names;
    received_request m_request;
    std::size_t m_max_head_bytes;
    std::size_t m_head_bytes = 0;
    std::size_t m_max_fields;
    std::size_t m_fields = 0;
    std::size_t m_length = 0;  ///< of the body, as announced; 0: unknown
    bool m_expects_continue = false;
    bool m_http_1_0 = false;
};

}  // namespace poplarshed::http
