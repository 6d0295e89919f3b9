#include "Requests/OutcomeMapping.h"

#include <utility>
#include <variant>

namespace jayramp {

namespace {

// Larger answers are not stored with their request key, because the outcomes of
// 200,000 keys must fit in 64 MiB.
constexpr std::size_t MaxRetainedAnswerBytes = 64U << 10U;

/// Converts each kind of request outcome to its message.
struct OutcomeMessageBuilder {
  v1::Reason Reason;

  auto operator()(const OutcomeAnswered &Value) const -> v1::RequestOutcome {
    v1::RequestOutcome Message;
    Message.set_outcome(v1::ANSWERED);
    Message.set_answer(Value.Body);
    return Message;
  }
  auto operator()(const OutcomeFailed &Value) const -> v1::RequestOutcome {
    auto Message =
        makeOutcome(v1::FAILED, v1::WORKER_FAILED,
                    "the worker ran the request and reported a failure", 0);
    Message.set_answer(Value.Body);
    return Message;
  }
  auto operator()(const OutcomeNotRun &Value) const -> v1::RequestOutcome {
    return makeOutcome(v1::NOT_RUN, Reason, Value.Detail, 1000);
  }
  auto operator()(const OutcomeUnknown &Value) const -> v1::RequestOutcome {
    return makeOutcome(v1::UNKNOWN, Reason, Value.Detail, 0);
  }
};

} // namespace

auto remedyFor(v1::Reason Reason) -> std::string {
  switch (Reason) {
  case v1::QUEUE_FULL:
    return "repeat after retry_after_ms or raise the account's request_share";
  case v1::DEADLINE_TOO_SHORT:
    return "repeat after retry_after_ms or with a longer deadline_ms";
  case v1::DEADLINE_EXCEEDED:
    return "repeat with a longer deadline_ms";
  case v1::NO_WORKER:
    return "repeat later; operators: see the workers' states in the status";
  case v1::WORKER_BUSY:
  case v1::WORKER_LEAVING:
  case v1::WORKER_UNREACHABLE:
  case v1::FENCED:
    return "repeat the request";
  case v1::CONNECTION_LOST:
  case v1::ANSWER_INCOMPLETE:
  case v1::ENTRY_HOST_LOST:
    return "check at the backend whether the request took effect before "
           "repeating it with a new key";
  case v1::STALE_VIEW:
    return "repeat through another entry host";
  case v1::REBALANCING:
    return "repeat after retry_after_ms";
  case v1::NO_REPLICA:
    return "repeat after retry_after_ms; operators: restore the lost entry "
           "host or the table service";
  case v1::HISTORY_LOST:
    return "query the key after the retention time, or check at the backend";
  case v1::STOPPING:
    return "repeat through another entry host";
  case v1::STORE_UNAVAILABLE:
    return "repeat when the table service is back";
  case v1::KEY_IN_PROGRESS:
    return "query the key for its outcome";
  case v1::OUT_OF_MEMORY:
    return "repeat after retry_after_ms or raise requests.maximum_keys";
  case v1::ANSWER_NOT_RETAINED:
    return "the request ran; fetch its result from the backend";
  case v1::CANCELLED:
    return "none; the caller cancelled the request";
  default:
    return "";
  }
}

auto makeOutcome(v1::Outcome Outcome, v1::Reason Reason, std::string Detail,
                 std::uint32_t RetryAfterMs) -> v1::RequestOutcome {
  v1::RequestOutcome Message;
  Message.set_outcome(Outcome);
  Message.set_reason(Reason);
  Message.set_detail(std::move(Detail));
  Message.set_remedy(remedyFor(Reason));
  Message.set_retry_after_ms(RetryAfterMs);
  return Message;
}

auto toMessage(const RequestOutcome &Source, v1::Reason Reason)
    -> v1::RequestOutcome {
  return std::visit(OutcomeMessageBuilder{Reason}, Source);
}

auto serializeForRetention(const v1::RequestOutcome &Source) -> std::string {
  if (Source.answer().size() <= MaxRetainedAnswerBytes)
    return Source.SerializeAsString();
  auto Reduced = makeOutcome(v1::UNKNOWN, v1::ANSWER_NOT_RETAINED,
                             "the request ran and was answered to its first "
                             "caller; the answer is too large to be kept",
                             0);
  Reduced.set_attempts(Source.attempts());
  Reduced.set_worker(Source.worker());
  return Reduced.SerializeAsString();
}

} // namespace jayramp
