#include "Shard/SpeedRowSchedule.h"

#include <utility>

namespace jayramp::shard {

namespace {

/// Shortest time between two changes of the row. A successor relearns about as
/// fast what has changed since.
constexpr Milliseconds MinWriteInterval{3000};

} // namespace

auto SpeedRowSchedule::recordStored(scheduling::SpeedSummary Found,
                                    TimePoint Now) -> void {
  Stored = std::move(Found);
  NextWrite = Now + MinWriteInterval;
}

auto SpeedRowSchedule::takeDue(
    const std::optional<scheduling::SpeedSummary> &Known, TimePoint Now)
    -> std::optional<scheduling::SpeedSummary> {
  InWrite.reset();
  if (Known && Now >= NextWrite && Known->differsNoticeably(Stored)) {
    InWrite = Known;
    NextWrite = Now + MinWriteInterval;
  }
  return InWrite;
}

auto SpeedRowSchedule::confirmWrite() -> void {
  if (InWrite)
    Stored = std::move(*InWrite);
  InWrite.reset();
}

} // namespace jayramp::shard
