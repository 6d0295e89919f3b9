#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Configuration/ConfigurationOutcome.h"

#include <cstdint>
#include <memory>

namespace jayramp::v1 {
class ClientAccount;
class ConfigurationDocument;
} // namespace jayramp::v1

namespace jayramp {

class ConfigurationStore;
class MembershipRunner;
class Metrics;
class PeerTransport;
class TableService;

/// Changes the configuration on behalf of an operator. All member functions are
/// thread-safe. Those with a timeout block for up to that time, so they must
/// not be called from a handler of cpprestsdk or of the peer transport.
class ConfigurationCommands {
public:
  /// Registers a handler of ConfigurationPushed messages with \p Transport.
  /// \p Transport must outlive this object and must be stopped before this
  /// object is destroyed.
  ConfigurationCommands(TableService &Tables, ConfigurationStore &Store,
                        MembershipRunner &Membership, PeerTransport &Transport,
                        Metrics &Registry);
  ~ConfigurationCommands();

  /// Validates a whole document.
  /// \returns InvalidArgument whose place is the path of the first offending
  /// field, for example "document.accounts[1].name".
  static auto validate(const v1::ConfigurationDocument &Document)
      -> Result<void>;

  /// Replaces the document if the stored version is still \p ExpectedVersion,
  /// then waits until every member of the view has adopted the new version or
  /// \p Timeout has passed.
  /// \returns the outcome; InvalidArgument if \p Document is not valid,
  /// Unavailable if nothing was written, or Timeout if the change may or may
  /// not have been written.
  auto change(std::uint64_t ExpectedVersion,
              const v1::ConfigurationDocument &Document, Milliseconds Timeout)
      -> Result<ConfigurationOutcome>;

  /// Adds one account to the newest document or replaces the account of the
  /// same name. If another change is written first, retries on top of the newer
  /// version, so that a conflict is returned only when \p Timeout has passed.
  /// \returns the same outcomes and errors as change().
  auto changeAccount(const v1::ClientAccount &Account, Milliseconds Timeout)
      -> Result<ConfigurationOutcome>;

private:
  class PushHandler;

  /// Commits \p Document to the table service and pushes it to the members.
  auto write(std::uint64_t ExpectedVersion,
             const v1::ConfigurationDocument &Document, TimePoint Deadline)
      -> Result<ConfigurationOutcome>;
  /// Pushes the newest configuration to the members until all of them have
  /// adopted at least \p Version or \p Deadline has passed.
  auto push(std::uint64_t Version, TimePoint Deadline) -> ConfigurationOutcome;

  TableService &Tables;
  ConfigurationStore &Store;
  MembershipRunner &Membership;
  PeerTransport &Transport;
  Metrics &Registry;
  std::unique_ptr<PushHandler> PushReceiver;
};

} // namespace jayramp
