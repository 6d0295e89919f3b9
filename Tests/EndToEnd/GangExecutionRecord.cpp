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

auto GangExecutionRecord::read(const StandIn &Workers, int Count)
    -> GangExecutionRecord {
  GangExecutionRecord Read;
  for (int Worker = 0; Worker < Count; ++Worker) {
    auto Json = Workers.record(Worker);
    for (const auto &Entry : Json.at("tasks").as_array()) {
      Task Next;
      Next.Worker = Worker;
      Next.Name = Entry.at("task").as_string();
      Next.Job = Entry.at("job").as_string();
      for (const auto &Index : Entry.at("accelerators").as_array())
        Next.Accelerators.push_back(Index.as_number().to_uint32());
      Next.Start = Entry.at("start_ms").as_number().to_int64();
      Next.End = Entry.at("end_ms").as_number().to_int64();
      Next.EndReason = Entry.at("end_reason").as_string();
      if (Next.Start != 0)
        Read.Tasks.push_back(std::move(Next));
    }
  }
  Read.ReadAtMs = unixMilliseconds();
  return Read;
}

auto GangExecutionRecord::violations(
    const std::map<std::string, std::uint32_t> &Sizes, Milliseconds Longest)
    -> std::string {
  std::string Found;
  std::map<std::string, std::vector<Task>> Attempts;
  for (const auto &Each : Tasks)
    if (Sizes.contains(Each.Job))
      Attempts[Each.Name].push_back(Each);
  for (const auto &[Name, Attempt] : Attempts) {
    auto Time = longestPartialRun(Attempt, Sizes.at(Attempt.front().Job));
    LongestPartialRunMs = std::max(LongestPartialRunMs, Time);
    if (Time <= Longest.count())
      continue;
    Found +=
        "attempt " + Name + " ran in part for " + std::to_string(Time) + " ms:";
    for (const auto &Each : Attempt)
      Found += " worker " + std::to_string(Each.Worker) + " " +
               std::to_string(Each.Start) + ".." + std::to_string(Each.End) +
               " " + Each.EndReason;
    Found += "\n";
  }
  std::map<std::pair<int, std::uint32_t>, std::vector<Task>> Users;
  for (const auto &Each : Tasks)
    for (auto Index : Each.Accelerators)
      Users[{Each.Worker, Index}].push_back(Each);
  for (auto &[Place, List] : Users) {
    std::sort(List.begin(), List.end(),
              [](const auto &Left, const auto &Right) {
                return Left.Start < Right.Start;
              });
    for (std::size_t Next = 1; Next < List.size(); ++Next)
      if (List[Next - 1].End == 0 || List[Next - 1].End > List[Next].Start)
        Found += "accelerator " + std::to_string(Place.second) + " of worker " +
                 std::to_string(Place.first) + " is in " + List[Next - 1].Name +
                 " and " + List[Next].Name + "\n";
  }
  return Found;
}

auto GangExecutionRecord::longestPartialRun(const std::vector<Task> &Attempt,
                                            std::uint32_t Size) const
    -> std::int64_t {
  // Change of the number of running accelerators by time.
  std::map<std::int64_t, std::int64_t> Changes;
  for (const auto &Each : Attempt) {
    const auto Count = static_cast<std::int64_t>(Each.Accelerators.size());
    Changes[Each.Start] += Count;
    Changes[Each.End == 0 ? ReadAtMs : Each.End] -= Count;
  }
  std::int64_t Longest = 0;
  std::int64_t Running = 0;
  std::int64_t Since = 0;
  for (const auto &[Time, Change] : Changes) {
    const bool WasPartial = Running > 0 && Running < Size;
    Running += Change;
    const bool IsPartial = Running > 0 && Running < Size;
    if (IsPartial && !WasPartial)
      Since = Time;
    if (WasPartial)
      Longest = std::max(Longest, Time - Since);
  }
  return Longest;
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
    if (Each.Job == Job && Each.End == 0)
      Count += Each.Accelerators.size();
  return Count;
}

auto GangExecutionRecord::lastTaskStartMs(const std::string &Job) const
    -> std::int64_t {
  std::int64_t Last = 0;
  for (const auto &Each : Tasks)
    if (Each.Job == Job)
      Last = std::max(Last, Each.Start);
  return Last;
}

} // namespace jayramp
