#include "MeasuredFleet.h"

namespace jayramp::scheduling {
namespace {

using RunTimeModelTest = MeasuredFleet;

constexpr double SlowFactor = 2.4;

auto slowZoneC(const WorkerReport &Report) -> double {
  return Report.Zone == "c" ? SlowFactor : 1.0;
}

// Guards against urgent work on workers that take over twice as long.
TEST_F(RunTimeModelTest, learnsTwoSpeedsInThreeZones) {
  addZones({"a", "b", "c"}, 4, 4);
  TrueFactor = slowZoneC;
  EXPECT_FALSE(Model.knowsSpeeds());
  runJobs(40, {.Count = 5});
  EXPECT_TRUE(Model.knowsSpeeds());
  EXPECT_NEAR(meanFactor("c") / meanFactor("a"), SlowFactor, 0.25);
  EXPECT_NEAR(meanFactor("b") / meanFactor("a"), 1.0, 0.1);
}

TEST_F(RunTimeModelTest, aWorkerWithoutRunsHasTheSpeedOfItsZone) {
  addZones({"a", "b", "c"}, 4, 4);
  TrueFactor = slowZoneC;
  runJobs(40, {.Count = 5});
  addWorker("new", "c", "c-new");
  refresh();
  EXPECT_NEAR(factor("new") / meanFactor("a"), SlowFactor, 0.4);
}

// Guards against speeds that are only found where a whole rack or zone is slow.
TEST_F(RunTimeModelTest, learnsWhichWorkersAreSlowWhereverTheyAre) {
  addZones({"a", "b", "c"}, 4, 8);
  const auto IsSlow = [](const WorkerReport &Report) {
    return (Report.Id[1] + Report.Id.back()) % 3 == 0; // Rack and number.
  };
  TrueFactor = [IsSlow](const WorkerReport &Report) {
    return IsSlow(Report) ? SlowFactor : 1.0;
  };
  TaskNoise = 0.1;
  constexpr int JobsForFiveRunsAWorker = 60;
  runJobs(JobsForFiveRunsAWorker, {.Count = 8});
  EXPECT_TRUE(Model.knowsSpeeds());
  const auto Middle = std::exp(std::log(SlowFactor) / 6);
  for (const auto &[Id, Entry] : Workers)
    EXPECT_EQ(factor(Id) > Middle, IsSlow(Entry.Report))
        << Id << ' ' << factor(Id);
}

// Guards against speeds that stay hidden because each gang runs on workers of
// equal speed, so that only the estimates of many jobs show the difference.
TEST_F(RunTimeModelTest, learnsSpeedsFromGangsWithinSingleRacks) {
  addZones({"a", "b", "c"}, 4, 4);
  TrueFactor = slowZoneC;
  runJobs(150, {.Count = 3, .Gang = true, .OneRack = true});
  EXPECT_TRUE(Model.knowsSpeeds());
  EXPECT_NEAR(meanFactor("c") / meanFactor("a"), SlowFactor, 0.6);
}

TEST_F(RunTimeModelTest, findsOneSlowRack) {
  addZones({"a", "b", "c"}, 4, 4);
  TrueFactor = [](const WorkerReport &Report) {
    return Report.Rack == "b2" ? 1.6 : 1.0;
  };
  runJobs(120, {.Count = 6});
  EXPECT_TRUE(Model.knowsSpeeds());
  EXPECT_NEAR(factor("b2-0") / factor("b1-0"), 1.6, 0.4);
  EXPECT_NEAR(factor("a1-0") / factor("c1-0"), 1.0, 0.2);
}

// Guards against decisions by speeds of before a change of the hardware.
TEST_F(RunTimeModelTest, noticesASwapOfSpeedsWithinAFewRuns) {
  addZones({"a", "c"}, 4, 4);
  TrueFactor = slowZoneC;
  runJobs(60, {.Count = 6});
  ASSERT_GT(meanFactor("c"), meanFactor("a") * 2);
  TrueFactor = [](const WorkerReport &Report) {
    return Report.Zone == "a" ? SlowFactor : 1.0;
  };
  constexpr int JobsForThreeRunsAWorker = 16;
  runJobs(JobsForThreeRunsAWorker, {.Count = 6});
  EXPECT_GT(meanFactor("a"), meanFactor("c"));
  runJobs(JobsForThreeRunsAWorker, {.Count = 6});
  EXPECT_GT(meanFactor("a"), meanFactor("c") * 1.5);
}

TEST_F(RunTimeModelTest, noticesAWorkerThatTurnsSlow) {
  addZones({"a"}, 1, 6);
  constexpr int AllWorkers = 6;
  runJobs(20, {.Count = AllWorkers});
  ASSERT_FALSE(Model.knowsSpeeds());
  TrueFactor = [](const WorkerReport &Report) {
    return Report.Id == "a0-0" ? 3.0 : 1.0;
  };
  constexpr int RunsOfEachWorker = 5;
  runJobs(RunsOfEachWorker, {.Count = AllWorkers});
  EXPECT_TRUE(Model.knowsSpeeds());
  EXPECT_GT(factor("a0-0") / factor("a0-1"), 1.5);
}

/// The deviation of the logarithm of the times of the tasks of a step.
class EqualWorkersTest : public MeasuredFleet,
                         public testing::WithParamInterface<double> {};

// Guards against decisions by noise where all workers are alike.
TEST_P(EqualWorkersTest, knowsNoSpeeds) {
  TaskNoise = GetParam();
  addZones({"a", "b", "c"}, 4, 4);
  for (int Round = 0; Round < 100; ++Round) {
    runJobs(2, {.Count = 5});
    runJobs(1, {.Count = 3, .Gang = true, .OneRack = true});
    ASSERT_FALSE(Model.knowsSpeeds()) << Round;
  }
}

INSTANTIATE_TEST_SUITE_P(Noise, EqualWorkersTest,
                         testing::Values(0.05, 0.2, 0.4));

// Guards against speeds that are used and not used by turns.
TEST_F(RunTimeModelTest, keepsUsingSpeedsThatStay) {
  addZones({"a", "b", "c"}, 4, 4);
  TrueFactor = [](const WorkerReport &Report) {
    return Report.Zone == "c" ? 1.3 : 1.0;
  };
  TaskNoise = 0.2;
  runJobs(300, {.Count = 5});
  ASSERT_TRUE(Model.knowsSpeeds());
  for (int Round = 0; Round < 100; ++Round) {
    runJobs(2, {.Count = 5});
    ASSERT_TRUE(Model.knowsSpeeds()) << Round;
  }
}

// Guards against a slow gang member that makes all members look slow.
TEST_F(RunTimeModelTest, tellsTheSlowMemberOfAGang) {
  addZones({"a"}, 1, 4);
  TrueFactor = [](const WorkerReport &Report) {
    return Report.Id == "a0-0" ? SlowFactor : 1.0;
  };
  runJobs(20, {.Count = 4, .Gang = true});
  EXPECT_GT(factor("a0-0") / factor("a0-1"), 1.7);
  EXPECT_NEAR(factor("a0-2") / factor("a0-1"), 1.0, 0.1);
}

// Guards against a run from a checkpoint that makes its worker look fast.
TEST_F(RunTimeModelTest, measuresOnlyTheRestOfAResumedRun) {
  addZones({"a"}, 1, 4);
  ResumedWorker = "a0-0";
  runJobs(30, {.Count = 4});
  EXPECT_NEAR(factor("a0-0") / factor("a0-1"), 1.0, 0.15);
}

TEST_F(RunTimeModelTest, aRestartedWorkerIsLearnedAnew) {
  addZones({"a"}, 2, 3);
  TrueFactor = [](const WorkerReport &Report) {
    return Report.Id == "a0-0" ? 3.0 : 1.0;
  };
  runJobs(30, {.Count = 4});
  ASSERT_GT(factor("a0-0"), factor("a0-1") * 1.7);
  Model.forgetWorker("a0-0");
  refresh();
  EXPECT_LT(factor("a0-0"), factor("a0-1") * 1.4);
}

// Guards against runs that fail early or stand still and so make their worker
// look fast or slow.
TEST_F(RunTimeModelTest, learnsNothingFromStalledAndStoppedRuns) {
  addZones({"a"}, 1, 4);
  runJobs(10, {.Count = 4});
  const auto Before = factor("a0-0");
  auto &Job = addJob({.Count = 1});
  auto Stalled = startRun(Job, 0, "a0-0");
  report(Stalled, 5, 100);
  report(Stalled, 10, 200);
  for (std::int64_t Ms = 300; Ms <= 20000; Ms += 500)
    report(Stalled, 10, Ms);
  report(Stalled, 40, 20500);
  Stalled.Phase = RunPhase::Stopping;
  report(Stalled, 90, 60000);
  refresh();
  EXPECT_DOUBLE_EQ(factor("a0-0"), Before);
}

// Guards against runs whose time up to the second report is never measured.
TEST_F(RunTimeModelTest, measuresFromTheStartAfterAReportOfNoProgress) {
  addZones({"a"}, 1, 4);
  runJobs(10, {.Count = 4});
  const auto Before = factor("a0-0");
  auto Slow = startRun(addJob({.Count = 1}), 0, "a0-0");
  report(Slow, 0, 200);
  report(Slow, 15, 10000);
  refresh();
  EXPECT_GT(factor("a0-0"), Before);
}

// Guards against passes before the registry was read, which would let the
// speeds that a predecessor has learned be used only once they are surer.
TEST_F(RunTimeModelTest, usesRestoredSpeedsOnceWorkersAreKnown) {
  constexpr std::int32_t LogCentsOfOneAndAHalf = 41;
  Model.restoreSpeeds({{{SpeedLevel::Zone, "a", 0},
                        {SpeedLevel::Zone, "b", LogCentsOfOneAndAHalf}},
                       {}},
                      Now);
  refresh();
  EXPECT_FALSE(Model.summary());
  addZones({"a", "b"}, 2, 2);
  refresh();
  EXPECT_TRUE(Model.knowsSpeeds());
  ASSERT_TRUE(Model.summary());
  EXPECT_EQ(Model.summary()->Groups.size(), 2);
}

// Guards against kinds of work that are never learned after many others.
TEST_F(RunTimeModelTest, replacesTheKindOfWorkThatWasRecordedLeastRecently) {
  WorkKinds Kinds;
  const auto InQueue = [](int Number) {
    auto Spec = jobSpec("job", {});
    Spec.Queue = "queue" + std::to_string(Number);
    return Spec;
  };
  const auto Record = [&](int Number) {
    const auto Spec = InQueue(Number);
    Kinds.record(Spec, Spec.Steps[0], 1.0);
  };
  const auto IsKnown = [&](int Number) {
    const auto Spec = InQueue(Number);
    return Kinds.isKnown(Spec, Spec.Steps[0]);
  };
  constexpr int MaxKinds = 1024;
  for (int Number = 0; Number < MaxKinds; ++Number)
    Record(Number);
  Record(0);
  Record(MaxKinds);
  EXPECT_TRUE(IsKnown(0));
  EXPECT_FALSE(IsKnown(1));
  EXPECT_TRUE(IsKnown(2));
  EXPECT_TRUE(IsKnown(MaxKinds));
}

TEST_F(RunTimeModelTest, correctsEstimatesThatAreAlwaysTooLong) {
  addZones({"a"}, 2, 3);
  EstimateFactor = [] { return 2.0; };
  runJobs(40, {.Count = 4});
  const auto Work = addJob({.Count = 1}).Spec;
  EXPECT_NEAR(seconds(Model.expectedTime(Work, 0)),
              seconds(Work.Steps[0].Estimate) / 2,
              0.15 * seconds(Work.Steps[0].Estimate));
}

// Guards against trust in estimates that tell nothing about the work.
TEST_F(RunTimeModelTest, ignoresEstimatesThatSayNothing) {
  addZones({"a"}, 2, 3);
  FixedWorkSeconds = 4.0;
  EstimateFactor = [this] { return uniformFactor(2.0); };
  runJobs(100, {.Count = 4});
  auto Work = addJob({.Count = 1}).Spec;
  Work.Steps[0].Estimate = Milliseconds(8000);
  EXPECT_NEAR(seconds(Model.expectedTime(Work, 0)), 4.0, 0.6);
}

TEST_F(RunTimeModelTest, expectsTheDeclaredTimeOfUnknownWork) {
  const auto Work = addJob({.Count = 1}).Spec;
  EXPECT_EQ(Model.expectedTime(Work, 0), Work.Steps[0].Estimate);
}

} // namespace
} // namespace jayramp::scheduling
