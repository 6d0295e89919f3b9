#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Requests/WorkClass.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jayramp {

/// Class of a request from recent run times of its account and declared class.
/// The declaration decides only until enough run times were observed.
///
/// Not synchronized: the caller holds one mutex during every call.
class WorkClassPolicy {
public:
  /// \p ShortLimit separates short from long run times; above 0.
  static auto make(Milliseconds ShortLimit) -> Result<WorkClassPolicy>;

  /// Changes the limit for later run times; false unless above 0.
  auto setShortLimit(Milliseconds Limit) -> bool;

  /// Adds a whole run time, or the time so far of a run past the short limit
  /// that was cut off.
  auto recordRunTime(std::string_view Account,
                     std::optional<WorkClass> Declared, Milliseconds RunTime)
      -> void;

  auto classify(std::string_view Account,
                std::optional<WorkClass> Declared) const -> WorkClass;
  /// Mean recent run time in seconds, the cost for FairQueue; half the short
  /// limit or twice it while nothing was observed.
  auto expectedRunSeconds(std::string_view Account,
                          std::optional<WorkClass> Declared) const -> double;

private:
  struct History {
    double LongShare = 0.0;
    double MeanSeconds = 0.0;
    std::uint32_t Samples = 0;
    WorkClass Class = WorkClass::Short;
  };
  using Name = std::pair<std::string, int>;

  explicit WorkClassPolicy(Milliseconds ShortLimit);

  auto find(std::string_view Account, std::optional<WorkClass> Declared) const
      -> const History *;

  Milliseconds ShortLimit;
  std::map<Name, History> Histories;
};

} // namespace jayramp
