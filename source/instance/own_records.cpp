#include "instance/own_records.h"

#include <algorithm>

#include "json/json.h"

namespace poplarshed::instance {

namespace {

constexpr std::size_t max_record_bytes = 4096;
constexpr const char* address_field = "address";
constexpr const char* data_centre_field = "data_centre";
constexpr const char* pools_field = "pools";

json::value field(const json::value& record, const char* name)
{
    const auto found = record.find(name);
    return found == record.end() ? json::value() : *found;
}

}  // namespace

own_records::own_records(std::string prefix, const std::string& node)
    : m_prefix(std::move(prefix)),
      m_instances_prefix(m_prefix + "instances/"),
      m_pools_prefix(m_prefix + "pools/"),
      m_layouts_prefix(m_prefix + "layouts/"),
      m_instance_key(m_instances_prefix + node)
{}

std::string own_records::value(const endpoint& address, const data_centre_id& data_centre)
{
    return json::value{{address_field, address.value()}, {data_centre_field, data_centre.value()}}.dump();
}

std::string own_records::value(std::size_t pools)
{
    return json::value{{pools_field, pools}}.dump();
}

std::string own_records::layout_key(const routing::worker_group& group) const
{
    return m_layouts_prefix + group.data_centre.value() + '/' + group.service.value();
}

std::optional<routing::worker_group> own_records::group_of(const std::string& key) const
{
    const auto slash = is_layout(key) ? key.find('/', m_layouts_prefix.size()) : std::string::npos;
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    return routing::worker_group{
        data_centre_id(key.substr(m_layouts_prefix.size(), slash - m_layouts_prefix.size())),
        service_id(key.substr(slash + 1))};
}

void own_records::apply(const store_item& item)
{
    if (!item.key.starts_with(m_prefix)) {
        return;
    }
    const auto parsed = json::parse(item.value, item.key, {max_record_bytes});
    const json::value record = parsed && parsed.value().is_object() ? parsed.value() : json::value::object();
    const json::value address_text = field(record, address_field);
    const endpoint address(address_text.is_string() ? address_text.get<std::string>() : "");
    if (is_instance(item.key)) {
        m_instances[item.key] = address;
    } else if (item.key.starts_with(m_pools_prefix)) {
        m_pools[routing::pool_id(item.key.substr(m_pools_prefix.size()))] = {address, item.revision};
    } else if (const auto group = group_of(item.key)) {
        const json::value pools = field(record, pools_field);
        const std::size_t count = pools.is_number_unsigned() ? pools.get<std::size_t>() : 1;
        m_layout[*group] = {std::max<std::size_t>(1, count), item.revision};
    }
}

void own_records::forget(const std::string& key)
{
    m_instances.erase(key);
    if (key.starts_with(m_pools_prefix)) {
        m_pools.erase(routing::pool_id(key.substr(m_pools_prefix.size())));
    } else if (const auto group = group_of(key)) {
        m_layout.erase(*group);
    }
}

std::vector<endpoint> own_records::instances() const
{
    std::vector<endpoint> found;
    for (const auto& [key, address] : m_instances) {
        if (!address.empty()) {
            found.push_back(address);
        }
    }
    return found;
}

}  // namespace poplarshed::instance
