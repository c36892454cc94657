#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "ctl/ctl.h"
#include "ctl/request_path.h"

/// What the commands print: one JSON value with --output json, else text.
namespace poplarshed::ctl {

using report_json = nlohmann::ordered_json;

/// Both forms of one result.
struct report {
    report_json json;
    std::string text;
};

report report_of(const reviewed_proposal& item, const std::string& action);
report report_of(const rolled_out& item);
report report_of(const history& items);
report report_of(const std::vector<configuration::difference>& changes);
report report_of(const failure& cause);
report report_of(const request_path& path);
report report_of_bundle(const configuration::bundle& content);
report report_of_reason(refusal_reason reason);

}  // namespace poplarshed::ctl
