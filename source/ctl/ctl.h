#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "platform/platform.h"

/// Operators' work on the configuration and on entry instances. Every call belongs to one thread and waits
/// for answers.
namespace poplarshed::ctl {

enum class exit_code : int {
    ok = 0,
    failed = 1,       ///< refused by a rule, lost a race, or invalid input
    usage = 2,        ///< wrong command line or unreadable file
    unreachable = 3,  ///< platform or instance gave no usable answer; nothing is known to have changed
};

/// Why a command did not succeed.
struct failure {
    exit_code code = exit_code::failed;
    std::string message;
    /// Change of another operator that stood against this one, where there is one.
    std::vector<configuration::difference> winning_change;
};

template <class T>
using ctl_result = result<T, failure>;

/// The two calls of the platform's key-value service that operators need.
class store {
public:
    store() = default;
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    virtual ~store() = default;

    virtual platform::read_outcome read(const std::string& key) = 0;
    virtual platform::write_outcome write(const std::string& key, const std::string& value,
                                          platform::revision expected) = 0;
};

/// The store over HTTP.
class platform_store : public store {
public:
    explicit platform_store(const platform::client_options& options) : m_client(options) {}

    platform::read_outcome read(const std::string& key) override;
    platform::write_outcome write(const std::string& key, const std::string& value,
                                  platform::revision expected) override;

private:
    platform::client m_client;
};

/// A proposal with its bundle and the change against the version that it starts from.
struct reviewed_proposal {
    configuration::proposal document;
    configuration::bundle content;
    std::vector<configuration::difference> changes;
};

struct rolled_out {
    configuration::pointer document;
    std::vector<configuration::difference> changes;
    /// Version that another operator rolled out on top in the meantime; 0 if none.
    configuration_version superseded_by;
};

/// Versions in force and pending proposals, newest first.
struct history {
    std::optional<configuration::pointer> current;
    std::vector<configuration::proposal> pending;
    std::vector<configuration::proposal> past;  ///< the version in force first
};

/// Changes the configuration by compare-and-swap. A write whose answer is lost is resolved by reading back:
/// the nonce tells the own write.
class workflow {
public:
    /// @param nonce draws a fresh number for each write
    workflow(store& platform, operator_id who, std::function<std::uint64_t()> nonce);

    /// Stores the bundle under the next free version number, which replaces the number in `content`.
    ctl_result<reviewed_proposal> propose(configuration::bundle content, const std::string& note);
    /// @param reviewed digest that the operator has reviewed
    ctl_result<reviewed_proposal> sign_off(configuration_version version, const digest& reviewed);
    ctl_result<rolled_out> roll_out(configuration_version version);

    /// A stored proposal with its bundle.
    ctl_result<reviewed_proposal> show(configuration_version version);
    /// Pointer in force; nothing before the first roll-out.
    ctl_result<std::optional<configuration::pointer>> current();
    ctl_result<configuration::bundle> bundle_of(configuration_version version);
    ctl_result<history> list(std::size_t limit);

private:
    /// Value of a key with its revision; revision 0 and no document if it is absent.
    template <class Document>
    struct stored {
        std::optional<Document> document;
        platform::revision revision;
    };

    template <class Document>
    using parser = result<Document> (*)(std::string_view text, const std::string& name);

    template <class Document>
    ctl_result<stored<Document>> read(const std::string& key, parser<Document> parse);
    template <class Document>
    ctl_result<stored<Document>> parse_entry(const platform::entry& item, parser<Document> parse);
    /// What a key holds after a write that did not report success.
    template <class Document>
    ctl_result<stored<Document>> read_after(const platform::write_outcome& outcome, const std::string& key,
                                            parser<Document> parse);
    ctl_result<stored<configuration::proposal>> read_proposal(configuration_version version);
    ctl_result<stored<configuration::pointer>> read_pointer();
    ctl_result<configuration::proposal> existing_proposal(configuration_version version);

    /// What to do next in a compare-and-swap: nothing more, or to write `value`.
    template <class Result>
    struct next_step {
        std::optional<ctl_result<Result>> done;
        std::string value;
        Result if_written{};
    };

    template <class Result, class Document, class Decide>
    ctl_result<Result> swap(const std::string& key, parser<Document> parse,
                            ctl_result<stored<Document>> found, const std::string& doing, Decide decide);
    ctl_result<bool> claim_number(const configuration::proposal& document);
    ctl_result<bool> store_bundle(const configuration::bundle& content);
    std::vector<configuration::difference> change_between(configuration_version before,
                                                          configuration_version after);
    next_step<rolled_out> decide_roll_out(const std::optional<configuration::pointer>& in_force,
                                          const configuration::proposal& document,
                                          const configuration::bundle& content, std::uint64_t nonce,
                                          bool tried);
    failure lost_race(const configuration::proposal& document, const configuration::pointer& winner,
                      const std::string& message);

    store& m_store;
    operator_id m_who;
    std::function<std::uint64_t()> m_nonce;
};

/// Answer of an entry instance to an operator's request.
struct instance_answer {
    int status = 0;
    std::string body;
};

/// Sends a request with the operator token to an entry instance's HTTP interface.
/// Failure unreachable if there is no answer within 5 s.
ctl_result<instance_answer> call_instance(const std::string& method, const endpoint& instance,
                                          const std::string& path, const std::string& token);

}  // namespace poplarshed::ctl
