#include "Configuration/ConfigurationCommands.h"

#include "Base/EventLog.h"
#include "Base/Identifier.h"
#include "Base/Metrics.h"
#include "Configuration/ConfigurationQueries.h"
#include "Configuration/ConfigurationRules.h"
#include "Configuration/ConfigurationStore.h"
#include "Membership/MembershipRunner.h"
#include "Membership/PeerTransport.h"
#include "Platform/TableService.h"
#include "Platform/TableTransaction.h"

#include "jayramp/peer/v1/peer.pb.h"
#include "jayramp/v1/jayramp.pb.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace jayramp {

namespace {

constexpr const char *Table = "configuration";
constexpr const char *Key = "head";
constexpr Milliseconds RetryInterval{200};
constexpr Milliseconds PushTimeout{500};
// Interval of checks whether a peer heartbeat has confirmed the version; a host
// can confirm by its heartbeat as well as by acknowledging the push.
constexpr Milliseconds ConfirmationPollInterval{20};

/// Hosts that have acknowledged a push. Shared by the command and the callbacks
/// of its peer calls, which may run after the command has returned.
struct Acknowledgements {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::set<std::string> Hosts; ///< Entries of the form "name/incarnation".
};

auto unknownResultError() -> Error {
  return Error::make(ErrorKind::Timeout, "configuration/head",
                     "the table service did not confirm the write in time; the "
                     "change may or may not have been written",
                     "read the configuration before repeating the change");
}

} // namespace

/// Adopts a configuration that a peer pushes and acknowledges it.
class ConfigurationCommands::PushHandler final : public PeerHandler {
public:
  explicit PushHandler(ConfigurationStore &Store) : Store(Store) {}

  auto handle(const peer::v1::Envelope &Request, PeerReply Reply)
      -> void override {
    const auto &Pushed = Request.configuration_pushed();
    peer::v1::Envelope Answer;
    auto Parsed =
        Configuration::parseSerialized(Pushed.version(), Pushed.document());
    if (Parsed)
      Store.adopt(Parsed.value());
    Answer.mutable_acknowledged()->set_ok(Store.version() >= Pushed.version());
    if (!Parsed)
      Answer.mutable_acknowledged()->set_reason(Parsed.error().message());
    Reply(Answer);
  }

private:
  ConfigurationStore &Store;
};

ConfigurationCommands::ConfigurationCommands(TableService &Tables,
                                             ConfigurationStore &Store,
                                             MembershipRunner &Membership,
                                             PeerTransport &Transport,
                                             Metrics &Registry)
    : Tables(Tables), Store(Store), Membership(Membership),
      Transport(Transport), Registry(Registry),
      PushReceiver(std::make_unique<PushHandler>(Store)) {
  Transport.setHandler(PeerMessageType::ConfigurationPushed, *PushReceiver);
}

ConfigurationCommands::~ConfigurationCommands() = default;

auto ConfigurationCommands::validate(const v1::ConfigurationDocument &Document)
    -> Result<void> {
  return checkConfiguration(Document);
}

auto ConfigurationCommands::change(std::uint64_t ExpectedVersion,
                                   const v1::ConfigurationDocument &Document,
                                   Milliseconds Timeout)
    -> Result<ConfigurationOutcome> {
  BOOST_OUTCOME_TRYV(checkConfiguration(Document));
  return write(ExpectedVersion, Document, Clock::now() + Timeout);
}

auto ConfigurationCommands::changeAccount(const v1::ClientAccount &Account,
                                          Milliseconds Timeout)
    -> Result<ConfigurationOutcome> {
  TimePoint Deadline = Clock::now() + Timeout;
  while (true) {
    auto Row = Tables.read(Table, Key);
    if (!Row)
      return Error::make(ErrorKind::Unavailable, "configuration/head",
                         Row.error().message(), "retry the change later");
    Configuration BaseConfiguration;
    if (Row.value()) {
      auto Parsed = Configuration::parseJsonText(Row.value()->Version,
                                                 Row.value()->Value);
      if (!Parsed)
        return Parsed.error();
      BaseConfiguration = Parsed.value();
    }
    v1::ConfigurationDocument Changed = BaseConfiguration.document();
    auto *Accounts = Changed.mutable_accounts();
    auto Found = std::find_if(Accounts->begin(), Accounts->end(),
                              [&Account](const v1::ClientAccount &Entry) {
                                return Entry.name() == Account.name();
                              });
    if (Found == Accounts->end())
      *Changed.add_accounts() = Account;
    else
      *Found = Account;
    BOOST_OUTCOME_TRYV(checkConfiguration(Changed));
    auto Outcome = write(BaseConfiguration.version(), Changed, Deadline);
    if (!Outcome ||
        !std::holds_alternative<ConfigurationConflict>(Outcome.value()) ||
        Clock::now() >= Deadline)
      return Outcome;
  }
}

