#pragma once

#include "Base/Clock.h"
#include "Base/EventLog.h"
#include "Settings/SettingError.h"
#include "Settings/SocketAddress.h"

#include <boost/outcome/result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

class DaemonSettings;

/// The settings, or every fault of the file.
using LoadedSettings =
    boost::outcome_v2::checked<DaemonSettings, std::vector<SettingError>>;

/// The settings of one jayrampd, validated as a whole. Immutable. The meaning,
/// unit, range and default of each setting are in docs/settings.md.
class DaemonSettings {
public:
  struct HostSection {
    std::string Name;
    std::string AvailabilityZone;
    auto operator==(const HostSection &) const -> bool = default;
  };

  struct ApiSection {
    /// Address to listen on.
    SocketAddress Address;
    /// Address that peers and callers use; equals Address unless set.
    SocketAddress Advertise;
    std::size_t MaximumBodyBytes = 0;
    std::size_t MaximumUnreadBytes = 0;
    auto operator==(const ApiSection &) const -> bool = default;
  };

  struct PeerSection {
    /// Address to listen on.
    SocketAddress Address;
    /// Address that peers connect to; equals Address unless set.
    SocketAddress Advertise;
    auto operator==(const PeerSection &) const -> bool = default;
  };

  struct PlatformSection {
    SocketAddress TableAddress;
    SocketAddress ObjectAddress;
    SocketAddress HostListAddress;
    Milliseconds Timeout{};
    auto operator==(const PlatformSection &) const -> bool = default;
  };

  struct MembershipSection {
    Milliseconds HeartbeatInterval{};
    Milliseconds PeerHeartbeatInterval{};
    Milliseconds SilenceTimeout{};
    Milliseconds MaximumConfirmationAge{};
    auto operator==(const MembershipSection &) const -> bool = default;
  };

  struct WorkersSection {
    std::uint32_t Slots = 0;
    std::uint32_t Connections = 0;
    bool EpochFencing = true;
    Milliseconds StatusInterval{};
    Milliseconds HostListInterval{};
    /// An attempt ends earlier if the caller's deadline is earlier.
    Milliseconds AttemptTimeout{};
    auto operator==(const WorkersSection &) const -> bool = default;
  };

  struct RequestsSection {
    std::chrono::seconds KeyRetention{};
    std::size_t MaximumKeys = 0;
    std::size_t MaximumQueueLength = 0;
    auto operator==(const RequestsSection &) const -> bool = default;
  };

  struct JobsSection {
    Milliseconds SurplusLeaseDuration{};
    Milliseconds LeaseDuration{};
    Milliseconds CheckpointTimeout{};
    Milliseconds ThrottleDuration{};
    Milliseconds StopTimeout{};
    auto operator==(const JobsSection &) const -> bool = default;
  };

  struct StopSection {
    Milliseconds GracePeriod{};
    Milliseconds Timeout{};
    auto operator==(const StopSection &) const -> bool = default;
  };

  struct LogSection {
    LogLevel Level = LogLevel::Info;
    LogLimits Limits;
    auto operator==(const LogSection &) const -> bool = default;
  };

  struct ThreadsSection {
    std::uint32_t Http = 0;
    auto operator==(const ThreadsSection &) const -> bool = default;
  };

  /// All sections; the loader fills them before the settings are made.
  struct Sections {
    HostSection Host;
    ApiSection Api;
    PeerSection Peer;
    PlatformSection Platform;
    MembershipSection Membership;
    WorkersSection Workers;
    RequestsSection Requests;
    JobsSection Jobs;
    StopSection Stop;
    LogSection Log;
    ThreadsSection Threads;
    auto operator==(const Sections &) const -> bool = default;
  };

  /// Reads the YAML file \p Path.
  /// \returns every fault of the file, in the order of its lines.
  static auto load(const std::string &Path) -> LoadedSettings;

  /// Like load(), from text; \p FileName appears in faults.
  static auto parse(const std::string &Yaml, const std::string &FileName)
      -> LoadedSettings;

  auto host() const -> const HostSection & { return Values.Host; }
  auto api() const -> const ApiSection & { return Values.Api; }
  auto peer() const -> const PeerSection & { return Values.Peer; }
  auto platform() const -> const PlatformSection & { return Values.Platform; }
  auto membership() const -> const MembershipSection & {
    return Values.Membership;
  }
  auto workers() const -> const WorkersSection & { return Values.Workers; }
  auto requests() const -> const RequestsSection & { return Values.Requests; }
  auto jobs() const -> const JobsSection & { return Values.Jobs; }
  auto stop() const -> const StopSection & { return Values.Stop; }
  auto log() const -> const LogSection & { return Values.Log; }
  auto threads() const -> const ThreadsSection & { return Values.Threads; }

  auto operator==(const DaemonSettings &) const -> bool = default;

private:
  explicit DaemonSettings(Sections Values);

  Sections Values;
};

} // namespace jayramp
