#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Requests/WorkClass.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jayramp {

/// Classifies requests by the recent run times of requests with the same
/// account and declared class. The declared class is used until enough run
/// times have been recorded.
///
/// Not synchronized: the caller holds one mutex during every call.
class WorkClassPolicy {
public:
  /// Run times above \p ShortLimit count as long. Returns InvalidArgument
  /// unless it is above 0 ms.
  static auto make(Milliseconds ShortLimit) -> Result<WorkClassPolicy>;

  /// Sets the limit for run times that are recorded later. Returns false,
  /// without a change, unless \p Limit is above 0 ms.
  auto setShortLimit(Milliseconds Limit) -> bool;

  /// Records the run time of a completed run, or the time until a run longer
  /// than the short limit was cut off.
  auto recordRunTime(std::string_view Account,
                     std::optional<WorkClass> Declared, Milliseconds RunTime)
      -> void;

  /// Returns the class of the next request.
  auto classify(std::string_view Account,
                std::optional<WorkClass> Declared) const -> WorkClass;
  /// Returns the mean recent run time in seconds, which is the cost of an entry
  /// of FairQueue. Until enough run times have been recorded, it is twice the
  /// short limit for requests declared long and half the limit for others.
  auto expectedRunSeconds(std::string_view Account,
                          std::optional<WorkClass> Declared) const -> double;

private:
  struct RunTimeHistory {
    double LongShare = 0.0; ///< Weighted share of long runs, 0 to 1.
    double MeanSeconds = 0.0;
    std::uint32_t Samples = 0;
    WorkClass Class = WorkClass::Short;
  };
  /// Account and declarationIndex() of the declared class.
  using HistoryKey = std::pair<std::string, int>;

  explicit WorkClassPolicy(Milliseconds ShortLimit);

  /// Returns nullptr while there are too few samples.
  auto findHistory(std::string_view Account,
                   std::optional<WorkClass> Declared) const
      -> const RunTimeHistory *;

  Milliseconds ShortLimit;
  std::map<HistoryKey, RunTimeHistory> RunTimeHistories;
};

} // namespace jayramp
