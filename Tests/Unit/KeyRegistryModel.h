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

/// Faults that a naive implementation would have; used to show that the
/// properties notice them.
enum class Naive {
  None,
  GrantBeforeAcknowledgement, ///< The home grants before the backup stores.
  IgnoreViewVersion,          ///< Messages of other views are accepted.
  KeepCompleteOverSkipped,    ///< Skipped views do not end completeness.
};

/// Several hosts with KeyRegistry objects, and messages between them that are
/// delivered in any order, late, twice or never. Hosts adopt views at their own
/// pace: one that does not is a paused old home or backup.
class KeyRegistryModel {
public:
  explicit KeyRegistryModel(Naive Fault);

  /// Executes one step that \p Choice encodes.
  auto step(std::uint32_t Choice) -> void;

  /// The first broken property; empty if there is none.
  auto violation() const -> const std::string & { return Violation; }
  auto grantCount() const -> std::size_t { return GrantCount; }
  /// Grants that reached a holder after it had released the claim.
  auto ignoredGrantCount() const -> std::size_t { return IgnoredGrantCount; }
  auto viewCount() const -> std::uint64_t { return Views.size(); }

private:
  static constexpr std::size_t HostCount = 4;
  static constexpr std::size_t KeyCount = 3;

  struct Host {
    std::unique_ptr<KeyRegistry> Registry;
    std::string Incarnation;
    std::uint64_t Adopted = 0;
  };
  struct View {
    /// Host number to incarnation.
    std::map<std::size_t, std::string> Members;
  };
  struct ClaimState {
    KeyClaim Claim;
    std::size_t Holder = 0;
    std::string HolderIncarnation;
    bool EverGranted = false;
    bool Released = false; ///< Its holder decided that it will not run.
    bool Done = false;     ///< Its holder ran it.
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

  auto current(std::size_t Number) -> Host & { return Hosts[Number]; }
  auto restart(std::size_t Number) -> void;
  auto changeView(std::uint32_t Choice) -> void;
  auto adopt(std::size_t Number, bool SkipOne) -> void;
  auto roleIn(std::uint64_t Version, std::uint32_t Shard,
              std::size_t Number) const -> ShardRole;
  auto hostWithRole(std::uint64_t Version, std::uint32_t Shard,
                    ShardRole Role) const -> std::optional<std::size_t>;
  auto sendTransfers(std::size_t Number) -> void;
  auto newClaim(std::uint32_t Choice) -> void;
  auto repeatClaim(std::uint32_t Choice) -> void;
  auto endClaim(std::uint32_t Choice) -> void;
  auto sendClaim(ClaimState &State) -> void;
  auto deliver(std::uint32_t Choice) -> void;
  auto deliverOne(const Message &Item) -> void;
  auto send(Message Item) -> void;
  auto replicate(std::size_t Home, std::uint64_t Version,
                 const KeyRecord &Record) -> void;
  auto granted(std::size_t Home, const KeyRecord &Record) -> void;

  Naive Fault;
  std::vector<Host> Hosts;
  std::vector<View> Views; ///< Index 0 is version 1.
  std::vector<ClaimState> Claims;
  std::vector<Message> Messages;
  std::vector<std::string> Keys;
  std::string Violation;
  std::size_t GrantCount = 0;
  std::size_t IgnoredGrantCount = 0;
  std::uint64_t NextId = 1;
  TimePoint Now;
};

} // namespace jayramp
