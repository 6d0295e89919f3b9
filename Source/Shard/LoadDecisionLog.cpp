#include "Shard/LoadDecisionLog.h"

#include "Base/EventLog.h"
#include "Scheduling/ShardScheduler.h"

namespace jayramp::shard {

namespace {

constexpr Milliseconds AccountReportInterval{5000};

} // namespace

auto LoadDecisionLog::report(scheduling::ShardScheduler &Scheduler,
                             TimePoint Now) -> void {
  reportAccounts(Scheduler, Now);
  reportGangRoom(Scheduler);
}

auto LoadDecisionLog::reportGangRoom(scheduling::ShardScheduler &Scheduler)
    -> void {
  // Few gangs have room gathered at a time, and each pauses after a failure.
  for (const auto &Each : Scheduler.takeGangRoomDecisions())
    logEvent(LogLevel::Info, "gang-room",
             {{"how", std::string(Each.Kind)},
              {"job", Each.Job},
              {"step", std::to_string(Each.Step)},
              {"tasks", std::to_string(Each.Tasks)},
              {"workers", std::to_string(Each.Workers)},
              {"seconds", std::to_string(Each.Seconds)}});
}

auto LoadDecisionLog::reportAccounts(
    const scheduling::ShardScheduler &Scheduler, TimePoint Now) -> void {
  if (!Scheduler.accountsCompete() || Now < NextAccountReport)
    return;
  NextAccountReport = Now + AccountReportInterval;
  const auto &Shares = Scheduler.accountShares();
  logEvent(LogLevel::Info, "accounts-compete",
           {{"shard", Shard},
            {"accounts", std::to_string(Shares.size())},
            {"largest", Shares.largestAccount()},
            {"largest-share", std::to_string(Shares.largestShare())}});
}

} // namespace jayramp::shard
