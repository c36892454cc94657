#include <future>

#include "ctl/ctl.h"

namespace poplarshed::ctl {

platform::read_outcome platform_store::read(const std::string& key)
{
    std::promise<platform::read_outcome> answer;
    const bool queued = m_client.read(
        key, [&answer](platform::read_outcome outcome) { answer.set_value(std::move(outcome)); });
    return queued ? answer.get_future().get() : platform::read_outcome{};
}

platform::write_outcome platform_store::write(const std::string& key, const std::string& value,
                                              platform::revision expected)
{
    std::promise<platform::write_outcome> answer;
    const bool queued =
        m_client.write(key, value, expected, std::nullopt,
                       [&answer](platform::write_outcome outcome) { answer.set_value(std::move(outcome)); });
    return queued ? answer.get_future().get() : platform::write_outcome{};
}

}  // namespace poplarshed::ctl
