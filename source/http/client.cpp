#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <thread>
#include <unordered_map>
#include <variant>

#include "http/http.h"
#include "http/socket_poller.h"

namespace poplarshed::http {

namespace {

struct start_command {
    call_id id;
    request call;
};

struct abandon_command {
    call_id id;
};

using command = std::variant<start_command, abandon_command>;

// Only bounds a missed wake-up.
constexpr milliseconds longest_wait{1000};
constexpr std::size_t max_idle_handles = 512;
// Above the connections of a full set of workers; libcurl closes the oldest idle connection beyond it.
constexpr long max_cached_connections = 2048;
constexpr std::array<const char*, 3> method_names{"GET", "POST", "DELETE"};

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

// Texts of other processes must not add to a request: no spaces or control characters in its first line and
// its host, no line ends in its headers, and no user name, path or query in the host.
bool is_well_formed(const request& call)
{
    const auto is_graphic = [](unsigned char item) { return item > ' ' && item != 0x7f; };
    const std::string& host = call.host.value();
    return !host.empty() && std::all_of(host.begin(), host.end(), is_graphic) &&
           host.find_first_of("@/\\?#") == std::string::npos && call.target.starts_with('/') &&
           std::all_of(call.target.begin(), call.target.end(), is_graphic) &&
           std::all_of(call.headers.begin(), call.headers.end(), [](const header& item) {
               constexpr std::string_view line_ends("\r\n\0", 3);
               return item.first.find_first_of(line_ends) == std::string::npos &&
                      item.second.find_first_of(line_ends) == std::string::npos;
           });
}

// State of one call while libcurl works on it.
struct transfer {
    call_id id;
    request call;
    std::string url;
    response result;
    curl_slist* headers = nullptr;
    std::size_t max_body = 0;
    bool body_too_long = false;
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& state = *static_cast<transfer*>(user);
    const std::size_t length = size * count;
    if (state.result.body.size() + length > state.max_body) {
        state.body_too_long = true;
        return 0;
    }
    state.result.body.append(data, length);
    return length;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& state = *static_cast<transfer*>(user);
    const std::string_view line(data, size * count);
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        std::string name(line.substr(0, colon));
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        state.result.headers.emplace_back(std::move(name), trimmed(line.substr(colon + 1)));
    }
    return line.size();
}

// libcurl reports outgoing bytes here before it reports any answer; the bytes may not have left the host.
int on_debug(CURL* /*handle*/, curl_infotype type, char* /*data*/, std::size_t size, void* user)
{
    const bool outgoing = type == CURLINFO_HEADER_OUT || type == CURLINFO_DATA_OUT;
    if (outgoing && size > 0) {
        static_cast<transfer*>(user)->result.written = true;
    }
    return 0;
}

// libcurl sends a request again by itself when a reused connection ends without an answer. The server may
// have acted on it by then, so the second send is refused.
int refuse_second_send(void* user, char* /*peer*/, char* /*local*/, int /*peer_port*/, int /*local_port*/)
{
    return static_cast<transfer*>(user)->result.written ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

outcome_kind outcome_of(const transfer& state, CURLcode code)
{
    if (code == CURLE_OK) {
        return outcome_kind::answered;
    }
    if (!state.result.written) {
        return outcome_kind::not_sent;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return outcome_kind::timed_out;
    }
    return state.body_too_long ? outcome_kind::too_large : outcome_kind::lost;
}

}  // namespace

/// The thread that owns every libcurl handle. Only sockets with events are handled: an instance that holds a
/// pool has tens of calls in flight, most of which wait for an answer.
class client::loop {
public:
    loop(client_options options, handler on_response)
        : m_options(options),
          m_on_response(std::move(on_response)),
          m_multi(curl_multi_init()),
          m_commands(options.queue_capacity, [this] { m_poller.wake(); })
    {
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, on_socket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, on_timer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                          static_cast<long>(m_options.connections_per_host));
        curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
        m_thread = std::jthread([this](const std::stop_token& stop) { run(stop); });
    }

    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    ~loop()
    {
        m_thread.request_stop();
        m_commands.close();
        m_thread.join();
        for (auto& [id, handle] : m_active) {
            release(handle, transfer_of(handle));
        }
        for (CURL* handle : m_idle) {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(m_multi);
    }

    bounded_ring<command>& commands() { return m_commands; }

private:
    void run(const std::stop_token& stop)
    {
        std::vector<command> batch;
        std::vector<socket_poller::ready_socket> ready;
        while (!stop.stop_requested()) {
            m_commands.drain(batch);
            for (command& item : batch) {
                std::visit([this](auto& value) { execute(value); }, item);
            }
            if (steady_clock::now() >= m_timer_due) {
                m_timer_due = time_point::max();
                act(CURL_SOCKET_TIMEOUT, 0);
            }
            finish_done();
            const time_point now = steady_clock::now();
            m_poller.wait(std::min<duration>(m_timer_due - now, longest_wait), ready);
            for (const socket_poller::ready_socket& item : ready) {
                act(item.descriptor, (item.readable ? CURL_CSELECT_IN : 0) |
                                         (item.writable ? CURL_CSELECT_OUT : 0) |
                                         (item.failed ? CURL_CSELECT_ERR : 0));
            }
        }
    }

    void act(curl_socket_t socket, int events)
    {
        int running = 0;
        curl_multi_socket_action(m_multi, socket, events, &running);
    }

    static int on_socket(CURL* /*handle*/, curl_socket_t socket, int wanted, void* user,
                         void* /*socket_user*/)
    {
        socket_poller& poller = static_cast<loop*>(user)->m_poller;
        if (wanted == CURL_POLL_REMOVE) {
            poller.forget(socket);
        } else {
            poller.watch(socket, (wanted & CURL_POLL_IN) != 0, (wanted & CURL_POLL_OUT) != 0);
        }
        return 0;
    }

    static int on_timer(CURLM* /*multi*/, long timeout_ms, void* user)
    {
        static_cast<loop*>(user)->m_timer_due =
            timeout_ms < 0 ? time_point::max() : steady_clock::now() + milliseconds(timeout_ms);
        return 0;
    }

    static transfer* transfer_of(CURL* handle)
    {
        transfer* state = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &state);
        return state;
    }

