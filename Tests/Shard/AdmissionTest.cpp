#include "SchedulerFixture.h"

#include "Shard/AdmissionControl.h"
#include "Shard/AdmissionForecast.h"
#include "Shard/ShardRows.h"

namespace jayramp::scheduling {
namespace {

using shard::AdmissionControl;
using shard::AdmissionForecast;

/// Four workers of eight accelerators. A job takes a whole worker for 2 s, so
/// that the pool serves two jobs a second. The objective is 7 s, and the result
/// has no value after 21 s.
class AdmissionTest : public SchedulerFixture {
protected:
  static constexpr std::int64_t StepMs = 250;

  auto SetUp() -> void override { addWorkers(1, 4); }

  static auto shape(const std::string &Account) -> JobShape {
    JobShape Shape{1, 1, 8, false, false, Milliseconds(2000)};
    Shape.Tenant = Account;
    return Shape;
  }

  auto submit(const std::string &Account, int Count, std::int64_t Ms) -> void {
    for (int Number = 0; Number < Count; ++Number)
      addJob("job" + std::to_string(NextJob++), shape(Account), Ms);
  }

  /// Ends the tasks that have run for \p TaskTime, and makes a pass and a
  /// forecast.
  auto step(std::int64_t Ms, Milliseconds TaskTime = Milliseconds(2000))
      -> void {
    endRuns(Ms, TaskTime);
    Scheduler.schedule(at(Ms));
    Forecast = Forecaster.forecast(Scheduler, at(Ms));
  }

  /// Returns the refusal that a new job of the account gets at \p Ms.
  auto check(const std::string &Account, std::int64_t Ms,
             bool HasGuarantee = false, std::uint32_t Priority = 1) const
      -> std::optional<AdmissionControl::Refusal> {
    auto Shape = shape(Account);
    Shape.Priority = Priority;
    return Control.check(jobSpec("new", Shape), HasGuarantee, Forecast, at(Ms));
  }

  /// Submits ten times what the pool serves for 12 s, and three jobs of a small
  /// account.
  auto reachCrest() -> void {
    for (std::int64_t Ms = 0; Ms <= 12000; Ms += StepMs) {
      submit("large", 5, Ms);
      submit("small", Ms % 4000 == 0 ? 1 : 0, Ms);
      step(Ms);
    }
  }

  int NextJob = 0;
  shard::AdmissionForecaster Forecaster;
  std::optional<AdmissionForecast> Forecast;
  AdmissionControl Control;
};

// Guards against jobs that are accepted although the backlog cannot be served
// before their results lose their value, and against refusing the accounts that
// did not cause it.
TEST_F(AdmissionTest, accountOverItsShareIsAcceptedBeyondTheRoom) {
  reachCrest();
  const auto Refusal = check("large", 12000);
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Reason, "backlog");
  EXPECT_FALSE(check("small", 12000));
  EXPECT_FALSE(check("large", 12000, true, 0)) << "Guaranteed.";
  Forecast.reset();
  EXPECT_FALSE(check("large", 12000)) << "Without a forecast.";
}

// Guards against refusals on an idle pool because of an urgent job that no set
// of workers can hold.
TEST_F(AdmissionTest, aJobThatCanNeverRunKeepsOthersOut) {
  JobShape Huge{0, 1, 999, false, false, Milliseconds(60000)};
  Huge.Tenant = "large";
  addJob("huge", Huge, 0);
  for (std::int64_t Ms = 0; Ms <= 6000; Ms += StepMs)
    step(Ms);
  ASSERT_TRUE(Forecast);
  EXPECT_FALSE(check("small", 6000));
}

// Guards against refusals while the room suffices for what can still be late.
TEST_F(AdmissionTest, jobsAreRefusedThatCanBeServedInTime) {
  for (std::int64_t Ms = 0; Ms <= 12000; Ms += StepMs) {
    submit("large", 1, Ms);
    submit("small", Ms % 4000 == 0 ? 1 : 0, Ms);
    step(Ms);
    ASSERT_FALSE(check("large", Ms));
    ASSERT_FALSE(check("small", Ms));
  }
}

// Guards against callers that return all at once, or before there is room.
TEST_F(AdmissionTest, refusedCallersReturnTogether) {
  reachCrest();
  std::map<std::int64_t, int> ReturnsBySecond;
  std::chrono::seconds Previous{0};
  for (std::int64_t Ms = 12000; Ms < 13000; Ms += 50) {
    const auto Refusal = check("large", Ms);
    ASSERT_TRUE(Refusal);
    EXPECT_GE(Refusal->RetryAfter + std::chrono::seconds(1), Previous);
    EXPECT_LE(Refusal->RetryAfter, std::chrono::seconds(10));
    Previous = Refusal->RetryAfter;
    Control.recordRefusal(jobSpec("new", shape("large")), *Refusal);
    ++ReturnsBySecond[Ms / 1000 + Refusal->RetryAfter.count()];
  }
  EXPECT_GE(ReturnsBySecond.size(), 4U);
}

// Guards against a forecast by estimates that are ten times too long, which
// must give way to what is observed within seconds.
TEST_F(AdmissionTest, forecastStaysWrongWithWrongEstimates) {
  submit("large", 400, 0);
  submit("small", 1, 0);
  std::int64_t Ms = 0;
  for (; Ms <= 6000; Ms += StepMs)
    step(Ms, Milliseconds(200));
  ASSERT_TRUE(Forecast);
  // Sixteen jobs a second find room; more than 300 of them wait.
  EXPECT_LE(Forecast->roomWait(1).Useful, Milliseconds(30000));
  EXPECT_GE(Forecast->roomWait(1).Useful, Milliseconds(15000));
}

TEST_F(AdmissionTest, heartbeatKeepsTheForecast) {
  shard::Heartbeat Beat;
  Beat.Forecast = AdmissionForecast{{{1, {Milliseconds(5), Milliseconds(7)}}},
                                    {{"large", 0.5}}};
  EXPECT_EQ(shard::decodeHeartbeat(shard::encodeHeartbeat(Beat)).value(), Beat);
}

} // namespace
} // namespace jayramp::scheduling
