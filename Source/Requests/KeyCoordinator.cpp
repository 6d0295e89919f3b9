#include "Requests/KeyCoordinator.h"

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Overloaded.h"
#include "Membership/FunctionPeerHandler.h"
#include "Membership/MembershipRunner.h"
#include "Membership/PeerTransport.h"
#include "Membership/View.h"
#include "Platform/TimerThread.h"
#include "Requests/ClaimAnswer.h"
#include "Requests/KeyRecordMapping.h"
#include "Requests/ShardTransfer.h"

#include "jayramp/peer/v1/peer.pb.h"

#include <atomic>
#include <map>
#include <utility>

namespace jayramp {

namespace {

using peer::v1::Envelope;

constexpr Milliseconds ClaimTimeout{400};
constexpr Milliseconds ReplicationTimeout{200};
constexpr Milliseconds ReportTimeout{400};
// A report or transfer that was not acknowledged is repeated after this time.
constexpr Milliseconds RepeatDelay{200};
// The shards that move are complete at their new owners before this.
constexpr Milliseconds RestDelay{100};

auto acknowledge(bool Ok, const std::string &Reason = {}) -> Envelope {
  Envelope Reply;
  Reply.mutable_acknowledged()->set_ok(Ok);
  Reply.mutable_acknowledged()->set_reason(Reason);
  return Reply;
}

auto answerOf(const ClaimDecision &Decision) -> ClaimAnswer {
  return std::visit(
      Overloaded{
          [](const ReplicationNeeded &) {
            return ClaimAnswer{peer::v1::CLAIM_NO_REPLICA, {}};
          },
          [](const ClaimGranted &Value) {
            return ClaimAnswer{peer::v1::CLAIM_GRANTED, Value.Record};
          },
          [](const ClaimInProgress &Value) {
            return ClaimAnswer{peer::v1::CLAIM_IN_PROGRESS, Value.Record};
          },
          [](const ClaimDone &Value) {
            return ClaimAnswer{peer::v1::CLAIM_DONE, Value.Record};
          },
          [](const ClaimEnded &) {
            return ClaimAnswer{peer::v1::CLAIM_ENDED, {}};
          },
          [](const ClaimRebalancing &) {
            return ClaimAnswer{peer::v1::CLAIM_REBALANCING, {}};
          },
          [](const ClaimHistoryLost &) {
            return ClaimAnswer{peer::v1::CLAIM_HISTORY_LOST, {}};
          },
          [](const ClaimWrongView &) {
            return ClaimAnswer{peer::v1::CLAIM_WRONG_VIEW, {}};
          },
          [](const ClaimNotHome &) {
            return ClaimAnswer{peer::v1::CLAIM_WRONG_VIEW, {}};
          },
          [](const ClaimRegistryFull &) {
            return ClaimAnswer{peer::v1::CLAIM_REGISTRY_FULL, {}};
          }},
      Decision);
}

} // namespace

class KeyCoordinator::Implementation
    : public std::enable_shared_from_this<Implementation> {
public:
  Implementation(std::string HostName, KeyRegistry &Registry,
                 MembershipRunner &Membership, PeerTransport &Transport,
                 TimerThread &Timer, Metrics &Counters)
      : HostName(std::move(HostName)), Registry(Registry),
        Membership(Membership), Transport(Transport), Timer(Timer),
        Counters(Counters),
        Transfers(std::make_shared<ShardTransfer>(Registry, Transport, Timer)) {
  }

  auto registerHandlers() -> void;
  auto claim(const std::string &Account, const std::string &Key,
             const std::string &ClaimId, bool Reassert, Answered Done) -> void;
  auto report(std::shared_ptr<const OutcomeReport> Report) -> void;
  auto query(const std::string &Account, const std::string &Key, Answered Done)
      -> void;
  auto adoptView(const std::shared_ptr<const View> &Current) -> void;
  auto evict() -> void;
  auto outstandingReports() const -> std::size_t { return Reports.load(); }

private:
  using Acknowledged = std::function<void(bool)>;

  auto map() const -> std::shared_ptr<const ShardMap> {
    std::lock_guard Lock(MapMutex);
    return Map;
  }
  auto decideClaim(const KeyClaim &Claim, bool Reassert, const Answered &Done)
      -> void;
  auto replicate(std::uint64_t ViewVersion, const KeyRecord &Record,
                 const Acknowledged &Done) -> void;
  auto finishGrant(std::uint64_t ViewVersion, const KeyRecord &Record,
                   bool Stored, const Answered &Done) -> void;
  auto decideReport(const OutcomeReport &Report, const Acknowledged &Done)
      -> void;
  auto sendReport(const std::shared_ptr<const OutcomeReport> &Report) -> void;
  auto repeatReport(const std::shared_ptr<const OutcomeReport> &Report) -> void;
  auto decideQuery(std::uint64_t ViewVersion, const std::string &Account,
                   const std::string &Key) const -> ClaimAnswer;
  auto sendToOwners(std::uint32_t Shard, const ShardMap &Owners) -> void;
  auto handleReplicate(const Envelope &Request) -> Envelope;

  std::string HostName;
  KeyRegistry &Registry;
  MembershipRunner &Membership;
  PeerTransport &Transport;
  TimerThread &Timer;
  Metrics &Counters;
  std::shared_ptr<ShardTransfer> Transfers;
  mutable std::mutex MapMutex; ///< Guards Map.
  std::shared_ptr<const ShardMap> Map = std::make_shared<const ShardMap>();
  std::atomic<std::size_t> Reports{0};
  std::vector<std::unique_ptr<PeerHandler>> Handlers;
};

auto KeyCoordinator::Implementation::registerHandlers() -> void {
  std::weak_ptr<Implementation> Weak = weak_from_this();
  auto Add = [this](PeerMessageType Type,
                    FunctionPeerHandler::Function Function) {
    Handlers.push_back(
        std::make_unique<FunctionPeerHandler>(std::move(Function)));
    Transport.setHandler(Type, *Handlers.back());
  };
  Add(PeerMessageType::ClaimKey,
      [Weak](const Envelope &Request, const PeerReply &Reply) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        const auto &Source = Request.claim_key();
        KeyClaim Claim{.ViewVersion = Request.view_version(),
                       .Shard = Source.shard(),
                       .Account = Source.account(),
                       .Key = Source.key(),
                       .ClaimId = Source.claim_id(),
                       .HolderHost = Request.sender(),
                       .HolderIncarnation = Request.incarnation()};
        Self->decideClaim(
            Claim, Source.reassert(), [Reply](const ClaimAnswer &Answer) {
              Envelope Message;
              Message.mutable_claim_key_reply()->set_decision(Answer.Decision);
              writeRecord(Answer.Record,
                          *Message.mutable_claim_key_reply()->mutable_record());
              Reply(Message);
            });
      });
  Add(PeerMessageType::ReplicateKey,
      [Weak](const Envelope &Request, const PeerReply &Reply) {
        if (auto Self = Weak.lock())
          Reply(Self->handleReplicate(Request));
      });
  Add(PeerMessageType::ReportOutcome, [Weak](const Envelope &Request,
                                             const PeerReply &Reply) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    const auto &Source = Request.report_outcome();
    OutcomeReport Report{.ViewVersion = Request.view_version(),
                         .Shard = Source.shard(),
                         .Account = Source.account(),
                         .Key = Source.key(),
                         .ClaimId = Source.claim_id(),
                         .Released = Source.released(),
                         .Outcome = Source.outcome()};
    Self->decideReport(Report, [Reply](bool Ok) { Reply(acknowledge(Ok)); });
  });
  Add(PeerMessageType::QueryKey,
      [Weak](const Envelope &Request, const PeerReply &Reply) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        ClaimAnswer Answer = Self->decideQuery(Request.view_version(),
                                               Request.query_key().account(),
                                               Request.query_key().key());
        Envelope Message;
        Message.mutable_query_key_reply()->set_decision(Answer.Decision);
        writeRecord(Answer.Record,
                    *Message.mutable_query_key_reply()->mutable_record());
        Reply(Message);
      });
  Add(PeerMessageType::TransferShard,
      [Weak](const Envelope &Request, const PeerReply &Reply) {
        if (auto Self = Weak.lock())
          Reply(acknowledge(Self->Transfers->receive(Request)));
      });
}

