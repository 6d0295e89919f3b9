#pragma once

#include "Requests/KeyRegistry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayramp {

/// Faults that the model can simulate in an implementation, to show that the
/// checks detect them.
enum class InjectedFault {
  None,
  /// The home grants before the backup acknowledges.
  GrantBeforeAcknowledgement,
  /// Messages of other views are accepted.
  IgnoreViewVersion,
  /// A shard stays complete after a skipped view.
  KeepCompleteAfterSkippedView,
};

/// Simulates several hosts with a KeyRegistry each, and messages between them
/// that are delivered late, more than once, never or in any order. Each host
/// adopts views independently; one that lags behind acts as a paused former
/// home or backup.
class KeyRegistryModel {
public:
  explicit KeyRegistryModel(InjectedFault Fault);

  /// Executes the step that \p Choice encodes.
  auto executeStep(std::uint32_t Choice) -> void;

  /// Returns a description of the first violated property; empty if there is
  /// none.
  auto firstViolation() const -> const std::string & { return FirstViolation; }
  auto grantCount() const -> std::size_t { return GrantCount; }
  /// Returns the number of grants of claims that their holder had released.
  auto ignoredGrantCount() const -> std::size_t { return IgnoredGrantCount; }
  auto viewCount() const -> std::uint64_t { return Views.size(); }

private:
  static constexpr std::size_t HostCount = 4;
  static constexpr std::size_t KeyCount = 3;

  struct Host {
    std::unique_ptr<KeyRegistry> Registry;
    std::string Incarnation;
    std::uint64_t AdoptedVersion = 0;
  };
  struct View {
    /// Maps the number of each member host to its incarnation.
    std::map<std::size_t, std::string> Members;
  };
  struct ClaimState {
    KeyClaim Claim;
    std::size_t HolderNumber = 0;
    std::string HolderIncarnation;
    bool EverGranted = false;
    bool Released = false; ///< The holder decided not to run the request.
    bool Done = false;     ///< The holder ran the request.
  };
  struct Message {
    enum class Kind { Claim, Replicate, Acknowledge, Report, Transfer } Type;
    std::uint64_t ViewVersion = 0;
    std::size_t From = 0;
    std::size_t To = 0;
    std::string ToIncarnation;
    KeyClaim Claim;
    KeyRecord Record;
    OutcomeReport Report;
    ShardExport Transfer;
  };

  auto hostAt(std::size_t Number) -> Host & { return Hosts[Number]; }
  auto restart(std::size_t Number) -> void;
  auto changeView(std::uint32_t Choice) -> void;
  auto adoptNextView(std::size_t Number, bool SkipOne) -> void;
  auto roleIn(std::uint64_t Version, std::uint32_t Shard,
              std::size_t Number) const -> ShardRole;
  auto hostWithRole(std::uint64_t Version, std::uint32_t Shard,
                    ShardRole Role) const -> std::optional<std::size_t>;
  auto sendTransfers(std::size_t Number) -> void;
  auto startClaim(std::uint32_t Choice) -> void;
  auto repeatClaim(std::uint32_t Choice) -> void;
  auto endClaim(std::uint32_t Choice) -> void;
  auto sendClaim(ClaimState &State) -> void;
  auto deliverRandomMessage(std::uint32_t Choice) -> void;
  auto handleMessage(const Message &Item) -> void;
  auto send(Message Item) -> void;
  auto sendToBackup(std::size_t Home, std::uint64_t Version,
                    const KeyRecord &Record) -> void;
  auto recordGrant(std::size_t Home, const KeyRecord &Record) -> void;

  InjectedFault Fault;
  std::vector<Host> Hosts;
  std::vector<View> Views; ///< The view at index 0 has version 1.
  std::vector<ClaimState> Claims;
  std::vector<Message> Messages;
  std::vector<std::string> Keys;
  std::string FirstViolation;
  std::size_t GrantCount = 0;
  std::size_t IgnoredGrantCount = 0;
  std::uint64_t NextId = 1;
  TimePoint Now;
};

} // namespace jayramp
