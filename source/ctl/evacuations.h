#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ctl/ctl.h"

namespace poplarshed::ctl {

/// What an instance tells of the evacuation of a data centre.
struct evacuation_state {
    std::string data_centre;
    bool in_force = false;  ///< at this instance
    double seconds = 0;     ///< since the order came into force there
    double runs = 0;        ///< on workers of the data centre whose pools the instance holds

    bool operator==(const evacuation_state&) const = default;
};

/// Reads an instance's metrics. Data centres that were never evacuated while the instance ran are not among
/// the result. Lines that cannot be read are left out.
std::vector<evacuation_state> read_evacuations(std::string_view metrics);

}  // namespace poplarshed::ctl
