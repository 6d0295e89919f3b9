#include "WorkerStandIn.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <thread>
#include <utility>

namespace review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds UpdateInterval{10};
constexpr milliseconds HeartbeatInterval{1500};
/// bounds.hold-max-ms.
constexpr std::int64_t MaxLeaseMs = 10000;
/// A stop takes less than bounds.stop-timeout-ms, which is 900 ms.
constexpr milliseconds StopTime{800};
/// bounds.gang-timeout-ms.
constexpr milliseconds GangTimeout{3000};
constexpr std::size_t MaxListedEnds = 500;
constexpr std::int64_t CpuMillis = 64000;
constexpr std::int64_t MemoryMb = 131072;
constexpr std::int64_t GpuCount = 8;

/// Returns the number after "NAME=" in the spec of a task.
auto numberIn(const std::string &Spec, const std::string &Name,
              std::int64_t Default) -> std::int64_t {
  const auto Found = Spec.find(Name + "=");
  if (Found == std::string::npos)
    return Default;
  return std::strtoll(Spec.c_str() + Found + Name.size() + 1, nullptr, 10);
}

/// The same for the step of \p Task, if the spec names it.
auto numberOfStep(const std::string &Spec, const std::string &Name,
                  const std::string &Task, std::int64_t Default)
    -> std::int64_t {
  const auto Last = Task.rfind('.');
  const auto Middle = Task.rfind('.', Last - 1);
  return numberIn(Spec, Name + "-" + Task.substr(Middle + 1, Last - Middle - 1),
                  numberIn(Spec, Name, Default));
}

auto unixMs() -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The gang runs of all workers.
struct GangBoard {
  struct Gang {
    std::int64_t Present = 0;
    bool IsDone = false;
    bool HasLostMember = false; ///< While it was at work.
  };

  /// Returns the gang run of \p Task; \p Change, if given, is applied first.
  auto look(const std::string &Task, std::uint32_t Run,
            const std::function<void(Gang &)> &Change = {}) -> Gang {
    std::lock_guard Lock(Mutex);
    auto &Found = ByRun[{Task.substr(0, Task.rfind('.')), Run}];
    if (Change)
      Change(Found);
    return Found;
  }

private:
  std::mutex Mutex; ///< Guards ByRun.
  std::map<std::pair<std::string, std::uint32_t>, Gang> ByRun;
};

auto gangBoard() -> GangBoard & {
  static GangBoard Board;
  return Board;
}

} // namespace

WorkerStandIn::WorkerStandIn(Settings Options, StoreStandIn &Store,
                             RunHistory &History)
    : Options(std::move(Options)), Store(Store), History(History),
      BornUnixMs(unixMs()) {
  listen();
  std::thread([this] {
    while (true) {
      writeEntryIfDue();
      {
        std::lock_guard Lock(Mutex);
        endDueRuns();
      }
      std::this_thread::sleep_for(UpdateInterval);
    }
  }).detach();
}

auto WorkerStandIn::listen() -> void {
  Server.open([this, Process = ProcessNumber](const HttpRequest &Request) {
    return handle(Request, Process);
  });
}

auto WorkerStandIn::crash(Crash Kind) -> void {
  {
    std::lock_guard Lock(Mutex);
    if (!IsUp)
      return;
    IsUp = false;
    // Threads of the former process carry nothing out any more.
    ++ProcessNumber;
    for (const auto &[Task, Each] : Known.RunByTask) {
      History.end(Each.HistoryPosition, "died");
      const bool WasAtWork = Each.WorkStartedAt.has_value();
      gangBoard().look(Task, Each.Number, [=](GangBoard::Gang &Gang) {
        Gang.HasLostMember = Gang.HasLostMember || WasAtWork;
        --Gang.Present;
      });
    }
    Known = {};
    Ended.notify_all();
    CutEnded.notify_all();
  }
  if (Kind == Crash::Process)
    Server.close();
  else
    Server.suspend();
}

auto WorkerStandIn::startAgain(const NextProcess &Next) -> void {
  {
    std::lock_guard Lock(Mutex);
    if (IsUp)
      return;
    IsUp = true;
    Born = Clock::now();
    BornUnixMs = unixMs();
    FirstClockMs = Next.ClockMs;
    NextEntry = Born + milliseconds(Next.EntryDelayMs);
  }
  listen();
}

auto WorkerStandIn::setCutOff(bool CutOff, bool Delays) -> void {
  std::lock_guard Lock(Mutex);
  IsCutOff = CutOff;
  DelaysCalls = Delays;
  CutEnded.notify_all();
}

auto WorkerStandIn::isReachable() -> bool {
  std::lock_guard Lock(Mutex);
  return IsUp && !IsCutOff;
}

auto WorkerStandIn::startDraining(std::int64_t RemainingMs) -> void {
  std::lock_guard Lock(Mutex);
  LeavesAt = Clock::now() + milliseconds(RemainingMs);
  writeEntry();
}

