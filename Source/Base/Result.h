#pragma once

#include "Base/Error.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace jayramp {

/// Holds either a value or an Error. `value()` throws if there is no value.
template <typename T> using Result = boost::outcome_v2::checked<T, Error>;

using boost::outcome_v2::success;

} // namespace jayramp
