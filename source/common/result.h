#pragma once

#include <boost/outcome/boost_result.hpp>
#include <string>

#include "common/verdict.h"

namespace poplarshed {

/// Error of an operation that involves no request: settings, platform calls, parsing.
struct error {
    std::string message;

    bool operator==(const error&) const = default;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Value or error. Reading the wrong one is a programming error and terminates.
template <class T, class E = error>
using result = outcome::basic_result<T, E, outcome::policy::terminate>;

/// Value or a refusal that says whether the request may have run.
template <class T>
using request_result = result<T, refusal>;

}  // namespace poplarshed
