#pragma once

#include "Jobs/AccountPolicy.h"

#include <vector>

namespace jayramp {

class Configuration;

/// Guarantees and quotas of the accounts of a configuration.
auto toAccountPolicies(const Configuration &Source)
    -> std::vector<AccountPolicy>;

} // namespace jayramp
