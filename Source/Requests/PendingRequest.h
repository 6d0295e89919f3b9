#pragma once

#include "jayramp/v1/jayramp.pb.h"

#include "Base/Clock.h"
#include "Requests/OutcomeTracker.h"
#include "Requests/WorkClass.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace jayramp {

/// A caller's request between its acceptance and its outcome.
struct PendingRequest {
  using OutcomeCallback = std::function<void(const v1::RequestOutcome &)>;

  PendingRequest(std::uint64_t Id, v1::SubmitRequest Source,
                 OutcomeCallback Respond, TimePoint Now)
      : Id(Id), Request(std::move(Source)), Respond(std::move(Respond)),
        AcceptedAt(Now), Deadline(Now + Milliseconds(Request.deadline_ms())),
        Tracker(Request.idempotent()) {}

  const std::uint64_t Id;
  const v1::SubmitRequest Request;
  const OutcomeCallback Respond;
  const TimePoint AcceptedAt;
  const TimePoint Deadline;

  std::mutex Mutex; ///< Guards all below.
  OutcomeTracker Tracker;
  std::string ClaimId;
  bool Finished = false;
  v1::RequestOutcome Outcome; ///< Set shortly after Finished.
  bool HoldsClaim = false;    ///< This host holds the claim of the key.
  /// Incarnation of this host that the claim was granted to.
  std::string ClaimIncarnation;
  bool ClaimSent = false;      ///< The home may hold a claim of this request.
  bool OtherClaimSeen = false; ///< Another claim holds or held the key.
  std::uint32_t ClaimRetryCount = 0;
  v1::Reason DeadlineReason = v1::DEADLINE_EXCEEDED; ///< Given at the deadline.
  WorkClass Class = WorkClass::Short;
  TimePoint QueuedAt;
  std::string Worker; ///< Of the newest attempt.
};

} // namespace jayramp
