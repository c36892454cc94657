#pragma once

#include <string>

#include "deployment.h"

namespace review {

/// Each plays one case and writes its record. @returns 1 if the rule was broken, 0 if it held, 2 if the case could not
/// run
int resend_case(const std::string& record_path);
int kind_case(const std::string& record_path);
int room_case(const std::string& record_path);
int dropped_route_case(const std::string& record_path);

}  // namespace review