auto KeyCoordinator::Implementation::claim(const std::string &Account,
                                           const std::string &Key,
                                           const std::string &ClaimId,
                                           bool Reassert, Answered Done)
    -> void {
  auto Current = map();
  std::uint32_t Shard = KeyRegistry::shardOf(Account, Key);
  const std::string &Home = Current->home(Shard);
  if (Home == HostName) {
    KeyClaim Claim{.ViewVersion = Current->version(),
                   .Shard = Shard,
                   .Account = Account,
                   .Key = Key,
                   .ClaimId = ClaimId,
                   .HolderHost = HostName,
                   .HolderIncarnation = Membership.incarnation()};
    return decideClaim(Claim, Reassert, Done);
  }
  Envelope Message;
  Message.set_view_version(Current->version());
  auto *Target = Message.mutable_claim_key();
  Target->set_shard(Shard);
  Target->set_account(Account);
  Target->set_key(Key);
  Target->set_claim_id(ClaimId);
  Target->set_reassert(Reassert);
  Transport.call(Home, Message, ClaimTimeout,
                 [Done](const PeerTransport::Answer &Answer) {
                   if (!Answer || !Answer.value()->has_claim_key_reply())
                     return Done(ClaimAnswer{});
                   const auto &Reply = Answer.value()->claim_key_reply();
                   Done({Reply.decision(), readRecord(Reply.record())});
                 });
}

