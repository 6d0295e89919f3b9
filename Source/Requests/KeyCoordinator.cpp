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
// Delay before a report that was not acknowledged is sent again.
constexpr Milliseconds ReportRetryDelay{200};
// Delay before the deferred shards are sent. By then, the complete shards that
// move to other owners have arrived there.
constexpr Milliseconds DeferredTransferDelay{100};

auto acknowledge(bool Ok, const std::string &Reason = {}) -> Envelope {
  Envelope Reply;
  Reply.mutable_acknowledged()->set_ok(Ok);
  Reply.mutable_acknowledged()->set_reason(Reason);
  return Reply;
}

auto toClaimAnswer(const ClaimDecision &Decision) -> ClaimAnswer {
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
          [](const ClaimReleased &) {
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
        Counters(Counters), ShardTransfers(std::make_shared<ShardTransfer>(
                                Registry, Transport, Timer)) {}

  auto registerHandlers() -> void;
  auto claim(const std::string &Account, const std::string &Key,
             const std::string &ClaimId, bool Reassert, ClaimCallback Done)
      -> void;
  auto reportOutcome(std::shared_ptr<const OutcomeReport> Report) -> void;
  auto query(const std::string &Account, const std::string &Key,
             ClaimCallback Done) -> void;
  auto adoptView(const std::shared_ptr<const View> &Current) -> void;
  auto evictExpired() -> void;
  auto outstandingReports() const -> std::size_t {
    return OutstandingReports.load();
  }

private:
  using AcknowledgementCallback = std::function<void(bool)>;

  auto currentOwnerMap() const -> std::shared_ptr<const ShardMap> {
    std::lock_guard Lock(ShardMapMutex);
    return OwnerMap;
  }
  auto handleClaim(const KeyClaim &Claim, bool Reassert,
                   const ClaimCallback &Done) -> void;
  auto replicate(std::uint64_t ViewVersion, const KeyRecord &Record,
                 const AcknowledgementCallback &Done) -> void;
  auto completeGrant(std::uint64_t ViewVersion, const KeyRecord &Record,
                     bool Stored, const ClaimCallback &Done) -> void;
  auto handleReport(const OutcomeReport &Report,
                    const AcknowledgementCallback &Done) -> void;
  auto sendReport(const std::shared_ptr<const OutcomeReport> &Report) -> void;
  auto scheduleReportRetry(const std::shared_ptr<const OutcomeReport> &Report)
      -> void;
  auto handleQuery(std::uint64_t ViewVersion, const std::string &Account,
                   const std::string &Key) const -> ClaimAnswer;
  auto sendShardToOwners(std::uint32_t Shard, const ShardMap &Owners) -> void;
  auto handleReplicate(const Envelope &Request) -> Envelope;

  std::string HostName;
  KeyRegistry &Registry;
  MembershipRunner &Membership;
  PeerTransport &Transport;
  TimerThread &Timer;
  Metrics &Counters;
  std::shared_ptr<ShardTransfer> ShardTransfers;
  mutable std::mutex ShardMapMutex; ///< Guards OwnerMap.
  std::shared_ptr<const ShardMap> OwnerMap = std::make_shared<const ShardMap>();
  std::atomic<std::size_t> OutstandingReports{0};
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
        Self->handleClaim(
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
    Self->handleReport(Report, [Reply](bool Ok) { Reply(acknowledge(Ok)); });
  });
  Add(PeerMessageType::QueryKey,
      [Weak](const Envelope &Request, const PeerReply &Reply) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        ClaimAnswer Answer = Self->handleQuery(Request.view_version(),
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
          Reply(acknowledge(Self->ShardTransfers->receive(Request)));
      });
}

