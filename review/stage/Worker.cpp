#include "Worker.h"

#include <algorithm>

namespace jayramp::review {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t MaxLeaseMs = 10'000;
constexpr std::int64_t MaxWaitMs = 2000;
constexpr std::size_t MaxListedEnds = 500;
constexpr std::int64_t SaveMs = 1000;
constexpr auto ReportInterval = 1500ms;

auto lengthOf(const std::string &Spec) -> std::int64_t {
  const auto At = Spec.find("ms=");
  return At == std::string::npos ? 1000 : std::stol(Spec.substr(At + 3));
}

} // namespace

auto Starts::begin(StartSeen Each) -> std::size_t {
  const std::scoped_lock Lock(Guard);
  Seen.push_back(std::move(Each));
  return Seen.size() - 1;
}

auto Starts::end(std::size_t Position, std::int64_t AtMs,
                 const std::string &How) -> void {
  const std::scoped_lock Lock(Guard);
  Seen[Position].EndedMs = AtMs;
  Seen[Position].How = How;
}

auto Starts::all() -> std::vector<StartSeen> {
  const std::scoped_lock Lock(Guard);
  return Seen;
}

Worker::Worker(Store &Registry, Record &Log, Starts &Seen, std::string Id,
               std::string Ip)
    : Registry(Registry), Log(Log), Seen(Seen), Id(std::move(Id)),
      Ip(std::move(Ip)), Port(freePort(this->Ip)) {}

Worker::~Worker() { crash(); }

auto Worker::start(const WorkerKind &Kind) -> void {
  {
    const std::scoped_lock Lock(Guard);
    Now = Kind;
    Up = true;
    BootedAt = std::chrono::steady_clock::now();
    Born = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    Deadline = 0;
    Fence = Sequence = 0;
    NextEnd = 1;
    Running.clear();
    Highest.clear();
    Ends.clear();
  }
  Server = std::make_unique<HttpServer>(
      Ip, Port, [this](const Request &Message) { return handle(Message); });
  Log.add("worker " + Id + " up, kind " + Kind.Kind);
  report();
  Timer = std::thread([this] { work(); });
}

auto Worker::crash() -> void {
  {
    const std::scoped_lock Lock(Guard);
    if (!Up)
      return;
    Up = false;
    for (const auto &[Task, Unit] : Running)
      Seen.end(Unit.Position, Log.elapsedMs(), "crash");
    Running.clear();
    Ended.notify_all();
  }
  Server->stop();
  Server.reset();
  Timer.join();
  Log.add("worker " + Id + " down");
}

auto Worker::clockMs() const -> std::int64_t {
  return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - BootedAt)
                    .count();
}

