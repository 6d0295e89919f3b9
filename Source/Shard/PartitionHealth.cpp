#include "Shard/PartitionHealth.h"

namespace jayramp::shard {

namespace {

/// Time for which a partition that failed is tried only after the others.
constexpr Milliseconds FailedPartitionPenalty{2000};

} // namespace

auto PartitionHealth::recordFailure(const std::string &Partition) -> void {
  DeprioritizedUntil[Partition] = Clock::now() + FailedPartitionPenalty;
}

auto PartitionHealth::recordSuccess(const std::string &Partition) -> void {
  DeprioritizedUntil.erase(Partition);
}

auto PartitionHealth::failedRecently(const std::string &Partition) const
    -> bool {
  const auto Found = DeprioritizedUntil.find(Partition);
  return Found != DeprioritizedUntil.end() && Clock::now() < Found->second;
}

} // namespace jayramp::shard
