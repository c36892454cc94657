#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "instance/own_records.h"
#include "instance/protocol.h"

namespace poplarshed::instance {

/// Copy of the parts of the store that an instance needs: the configuration, the evacuations, the entries of
/// workers and the instances' own records. Fed by the store or by a peer; changes are numbered, so that peers
/// can ask for those that they lack. Not thread-safe; no I/O.
class directory {
public:
    struct change {
        bool configuration = false;
        bool workers = false;
        bool instances = false;
        bool layout = false;
        bool evacuations = false;
    };

    /// An item that is not used.
    struct skipped_entry {
        std::string key;
        input_error cause;
    };

    /// @param first_sequence above every sequence of a former life of this instance
    directory(const protocol& protocol, const std::string& node, std::uint64_t first_sequence);

    /// All items of a prefix. Workers that are missing stay for a while, since they may have lapsed in an
    /// outage of the store.
    void on_list(time_point now, const std::string& prefix, const std::vector<store_item>& items);
    void on_events(time_point now, const std::vector<store_item>& items);
    /// Items that a peer passes on. Older ones than the known ones are left out.
    /// Items of a peer.
    /// @returns false if the peer is behind: it has sent items whose removal is known here. These are not
    /// used, and all items must be asked for again, since a peer does not announce an item that came back
    /// unchanged.
    bool on_relay(time_point now, const workers::directory_push& push);
    /// The configuration of a peer. Says nothing of what else the peer knows.
    void on_configuration(const workers::directory_push& push);
    /// A call to the store has failed: entries that go now may come back.
    void on_store_failure(time_point now) { m_failed = now; }
    /// Drops workers that are missing for longer than an outage explains. To be called while the store is
    /// reachable, here or at the peer that passes its items on.
    void forget_vanished(time_point now);

    /// What has changed since the last call.
    change take_changes();
    /// Items that are not used, each fault once.
    std::vector<skipped_entry> take_skipped();
    /// Reports an item, or a list of them, that is not used.
    void skip(const std::string& key, const input_error& cause);
    /// True if every change since a sequence number of this instance is known.
    bool remembers(std::uint64_t sequence) const
    {
        return sequence >= m_first_sequence && sequence <= m_sequence;
    }
    /// Items that have changed since a sequence number; all where it is not remembered.
    workers::directory_push changes_since(std::uint64_t sequence) const;
    /// The configuration alone, for a peer whose own is older.
    workers::directory_push configuration() const;
    std::uint64_t sequence() const { return m_sequence; }
    /// Greatest revision of an item that is used.
    std::uint64_t revision() const { return m_revision; }

    const std::string& configuration_value() const { return m_configuration.content.value; }
    std::vector<workers::worker_entry> workers() const;
    /// Data centres whose evacuation the operators have ordered.
    std::set<data_centre_id> evacuated() const;
    const own_records& own() const { return m_own; }
    bool contains(const std::string& key) const { return m_items.contains(key); }
    /// No worker has gone lately without having said that it drains, none has changed its pool, and no call
    /// has failed: whoever lists the workers of a pool sees every run of its jobs.
    bool complete(time_point now) const;

private:
    struct item {
        store_item content;
        std::uint64_t changed = 0;  ///< sequence of the last change that matters
    };

    void apply(time_point now, const store_item& content);
    void apply_configuration(const store_item& content);
    void apply_own(const store_item& content);
    /// Faults of an item that do not depend on its kind.
    std::optional<input_error> fault_of(const store_item& content) const;
    /// @returns false if nothing but a sign of life has changed
    bool apply_worker(time_point now, const store_item& content);
    void remove(time_point now, const store_item& content);
    /// True if an item was removed here after a revision.
    bool was_removed(const std::string& key, std::uint64_t revision) const;
    /// @param revision of the removal; 0 if unknown
    void drop(time_point now, const std::string& key, std::uint64_t revision = 0);
    void keep_only(time_point now, const std::string& prefix, const std::set<std::string>& present);
    void mark(const std::string& key);
    /// Numbers a change. @param before number of the last change of the same key, 0 for none
    std::uint64_t number(const std::string& key, std::uint64_t before);
    bool is_worker(const std::string& key) const { return key.starts_with(m_workers_prefix); }
    bool is_evacuation(const std::string& key) const { return key.starts_with(m_evacuation_prefix); }
    /// Operators' items that instances do not use.
    bool is_unused(const std::string& key) const;

    const protocol& m_protocol;
    std::string m_operator_prefix;
    std::string m_evacuation_prefix;
    std::string m_workers_prefix;
    own_records m_own;
    std::map<std::string, item> m_items;
    std::map<std::string, workers::worker_entry> m_workers;  ///< by key
    std::map<std::string, time_point> m_vanished;            ///< workers that a new list lacks
    std::map<std::string, item> m_removed;                   ///< for peers that ask for changes
    std::map<std::uint64_t, std::string> m_changed_keys;     ///< by the number of the last change
    item m_configuration;
    change m_changes;
    std::vector<skipped_entry> m_skipped;
    fault_journal m_faults;  ///< by key
    std::uint64_t m_revision = 0;
    std::uint64_t m_sequence;
    std::uint64_t m_first_sequence;  ///< changes before it are not remembered
    time_point m_failed;
    /// When a worker went that may run on, or workers changed pools; the start counts.
    time_point m_lapsed;
};

}  // namespace poplarshed::instance