auto Worker::report() -> void {
  json Entry;
  {
    const std::scoped_lock Lock(Guard);
    if (!Up)
      return;
    Entry = {
        {"service", Now.Service},
        {"address", Ip + ":" + std::to_string(Port)},
        {"zone", "z-a"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold-remaining-ms", 0},
        {"free-capacity",
         {{"cpu", Now.CpuMillis}, {"mem-mb", Now.MemoryMb}, {"gpu", Now.Gpus}}},
        {"labels", {Now.Kind, Now.Rack}},
        {"clock-ms", clockMs()},
        {"born", Born},
        {"sequence", ++Sequence}};
  }
  Registry.put("servers", Id, Entry.dump());
}

auto Worker::work() -> void {
  auto NextReport = std::chrono::steady_clock::now() + ReportInterval;
  while (true) {
    std::this_thread::sleep_for(10ms);
    {
      const std::scoped_lock Lock(Guard);
      if (!Up)
        return;
      advance();
    }
    if (std::chrono::steady_clock::now() >= NextReport) {
      NextReport += ReportInterval;
      report();
    }
  }
}

auto Worker::saveProgress(const std::string &Task, Live &Unit) -> void {
  const auto Worked = clockMs() - Unit.BeganMs + Unit.SavedMs;
  if (!Unit.Saves || Worked < SaveMs)
    return;
  // A name of the stored state, as long as a SHA-256 in hexadecimal digits.
  auto Text = std::to_string(Worked / SaveMs * SaveMs) + "-" + Task;
  Text.resize(64, '-');
  Unit.Checkpoint = std::move(Text);
}

auto Worker::advance() -> void {
  const auto ClockNow = clockMs();
  const bool Lapsed = Deadline > 0 && ClockNow > Deadline;
  std::vector<std::pair<std::string, std::string>> Over;
  for (auto &[Task, Unit] : Running) {
    saveProgress(Task, Unit);
    if (Lapsed)
      Over.emplace_back(Task, "lapsed");
    else if (ClockNow - Unit.BeganMs >= Unit.LengthMs - Unit.SavedMs)
      Over.emplace_back(Task, "done");
  }
  for (const auto &[Task, How] : Over)
    endRun(Task, How);
}

auto Worker::endRun(const std::string &Task, const std::string &How) -> void {
  const auto Found = Running.find(Task);
  const auto &Unit = Found->second;
  Seen.end(Unit.Position, Log.elapsedMs(), How);
  Log.add("end " + Task + " run " + std::to_string(Unit.Run) + " on " + Id +
          " " + How);
  Ends.push_back({NextEnd++, Task, Unit.Run, How, Unit.Checkpoint});
  auto &Most = Highest[Task];
  Most = std::max(Most, Unit.Run);
  Running.erase(Found);
  Ended.notify_all();
}

auto Worker::handle(const Request &Message) -> std::optional<Response> {
  if (Message.path() == "/health")
    return Response{200, ""};
  if (const auto Target = Message.Headers.find("target-instance");
      Target != Message.Headers.end() && Target->second != Id)
    return Response{421, ""};
  const auto Order = json::parse(Message.Body, nullptr, false);
  if (!Order.is_object())
    return Response{400, ""};
  if (Message.path() == "/run-start")
    return runStart(Order);
  if (Message.path() == "/run-stop")
    return runStop(Order);
  if (Message.path() == "/hold")
    return hold(Order);
  return Response{404, ""};
}

auto Worker::runStart(const json &Order) -> Response {
  const std::scoped_lock Lock(Guard);
  const auto Refuse = [this](const char *Reason) {
    return Response{409,
                    json{{"clock-ms", clockMs()}, {"reason", Reason}}.dump()};
  };
  const auto Token = Order.value("fencing-token", std::uint64_t{0});
  if (Token < Fence)
    return Refuse("fence");
  Fence = Token;
  const auto Task = Order.value("task", "");
  const auto Run = Order.value("run", 0U);
  const auto Until = Order.value("deadline-ms", std::int64_t{0});
  if (Until <= clockMs())
    return Refuse("late");
  Deadline = std::max(Deadline, std::min(Until, clockMs() + MaxLeaseMs));
  if (const auto Found = Running.find(Task);
      Found != Running.end() && Found->second.Run == Run)
    return {200, json{{"clock-ms", clockMs()}}.dump()};
  if (Running.contains(Task) || Highest[Task] >= Run)
    return Refuse("old");
  Live Unit;
  Unit.Run = Run;
  Unit.Spec = Order.value("spec", "");
  Unit.Checkpoint = Order.value("checkpoint", "");
  Unit.BeganMs = clockMs();
  Unit.LengthMs = lengthOf(Unit.Spec);
  Unit.Saves = Unit.Spec.find("save") != std::string::npos;
  if (!Unit.Checkpoint.empty())
    Unit.SavedMs = std::stol(Unit.Checkpoint);
  Unit.Position = Seen.begin(
      {Task, Run, Id, Now.Service, Now.Kind, Log.elapsedMs(), -1, ""});
  Log.add("start " + Task + " run " + std::to_string(Run) + " on " + Id +
          " service " + Now.Service + " kind " + Now.Kind + " token " +
          std::to_string(Token));
  Running.emplace(Task, std::move(Unit));
  return {200, json{{"clock-ms", clockMs()}}.dump()};
}

auto Worker::runStop(const json &Order) -> Response {
  const std::scoped_lock Lock(Guard);
  const auto Token = Order.value("fencing-token", std::uint64_t{0});
  if (Token < Fence)
    return {409, json{{"clock-ms", clockMs()}, {"reason", "fence"}}.dump()};
  Fence = Token;
  const auto Task = Order.value("task", "");
  const auto Run = Order.value("run", 0U);
  if (const auto Found = Running.find(Task);
      Found != Running.end() && Found->second.Run <= Run)
    endRun(Task, "stopped");
  auto &Most = Highest[Task];
  Most = std::max(Most, Run);
  return {200, json{{"clock-ms", clockMs()}}.dump()};
}

auto Worker::hold(const json &Order) -> Response {
  std::unique_lock Lock(Guard);
  const auto Token = Order.value("fencing-token", std::uint64_t{0});
  if (Token < Fence)
    return {409, json{{"clock-ms", clockMs()}, {"reason", "fence"}}.dump()};
  Fence = Token;
  const auto Until = Order.value("deadline-ms", std::int64_t{0});
  if (Until > 0)
    Deadline = std::max(Deadline, std::min(Until, clockMs() + MaxLeaseMs));
  const auto Seen = Order.value("last-seen", std::uint64_t{0});
  std::erase_if(Ends, [Seen](const End &Each) { return Each.Number <= Seen; });
  const auto Wait =
      std::min(MaxWaitMs, Order.value("wait-ms", std::int64_t{0}));
  Ended.wait_for(Lock, std::chrono::milliseconds(Wait),
                 [this] { return !Up || !Ends.empty(); });
  json Reply{{"clock-ms", clockMs()},
             {"born", Born},
             {"running", json::array()},
             {"ended", json::array()}};
  for (const auto &[Task, Unit] : Running) {
    const auto Worked = clockMs() - Unit.BeganMs + Unit.SavedMs;
    Reply["running"].push_back(
        {Task, Unit.Run, Unit.Checkpoint,
         std::min<std::int64_t>(
             100, 100 * Worked / std::max<std::int64_t>(1, Unit.LengthMs)),
         0});
  }
  for (const auto &Each : Ends)
    if (Reply["ended"].size() < MaxListedEnds)
      Reply["ended"].push_back(
          {Each.Number, Each.Task, Each.Run, Each.How, Each.Checkpoint});
  return {200, Reply.dump()};
}

} // namespace jayramp::review
