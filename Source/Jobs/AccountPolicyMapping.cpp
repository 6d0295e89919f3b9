#include "Jobs/AccountPolicyMapping.h"

#include "Configuration/Configuration.h"

#include "jayramp/v1/jayramp.pb.h"

namespace jayramp {

auto toAccountPolicies(const Configuration &Source)
    -> std::vector<AccountPolicy> {
  std::vector<AccountPolicy> Policies;
  for (const auto &Account : Source.document().accounts()) {
    AccountPolicy Policy{Account.name(), {}, Account.accelerator_quota()};
    for (const auto &Shape : Account.guarantees())
      Policy.Guarantees.push_back({Shape.accelerators(), Shape.count()});
    Policies.push_back(std::move(Policy));
  }
  return Policies;
}

} // namespace jayramp
