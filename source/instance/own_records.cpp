#include "instance/own_records.h"

#include "peer/address.h"

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

std::optional<input_error> own_records::apply(const store_item& item)
{
    if (!item.key.starts_with(m_prefix)) {
        return std::nullopt;
    }
    const auto parsed = json::parse(item.value, item.key, {max_record_bytes});
    const bool readable = parsed && parsed.value().is_object();
    const json::value record = readable ? parsed.value() : json::value::object();
    if (is_layout(item.key)) {
        return apply_layout(item, record);
    }
    const bool is_pool = item.key.starts_with(m_pools_prefix);
    if (!is_pool && !is_instance(item.key)) {
        return std::nullopt;
    }
    const json::value address_text = field(record, address_field);
    endpoint address(address_text.is_string() ? address_text.get<std::string>() : "");
    const bool usable = peer::is_connectable(address);
    address = usable ? address : endpoint();
    if (is_pool) {
        // Without an address nobody holds the pool; the revision is needed to claim it.
        m_pools[routing::pool_id(item.key.substr(m_pools_prefix.size()))] = {address, item.revision};
    } else {
        m_instances[item.key] = address;
    }
    if (usable) {
        return std::nullopt;
    }
    return readable ? input_error{input_fault::address, "the address is not of the form ip:port"}
                    : input_error{input_fault::unreadable, "no JSON object, or nested too deeply"};
}

std::optional<input_error> own_records::apply_layout(const store_item& item, const json::value& record)
{
    const auto group = group_of(item.key);
    if (!group) {
        return input_error{input_fault::key, "the key names no zone and service"};
    }
    const json::value pools = field(record, pools_field);
    const std::uint64_t count = pools.is_number_unsigned() ? pools.get<std::uint64_t>() : 0;
    routing::group_layout& known = m_layout.try_emplace(*group, routing::group_layout{0}).first->second;
    known.revision = item.revision;
    known.record_invalid = count < 1 || count > routing::max_pools_per_group;
    if (known.record_invalid) {
        return input_error{input_fault::number, "the number of pools is out of range"};
    }
    known.pools = count;
    return std::nullopt;
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
