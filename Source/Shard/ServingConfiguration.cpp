#include "Shard/ServingConfiguration.h"

#include <algorithm>

namespace jayramp::shard {

auto ServingConfiguration::queueFor(std::string_view Host,
                                    std::string_view Path) const
    -> const QueuePolicy * {
  Host = Host.substr(0, Host.find(':'));
  const QueuePolicy *Best = nullptr;
  for (const auto &Queue : Queues) {
    if (Queue.Host != Host || !Path.starts_with(Queue.PathPrefix))
      continue;
    if (!Best || Queue.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Queue;
  }
  return Best;
}

auto ServingConfiguration::accountForApiKey(std::string_view ApiKey) const
    -> const ClientAccount * {
  for (const auto &Account : Accounts)
    if (std::find(Account.ApiKeys.begin(), Account.ApiKeys.end(), ApiKey) !=
        Account.ApiKeys.end())
      return &Account;
  return nullptr;
}

auto ServingConfiguration::guaranteedGpusByAccount() const
    -> std::map<std::string, std::int64_t> {
  std::map<std::string, std::int64_t> Gpus;
  for (const auto &Account : Accounts)
    if (Account.GuaranteedGpus > 0)
      Gpus[Account.Name] = Account.GuaranteedGpus;
  return Gpus;
}

} // namespace jayramp::shard