auto KeyCoordinator::Implementation::decideClaim(const KeyClaim &Claim,
                                                 bool Reassert,
                                                 const Answered &Done) -> void {
  // A minority could grant a key that the majority grants in an older view.
  if (!Membership.hasMajority())
    return Done({peer::v1::CLAIM_NO_REPLICA, {}});
  ClaimDecision Decision = Reassert ? Registry.reassert(Claim, Clock::now())
                                    : Registry.claim(Claim, Clock::now());
  const auto *Needed = std::get_if<ReplicationNeeded>(&Decision);
  if (!Needed)
    return Done(answerOf(Decision));
  KeyRecord Record = Needed->Record;
  std::uint64_t ViewVersion = Claim.ViewVersion;
  auto Self = shared_from_this();
  replicate(ViewVersion, Record,
            [Self, ViewVersion, Record, Done](bool Stored) {
              Self->finishGrant(ViewVersion, Record, Stored, Done);
            });
}

auto KeyCoordinator::Implementation::finishGrant(std::uint64_t ViewVersion,
                                                 const KeyRecord &Record,
                                                 bool Stored,
                                                 const Answered &Done) -> void {
  if (!Stored) {
    Registry.replicationFailed(ViewVersion, Record);
    Counters.count("jayramp_key_replication_failed_total");
    return Done({peer::v1::CLAIM_NO_REPLICA, {}});
  }
  auto Decision =
      Registry.replicationAcknowledged(ViewVersion, Record, Clock::now());
  const auto *Granted = std::get_if<ReplicationGranted>(&Decision);
  if (!Granted || !Membership.hasMajority())
    return Done({peer::v1::CLAIM_NO_REPLICA, {}});
  Done({peer::v1::CLAIM_GRANTED, Granted->Record});
}

// ViewVersion is the view of the decision. The record's own version can be
// older: a record of an earlier view is replicated again to a new backup.
auto KeyCoordinator::Implementation::replicate(std::uint64_t ViewVersion,
                                               const KeyRecord &Record,
                                               const Acknowledged &Done)
    -> void {
  auto Current = map();
  if (Current->version() != ViewVersion)
    return Done(false);
  const std::string &Backup = Current->backup(Record.Shard);
  if (Backup.empty()) // The view has one serving member: there is no backup.
    return Done(true);
  Envelope Message;
  Message.set_view_version(ViewVersion);
  writeRecord(Record, *Message.mutable_replicate_key()->mutable_record());
  Transport.call(Backup, Message, ReplicationTimeout,
                 [Done](const PeerTransport::Answer &Answer) {
                   Done(Answer && Answer.value()->acknowledged().ok());
                 });
}

auto KeyCoordinator::Implementation::handleReplicate(const Envelope &Request)
    -> Envelope {
  ReplicaAnswer Answer = Registry.replicate(
      Request.view_version(), readRecord(Request.replicate_key().record()),
      Clock::now());
  return acknowledge(Answer == ReplicaAnswer::Stored);
}

auto KeyCoordinator::Implementation::report(
    std::shared_ptr<const OutcomeReport> Report) -> void {
  ++Reports;
  sendReport(Report);
}

