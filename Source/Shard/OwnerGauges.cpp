#include "Shard/OwnerGauges.h"

#include "Base/Metrics.h"
#include "Scheduling/ClosedZoneStatistics.h"
#include "Scheduling/PoolUse.h"
#include "Scheduling/WaitStatistics.h"
#include "Shard/ShardOwner.h"

#include <optional>
#include <utility>

namespace jayramp::shard {

using scheduling::WaitReason;
using scheduling::WaitStatistics;

namespace {

constexpr Milliseconds UpdateInterval{1000};
/// Zones come from the entries of workers; their number bounds that of gauges.
constexpr std::size_t MaxZonesPerShard = 64;

auto seconds(Milliseconds Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

auto shardLabel(const std::string &Shard) -> std::string {
  return "shard=\"" + Shard + "\"";
}

auto zoneLabels(const std::string &Shard, const std::string &Zone)
    -> std::string {
  return shardLabel(Shard) + ",zone=\"" + Zone + "\"";
}

auto publishWaits(Metrics &Target, const std::string &Shard,
                  std::optional<WaitReason> Reason,
                  const WaitStatistics &Totals) -> void {
  const auto Found = Totals.find(Reason);
  const auto Total =
      Found == Totals.end() ? scheduling::WaitTotals{} : Found->second;
  const auto Labels = shardLabel(Shard) + ",reason=\"" +
                      std::string(Reason ? toString(*Reason) : "undiagnosed") +
                      "\"";
  Target.gauge("jayramp_waiting_tasks", Labels,
               static_cast<double>(Total.Tasks));
  Target.gauge("jayramp_longest_wait_seconds", Labels, Total.LongestSeconds);
}

auto publishCompetition(Metrics &Target, const std::string &Shard,
                        bool AccountsCompete, double LargestShare) -> void {
  Target.gauge("jayramp_accounts_compete", shardLabel(Shard),
               AccountsCompete ? 1 : 0);
  Target.gauge("jayramp_largest_account_share", shardLabel(Shard),
               LargestShare);
}

auto publishAllWaits(Metrics &Target, const std::string &Shard,
                     const WaitStatistics &Totals) -> void {
  publishWaits(Target, Shard, std::nullopt, Totals);
  for (const auto Reason : scheduling::AllWaitReasons)
    publishWaits(Target, Shard, Reason, Totals);
}

auto publishContacts(Metrics &Target, const std::string &Shard,
                     const WorkerContacts &Known) -> void {
  Target.gauge("jayramp_workers_not_answering", shardLabel(Shard),
               static_cast<double>(Known.NotAnswering));
  Target.gauge("jayramp_workers_not_asked", shardLabel(Shard),
               static_cast<double>(Known.NotAsked));
  Target.gauge("jayramp_workers_with_withheld_end", shardLabel(Shard),
               static_cast<double>(Known.WithWithheldEnd));
}

} // namespace

auto OwnerGauges::update(const OwnersByShard &Owners, TimePoint Now) -> void {
  if (Now < NextUpdate)
    return;
  NextUpdate = Now + UpdateInterval;
  for (const auto &Shard : PublishedShards)
    if (!Owners.contains(Shard))
      clear(Shard);
  PublishedShards.clear();
  for (const auto &[Shard, Owner] : Owners) {
    publish(Shard, *Owner, Now);
    PublishedShards.insert(Shard);
  }
}

auto OwnerGauges::publish(const std::string &Shard, const ShardOwner &Owner,
                          TimePoint Now) -> void {
  const auto &Scheduler = Owner.scheduler();
  publishAllWaits(Target, Shard, collectWaitStatistics(Scheduler, Now));
  // The workers are not known during the recovery.
  Target.gauge("jayramp_pool_use", shardLabel(Shard),
               Owner.isRecovering()
                   ? 0
                   : scheduling::poolUse(Scheduler.workers(), Shard));
  Target.gauge("jayramp_confirmed_pool_use", shardLabel(Shard),
               Owner.isRecovering()
                   ? 0
                   : scheduling::confirmedPoolUse(Scheduler.workers(), Shard));
  publishCompetition(Target, Shard, Scheduler.accountsCompete(),
                     Scheduler.accountShares().largestShare());
  Target.gauge(
      "jayramp_gangs_with_held_room", shardLabel(Shard),
      static_cast<double>(Scheduler.roomForGangs().gatherings().size()));
  Target.gauge("jayramp_owner_recovering", shardLabel(Shard),
               Owner.isRecovering() ? 1 : 0);
  publishContacts(Target, Shard, Owner.workerContacts());
  Target.gauge("jayramp_worker_answer_timeout_seconds", shardLabel(Shard),
               seconds(Owner.answerTimeout()));
  publishSpeeds(Shard, Owner);
  publishClosedZones(Shard, &Scheduler);
}

auto OwnerGauges::publishSpeeds(const std::string &Shard,
                                const ShardOwner &Owner) -> void {
  const auto &RunTimes = Owner.scheduler().runTimes();
  const auto Factors = RunTimes.zoneFactors();
  auto &Zones = PublishedZones[Shard];
  // Zones without workers keep their series, with 0.
  std::erase_if(Zones, [&](const std::string &Zone) {
    if (Factors.contains(Zone))
      return false;
    Target.gauge("jayramp_zone_time_factor", zoneLabels(Shard, Zone), 0);
    return true;
  });
  for (const auto &[Zone, Factor] : Factors) {
    if (!Zones.contains(Zone) && Zones.size() >= MaxZonesPerShard)
      continue;
    Zones.insert(Zone);
    Target.gauge("jayramp_zone_time_factor", zoneLabels(Shard, Zone), Factor);
  }
  Target.gauge("jayramp_worker_speeds_differ", shardLabel(Shard),
               RunTimes.knowsSpeeds() ? 1 : 0);
  Target.gauge("jayramp_slow_workers", shardLabel(Shard),
               static_cast<double>(RunTimes.slowWorkers().size()));
}

auto OwnerGauges::publishClosedZones(
    const std::string &Shard, const scheduling::ShardScheduler *Scheduler)
    -> void {
  std::map<std::string, scheduling::ClosedZoneUse> UseByZone;
  if (Scheduler)
    UseByZone = collectClosedZoneStatistics(*Scheduler);
  // Zones that have been opened since keep their series, with 0.
  std::set<std::string> Closed;
  auto ToPublish = std::exchange(PublishedClosedZones[Shard], {});
  for (const auto &[Zone, Use] : UseByZone) {
    Closed.insert(Zone);
    ToPublish.insert(Zone);
  }
  for (const auto &Zone : ToPublish) {
    const auto Labels = zoneLabels(Shard, Zone);
    Target.gauge("jayramp_zone_closed", Labels, Closed.contains(Zone) ? 1 : 0);
    Target.gauge("jayramp_closed_zone_runs", Labels,
                 static_cast<double>(UseByZone[Zone].Runs));
  }
  PublishedClosedZones[Shard] = std::move(Closed);
}

auto OwnerGauges::clear(const std::string &Shard) -> void {
  publishAllWaits(Target, Shard, {});
  Target.gauge("jayramp_pool_use", shardLabel(Shard), 0);
  Target.gauge("jayramp_confirmed_pool_use", shardLabel(Shard), 0);
  publishCompetition(Target, Shard, false, 0);
  Target.gauge("jayramp_gangs_with_held_room", shardLabel(Shard), 0);
  Target.gauge("jayramp_owner_recovering", shardLabel(Shard), 0);
  publishContacts(Target, Shard, {});
  Target.gauge("jayramp_worker_answer_timeout_seconds", shardLabel(Shard), 0);
  for (const auto &Zone : PublishedZones[Shard])
    Target.gauge("jayramp_zone_time_factor", zoneLabels(Shard, Zone), 0);
  Target.gauge("jayramp_worker_speeds_differ", shardLabel(Shard), 0);
  Target.gauge("jayramp_slow_workers", shardLabel(Shard), 0);
  publishClosedZones(Shard, nullptr);
}

} // namespace jayramp::shard
