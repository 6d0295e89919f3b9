#pragma once

#include "Jobs/AccountPolicy.h"

#include <vector>

namespace jayramp {

class Configuration;

/// Returns the guarantees and quotas of all accounts in the configuration.
auto toAccountPolicies(const Configuration &Source)
    -> std::vector<AccountPolicy>;

} // namespace jayramp
