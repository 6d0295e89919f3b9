#include "WorkerStandIn.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
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

/// The members of each gang run that are present on any worker.
struct GangBoard {
  std::mutex Mutex; ///< Guards PresentByGang.
  std::map<std::pair<std::string, std::uint32_t>, std::int64_t> PresentByGang;

  auto add(const std::string &Task, std::uint32_t Run, std::int64_t Change)
      -> void {
    std::lock_guard Lock(Mutex);
    PresentByGang[{Task.substr(0, Task.rfind('.')), Run}] += Change;
  }
  auto present(const std::string &Task, std::uint32_t Run) -> std::int64_t {
    std::lock_guard Lock(Mutex);
    return PresentByGang[{Task.substr(0, Task.rfind('.')), Run}];
  }
};

auto gangBoard() -> GangBoard & {
  static GangBoard Board;
  return Board;
}

} // namespace

WorkerStandIn::WorkerStandIn(Settings Options, StoreStandIn &Store,
                             RunHistory &History)
    : Options(std::move(Options)), Store(Store), History(History),
      BornUnixMs(std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()),
      Address(serveHttp(
          [this](const HttpRequest &Request) { return handle(Request); })) {
  std::thread([this] {
    auto NextEntry = Clock::now();
    while (true) {
      if (Clock::now() >= NextEntry) {
        writeEntry();
        NextEntry += HeartbeatInterval;
      }
      update();
      std::this_thread::sleep_for(UpdateInterval);
    }
  }).detach();
}

auto WorkerStandIn::setCutOff(bool CutOff) -> void {
  std::lock_guard Lock(Mutex);
  IsCutOff = CutOff;
}

auto WorkerStandIn::startDraining(std::int64_t RemainingMs) -> void {
  {
    std::lock_guard Lock(Mutex);
    LeavesAt = Clock::now() + milliseconds(RemainingMs);
  }
  writeEntry();
}

auto WorkerStandIn::runningTasks() -> std::vector<std::string> {
  std::lock_guard Lock(Mutex);
  std::vector<std::string> Tasks;
  for (const auto &[Task, Each] : RunByTask)
    Tasks.push_back(Task);
  return Tasks;
}

auto WorkerStandIn::clockMs() const -> std::int64_t {
  const auto Elapsed =
      std::chrono::duration_cast<milliseconds>(Clock::now() - Born).count();
  return 1000 + static_cast<std::int64_t>(static_cast<double>(Elapsed) *
                                          Options.ClockRate);
}

