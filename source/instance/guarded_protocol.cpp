#include "instance/guarded_protocol.h"

#include <exception>

namespace poplarshed::instance {

namespace {

// Calls a decoder; an exception becomes `fallback(cause)`.
template <class Decode, class Fallback>
auto guarded(Decode decode, Fallback fallback) -> decltype(decode())
{
    try {
        return decode();
    } catch (const std::exception& fault) {
        return fallback(std::string(fault.what()));
    }
}

input_error failed_decoder(const std::string& cause)
{
    return {input_fault::exception, cause};
}

}  // namespace

result<store_page, store_status> guarded_protocol::decode_items(const http::response& response) const
{
    return guarded([&] { return m_inner.decode_items(response); },
                   [](const std::string&) { return store_status::failed; });
}

store_answer guarded_protocol::decode_answer(const http::response& response) const
{
    return guarded([&] { return m_inner.decode_answer(response); },
                   [](const std::string&) { return store_answer{}; });
}

result<routing::configuration, input_error> guarded_protocol::decode_configuration(
    const std::string& value) const
{
    return guarded([&] { return m_inner.decode_configuration(value); }, failed_decoder);
}

result<workers::worker_entry, input_error> guarded_protocol::decode_worker(const std::string& key,
                                                                           const std::string& value) const
{
    return guarded([&] { return m_inner.decode_worker(key, value); }, failed_decoder);
}

workers::start_reply guarded_protocol::decode_start(const workers::start_command& order,
                                                    const http::response& response) const
{
    // The task may run, so it is stopped before it starts elsewhere.
    return guarded(
        [&] { return m_inner.decode_start(order, response); },
        [&](const std::string&) {
            return workers::start_reply{
                order.target.worker, order.task, order.run, workers::start_outcome::unanswered, {}};
        });
}

workers::stop_reply guarded_protocol::decode_stop(const workers::stop_command& order,
                                                  const http::response& response) const
{
    return guarded([&] { return m_inner.decode_stop(order, response); },
                   [&](const std::string&) {
                       return workers::stop_reply{order.target.worker, order.task, order.run,
                                                  workers::stop_outcome::failed};
                   });
}

result<decoded_listing, workers::list_failure> guarded_protocol::decode_list(
    const workers::list_command& order, const http::response& response) const
{
    return guarded([&] { return m_inner.decode_list(order, response); },
                   [](const std::string&) { return workers::list_failure::refused; });
}

caller_call guarded_protocol::decode_call(const caller_request& request, const routing::route& target) const
{
    return guarded([&] { return m_inner.decode_call(request, target); },
                   [](const std::string& cause) {
                       caller_call call;
                       call.reason = refusal_reason::internal_error;
                       call.detail = cause;
                       return call;
                   });
}

}  // namespace poplarshed::instance
