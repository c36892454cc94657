#include "routing/types.h"

#include <algorithm>

namespace poplarshed::routing {

const route* configuration::find(std::string_view host, std::string_view path) const
{
    const route* longest_match = nullptr;
    for (const route& candidate : routes) {
        if (candidate.host == host && path.starts_with(candidate.prefix) &&
            (longest_match == nullptr || candidate.prefix.size() > longest_match->prefix.size())) {
            longest_match = &candidate;
        }
    }
    return longest_match;
}

data_centre_id data_centre_of(const pool_id& pool)
{
    return data_centre_id(pool.value().substr(0, pool.value().find('/')));
}

service_id service_of(const pool_id& pool)
{
    const std::string& name = pool.value();
    const std::size_t begin = std::min(name.find('/'), name.size() - 1) + 1;
    return service_id(name.substr(begin, name.find('/', begin) - begin));
}

}  // namespace poplarshed::routing