    void execute(start_command& item)
    {
        if (!is_well_formed(item.call)) {
            response refused;
            refused.detail =
                "the host, the target or a header of the request has characters that it must not have";
            m_on_response(item.id, std::move(refused));
            return;
        }
        auto* state =
            new transfer{item.id, std::move(item.call), {}, {}, nullptr, m_options.max_response_bytes};
        CURL* handle = take_handle();
        prepare(handle, *state);
        m_active.emplace(state->id, handle);
        curl_multi_add_handle(m_multi, handle);
    }

    void execute(const abandon_command& item)
    {
        const auto found = m_active.find(item.id);
        if (found == m_active.end()) {
            return;
        }
        transfer* state = transfer_of(found->second);
        response result;
        result.outcome = outcome_kind::abandoned;
        result.written = state->result.written;
        release(found->second, state);
        m_active.erase(found);
        m_on_response(item.id, std::move(result));
    }

    CURL* take_handle()
    {
        if (m_idle.empty()) {
            return curl_easy_init();
        }
        CURL* handle = m_idle.back();
        m_idle.pop_back();
        return handle;
    }

    void prepare(CURL* handle, transfer& state) const
    {
        const request& call = state.call;
        state.url = "http://" + call.host.value() + call.target;
        for (const auto& [name, value] : call.headers) {
            state.headers =
                curl_slist_append(state.headers, std::string(name).append(": ").append(value).c_str());
        }
        curl_easy_setopt(handle, CURLOPT_PRIVATE, &state);
        curl_easy_setopt(handle, CURLOPT_URL, state.url.c_str());
        if (call.method == method::post) {
            // Without this line libcurl waits for a 100-continue on longer bodies.
            state.headers = curl_slist_append(state.headers, "Expect:");
            curl_easy_setopt(handle, CURLOPT_POST, 1L);
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        } else if (call.method == method::remove) {
            curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST,
                             method_names.at(static_cast<std::size_t>(call.method)));
        }
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, state.headers);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(m_options.connect_timeout.count()));
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state);
        if (m_options.keep_headers) {
            curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
            curl_easy_setopt(handle, CURLOPT_HEADERDATA, &state);
        }
        curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, refuse_second_send);
        curl_easy_setopt(handle, CURLOPT_PREREQDATA, &state);
        curl_easy_setopt(handle, CURLOPT_VERBOSE, 1L);
        curl_easy_setopt(handle, CURLOPT_DEBUGFUNCTION, on_debug);
        curl_easy_setopt(handle, CURLOPT_DEBUGDATA, &state);
    }

    void finish_done()
    {
        int remaining = 0;
        while (const CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL* handle = message->easy_handle;
            const CURLcode code = message->data.result;
            transfer* state = transfer_of(handle);
            const call_id id = state->id;
            const outcome_kind outcome = outcome_of(*state, code);
            response result = std::move(state->result);
            result.outcome = outcome;
            finish(result, handle, code);
            m_active.erase(id);
            release(handle, state);
            m_on_response(id, std::move(result));
        }
    }

    static void finish(response& result, CURL* handle, CURLcode code)
    {
        if (code != CURLE_OK) {
            result.detail = curl_easy_strerror(code);
            long cause = 0;
            curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &cause);
            result.refused = code == CURLE_COULDNT_CONNECT && cause == ECONNREFUSED;
            return;
        }
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        result.status = static_cast<int>(status);
    }

    void release(CURL* handle, transfer* state)
    {
        curl_multi_remove_handle(m_multi, handle);
        curl_slist_free_all(state->headers);
        delete state;
        if (m_idle.size() >= max_idle_handles) {
            curl_easy_cleanup(handle);
            return;
        }
        curl_easy_reset(handle);
        m_idle.push_back(handle);
    }

    client_options m_options;
    handler m_on_response;
    CURLM* m_multi;
    socket_poller m_poller;
    time_point m_timer_due = time_point::max();  ///< when libcurl wants to be called without an event
    bounded_ring<command> m_commands;
    std::unordered_map<call_id, CURL*> m_active;
    std::vector<CURL*> m_idle;
    std::jthread m_thread;
};

client::client(client_options options, handler on_response)
    : m_loop(std::make_unique<loop>(options, std::move(on_response)))
{}

client::~client() = default;

bool client::start(call_id id, request call)
{
    return m_loop->commands().try_push(start_command{id, std::move(call)});
}

bool client::abandon(call_id id)
{
    return m_loop->commands().try_push(abandon_command{id});
}

}  // namespace poplarshed::http
