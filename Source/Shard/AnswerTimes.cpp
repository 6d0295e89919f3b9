#include "Shard/AnswerTimes.h"

#include <algorithm>
#include <cmath>

namespace jayramp::shard {

namespace {

/// Weights of one answer in the mean and in the deviation, and the number of
/// deviations above the mean that an answer may take, as in RFC 6298.
constexpr double MeanWeight = 1.0 / 8;
constexpr double DeviationWeight = 1.0 / 4;
constexpr double AllowedDeviations = 4;

} // namespace

auto AnswerTimes::recordTimeout(Clock::duration Elapsed) -> void {
  recordAnswer(std::min<Clock::duration>(Elapsed * 2, Longest));
}

auto AnswerTimes::recordAnswer(Clock::duration Elapsed) -> void {
  const Seconds Measured = Elapsed;
  if (!Mean) {
    Mean = Measured;
    Deviation = Measured / 2;
    return;
  }
  const Seconds Distance(std::abs((Measured - *Mean).count()));
  Deviation += (Distance - Deviation) * DeviationWeight;
  *Mean += (Measured - *Mean) * MeanWeight;
}

auto AnswerTimes::timeout() const -> Milliseconds {
  if (!Mean)
    return Shortest;
  return std::clamp(
      std::chrono::ceil<Milliseconds>(*Mean + Deviation * AllowedDeviations),
      Shortest, Longest);
}

} // namespace jayramp::shard
