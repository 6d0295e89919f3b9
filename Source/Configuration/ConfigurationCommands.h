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

/// Changes the configuration on behalf of an operator. All members are safe to
/// call from any thread and block up to their timeout, so they must not be
/// called from a handler of cpprestsdk or of the peer transport.
class ConfigurationCommands {
public:
  /// Registers the receiver of ConfigurationPushed with \p Transport, which
  /// must outlive this object and be stopped before it is destroyed.
  ConfigurationCommands(TableService &Tables, ConfigurationStore &Store,
                        MembershipRunner &Membership, PeerTransport &Transport,
                        Metrics &Registry);
  ~ConfigurationCommands();

  /// Checks a document as a whole. \returns InvalidArgument whose place names
  /// the offending field, for example "document.accounts[1].name".
  static auto validate(const v1::ConfigurationDocument &Document)
      -> Result<void>;

  /// Replaces the document if the version is still \p ExpectedVersion.
  /// \returns InvalidArgument, Unavailable if nothing was written, Timeout if
  /// it is not known whether the change was written.
  auto change(std::uint64_t ExpectedVersion,
              const v1::ConfigurationDocument &Document, Milliseconds Timeout)
      -> Result<ConfigurationOutcome>;

  /// Adds or replaces one account of the newest document; repeats the change on
  /// a newer version when another operator wins, so it gives no conflict unless
  /// the timeout passes first.
  auto changeAccount(const v1::ClientAccount &Account, Milliseconds Timeout)
      -> Result<ConfigurationOutcome>;

private:
  class Receiver;

  auto write(std::uint64_t ExpectedVersion,
             const v1::ConfigurationDocument &Document, TimePoint Deadline)
      -> Result<ConfigurationOutcome>;
  auto push(std::uint64_t Version, TimePoint Deadline) -> ConfigurationOutcome;

  TableService &Tables;
  ConfigurationStore &Store;
  MembershipRunner &Membership;
  PeerTransport &Transport;
  Metrics &Registry;
  std::unique_ptr<Receiver> Pushed;
};

} // namespace jayramp