auto WorkerStandIn::writeEntry() -> void {
  std::lock_guard Lock(Mutex);
  json Entry{{"service", Options.Service},
             {"address", Address},
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
             {"sequence", ++Sequence}};
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

auto WorkerStandIn::handle(const HttpRequest &Request)
    -> std::optional<HttpResponse> {
  const auto Order = json::parse(Request.Body, nullptr, false);
  {
    std::lock_guard Lock(Mutex);
    if (IsCutOff)
      return std::nullopt;
  }
  std::optional<HttpResponse> Answer(HttpResponse{404, "{}"});
  if (Request.Target == "/run-start")
    Answer = startRun(Order);
  else if (Request.Target == "/run-stop")
    Answer = stopRun(Order);
  else if (Request.Target == "/hold")
    Answer = hold(Order);
  std::lock_guard Lock(Mutex);
  return IsCutOff ? std::nullopt : Answer;
}

auto WorkerStandIn::isFenced(const json &Order) -> bool {
  const auto Token = Order.value("fencing-token", std::uint64_t{0});
  if (Token < HighestToken)
    return true;
  HighestToken = Token;
  return false;
}

auto WorkerStandIn::extendLease(const json &Order) -> void {
  const auto Requested = Order.value("deadline-ms", std::int64_t{0});
  LeaseEndMs =
      std::max(LeaseEndMs, std::min(Requested, clockMs() + MaxLeaseMs));
}

auto WorkerStandIn::startRun(const json &Order) -> HttpResponse {
  std::lock_guard Lock(Mutex);
  if (isFenced(Order))
    return reply("fence");
  const auto Task = Order.at("task").get<std::string>();
  const auto Number = Order.at("run").get<std::uint32_t>();
  const auto Spec = Order.value("spec", std::string());
  if (Order.value("deadline-ms", std::int64_t{0}) <= clockMs())
    return reply("late");
  extendLease(Order);
  if (const auto Present = RunByTask.find(Task);
      Present != RunByTask.end() && Present->second.Number == Number)
    return reply("");
  if (Number <= LastEndedRun[Task] || RunByTask.contains(Task))
    return reply("old");
  std::int64_t UsedGpus = 0;
  for (const auto &[Name, Each] : RunByTask)
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
  gangBoard().add(Task, Number, 1);
  RunByTask[Task] = Started;
  return reply("");
}

auto WorkerStandIn::stopRun(const json &Order) -> HttpResponse {
  std::lock_guard Lock(Mutex);
  if (isFenced(Order))
    return reply("fence");
  const auto Task = Order.at("task").get<std::string>();
  const auto Number = Order.at("run").get<std::uint32_t>();
  if (const auto Present = RunByTask.find(Task);
      Present != RunByTask.end() && Present->second.Number <= Number) {
    if (!Present->second.StopsAt)
      Present->second.StopsAt = Clock::now() + StopTime;
    return reply("");
  }
  LastEndedRun[Task] = std::max(LastEndedRun[Task], Number);
  return reply("");
}

auto WorkerStandIn::hold(const json &Order) -> HttpResponse {
  std::unique_lock Lock(Mutex);
  if (isFenced(Order))
    return reply("fence");
  extendLease(Order);
  const auto LastSeen = Order.value("last-seen", std::uint64_t{0});
  std::erase_if(Ends, [=](const End &Each) { return Each.Number <= LastSeen; });
  Ended.wait_for(Lock, milliseconds(Order.value("wait-ms", std::int64_t{0})),
                 [this] { return !Ends.empty(); });
  json Running = json::array();
  for (const auto &[Task, Each] : RunByTask) {
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
  json Listed = json::array();
  for (const auto &Each : Ends)
    Listed.push_back({Each.Number, Each.Task, Each.Run, Each.How, ""});
  return {200, json{{"clock-ms", clockMs()},
                    {"born", BornUnixMs},
                    {"running", Running},
                    {"ended", Listed}}
                   .dump()};
}

auto WorkerStandIn::endRun(const std::string &Task, const std::string &How)
    -> void {
  const auto Found = RunByTask.find(Task);
  const auto Number = Found->second.Number;
  History.end(Found->second.HistoryPosition, How);
  gangBoard().add(Task, Number, -1);
  LastEndedRun[Task] = std::max(LastEndedRun[Task], Number);
  Ends.push_back({++EndCount, Task, Number, How});
  RunByTask.erase(Found);
  Ended.notify_all();
}

auto WorkerStandIn::update() -> void {
  std::lock_guard Lock(Mutex);
  const auto Now = Clock::now();
  std::vector<std::pair<std::string, std::string>> Ending;
  for (auto &[Task, Each] : RunByTask) {
    if (!Each.WorkStartedAt &&
        gangBoard().present(Task, Each.Number) >= Each.GangSize)
      Each.WorkStartedAt = Now;
    if (clockMs() >= LeaseEndMs)
      Ending.emplace_back(Task, "lapsed");
    else if (Each.StopsAt) {
      if (Now >= *Each.StopsAt)
        Ending.emplace_back(Task, "stopped");
    } else if (!Each.WorkStartedAt && Now - Each.StartedAt >= GangTimeout)
      Ending.emplace_back(Task, "alone");
    else if (Each.WorkStartedAt &&
             Now - *Each.WorkStartedAt >= milliseconds(Each.WorkMs))
      Ending.emplace_back(Task, "done");
  }
  for (const auto &[Task, How] : Ending)
    endRun(Task, How);
}

} // namespace review
