#include "JobPlan.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace jayramp::platform_test {

using nlohmann::json;

namespace {

constexpr unsigned GpusPerWorker = 8;
constexpr unsigned CpuMillisPerGpu = 3250;
constexpr unsigned MemoryMbPerGpu = 2048;

auto between(std::mt19937_64 &Random, std::int64_t Least, std::int64_t Most)
    -> std::int64_t {
  return std::uniform_int_distribution<std::int64_t>(Least, Most)(Random);
}

} // namespace

auto JobPlan::rackFiller(std::string Id, std::string Rack, unsigned Workers,
                         std::int64_t WorkMs) -> JobPlan {
  JobPlan Plan;
  Plan.Id = std::move(Id);
  Plan.Steps = {{Workers, GpusPerWorker, WorkMs}};
  Plan.RequiredRack = std::move(Rack);
  return Plan;
}

auto JobPlan::singleStep(std::string Id, const StepPlan &Step) -> JobPlan {
  JobPlan Plan;
  Plan.Id = std::move(Id);
  Plan.Steps = {Step};
  return Plan;
}

auto JobPlan::wideGang(std::string Id, std::int64_t WorkMs) -> JobPlan {
  JobPlan Plan;
  Plan.Id = std::move(Id);
  Plan.Steps = {{10, GpusPerWorker / 2, WorkMs}};
  Plan.IsSameRackGang = true;
  return Plan;
}

auto JobPlan::random(std::string Id, std::mt19937_64 &Random) -> JobPlan {
  const auto Kind = between(Random, 0, 9);
  if (Kind == 0 || Kind == 5)
    return wideGang(std::move(Id), between(Random, 500, 1500));
  JobPlan Plan;
  Plan.Id = std::move(Id);
  Plan.IsUrgent = Kind == 1 || Kind == 2;
  Plan.IsSameRackGang = Kind == 2 || Kind == 3;
  const auto StepCount = Kind == 4 ? 2 : 1;
  for (int Step = 0; Step < StepCount; ++Step) {
    const auto Tasks = Plan.IsSameRackGang ? between(Random, 2, 4) : 1;
    Plan.Steps.push_back({static_cast<unsigned>(Tasks),
                          static_cast<unsigned>(between(Random, 1, 4)),
                          between(Random, 500, 3000)});
  }
  return Plan;
}

auto JobPlan::randomLong(std::string Id, std::mt19937_64 &Random) -> JobPlan {
  const auto Kind = between(Random, 0, 9);
  JobPlan Plan;
  Plan.Id = std::move(Id);
  Plan.IsUrgent = Kind == 0;
  Plan.IsSameRackGang = Kind == 1 || Kind == 2;
  const auto StepCount = Kind == 3 ? 2 : 1;
  for (int Step = 0; Step < StepCount; ++Step)
    Plan.Steps.push_back({static_cast<unsigned>(between(Random, 2, 4)),
                          static_cast<unsigned>(between(Random, 1, 3)),
                          StepCount == 2 ? between(Random, 3000, 5000)
                                         : between(Random, 7000, 11000)});
  return Plan;
}

auto JobPlan::body() const -> std::string {
  // The stand-ins of the workers read the length and the accelerators of a task
  // from the spec.
  std::string Spec;
  json StepList = json::array();
  for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
    const auto &Step = Steps[Index];
    const auto Suffix = "-" + std::to_string(Index) + "=";
    Spec += "work-ms" + Suffix + std::to_string(Step.WorkMs) + " gpu" + Suffix +
            std::to_string(Step.GpusPerTask) + " ";
    json Entry{{"count", Step.TaskCount},
               {"cpu", Step.GpusPerTask * CpuMillisPerGpu},
               {"mem-mb", Step.GpusPerTask * MemoryMbPerGpu},
               {"gpu", Step.GpusPerTask},
               {"estimated-ms", Step.WorkMs}};
    if (Step.MaxTasksPerWorker > 0)
      Entry["anti-affinity"] = Step.MaxTasksPerWorker;
    if (Index > 0)
      Entry["after"] = {Index - 1};
    if (IsSameRackGang) {
      Entry["gang"] = true;
      Entry["same-rack"] = true;
    }
    if (!RequiredRack.empty())
      Entry["requirements"] = RequiredRack;
    StepList.push_back(std::move(Entry));
  }
  if (IsSameRackGang)
    Spec += "gang=" + std::to_string(Steps[0].TaskCount);
  return json{{"spec", Spec}, {"steps", StepList}}.dump();
}

} // namespace jayramp::platform_test