auto ConfigurationCommands::write(std::uint64_t ExpectedVersion,
                                  const v1::ConfigurationDocument &Document,
                                  TimePoint Deadline)
    -> Result<ConfigurationOutcome> {
  TableTransaction Transaction;
  Transaction.WriteId = makeIdentifier();
  Transaction.Writes = {
      {Table, Key, ExpectedVersion, Configuration(0, Document).toJsonText()}};
  std::uint64_t Version = 0; // 0 until the write is known to be applied.
  bool MayHaveApplied = false;
  while (Version == 0) {
    auto Outcome = Tables.commit(Transaction);
    if (!Outcome) {
      if (Outcome.error().kind() != ErrorKind::Unavailable)
        MayHaveApplied = true;
      if (!MayHaveApplied)
        return Outcome.error();
      if (Clock::now() + RetryInterval >= Deadline)
        return unknownResultError();
      // Retrying is safe: the table service answers a commit with a known write
      // id with the result of the first commit.
      Registry.count("jayramp_configuration_repeats_total");
      std::this_thread::sleep_for(RetryInterval);
      continue;
    }
    if (const auto *Applied =
            std::get_if<TransactionCommitted>(&Outcome.value())) {
      Version = Applied->Versions.empty() ? ExpectedVersion + 1
                                          : Applied->Versions.front();
      break;
    }
    const auto &Conflicts =
        std::get<TransactionConflict>(Outcome.value()).Conflicts;
    if (Conflicts.empty())
      return Error::make(
          ErrorKind::Internal, "configuration/head",
          "the table service reported a conflict without naming a row",
          "report this as a bug of the table service");
    const TableRow &Current = Conflicts.front().Current;
    // The row may conflict because an earlier attempt of this write was
    // applied.
    if (Current.WriteId != Transaction.WriteId) {
      Registry.count("jayramp_configuration_conflicts_total");
      return ConfigurationOutcome(ConfigurationConflict{Current.Version});
    }
    Version = Current.Version;
  }
  logEvent(LogLevel::Info, "configuration_written",
           {{"version", std::to_string(Version)}});
  Store.adopt(Configuration(Version, Document));
  return push(Version, Deadline);
}

auto ConfigurationCommands::push(std::uint64_t Version, TimePoint Deadline)
    -> ConfigurationOutcome {
  auto Newest = Store.current();
  peer::v1::Envelope Message;
  Message.mutable_configuration_pushed()->set_version(Newest->version());
  Message.mutable_configuration_pushed()->set_document(Newest->serialize());
  ConfigurationQueries Queries(Store, Membership);
  auto Shared = std::make_shared<Acknowledgements>();
  TimePoint NextPush = Clock::now();
  std::vector<std::string> Unconfirmed;
  while (true) {
    auto View = Membership.view();
    Unconfirmed = Queries.unconfirmedHosts(Version);
    std::unique_lock Lock(Shared->Mutex);
    std::erase_if(Unconfirmed, [&](const std::string &Name) {
      const Member *Found = View->find(Name);
      return !Found || Shared->Hosts.contains(Name + "/" + Found->Incarnation);
    });
    if (Unconfirmed.empty())
      return ConfigurationAccepted{Version};
    if (Clock::now() >= Deadline)
      return ConfigurationPending{Version, std::move(Unconfirmed)};
    if (Clock::now() >= NextPush) {
      NextPush = Clock::now() + PushTimeout;
      for (const auto &Name : Unconfirmed) {
        std::string Host = Name + "/" + View->find(Name)->Incarnation;
        Transport.call(Name, Message, PushTimeout,
                       [Shared, Host](const PeerTransport::Answer &Reply) {
                         if (!Reply || !Reply.value()->acknowledged().ok())
                           return;
                         std::lock_guard Guard(Shared->Mutex);
                         Shared->Hosts.insert(Host);
                         Shared->Changed.notify_all();
                       });
      }
    }
    Shared->Changed.wait_until(
        Lock, std::min(Deadline, Clock::now() + ConfirmationPollInterval));
  }
}

} // namespace jayramp
