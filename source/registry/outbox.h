#pragma once

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "registry/types.h"

namespace poplarshed::registry {

/// Collects the actions of one turn of the event loop. Entries for the same receiver with the same message
/// header are batched into one message.
class outbox {
public:
    void claims(const instance_id& to, const data_centre_id& home, view_epoch epoch, const instance_id& owner,
                const claim_entry& entry)
    {
        append(to, claim{home, epoch, owner, {}}, &claim::entries, entry);
    }
    void forward(const instance_id& to, const data_centre_id& home, view_epoch epoch,
                 const instance_id& owner, const claim_entry& entry)
    {
        append(to, claim_forward{home, epoch, owner, {}}, &claim_forward::entries, entry);
    }
    void grant(const instance_id& to, const data_centre_id& home, view_epoch epoch, const grant_entry& entry)
    {
        append(to, claim_grant{home, epoch, {}}, &claim_grant::claims, entry);
    }
    void known(const instance_id& to, const data_centre_id& home, view_epoch epoch, const known_entry& entry)
    {
        append(to, claim_known{home, epoch, {}}, &claim_known::entries, entry);
    }
    void refuse(const instance_id& to, const data_centre_id& home, view_epoch epoch, refuse_cause cause,
                const claim_reference& reference)
    {
        append(to, claim_refuse{home, epoch, cause, {}}, &claim_refuse::claims, reference);
    }
    void release(const instance_id& to, const data_centre_id& home, const instance_id& owner,
                 const claim_reference& reference)
    {
        append(to, claim_release{home, owner, {}}, &claim_release::claims, reference);
    }
    void send(const instance_id& to, message body)
    {
        m_actions.emplace_back(send_message{to, std::move(body)});
    }
    void decide(action decision) { m_actions.push_back(std::move(decision)); }

    bool empty() const { return m_actions.empty(); }
    std::vector<action> take() { return std::exchange(m_actions, {}); }

private:
    static constexpr std::size_t max_entries =
        4'096;                                       ///< per message; keeps it far below the frame size limit
    static constexpr std::size_t max_lookback = 64;  ///< queued actions searched for a message to extend

    template <class Message, class Entry>
    void append(const instance_id& to, Message header, std::vector<Entry> Message::*list, const Entry& entry)
    {
        const std::size_t oldest = m_actions.size() > max_lookback ? m_actions.size() - max_lookback : 0;
        for (std::size_t i = m_actions.size(); i > oldest; --i) {
            auto* sent = std::get_if<send_message>(&m_actions[i - 1]);
            if (sent == nullptr || sent->to != to) {
                continue;
            }
            auto* same = std::get_if<Message>(&sent->body);
            if (same != nullptr && (same->*list).size() < max_entries && same_header(*same, header, list)) {
                (same->*list).push_back(entry);
                return;
            }
        }
        (header.*list).push_back(entry);
        send(to, std::move(header));
    }

    template <class Message, class Entry>
    static bool same_header(Message& left, const Message& right, std::vector<Entry> Message::*list)
    {
        std::vector<Entry> entries = std::exchange(left.*list, {});
        const bool same = left == right;
        left.*list = std::move(entries);
        return same;
    }

    std::vector<action> m_actions;
};

}  // namespace poplarshed::registry