auto KeyCoordinator::Implementation::sendReport(
    const std::shared_ptr<const OutcomeReport> &Report) -> void {
  auto Current = map();
  auto Self = shared_from_this();
  const std::string &Home = Current->home(Report->Shard);
  if (Home == HostName) {
    OutcomeReport Local = *Report;
    Local.ViewVersion = Current->version();
    return decideReport(Local, [Self, Report](bool Ok) {
      Ok ? static_cast<void>(--Self->Reports) : Self->repeatReport(Report);
    });
  }
  Envelope Message;
  Message.set_view_version(Current->version());
  auto *Target = Message.mutable_report_outcome();
  Target->set_shard(Report->Shard);
  Target->set_account(Report->Account);
  Target->set_key(Report->Key);
  Target->set_claim_id(Report->ClaimId);
  Target->set_released(Report->Released);
  Target->set_outcome(Report->Outcome);
  Transport.call(Home, Message, ReportTimeout,
                 [Self, Report](const PeerTransport::Answer &Answer) {
                   if (Answer && Answer.value()->acknowledged().ok())
                     --Self->Reports;
                   else
                     Self->repeatReport(Report);
                 });
}

auto KeyCoordinator::Implementation::repeatReport(
    const std::shared_ptr<const OutcomeReport> &Report) -> void {
  Counters.count("jayramp_retries_total", "reason=\"OUTCOME_REPORT\"");
  std::weak_ptr<Implementation> Weak = weak_from_this();
  Timer.schedule(Clock::now() + RepeatDelay, [Weak, Report] {
    if (auto Self = Weak.lock())
      Self->sendReport(Report);
  });
}

auto KeyCoordinator::Implementation::decideReport(const OutcomeReport &Report,
                                                  const Acknowledged &Done)
    -> void {
  ReportDecision Decision = Registry.reportOutcome(Report, Clock::now());
  if (const auto *Recorded = std::get_if<ReportRecorded>(&Decision)) {
    KeyRecord Record = Recorded->Record;
    auto Self = shared_from_this();
    std::uint64_t ViewVersion = Report.ViewVersion;
    return replicate(ViewVersion, Record,
                     [Self, ViewVersion, Record, Done](bool Stored) {
                       if (Stored)
                         Self->Registry.replicationAcknowledged(
                             ViewVersion, Record, Clock::now());
                       Done(Stored);
                     });
  }
  bool Repeat = std::holds_alternative<ReportNotReady>(Decision) ||
                std::holds_alternative<ReportWrongView>(Decision);
  if (std::holds_alternative<ReportLate>(Decision))
    Counters.count("jayramp_late_reports_total");
  Done(!Repeat);
}

auto KeyCoordinator::Implementation::decideQuery(std::uint64_t ViewVersion,
                                                 const std::string &Account,
                                                 const std::string &Key) const
    -> ClaimAnswer {
  auto Decision = Registry.query(ViewVersion, Account, Key, Clock::now());
  if (!Decision)
    return {peer::v1::CLAIM_ABSENT, {}};
  return answerOf(*Decision);
}

auto KeyCoordinator::Implementation::query(const std::string &Account,
                                           const std::string &Key,
                                           Answered Done) -> void {
  auto Current = map();
  const std::string &Home = Current->home(KeyRegistry::shardOf(Account, Key));
  if (Home == HostName)
    return Done(decideQuery(Current->version(), Account, Key));
  Envelope Message;
  Message.set_view_version(Current->version());
  Message.mutable_query_key()->set_account(Account);
  Message.mutable_query_key()->set_key(Key);
  Transport.call(Home, Message, ClaimTimeout,
                 [Done](const PeerTransport::Answer &Answer) {
                   if (!Answer || !Answer.value()->has_query_key_reply())
                     return Done(ClaimAnswer{});
                   const auto &Reply = Answer.value()->query_key_reply();
                   Done({Reply.decision(), readRecord(Reply.record())});
                 });
}