auto WorkerStandIn::runningTasks() -> std::vector<std::string> {
  std::lock_guard Lock(Mutex);
  std::vector<std::string> Tasks;
  for (const auto &[Task, Each] : Known.RunByTask)
    Tasks.push_back(Task);
  return Tasks;
}

auto WorkerStandIn::clockMs() const -> std::int64_t {
  const auto Elapsed =
      std::chrono::duration_cast<milliseconds>(Clock::now() - Born).count();
  return FirstClockMs + static_cast<std::int64_t>(static_cast<double>(Elapsed) *
                                                  Options.ClockRate);
}

auto WorkerStandIn::writeEntryIfDue() -> void {
  std::lock_guard Lock(Mutex);
  if (!IsUp || Clock::now() < NextEntry)
    return;
  writeEntry();
  NextEntry += HeartbeatInterval;
}

auto WorkerStandIn::writeEntry() -> void {
  json Entry{{"service", Options.Service},
             {"address", Server.address()},
             {"zone", Options.Zone},
             {"version", "v1"},
             {"slots", 8},
             {"state", LeavesAt ? "draining" : "ready"},
             {"cold-remaining-ms", 0},
             {"free-capacity",
              {{"cpu", CpuMillis}, {"mem-mb", MemoryMb}, {"gpu", GpuCount}}},
             {"labels", {"a", Options.Rack}},
             {"clock-ms", clockMs()},
             {"born", BornUnixMs},
             {"sequence", ++Known.Sequence}};
  if (LeavesAt)
    Entry["remaining-ms"] = std::max<std::int64_t>(
        0, std::chrono::duration_cast<milliseconds>(*LeavesAt - Clock::now())
               .count());
  Store.put("servers", Options.Id, Entry.dump());
}

auto WorkerStandIn::reply(const std::string &Reason) const -> HttpResponse {
  if (Reason.empty())
    return {200, json{{"clock-ms", clockMs()}}.dump()};
  return {409, json{{"clock-ms", clockMs()}, {"reason", Reason}}.dump()};
}

auto WorkerStandIn::handle(const HttpRequest &Request, std::uint64_t Process)
    -> std::optional<HttpResponse> {
  std::unique_lock Lock(Mutex);
  const auto IsRunning = [this, Process] {
    return IsUp && Process == ProcessNumber;
  };
  bool IsAnswered = !IsCutOff;
  if (IsCutOff && DelaysCalls)
    CutEnded.wait(Lock, [&] { return !IsRunning() || !IsCutOff; });
  if (!IsRunning() || IsCutOff)
    return std::nullopt;
  auto Answer = carryOut(Request, Lock);
  IsAnswered = IsAnswered && IsRunning() && !IsCutOff;
  return IsAnswered ? std::optional(std::move(Answer)) : std::nullopt;
}

auto WorkerStandIn::carryOut(const HttpRequest &Request,
                             std::unique_lock<std::mutex> &Lock)
    -> HttpResponse {
  const auto Order = json::parse(Request.Body, nullptr, false);
  // No call renews a lease that has expired.
  endDueRuns();
  if (Request.Target == "/run-start")
    return startRun(Order);
  if (Request.Target == "/run-stop")
    return stopRun(Order);
  if (Request.Target == "/hold")
    return hold(Order, Lock);
  return {404, "{}"};
}

auto WorkerStandIn::isFenced(const json &Order) -> bool {
  const auto Token = Order.value("fencing-token", std::uint64_t{0});
  if (Token < Known.HighestToken)
    return true;
  Known.HighestToken = Token;
  return false;
}

auto WorkerStandIn::extendLease(const json &Order) -> void {
  const auto Requested = Order.value("deadline-ms", std::int64_t{0});
  Known.LeaseEndMs =
      std::max(Known.LeaseEndMs, std::min(Requested, clockMs() + MaxLeaseMs));
}

auto WorkerStandIn::startRun(const json &Order) -> HttpResponse {
  if (isFenced(Order))
    return reply("fence");
  const auto Task = Order.at("task").get<std::string>();
  const auto Number = Order.at("run").get<std::uint32_t>();
  const auto Spec = Order.value("spec", std::string());
  if (Order.value("deadline-ms", std::int64_t{0}) <= clockMs())
    return reply("late");
  extendLease(Order);
  if (const auto Present = Known.RunByTask.find(Task);
      Present != Known.RunByTask.end() && Present->second.Number == Number)
    return reply("");
  if (Number <= Known.LastEndedRun[Task] || Known.RunByTask.contains(Task))
    return reply("old");
  std::int64_t UsedGpus = 0;
  for (const auto &[Name, Each] : Known.RunByTask)
    UsedGpus += Each.Gpus;
  Run Started;
  Started.Gpus = numberOfStep(Spec, "gpu", Task, 0);
  if (UsedGpus + Started.Gpus > GpuCount)
    return reply("room");
  Started.Number = Number;
  Started.WorkMs = numberOfStep(Spec, "work-ms", Task, 1000);
  Started.GangSize = numberIn(Spec, "gang", 1);
  Started.StartedAt = Clock::now();
  Started.HistoryPosition = History.start(Task, Number, Options.Id);
  gangBoard().look(Task, Number, [](GangBoard::Gang &Gang) { ++Gang.Present; });
  Known.RunByTask[Task] = Started;
  return reply("");
}

