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

/// The loaded settings, or every error of the settings file.
using LoadedSettings =
    boost::outcome_v2::checked<DaemonSettings, std::vector<SettingError>>;

/// The validated settings of one jayrampd process. Immutable. docs/settings.md
/// documents the meaning, unit, range and default of each setting.
class DaemonSettings {
public:
  struct HostSection {
    std::string Name;
    std::string AvailabilityZone;
    auto operator==(const HostSection &) const -> bool = default;
  };

  struct ApiSection {
    /// Address that this host listens on.
    SocketAddress Address;
    /// Address that peers and callers connect to; defaults to Address.
    SocketAddress Advertise;
    std::size_t MaximumBodyBytes = 0;
    /// Limit for all request bodies that are being received at the same time.
    std::size_t MaximumUnreadBytes = 0;
    auto operator==(const ApiSection &) const -> bool = default;
  };

  struct PeerSection {
    /// Address that this host listens on.
    SocketAddress Address;
    /// Address that peers connect to; defaults to Address.
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

  /// Values of the members of MembershipTiming with the same names.
  struct MembershipSection {
    Milliseconds StoreHeartbeatInterval{};
    Milliseconds PeerHeartbeatInterval{};
    Milliseconds SilenceLimit{};
    Milliseconds ConfirmationWindow{};
    auto operator==(const MembershipSection &) const -> bool = default;
  };

  struct WorkersSection {
    std::uint32_t Slots = 0;       ///< Maximum number of requests per worker.
    std::uint32_t Connections = 0; ///< Maximum number per worker.
    /// True if workers reject calls with an outdated epoch (`workers.guards`).
    bool EpochFencing = true;
    Milliseconds StatusInterval{};
    Milliseconds HostListInterval{};
    /// Time limit of one attempt; the caller's deadline may end it earlier.
    Milliseconds AttemptTimeout{};
    auto operator==(const WorkersSection &) const -> bool = default;
  };

  struct RequestsSection {
    std::chrono::seconds KeyRetention{};
    std::size_t MaximumKeys = 0;        ///< Key records on this host.
    std::size_t MaximumQueueLength = 0; ///< Waiting requests on this host.
    auto operator==(const RequestsSection &) const -> bool = default;
  };

  struct JobsSection {
    /// Lease of a task that uses surplus accelerators.
    Milliseconds SurplusLeaseDuration{};
    /// Lease of every other task.
    Milliseconds GuaranteedLeaseDuration{};
    Milliseconds CheckpointTimeout{};
    Milliseconds ThrottleTimeout{};
    Milliseconds StopTimeout{};
    auto operator==(const JobsSection &) const -> bool = default;
  };

  struct StopSection {
    /// Time between the first failed readiness check of a planned stop and the
    /// rejection of new requests.
    Milliseconds GracePeriod{};
    /// Time after which a planned stop interrupts the work in progress.
    Milliseconds Timeout{};
    auto operator==(const StopSection &) const -> bool = default;
  };

  struct LogSection {
    LogLevel Level = LogLevel::Info;
    LogLimits Limits;
    auto operator==(const LogSection &) const -> bool = default;
  };

  struct ThreadsSection {
    std::uint32_t Http = 0; ///< Number of threads that serve HTTP.
    auto operator==(const ThreadsSection &) const -> bool = default;
  };

  /// The values of all sections of the settings file. SettingsLoader fills them
  /// before a DaemonSettings is constructed.
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

  /// Loads the settings from the YAML file \p Path.
  /// \returns the settings, or every error of the file in the order of lines.
  static auto load(const std::string &Path) -> LoadedSettings;

  /// Loads the settings from the text \p Yaml instead of a file. \p FileName is
  /// the file name that errors report.
  /// \returns the same as load().
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
