#include "Shard/AdmissionControl.h"

#include "Scheduling/JobSpec.h"
#include "Shard/AdmissionForecast.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

/// Callers of a queue that are refused one after another return at least this
/// far apart.
constexpr Milliseconds ReturnSpacing{250};
constexpr std::chrono::seconds MinRetryAfter{1};
/// Longest delay of the first of several refused callers, and of the later
/// ones. Callers repeat a request only a few times, and a forecast does not
/// reach far.
constexpr std::chrono::seconds MaxFirstDelay{4};
constexpr std::chrono::seconds MaxDelay{10};

} // namespace

auto AdmissionControl::check(const scheduling::JobSpec &Job, bool HasGuarantee,
                             const std::optional<AdmissionForecast> &Forecast,
                             TimePoint Now) const -> std::optional<Refusal> {
  if (!Forecast || (HasGuarantee && Job.Priority == 0))
    return std::nullopt;
  const auto LongestWait = Job.longestUsefulTime() - Job.criticalPath();
  const auto Slack =
      std::max(Job.objective() - Job.criticalPath(), Milliseconds(0));
  // The job waits behind what is on time, and behind all that is useful once it
  // is late itself.
  const auto Wait = Forecast->roomWaitOf(Job.Tenant, Job.Priority);
  const auto Excess = std::min(Wait.Useful - LongestWait, Wait.OnTime - Slack);
  if (Excess <= Milliseconds(0))
    return std::nullopt;
  const bool IsMoreUrgent =
      Forecast->moreUrgentWait(Job.Priority) > LongestWait;
  const auto ReturnAt = returnTime(Job.Queue, Excess, Now);
  const auto RetryAfter = std::max(
      MinRetryAfter, std::chrono::ceil<std::chrono::seconds>(ReturnAt - Now));
  return Refusal{IsMoreUrgent ? "more-urgent" : "backlog", RetryAfter, ReturnAt,
                 Wait.Useful};
}

auto AdmissionControl::returnTime(const std::string &Queue, Milliseconds Excess,
                                  TimePoint Now) const -> TimePoint {
  const auto Earliest = Now + std::min<Milliseconds>(Excess, MaxFirstDelay);
  const auto Last = LastReturns.find(Queue);
  if (Last == LastReturns.end())
    return Earliest;
  const auto ReturnAt = std::max(Earliest, Last->second + ReturnSpacing);
  return ReturnAt > Now + MaxDelay ? Earliest : ReturnAt;
}

auto AdmissionControl::recordRefusal(const scheduling::JobSpec &Job,
                                     const Refusal &Sent) -> void {
  LastReturns[Job.Queue] = Sent.ReturnAt;
}

} // namespace jayramp::shard
