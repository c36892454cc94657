#include <utility>

#include "ctl/ctl.h"

namespace poplarshed::ctl {

using configuration::bundle;
using configuration::pointer;
using configuration::proposal;

namespace {

// Repetitions of a write whose answer was lost, and of a reading that raced with a write.
constexpr int max_tries = 5;
// Proposals that were never rolled out occupy numbers above the version in force.
constexpr std::uint64_t max_pending = 100;
constexpr std::size_t max_note_bytes = 2'000;

failure unreachable(const std::string& doing, const std::string& detail)
{
    return {exit_code::unreachable,
            doing + ": no usable answer of the platform" + (detail.empty() ? "" : ": " + detail),
            {}};
}

failure refused(const std::string& message)
{
    return {exit_code::failed, message, {}};
}

std::string number(configuration_version version)
{
    return std::to_string(version.value());
}

result<bundle> parse_stored_bundle(std::string_view text, const std::string& name)
{
    return configuration::parse_bundle(text, name);
}

// Whether another reading tells if the write took effect or what stood against it.
bool is_settled_by_reading(platform::write_status status)
{
    return status == platform::write_status::outcome_unknown || status == platform::write_status::conflict;
}

failure not_written(const std::string& doing, const platform::write_outcome& outcome)
{
    if (outcome.status == platform::write_status::unavailable) {
        return unreachable(doing, outcome.detail);
    }
    return refused(doing + ": the platform refused the write: " + outcome.detail);
}

failure lost_repeatedly(const std::string& doing)
{
    return unreachable(doing, "answers were lost or writes raced " + std::to_string(max_tries) +
                                  " times; read the history to see whether it took effect");
}

}  // namespace

workflow::workflow(store& platform, operator_id who, std::function<std::uint64_t()> nonce)
    : m_store(platform), m_who(std::move(who)), m_nonce(std::move(nonce))
{}

template <class Document>
ctl_result<workflow::stored<Document>> workflow::read(const std::string& key, parser<Document> parse)
{
    platform::read_outcome outcome;
    for (int i = 0; i < max_tries; ++i) {
        outcome = m_store.read(key);
        if (outcome.status != platform::read_status::unavailable) {
            break;
        }
    }
    if (outcome.status == platform::read_status::unavailable) {
        return unreachable("reading " + key, outcome.detail);
    }
    if (outcome.status == platform::read_status::absent || outcome.entries.empty()) {
        return stored<Document>{};
    }
    return parse_entry(outcome.entries.front(), parse);
}

template <class Document>
ctl_result<workflow::stored<Document>> workflow::parse_entry(const platform::entry& item,
                                                             parser<Document> parse)
{
    auto document = parse(item.value, item.key);
    if (!document) {
        return refused(document.error().message);
    }
    return stored<Document>{std::move(document.value()), item.revision};
}

// A conflict names the value that stood against the write; a reading may be older than that.
template <class Document>
ctl_result<workflow::stored<Document>> workflow::read_after(const platform::write_outcome& outcome,
                                                            const std::string& key, parser<Document> parse)
{
    if (outcome.status != platform::write_status::conflict) {
        return read(key, parse);
    }
    return outcome.current ? parse_entry(*outcome.current, parse) : stored<Document>{};
}

ctl_result<workflow::stored<proposal>> workflow::read_proposal(configuration_version version)
{
    return read<proposal>(configuration::proposal_key(version), configuration::parse_proposal);
}

ctl_result<workflow::stored<pointer>> workflow::read_pointer()
{
    return read<pointer>(std::string(configuration::pointer_key), configuration::parse_pointer);
}

ctl_result<std::optional<pointer>> workflow::current()
{
    auto found = read_pointer();
    if (!found) {
        return found.error();
    }
    return found.value().document;
}

ctl_result<bundle> workflow::bundle_of(configuration_version version)
{
    auto found = read<bundle>(configuration::bundle_key(version), parse_stored_bundle);
    if (!found) {
        return found.error();
    }
    if (!found.value().document) {
        return refused("version " + number(version) + " has no stored bundle");
    }
    return *found.value().document;
}

ctl_result<proposal> workflow::existing_proposal(configuration_version version)
{
    auto found = read_proposal(version);
    if (!found) {
        return found.error();
    }
    if (!found.value().document) {
        return refused("version " + number(version) + " was never proposed");
    }
    return *found.value().document;
}

// Empty where one of the bundles cannot be read; the change is shown for information only.
std::vector<configuration::difference> workflow::change_between(configuration_version before,
                                                                configuration_version after)
{
    const auto left = before.value() == 0 ? ctl_result<bundle>(bundle{}) : bundle_of(before);
    const auto right = bundle_of(after);
    if (!left || !right) {
        return {};
    }
    return configuration::differences(left.value(), right.value());
}

ctl_result<reviewed_proposal> workflow::propose(bundle content, const std::string& note)
{
    if (note.size() > max_note_bytes) {
        return refused("the note has more than " + std::to_string(max_note_bytes) + " bytes");
    }
    const auto in_force = current();
    if (!in_force) {
        return in_force.error();
    }
    const configuration_version base = in_force.value() ? in_force.value()->version : configuration_version();
    const auto before = base.value() == 0 ? ctl_result<bundle>(bundle{}) : bundle_of(base);
    if (!before) {
        return before.error();
    }
    const auto changes = configuration::differences(before.value(), content);
    if (changes.empty()) {
        return refused("the bundle has the same content as version " + number(base) + ", which is in force");
    }
    for (content.version = base.next(); content.version.value() <= base.value() + max_pending;
         content.version = content.version.next()) {
        const proposal document{content.version, configuration::digest_of(content), base, m_who, note, {},
                                m_nonce()};
        const auto claimed = claim_number(document);
        if (!claimed) {
            return claimed.error();
        }
        if (claimed.value()) {
            const auto kept = store_bundle(content);
            return kept ? ctl_result<reviewed_proposal>(reviewed_proposal{document, content, changes})
                        : kept.error();
        }
    }
    return refused("more than " + std::to_string(max_pending) + " proposals are pending above version " +
                   number(base));
}

// Repeats a conditional write while its outcome is open. `decide` sees what the key holds and either ends the
// work or names the value to write.
template <class Result, class Document, class Decide>
ctl_result<Result> workflow::swap(const std::string& key, parser<Document> parse,
                                  ctl_result<stored<Document>> found, const std::string& doing, Decide decide)
{
    for (int i = 0; i < max_tries; ++i) {
        if (!found) {
            return found.error();
        }
        const next_step<Result> step = decide(found.value());
        if (step.done) {
            return *step.done;
        }
        const auto outcome = m_store.write(key, step.value, found.value().revision);
        if (outcome.status == platform::write_status::written) {
            return step.if_written;
        }
        if (!is_settled_by_reading(outcome.status)) {
            return not_written(doing, outcome);
        }
        found = read_after(outcome, key, parse);
    }
    return lost_repeatedly(doing);
}

// True if the number is ours, false if another proposal has it.
ctl_result<bool> workflow::claim_number(const proposal& document)
{
    const auto decide = [&document](const stored<proposal>& found) {
        next_step<bool> step{std::nullopt, configuration::to_text(document), true};
        if (found.document) {
            step.done = found.document->nonce == document.nonce;
        }
        return step;
    };
    return swap<bool, proposal>(configuration::proposal_key(document.version), configuration::parse_proposal,
                                stored<proposal>{}, "proposing version " + number(document.version), decide);
}

ctl_result<bool> workflow::store_bundle(const bundle& content)
{
    const std::string key = configuration::bundle_key(content.version);
    const auto decide = [&](const stored<bundle>& found) {
        next_step<bool> step{std::nullopt, configuration::canonical_text(content), true};
        if (found.document == content) {
            step.done = true;
        } else if (found.document) {
            step.done = refused(key + " already holds another bundle; propose again");
        }
        return step;
    };
    return swap<bool, bundle>(key, parse_stored_bundle, stored<bundle>{}, "storing " + key, decide);
}

ctl_result<reviewed_proposal> workflow::show(configuration_version version)
{
    const auto document = existing_proposal(version);
    if (!document) {
        return document.error();
    }
    const auto content = bundle_of(version);
    if (!content) {
        return content.error();
    }
    return reviewed_proposal{document.value(), content.value(),
                             change_between(document.value().base, version)};
}

ctl_result<reviewed_proposal> workflow::sign_off(configuration_version version, const digest& reviewed)
{
    const auto content = bundle_of(version);
    if (!content) {
        return content.error();
    }
    if (configuration::digest_of(content.value()) != reviewed) {
        return refused("the stored bundle of version " + number(version) + " has digest " +
                       configuration::digest_of(content.value()).to_hex() + ", but " + reviewed.to_hex() +
                       " was reviewed");
    }
    const auto decide = [&](const stored<proposal>& found) {
        next_step<proposal> step;
        if (!found.document) {
            step.done = refused("version " + number(version) + " was never proposed");
            return step;
        }
        const auto after = configuration::sign_off(*found.document, m_who, reviewed);
        if (!after) {
            step.done = refused(after.error().message);
            return step;
        }
        step.value = configuration::to_text(after.value());
        step.if_written = after.value();
        // Also the end of a write whose answer was lost: the sign-off is there.
        if (after.value() == *found.document) {
            step.done = after.value();
        }
        return step;
    };
    const auto document =
        swap<proposal, proposal>(configuration::proposal_key(version), configuration::parse_proposal,
                                 read_proposal(version), "signing off version " + number(version), decide);
    if (!document) {
        return document.error();
    }
    return reviewed_proposal{document.value(), content.value(),
                             change_between(document.value().base, version)};
}

failure workflow::lost_race(const proposal& document, const pointer& winner, const std::string& message)
{
    return {exit_code::failed,
            message + "\nversion " + number(winner.version) + " was rolled out by " +
                winner.rolled_out_by.value() + " (proposed by " + winner.proposer.value() +
                ", signed off by " + winner.signed_off_by.value() + ")",
            change_between(document.base, winner.version)};
}

ctl_result<rolled_out> workflow::roll_out(configuration_version version)
{
    const auto document = existing_proposal(version);
    if (!document) {
        return document.error();
    }
    const auto content = bundle_of(version);
    if (!content) {
        return content.error();
    }
    const std::uint64_t nonce = m_nonce();
    bool tried = false;
    const auto decide = [&](const stored<pointer>& found) {
        auto step = decide_roll_out(found.document, document.value(), content.value(), nonce, tried);
        tried = true;
        return step;
    };
    auto done =
        swap<rolled_out, pointer>(std::string(configuration::pointer_key), configuration::parse_pointer,
                                  read_pointer(), "rolling out version " + number(version), decide);
    if (done) {
        done.value().changes = change_between(document.value().base, version);
    }
    return done;
}

// `tried` says that an own write was sent before and its outcome is open.
workflow::next_step<rolled_out> workflow::decide_roll_out(const std::optional<pointer>& in_force,
                                                          const proposal& document, const bundle& content,
                                                          std::uint64_t nonce, bool tried)
{
    next_step<rolled_out> step;
    const auto moved = configuration::roll_out(in_force, document, content, m_who, nonce);
    if (moved) {
        step.value = configuration::to_text(moved.value());
        step.if_written.document = moved.value();
    } else if (in_force && in_force->version == document.version && in_force->nonce == nonce) {
        // The write whose answer was lost took effect.
        step.done = rolled_out{*in_force, {}, {}};
    } else if (tried && in_force && in_force->previous == document.version) {
        // It took effect, and another operator has built on it since.
        pointer own = *in_force;
        own.version = document.version;
        own.content = document.content;
        own.previous = document.base;
        step.done = rolled_out{own, {}, in_force->version};
    } else if (in_force && in_force->version != document.base) {
        step.done = lost_race(document, *in_force, moved.error().message);
    } else {
        step.done = refused(moved.error().message);
    }
    return step;
}

ctl_result<history> workflow::list(std::size_t limit)
{
    history items;
    const auto in_force = current();
    if (!in_force) {
        return in_force.error();
    }
    items.current = in_force.value();
    const std::uint64_t newest = items.current ? items.current->version.value() : 0;
    for (std::uint64_t number = newest + 1; number <= newest + max_pending; ++number) {
        const auto found = read_proposal(configuration_version(number));
        if (!found) {
            return found.error();
        }
        if (!found.value().document) {
            break;
        }
        items.pending.insert(items.pending.begin(), *found.value().document);
    }
    configuration_version version(newest);
    while (version.value() != 0 && items.past.size() < limit) {
        const auto document = existing_proposal(version);
        if (!document) {
            return document.error();
        }
        items.past.push_back(document.value());
        version = document.value().base;
    }
    return items;
}

}  // namespace poplarshed::ctl