auto WorkerStandIn::stopRun(const json &Order) -> HttpResponse {
  if (isFenced(Order))
    return reply("fence");
  const auto Task = Order.at("task").get<std::string>();
  const auto Number = Order.at("run").get<std::uint32_t>();
  if (const auto Present = Known.RunByTask.find(Task);
      Present != Known.RunByTask.end() && Present->second.Number <= Number) {
    if (!Present->second.StopsAt)
      Present->second.StopsAt = Clock::now() + StopTime;
    return reply("");
  }
  Known.LastEndedRun[Task] = std::max(Known.LastEndedRun[Task], Number);
  return reply("");
}

auto WorkerStandIn::hold(const json &Order, std::unique_lock<std::mutex> &Lock)
    -> HttpResponse {
  if (isFenced(Order))
    return reply("fence");
  extendLease(Order);
  const auto LastSeen = Order.value("last-seen", std::uint64_t{0});
  std::erase_if(Known.Ends, [=, this](const End &Each) {
    if (Each.Number <= LastSeen)
      History.acknowledge(Each.HistoryPosition);
    return Each.Number <= LastSeen;
  });
  Ended.wait_for(Lock, milliseconds(Order.value("wait-ms", std::int64_t{0})),
                 [this, Process = ProcessNumber] {
                   return !Known.Ends.empty() || Process != ProcessNumber;
                 });
  json Listed = json::array();
  for (const auto &Each : Known.Ends) {
    if (Listed.size() == MaxListedEnds)
      break;
    Listed.push_back({Each.Number, Each.Task, Each.Run, Each.How, ""});
  }
  return {200, json{{"clock-ms", clockMs()},
                    {"born", BornUnixMs},
                    {"running", runningRows()},
                    {"ended", Listed}}
                   .dump()};
}

auto WorkerStandIn::runningRows() const -> json {
  json Running = json::array();
  for (const auto &[Task, Each] : Known.RunByTask) {
    std::int64_t Percent = 0;
    if (Each.WorkStartedAt)
      Percent = std::min<std::int64_t>(
          100, 100 *
                   std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                            *Each.WorkStartedAt)
                       .count() /
                   std::max<std::int64_t>(1, Each.WorkMs));
    Running.push_back({Task, Each.Number, "", Percent});
  }
  return Running;
}

auto WorkerStandIn::endRun(const std::string &Task, const std::string &How)
    -> void {
  const auto Found = Known.RunByTask.find(Task);
  const auto Number = Found->second.Number;
  History.end(Found->second.HistoryPosition, How);
  gangBoard().look(Task, Number, [&](GangBoard::Gang &Gang) {
    --Gang.Present;
    Gang.IsDone = Gang.IsDone || How == "done";
  });
  Known.LastEndedRun[Task] = std::max(Known.LastEndedRun[Task], Number);
  Known.Ends.push_back(
      {++Known.EndCount, Task, Number, How, Found->second.HistoryPosition});
  Known.RunByTask.erase(Found);
  Ended.notify_all();
}

auto WorkerStandIn::endDueRuns() -> void {
  const auto Now = Clock::now();
  std::vector<std::pair<std::string, std::string>> Ending;
  for (auto &[Task, Each] : Known.RunByTask) {
    const auto Gang = gangBoard().look(Task, Each.Number);
    if (!Each.WorkStartedAt && Gang.Present >= Each.GangSize)
      Each.WorkStartedAt = Now;
    if (clockMs() >= Known.LeaseEndMs)
      Ending.emplace_back(Task, "lapsed");
    else if (Each.StopsAt) {
      if (Now >= *Each.StopsAt)
        Ending.emplace_back(Task, "stopped");
    } else if (!Each.WorkStartedAt && Now - Each.StartedAt >= GangTimeout)
      Ending.emplace_back(Task, "alone");
    else if (Each.WorkStartedAt && Each.GangSize > 1 && Gang.HasLostMember &&
             !Gang.IsDone)
      Ending.emplace_back(Task, "broken");
    else if (Each.WorkStartedAt &&
             Now - *Each.WorkStartedAt >= milliseconds(Each.WorkMs))
      Ending.emplace_back(Task, "done");
  }
  for (const auto &[Task, How] : Ending)
    endRun(Task, How);
  if (clockMs() >= Known.LeaseEndMs)
    recordLapse();
}

auto WorkerStandIn::recordLapse() -> void {
  for (auto &Each : Known.Ends)
    if (!std::exchange(Each.IsLeaseLapsed, true))
      History.recordLapse(Each.HistoryPosition);
}

} // namespace review
