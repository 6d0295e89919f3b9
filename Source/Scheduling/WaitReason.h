#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace jayramp::scheduling {

/// What the tasks of a step wait for.
enum class WaitReason {
  Room,        ///< The workers that may run them are too full.
  Rack,        ///< There is room, but not in a single rack.
  Reserve,     ///< The free accelerators are kept for more urgent arrivals.
  GangRoom,    ///< There is room only on workers that are held for a gang.
  Speed,       ///< There is room only on workers too slow for the deadline.
  Quarantine,  ///< There is room only on workers that get no tasks at present.
  Unreachable, ///< There is room only on workers that do not answer.
  ClosedZone,  ///< There is room only in availability zones that are closed.
  NoWorker,    ///< No set of registered workers could hold them when empty.
  EarlierRuns, ///< Earlier runs of the gang may be alive.
  Backoff,     ///< Their last runs were never sent; they are tried again later.
  OnHold,      ///< Their progress cannot be stored at present.
};

inline constexpr std::array AllWaitReasons = {
    WaitReason::Room,        WaitReason::Rack,       WaitReason::Reserve,
    WaitReason::GangRoom,    WaitReason::Speed,      WaitReason::Quarantine,
    WaitReason::Unreachable, WaitReason::ClosedZone, WaitReason::NoWorker,
    WaitReason::EarlierRuns, WaitReason::Backoff,    WaitReason::OnHold};

/// Returns the name of \p Reason in logs and metrics.
auto toString(WaitReason Reason) -> std::string_view;

/// Returns whether the tasks wait although workers that could run them stand
/// idle.
auto isBesideRoom(WaitReason Reason) -> bool;

/// The tasks of a step that wait, as a scheduling pass found them; used for
/// logs.
struct WaitReport {
  std::string Job;
  std::uint32_t Step = 0;
  std::uint32_t Tasks = 0; ///< Number of tasks that wait.
  WaitReason Reason = WaitReason::Room;
  std::uint32_t RoomFor = 0; ///< Number of such tasks that fit in any racks.
  double PoolUse = 0;        ///< Share of the pool's capacity that is in use.
  /// The part of PoolUse whose runs have started and are not being stopped.
  double ConfirmedUse = 0;
  double WaitedSeconds = 0; ///< Since the step's turn came.

  auto operator==(const WaitReport &) const -> bool = default;
};

} // namespace jayramp::scheduling
