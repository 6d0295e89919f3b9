#include "EndToEnd/GangExecutionRecord.h"

#include "EndToEnd/StandIn.h"

#include <cpprest/json.h>

#include <algorithm>
#include <chrono>

namespace jayramp {

auto unixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto GangExecutionRecord::read(const StandIn &Workers, int WorkerCount)
    -> GangExecutionRecord {
  GangExecutionRecord Record;
  for (int Worker = 0; Worker < WorkerCount; ++Worker) {
    auto Json = Workers.record(Worker);
    for (const auto &Entry : Json.at("tasks").as_array()) {
      Task Next;
      Next.WorkerIndex = Worker;
      Next.Name = Entry.at("task").as_string();
      Next.Job = Entry.at("job").as_string();
      for (const auto &Index : Entry.at("accelerators").as_array())
        Next.Accelerators.push_back(Index.as_number().to_uint32());
      Next.StartMs = Entry.at("start_ms").as_number().to_int64();
      Next.EndMs = Entry.at("end_ms").as_number().to_int64();
      Next.EndReason = Entry.at("end_reason").as_string();
      if (Next.StartMs != 0)
        Record.Tasks.push_back(std::move(Next));
    }
  }
  Record.ReadAtMs = unixMilliseconds();
  return Record;
}

auto GangExecutionRecord::violations(
    const std::map<std::string, std::uint32_t> &AcceleratorsByJob,
    Milliseconds MaxPartialRun) -> std::string {
  std::string Violations;
  std::map<std::string, std::vector<Task>> Attempts;
  for (const auto &Each : Tasks)
    if (AcceleratorsByJob.contains(Each.Job))
      Attempts[Each.Name].push_back(Each);
  for (const auto &[Name, Attempt] : Attempts) {
    auto PartialMs = longestPartialRunMsOf(
        Attempt, AcceleratorsByJob.at(Attempt.front().Job));
    LongestPartialRunMs = std::max(LongestPartialRunMs, PartialMs);
    if (PartialMs <= MaxPartialRun.count())
      continue;
    Violations += "attempt " + Name +
                  " ran with part of its accelerators for " +
                  std::to_string(PartialMs) + " ms:";
    for (const auto &Each : Attempt)
      Violations += " worker " + std::to_string(Each.WorkerIndex) + " " +
                    std::to_string(Each.StartMs) + ".." +
                    std::to_string(Each.EndMs) + " " + Each.EndReason;
    Violations += "\n";
  }
  std::map<std::pair<int, std::uint32_t>, std::vector<Task>> TasksByAccelerator;
  for (const auto &Each : Tasks)
    for (auto Index : Each.Accelerators)
      TasksByAccelerator[{Each.WorkerIndex, Index}].push_back(Each);
  for (auto &[Accelerator, Users] : TasksByAccelerator) {
    std::sort(Users.begin(), Users.end(),
              [](const auto &Left, const auto &Right) {
                return Left.StartMs < Right.StartMs;
              });
    for (std::size_t Next = 1; Next < Users.size(); ++Next)
      if (Users[Next - 1].EndMs == 0 ||
          Users[Next - 1].EndMs > Users[Next].StartMs)
        Violations += "accelerator " + std::to_string(Accelerator.second) +
                      " of worker " + std::to_string(Accelerator.first) +
                      " is used by " + Users[Next - 1].Name + " and " +
                      Users[Next].Name + "\n";
  }
  return Violations;
}

auto GangExecutionRecord::longestPartialRunMsOf(
    const std::vector<Task> &Attempt, std::uint32_t JobAccelerators) const
    -> std::int64_t {
  // Change of the number of running accelerators at each Unix time in ms.
  std::map<std::int64_t, std::int64_t> Changes;
  for (const auto &Each : Attempt) {
    const auto Count = static_cast<std::int64_t>(Each.Accelerators.size());
    Changes[Each.StartMs] += Count;
    Changes[Each.EndMs == 0 ? ReadAtMs : Each.EndMs] -= Count;
  }
  std::int64_t LongestMs = 0;
  std::int64_t RunningAccelerators = 0;
  std::int64_t PartialSince = 0;
  for (const auto &[Time, Change] : Changes) {
    const bool WasPartial =
        RunningAccelerators > 0 && RunningAccelerators < JobAccelerators;
    RunningAccelerators += Change;
    const bool IsPartial =
        RunningAccelerators > 0 && RunningAccelerators < JobAccelerators;
    if (IsPartial && !WasPartial)
      PartialSince = Time;
    if (WasPartial)
      LongestMs = std::max(LongestMs, Time - PartialSince);
  }
  return LongestMs;
}

auto GangExecutionRecord::taskCount(const std::string &Job) const
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Tasks.begin(), Tasks.end(),
                    [&Job](const auto &Each) { return Each.Job == Job; }));
}

auto GangExecutionRecord::runningAccelerators(const std::string &Job) const
    -> std::size_t {
  std::size_t Count = 0;
  for (const auto &Each : Tasks)
    if (Each.Job == Job && Each.EndMs == 0)
      Count += Each.Accelerators.size();
  return Count;
}

auto GangExecutionRecord::lastTaskStartMs(const std::string &Job) const
    -> std::int64_t {
  std::int64_t LatestMs = 0;
  for (const auto &Each : Tasks)
    if (Each.Job == Job)
      LatestMs = std::max(LatestMs, Each.StartMs);
  return LatestMs;
}

} // namespace jayramp
