#pragma once

#include "Base/Clock.h"

#include <optional>

namespace jayramp::shard {

/// Estimates how long the workers of one owner take to answer an order, so that
/// orders are not given up, and sent again, while their answers are on the way.
/// On a full link that would fill it further. Computed like the retransmission
/// timeout of TCP (RFC 6298).
class AnswerTimes {
public:
  /// timeout() lies between \p Shortest and \p Longest.
  AnswerTimes(Milliseconds Shortest, Milliseconds Longest)
      : Shortest(Shortest), Longest(Longest) {}

  // Commands.

  /// Records an order that was answered after \p Elapsed.
  auto recordAnswer(Clock::duration Elapsed) -> void;
  /// Records an order that was given up after \p Elapsed. It counts as one that
  /// was answered after twice that time: if only answers counted, a timeout
  /// that is too short would stay so.
  auto recordTimeout(Clock::duration Elapsed) -> void;

  // Queries.

  /// Returns how long the answer to an order should be awaited at least.
  auto timeout() const -> Milliseconds;

private:
  using Seconds = std::chrono::duration<double>;

  Milliseconds Shortest;
  Milliseconds Longest;
  std::optional<Seconds> Mean; ///< Absent before the first answer.
  Seconds Deviation{0};        ///< Smoothed distance from the mean.
};

} // namespace jayramp::shard
