#pragma once

#include "Shard/ProgressJournal.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace jayramp::shard {

/// Decides which of the ends that one process of a worker has listed may be
/// acknowledged to it: those whose effect on their job is durable, up to the
/// first one that is withheld. The worker lists the others again.
class EndAcknowledgement {
public:
  /// An end that must not be acknowledged.
  struct WithheldEnd {
    std::uint64_t Number = 0;
    std::string Job;
  };

  explicit EndAcknowledgement(const ProgressJournal &Journal)
      : Journal(&Journal) {}

  // Commands.

  /// Records the end \p Number, whose effect on its job is \p Change.
  auto record(std::uint64_t Number, ProgressChange Change) -> void;
  /// Records that a reply lists the end \p Number again. If it was
  /// acknowledged, the acknowledgement has not reached the worker.
  auto recordRepeated(std::uint64_t Number) -> void;
  /// Withholds the acknowledgement of an end, and of all later ones.
  auto withhold(WithheldEnd End) -> void;
  /// Ends the withholding.
  auto release() -> void;
  /// Looks up which changes have become durable.
  auto collectDurableEnds() -> void;
  /// Returns the number of the last end that may be acknowledged, for the
  /// renewal that is sent next.
  auto takeAcknowledgement() -> std::uint64_t;

  // Queries.

  auto isRecorded(std::uint64_t Number) const -> bool {
    return Number <= LastRecorded;
  }
  /// Returns the first end that is withheld.
  auto withheldEnd() const -> const std::optional<WithheldEnd> & {
    return FirstWithheld;
  }
  /// Returns true while collectDurableEnds() has not found all changes durable.
  auto hasUncommittedEnds() const -> bool { return !UncommittedEnds.empty(); }
  /// Returns true if an end that may be acknowledged, now or once its change is
  /// durable, has not been sent.
  auto isOutstanding() const -> bool {
    return hasUncommittedEnds() || LastDurable > LastSent;
  }
  /// Adds the jobs whose commit permits further acknowledgements to \p Jobs.
  auto addAwaitedJobs(std::set<std::string> &Jobs) const -> void;

private:
  struct UncommittedEnd {
    std::uint64_t Number = 0;
    ProgressChange Change;
  };

  const ProgressJournal *Journal;
  std::deque<UncommittedEnd> UncommittedEnds;
  std::optional<WithheldEnd> FirstWithheld;
  std::uint64_t LastRecorded = 0;
  std::uint64_t LastDurable = 0; ///< Last end that may be acknowledged.
  /// Last end that was acknowledged, as far as replies have not shown the
  /// contrary.
  std::uint64_t LastSent = 0;
};

} // namespace jayramp::shard
