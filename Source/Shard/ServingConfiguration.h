#pragma once

#include "Base/Clock.h"
#include "Net/HttpMessage.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jayramp::shard {

/// A queue, the requests that belong to it, and how its jobs are scheduled.
struct QueuePolicy {
  std::string Name;
  std::string Host; ///< Value of the Host header, without a port.
  std::string PathPrefix;
  std::string Service; ///< Worker pool that runs its tasks.
  std::uint32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  double Stretch = 1.0;
  Milliseconds TargetLatency{0};
  bool Public = false; ///< Needs no API key.

  auto operator==(const QueuePolicy &) const -> bool = default;
};

/// A client account with its API keys and guaranteed GPUs.
struct ClientAccount {
  std::string Name;
  std::vector<std::string> ApiKeys;
  std::int64_t GuaranteedGpus = 0;

  auto operator==(const ClientAccount &) const -> bool = default;
};

/// One version of the configuration that the operators have published.
struct ServingConfiguration {
  std::uint64_t Version = 0;
  std::vector<QueuePolicy> Queues;
  std::vector<std::string> Services;
  std::vector<ClientAccount> Accounts;
  net::HttpLimits Limits;

  /// Returns the queue of \p Host with the longest prefix of \p Path; null if
  /// no queue matches.
  auto queueFor(std::string_view Host, std::string_view Path) const
      -> const QueuePolicy *;
  /// Returns the account with this API key; null if there is none.
  auto accountForApiKey(std::string_view ApiKey) const -> const ClientAccount *;
  /// Returns the guaranteed GPUs of each account that has a guarantee.
  auto guaranteedGpusByAccount() const -> std::map<std::string, std::int64_t>;

  auto operator==(const ServingConfiguration &) const -> bool = default;
};

} // namespace jayramp::shard
