#include "Shard/EndAcknowledgement.h"

#include <algorithm>
#include <utility>

namespace jayramp::shard {

auto EndAcknowledgement::record(std::uint64_t Number, ProgressChange Change)
    -> void {
  LastRecorded = Number;
  UncommittedEnds.push_back({Number, std::move(Change)});
}

auto EndAcknowledgement::recordRepeated(std::uint64_t Number) -> void {
  if (Number > 0)
    LastSent = std::min(LastSent, Number - 1);
}

auto EndAcknowledgement::withhold(WithheldEnd End) -> void {
  if (!FirstWithheld)
    FirstWithheld = std::move(End);
}

auto EndAcknowledgement::release() -> void {
  FirstWithheld.reset();
  LastDurable = UncommittedEnds.empty() ? LastRecorded
                                        : UncommittedEnds.front().Number - 1;
}

auto EndAcknowledgement::collectDurableEnds() -> void {
  while (!UncommittedEnds.empty() &&
         Journal->isDurable(UncommittedEnds.front().Change)) {
    const auto Number = UncommittedEnds.front().Number;
    if (!FirstWithheld || Number < FirstWithheld->Number)
      LastDurable = Number;
    UncommittedEnds.pop_front();
  }
}

auto EndAcknowledgement::takeAcknowledgement() -> std::uint64_t {
  LastSent = LastDurable;
  return LastSent;
}

auto EndAcknowledgement::addAwaitedJobs(std::set<std::string> &Jobs) const
    -> void {
  for (const auto &End : UncommittedEnds)
    if (!Journal->isDurable(End.Change))
      Jobs.insert(End.Change.Job);
}

} // namespace jayramp::shard
