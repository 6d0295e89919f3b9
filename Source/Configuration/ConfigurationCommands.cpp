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
constexpr Milliseconds RepeatInterval{200};
constexpr Milliseconds PushTimeout{500};
// Peer heartbeats may confirm a version as well; they are looked at this often.
constexpr Milliseconds LookInterval{20};

/// Hosts that acknowledged a push. Callbacks may outlive the command.
struct Acknowledgements {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::set<std::string> Hosts; ///< "name/incarnation".
};

auto timedOut() -> Error {
  return Error::make(ErrorKind::Timeout, "configuration/head",
                     "it is not known whether the change was written",
                     "read the configuration before repeating the change");
}

} // namespace

class ConfigurationCommands::Receiver final : public PeerHandler {
public:
  explicit Receiver(ConfigurationStore &Store) : Store(Store) {}

  auto handle(const peer::v1::Envelope &Request, PeerReply Reply)
      -> void override {
    const auto &Pushed = Request.configuration_pushed();
    peer::v1::Envelope Answer;
    auto Parsed =
        Configuration::parseBytes(Pushed.version(), Pushed.document());
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
      Pushed(std::make_unique<Receiver>(Store)) {
  Transport.handle(PeerMessageType::ConfigurationPushed, *Pushed);
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
                         Row.error().message(), "repeat the change later");
    Configuration Base;
    if (Row.value()) {
      auto Parsed =
          Configuration::parseRow(Row.value()->Version, Row.value()->Value);
      if (!Parsed)
        return Parsed.error();
      Base = Parsed.value();
    }
    v1::ConfigurationDocument Changed = Base.document();
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
    auto Outcome = write(Base.version(), Changed, Deadline);
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
      {Table, Key, ExpectedVersion, Configuration(0, Document).rowText()}};
  std::uint64_t Version = 0;
  bool MayHaveApplied = false;
  while (Version == 0) {
    auto Outcome = Tables.commit(Transaction);
    if (!Outcome) {
      if (Outcome.error().kind() != ErrorKind::Unavailable)
        MayHaveApplied = true;
      if (!MayHaveApplied)
        return Outcome.error();
      if (Clock::now() + RepeatInterval >= Deadline)
        return timedOut();
      // A repeat with the same write id gives the first result.
      Registry.count("jayramp_configuration_repeats_total");
      std::this_thread::sleep_for(RepeatInterval);
      continue;
    }
    if (const auto *Done =
            std::get_if<TransactionCommitted>(&Outcome.value())) {
      Version =
          Done->Versions.empty() ? ExpectedVersion + 1 : Done->Versions.front();
      break;
    }
    const auto &Conflicts =
        std::get<TransactionConflict>(Outcome.value()).Conflicts;
    if (Conflicts.empty())
      return Error::make(ErrorKind::Internal, "configuration/head",
                         "the store names no conflicting row",
                         "report this fault of the table service");
    const TableRow &Current = Conflicts.front().Current;
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
  Message.mutable_configuration_pushed()->set_document(Newest->bytes());
  ConfigurationQueries Queries(Store, Membership);
  auto Shared = std::make_shared<Acknowledgements>();
  TimePoint NextPush = Clock::now();
  std::vector<std::string> Waiting;
  while (true) {
    auto View = Membership.view();
    Waiting = Queries.waitingFor(Version);
    std::unique_lock Lock(Shared->Mutex);
    std::erase_if(Waiting, [&](const std::string &Name) {
      const Member *Found = View->find(Name);
      return !Found || Shared->Hosts.contains(Name + "/" + Found->Incarnation);
    });
    if (Waiting.empty())
      return ConfigurationAccepted{Version};
    if (Clock::now() >= Deadline)
      return ConfigurationPending{Version, std::move(Waiting)};
    if (Clock::now() >= NextPush) {
      NextPush = Clock::now() + PushTimeout;
      for (const auto &Name : Waiting) {
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
    Shared->Changed.wait_until(Lock,
                               std::min(Deadline, Clock::now() + LookInterval));
  }
}

} // namespace jayramp
