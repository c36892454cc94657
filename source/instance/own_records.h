#pragma once

#include <map>
#include <string>
#include <vector>

#include "instance/protocol.h"
#include "json/json.h"

namespace poplarshed::instance {

/// What the instances write to the store: their addresses, the holders of pools, and the layout of pools.
class own_records {
public:
    /// @param node name of this instance
    own_records(std::string prefix, const std::string& node);

    /// Takes an item; items of others are ignored. @returns why it names nothing
    std::optional<input_error> apply(const store_item& item);
    void forget(const std::string& key);

    std::vector<endpoint> instances() const;
    const std::map<routing::pool_id, routing::pool_record>& pools() const { return m_pools; }
    const routing::pool_layout& layout() const { return m_layout; }

    const std::string& prefix() const { return m_prefix; }
    const std::string& instance_key() const { return m_instance_key; }
    std::string pool_key(const routing::pool_id& pool) const { return m_pools_prefix + pool.value(); }
    std::string layout_key(const routing::worker_group& group) const;
    bool is_instance(const std::string& key) const { return key.starts_with(m_instances_prefix); }
    bool is_layout(const std::string& key) const { return key.starts_with(m_layouts_prefix); }
    /// Value of a record that names an instance.
    static std::string value(const endpoint& address, const data_centre_id& data_centre);
    /// Value of a layout record.
    static std::string value(std::size_t pools);

private:
    std::optional<input_error> apply_layout(const store_item& item, const json::value& record);
    std::optional<routing::worker_group> group_of(const std::string& key) const;

    std::string m_prefix;
    std::string m_instances_prefix;
    std::string m_pools_prefix;
    std::string m_layouts_prefix;
    std::string m_instance_key;
    std::map<std::string, endpoint> m_instances;  ///< by key
    std::map<routing::pool_id, routing::pool_record> m_pools;
    routing::pool_layout m_layout;
};

}  // namespace poplarshed::instance
