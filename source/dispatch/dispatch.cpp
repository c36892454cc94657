#include "dispatch/dispatch.h"

#include "dispatch/baselines.h"
#include "dispatch/expected_finish.h"

namespace poplarshed::dispatch {

std::vector<action> dispatcher::on_slot_demand(const slot_demand& /*message*/, time_point /*now*/)
{
    return {};
}

std::vector<action> dispatcher::on_slot_grant(const slot_grant& /*message*/, time_point /*now*/)
{
    return {};
}

std::unique_ptr<dispatcher> make_dispatcher(policy_kind kind, std::uint64_t seed,
                                            const policy_options& options)
{
    switch (kind) {
        case policy_kind::random_choice:
            return std::make_unique<random_choice>(seed);
        case policy_kind::round_robin_static:
            return std::make_unique<round_robin_static>();
        case policy_kind::expected_finish:
            break;
    }
    return std::make_unique<expected_finish>(seed, options);
}

}  // namespace poplarshed::dispatch
