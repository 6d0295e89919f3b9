#include "Shard/WorkerClock.h"

#include <gtest/gtest.h>

namespace jayramp::test {
namespace {

using shard::WorkerClock;

constexpr Milliseconds LeaseDuration{5000};
/// Slowest clock that a worker may have.
constexpr double SlowestRate = 0.98;
constexpr std::int64_t FirstReadingMs = 1000;

/// Worker whose clock runs at \c Rate from FirstReadingMs on.
struct SimulatedWorker {
  double Rate;
  TimePoint Start{};

  auto clockMs(TimePoint Now) const -> std::int64_t {
    return FirstReadingMs +
           static_cast<std::int64_t>(
               Rate *
               std::chrono::duration<double, std::milli>(Now - Start).count());
  }
  /// Returns how long a lease that is granted at \p Now lasts on this host's
  /// clock.
  auto durationOf(std::int64_t LeaseEnd, TimePoint Now) const -> Milliseconds {
    return Milliseconds(static_cast<std::int64_t>(
        static_cast<double>(LeaseEnd - clockMs(Now)) / Rate));
  }
};

// Guards against running a task twice: the first lease of a worker that was
// idle outlasts what the owner counts on, because the last reading of its slow
// clock is old.
TEST(WorkerClockTest, leaseAfterAnIdleTimeIsNotTooLong) {
  for (const auto Rate : {SlowestRate, 0.99, 1.0})
    for (const auto Idle : {0, 1000, 30000, 88000, 240000}) {
      const SimulatedWorker Worker{Rate};
      WorkerClock Clock;
      Clock.recordAnswer(FirstReadingMs, Worker.Start);
      const auto Now = Worker.Start + Milliseconds(Idle);
      EXPECT_LE(Worker.durationOf(Clock.leaseEnd(LeaseDuration, Now), Now),
                WorkerClock::maxLeaseDuration(LeaseDuration))
          << "rate " << Rate << ", idle for " << Idle << " ms";
    }
}

// Guards against leases of idle workers that are cut short although the
// registry shows their clocks.
TEST(WorkerClockTest, reportsKeepTheLeaseOfAnIdleWorkerLong) {
  constexpr Milliseconds ReportInterval{1500};
  constexpr Milliseconds ReportDelay{300};
  const SimulatedWorker Worker{1.0};
  WorkerClock Clock;
  Clock.recordAnswer(FirstReadingMs, Worker.Start);
  auto Now = Worker.Start;
  for (int Report = 0; Report < 60; ++Report) {
    Now += ReportInterval;
    Clock.recordReport(Worker.clockMs(Now - ReportDelay), Now);
  }
  EXPECT_GE(Worker.durationOf(Clock.leaseEnd(LeaseDuration, Now), Now),
            LeaseDuration - ReportDelay - Milliseconds(1));
}

// Guards against leases that are cut short by an entry that is seen late.
TEST(WorkerClockTest, lateReportDoesNotShortenALease) {
  const SimulatedWorker Worker{1.0};
  WorkerClock Clock;
  const auto Now = Worker.Start + Milliseconds(10000);
  Clock.recordAnswer(Worker.clockMs(Now), Now);
  Clock.recordReport(Worker.clockMs(Now - Milliseconds(3000)), Now);
  EXPECT_EQ(Worker.durationOf(Clock.leaseEnd(LeaseDuration, Now), Now),
            LeaseDuration);
}

TEST(WorkerClockTest, isKnownFromTheFirstReadingUntilTheReset) {
  WorkerClock Clock;
  Clock.recordAnswer(0, TimePoint());
  EXPECT_FALSE(Clock.isKnown());
  Clock.recordReport(FirstReadingMs, TimePoint());
  EXPECT_TRUE(Clock.isKnown());
  Clock.reset();
  EXPECT_FALSE(Clock.isKnown());
}

} // namespace
} // namespace jayramp::test
