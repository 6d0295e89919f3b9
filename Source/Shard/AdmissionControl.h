#pragma once

#include "Base/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jayramp::scheduling {
struct JobSpec;
}

namespace jayramp::shard {

struct AdmissionForecast;

/// Decides on an entry host which submitted jobs to refuse at once because they
/// cannot be served before their results lose their value. Performs no I/O and
/// reads no clock.
class AdmissionControl {
public:
  struct Refusal {
    /// "more-urgent" if more urgent work alone takes too long, or "backlog".
    std::string_view Reason;
    std::chrono::seconds RetryAfter{0};
    TimePoint ReturnAt;       ///< RetryAfter from now, before rounding.
    Milliseconds RoomWait{0}; ///< As forecast.

    auto operator==(const Refusal &) const -> bool = default;
  };

  // Queries.

  /// Returns whether the job should be refused at \p Now, and nothing if it is
  /// to be accepted. Without a forecast, every job is accepted.
  /// \p HasGuarantee tells that its account has guaranteed accelerators.
  auto check(const scheduling::JobSpec &Job, bool HasGuarantee,
             const std::optional<AdmissionForecast> &Forecast,
             TimePoint Now) const -> std::optional<Refusal>;

  // Commands.

  /// Records that a job was refused as check() returned, so that the next
  /// caller of the same queue is told to return later.
  auto recordRefusal(const scheduling::JobSpec &Job, const Refusal &Sent)
      -> void;

private:
  /// Returns when a caller of \p Queue should return if the backlog exceeds
  /// what can be served by \p Excess.
  auto returnTime(const std::string &Queue, Milliseconds Excess,
                  TimePoint Now) const -> TimePoint;

  /// When the last refused caller of each queue returns.
  std::map<std::string, TimePoint> LastReturns;
};

} // namespace jayramp::shard
