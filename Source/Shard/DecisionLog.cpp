#include "Shard/DecisionLog.h"

#include "Base/EventLog.h"
#include "Scheduling/ShardScheduler.h"

namespace jayramp::shard {

using scheduling::ShardScheduler;

namespace {

/// Seconds after which a task that waits beside room for it is logged as a
/// warning.
constexpr double MaxWaitBesideRoom = 3.0;

auto logPlacementsAndStops(ShardScheduler &Scheduler) -> void {
  for (const auto &Placed : Scheduler.takePlacementDecisions()) {
    logEvent(LogLevel::Info, "tasks-placed",
             {{"job", Placed.Job},
              {"step", std::to_string(Placed.Step)},
              {"run", std::to_string(Placed.Run)},
              {"tasks", std::to_string(Placed.Tasks)},
              {"racks", std::to_string(Placed.Racks)},
              {"waited-s", std::to_string(Placed.WaitedSeconds)}});
    if (Placed.Speed)
      logEvent(LogLevel::Info, "placed-by-speed",
               {{"job", Placed.Job},
                {"step", std::to_string(Placed.Step)},
                {"reason", std::string(toString(*Placed.Speed))},
                {"time-factor", std::to_string(Placed.TimeFactor)}});
  }
  for (const auto &Stop : Scheduler.takeStopDecisions())
    logEvent(LogLevel::Info, "task-stopped",
             {{"run", toString(Stop.Run)},
              {"worker", Stop.Worker},
              {"reason", std::string(toString(Stop.Reason))},
              {"for", Stop.PreemptingJob},
              {"percent", std::to_string(Stop.ProgressPercent)}});
}

auto logWaits(ShardScheduler &Scheduler) -> void {
  for (const auto &Wait : Scheduler.takeWaitReports()) {
    const bool IsUnexpected =
        isBesideRoom(Wait.Reason) && Wait.WaitedSeconds >= MaxWaitBesideRoom;
    logEvent(IsUnexpected ? LogLevel::Warning : LogLevel::Info, "tasks-waiting",
             {{"job", Wait.Job},
              {"step", std::to_string(Wait.Step)},
              {"tasks", std::to_string(Wait.Tasks)},
              {"reason", std::string(toString(Wait.Reason))},
              {"room-for", std::to_string(Wait.RoomFor)},
              {"pool-use", std::to_string(Wait.PoolUse)},
              {"confirmed-use", std::to_string(Wait.ConfirmedUse)},
              {"waited-s", std::to_string(Wait.WaitedSeconds)}});
  }
}

} // namespace

auto logDecisions(ShardScheduler &Scheduler) -> void {
  logPlacementsAndStops(Scheduler);
  logWaits(Scheduler);
}

} // namespace jayramp::shard