auto KeyCoordinator::Implementation::claim(const std::string &Account,
                                           const std::string &Key,
                                           const std::string &ClaimId,
                                           bool Reassert, ClaimCallback Done)
    -> void {
  auto Current = currentOwnerMap();
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
    return handleClaim(Claim, Reassert, Done);
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

auto KeyCoordinator::Implementation::handleClaim(const KeyClaim &Claim,
                                                 bool Reassert,
                                                 const ClaimCallback &Done)
    -> void {
  // A host that has lost contact with the majority may be using an outdated
  // view, and could grant a key that the majority's home also grants.
  if (!Membership.hasMajority())
    return Done({peer::v1::CLAIM_NO_REPLICA, {}});
  ClaimDecision Decision = Reassert ? Registry.reassert(Claim, Clock::now())
                                    : Registry.claim(Claim, Clock::now());
  const auto *ReplicationRequired = std::get_if<ReplicationNeeded>(&Decision);
  if (!ReplicationRequired)
    return Done(toClaimAnswer(Decision));
  KeyRecord Record = ReplicationRequired->Record;
  std::uint64_t ViewVersion = Claim.ViewVersion;
  auto Self = shared_from_this();
  replicate(ViewVersion, Record,
            [Self, ViewVersion, Record, Done](bool Stored) {
              Self->completeGrant(ViewVersion, Record, Stored, Done);
            });
}

auto KeyCoordinator::Implementation::completeGrant(std::uint64_t ViewVersion,
                                                   const KeyRecord &Record,
                                                   bool Stored,
                                                   const ClaimCallback &Done)
    -> void {
  if (!Stored) {
    Registry.handleReplicationFailure(ViewVersion, Record);
    Counters.count("jayramp_key_replication_failed_total");
    return Done({peer::v1::CLAIM_NO_REPLICA, {}});
  }
  auto Decision =
      Registry.confirmReplication(ViewVersion, Record, Clock::now());
  const auto *Granted = std::get_if<ReplicationGrantsClaim>(&Decision);
  if (!Granted || !Membership.hasMajority())
    return Done({peer::v1::CLAIM_NO_REPLICA, {}});
  Done({peer::v1::CLAIM_GRANTED, Granted->Record});
}

// Sends a record to the backup of the view in which the decision was made,
// ViewVersion. The record's own version can name an earlier view, because a
// record of an earlier view is replicated again to a new backup.
auto KeyCoordinator::Implementation::replicate(
    std::uint64_t ViewVersion, const KeyRecord &Record,
    const AcknowledgementCallback &Done) -> void {
  auto Current = currentOwnerMap();
  if (Current->version() != ViewVersion)
    return Done(false);
  const std::string &Backup = Current->backup(Record.Shard);
  if (Backup.empty()) // With a single serving member there is no backup.
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
  ReplicaStoreResult Answer = Registry.storeReplica(
      Request.view_version(), readRecord(Request.replicate_key().record()),
      Clock::now());
  return acknowledge(Answer == ReplicaStoreResult::Stored);
}

auto KeyCoordinator::Implementation::reportOutcome(
    std::shared_ptr<const OutcomeReport> Report) -> void {
  ++OutstandingReports;
  sendReport(Report);
}

auto KeyCoordinator::Implementation::sendReport(
    const std::shared_ptr<const OutcomeReport> &Report) -> void {
  auto Current = currentOwnerMap();
  auto Self = shared_from_this();
  const std::string &Home = Current->home(Report->Shard);
  if (Home == HostName) {
    OutcomeReport Local = *Report;
    Local.ViewVersion = Current->version();
    return handleReport(Local, [Self, Report](bool Ok) {
      Ok ? static_cast<void>(--Self->OutstandingReports)
         : Self->scheduleReportRetry(Report);
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
                     --Self->OutstandingReports;
                   else
                     Self->scheduleReportRetry(Report);
                 });
}

auto KeyCoordinator::Implementation::scheduleReportRetry(
    const std::shared_ptr<const OutcomeReport> &Report) -> void {
  Counters.count("jayramp_retries_total", "reason=\"OUTCOME_REPORT\"");
  std::weak_ptr<Implementation> Weak = weak_from_this();
  Timer.schedule(Clock::now() + ReportRetryDelay, [Weak, Report] {
    if (auto Self = Weak.lock())
      Self->sendReport(Report);
  });
}

auto KeyCoordinator::Implementation::handleReport(
    const OutcomeReport &Report, const AcknowledgementCallback &Done) -> void {
  ReportDecision Decision = Registry.reportOutcome(Report, Clock::now());
  if (const auto *Recorded = std::get_if<ReportRecorded>(&Decision)) {
    KeyRecord Record = Recorded->Record;
    auto Self = shared_from_this();
    std::uint64_t ViewVersion = Report.ViewVersion;
    return replicate(ViewVersion, Record,
                     [Self, ViewVersion, Record, Done](bool Stored) {
                       if (Stored)
                         Self->Registry.confirmReplication(ViewVersion, Record,
                                                           Clock::now());
                       Done(Stored);
                     });
  }
  bool HolderMustRepeat =
      std::holds_alternative<ReportShardNotReady>(Decision) ||
      std::holds_alternative<ReportWrongView>(Decision);
  if (std::holds_alternative<ReportTooLate>(Decision))
    Counters.count("jayramp_late_reports_total");
  Done(!HolderMustRepeat);
}

auto KeyCoordinator::Implementation::handleQuery(std::uint64_t ViewVersion,
                                                 const std::string &Account,
                                                 const std::string &Key) const
    -> ClaimAnswer {
  auto Decision = Registry.query(ViewVersion, Account, Key, Clock::now());
  if (!Decision)
    return {peer::v1::CLAIM_ABSENT, {}};
  return toClaimAnswer(*Decision);
}

auto KeyCoordinator::Implementation::query(const std::string &Account,
                                           const std::string &Key,
                                           ClaimCallback Done) -> void {
  auto Current = currentOwnerMap();
  const std::string &Home = Current->home(KeyRegistry::shardOf(Account, Key));
  if (Home == HostName)
    return Done(handleQuery(Current->version(), Account, Key));
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
  for (const ShardRoles &Skipped : ShardRoles::forSkippedViews(
           *Current, Registry.viewVersion(), HostName, Incarnations))
    if (Registry.adoptView(Skipped, Clock::now()))
      Registry.endClaimsOfLostHolders(Skipped.Members, Clock::now());
  auto NewMap = std::make_shared<const ShardMap>(*Current);
  auto Roles = ShardRoles::forView(*Current, *NewMap, HostName, Incarnations);
  if (!Registry.adoptView(Roles, Clock::now()))
    return;
  auto OldMap = currentOwnerMap();
  {
    std::lock_guard Lock(ShardMapMutex);
    OwnerMap = NewMap;
  }
  for (const KeyRecord &Record :
       Registry.endClaimsOfLostHolders(Roles.Members, Clock::now()))
    replicate(Current->version(), Record, [](bool) {});
  // Claims wait for complete shards that move to other owners, so these are
  // sent immediately. The other transfers only help owners to detect a lost
  // history or to complete it after skipped views. They are deferred, because
  // sending them immediately delayed requests during a rolling restart.
  auto MustSendNow = [&](std::uint32_t Shard) {
    return Registry.isComplete(Shard) &&
           (OldMap->home(Shard) != NewMap->home(Shard) ||
            OldMap->backup(Shard) != NewMap->backup(Shard));
  };
  std::vector<std::uint32_t> Deferred;
  for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
    if (MustSendNow(Shard))
      sendShardToOwners(Shard, *NewMap);
    else
      Deferred.push_back(Shard);
  std::weak_ptr<Implementation> Weak = weak_from_this();
  Timer.schedule(Clock::now() + DeferredTransferDelay,
                 [Weak, NewMap, Deferred] {
                   auto Self = Weak.lock();
                   if (!Self || Self->currentOwnerMap() != NewMap)
                     return;
                   for (std::uint32_t Shard : Deferred)
                     Self->sendShardToOwners(Shard, *NewMap);
                 });
}

auto KeyCoordinator::Implementation::sendShardToOwners(std::uint32_t Shard,
                                                       const ShardMap &Owners)
    -> void {
  for (const std::string &Target : {Owners.home(Shard), Owners.backup(Shard)})
    if (!Target.empty() && Target != HostName)
      ShardTransfers->send(Shard, Target);
}

auto KeyCoordinator::Implementation::evictExpired() -> void {
  auto Current = currentOwnerMap();
  for (std::uint32_t Shard : Registry.evictExpired(Clock::now())) {
    const std::string &Backup = Current->backup(Shard);
    if (!Backup.empty() && Backup != HostName)
      ShardTransfers->send(Shard, Backup);
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
                           const std::string &ClaimId, ClaimCallback Done)
    -> void {
  Body->claim(Account, Key, ClaimId, false, std::move(Done));
}

auto KeyCoordinator::reassert(const std::string &Account,
                              const std::string &Key,
                              const std::string &ClaimId, ClaimCallback Done)
    -> void {
  Body->claim(Account, Key, ClaimId, true, std::move(Done));
}

auto KeyCoordinator::reportOutcome(const std::string &Account,
                                   const std::string &Key,
                                   const std::string &ClaimId, bool Released,
                                   std::string Outcome) -> void {
  Body->reportOutcome(std::make_shared<const OutcomeReport>(
      OutcomeReport{.ViewVersion = 0,
                    .Shard = KeyRegistry::shardOf(Account, Key),
                    .Account = Account,
                    .Key = Key,
                    .ClaimId = ClaimId,
                    .Released = Released,
                    .Outcome = std::move(Outcome)}));
}

auto KeyCoordinator::query(const std::string &Account, const std::string &Key,
                           ClaimCallback Done) -> void {
  Body->query(Account, Key, std::move(Done));
}

auto KeyCoordinator::adoptView(const std::shared_ptr<const View> &Current)
    -> void {
  Body->adoptView(Current);
}

auto KeyCoordinator::evictExpired() -> void { Body->evictExpired(); }

auto KeyCoordinator::outstandingReports() const -> std::size_t {
  return Body->outstandingReports();
}

} // namespace jayramp