auto KeyCoordinator::Implementation::adoptView(
    const std::shared_ptr<const View> &Current) -> void {
  auto Incarnations = Membership.incarnations();
  for (const ShardRoles &Skipped : ShardRoles::ofSkipped(
           *Current, Registry.viewVersion(), HostName, Incarnations))
    if (Registry.adoptView(Skipped, Clock::now()))
      Registry.holderLost(Skipped.Members, Clock::now());
  auto Next = std::make_shared<const ShardMap>(*Current);
  auto Roles = ShardRoles::of(*Current, *Next, HostName, Incarnations);
  if (!Registry.adoptView(Roles, Clock::now()))
    return;
  auto Earlier = map();
  {
    std::lock_guard Lock(MapMutex);
    Map = Next;
  }
  for (const KeyRecord &Record :
       Registry.holderLost(Roles.Members, Clock::now()))
    replicate(Current->version(), Record, [](bool) {});
  // Claims wait for the shards that move, so these go at once. The rest serves
  // to find out whether a history is lost, and to complete it after skipped
  // views; sent at once, it delayed the requests of a rolling restart.
  auto Urgent = [&](std::uint32_t Shard) {
    return Registry.isComplete(Shard) &&
           (Earlier->home(Shard) != Next->home(Shard) ||
            Earlier->backup(Shard) != Next->backup(Shard));
  };
  std::vector<std::uint32_t> Rest;
  for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
    if (Urgent(Shard))
      sendToOwners(Shard, *Next);
    else
      Rest.push_back(Shard);
  std::weak_ptr<Implementation> Weak = weak_from_this();
  Timer.schedule(Clock::now() + RestDelay, [Weak, Next, Rest] {
    auto Self = Weak.lock();
    if (!Self || Self->map() != Next)
      return;
    for (std::uint32_t Shard : Rest)
      Self->sendToOwners(Shard, *Next);
  });
}

auto KeyCoordinator::Implementation::sendToOwners(std::uint32_t Shard,
                                                  const ShardMap &Owners)
    -> void {
  for (const std::string &Target : {Owners.home(Shard), Owners.backup(Shard)})
    if (!Target.empty() && Target != HostName)
      Transfers->send(Shard, Target);
}

auto KeyCoordinator::Implementation::evict() -> void {
  auto Current = map();
  for (std::uint32_t Shard : Registry.evict(Clock::now())) {
    const std::string &Backup = Current->backup(Shard);
    if (!Backup.empty() && Backup != HostName)
      Transfers->send(Shard, Backup);
  }
  Counters.gauge("jayramp_key_records", "",
                 static_cast<double>(Registry.recordCount()));
}

KeyCoordinator::KeyCoordinator(std::string HostName, KeyRegistry &Registry,
                               MembershipRunner &Membership,
                               PeerTransport &Transport, TimerThread &Timer,
                               Metrics &Counters)
    : Body(std::make_shared<Implementation>(std::move(HostName), Registry,
                                            Membership, Transport, Timer,
                                            Counters)) {
  Body->registerHandlers();
}

KeyCoordinator::~KeyCoordinator() = default;

auto KeyCoordinator::claim(const std::string &Account, const std::string &Key,
                           const std::string &ClaimId, Answered Done) -> void {
  Body->claim(Account, Key, ClaimId, false, std::move(Done));
}

auto KeyCoordinator::reassert(const std::string &Account,
                              const std::string &Key,
                              const std::string &ClaimId, Answered Done)
    -> void {
  Body->claim(Account, Key, ClaimId, true, std::move(Done));
}

auto KeyCoordinator::report(const std::string &Account, const std::string &Key,
                            const std::string &ClaimId, bool Released,
                            std::string Outcome) -> void {
  Body->report(std::make_shared<const OutcomeReport>(
      OutcomeReport{.ViewVersion = 0,
                    .Shard = KeyRegistry::shardOf(Account, Key),
                    .Account = Account,
                    .Key = Key,
                    .ClaimId = ClaimId,
                    .Released = Released,
                    .Outcome = std::move(Outcome)}));
}

auto KeyCoordinator::query(const std::string &Account, const std::string &Key,
                           Answered Done) -> void {
  Body->query(Account, Key, std::move(Done));
}

auto KeyCoordinator::adoptView(const std::shared_ptr<const View> &Current)
    -> void {
  Body->adoptView(Current);
}

auto KeyCoordinator::evict() -> void { Body->evict(); }

auto KeyCoordinator::outstandingReports() const -> std::size_t {
  return Body->outstandingReports();
}

} // namespace jayramp
