#include "Requests/SlotBroker.h"

#include "Base/Identifier.h"
#include "Base/Metrics.h"
#include "Membership/FunctionPeerHandler.h"
#include "Membership/MembershipRunner.h"
#include "Membership/PeerTransport.h"

#include "jayramp/peer/v1/peer.pb.h"

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

using peer::v1::Envelope;

constexpr Milliseconds SlotRequestTimeout{300};
// A peer's request that finds no free slot waits this long for one. Together
// with the interval of runPeriodicTasks() this is less than SlotRequestTimeout
// at the requesting host.
constexpr Milliseconds PeerRequestWait{100};
// Limits the slots of one request, so that one host cannot take all slots of a
// peer.
constexpr std::size_t MaximumSlotsPerRequest = 8;

} // namespace

SlotBroker::SlotBroker(std::string HostName, SlotLedger Ledger,
                       WorkerHealth Health, MembershipRunner &Membership,
                       PeerTransport &Transport, Metrics &Counters)
    : HostName(std::move(HostName)), Membership(Membership),
      Transport(Transport), Counters(Counters), Ledger(std::move(Ledger)),
      Health(std::move(Health)) {
  registerHandlers();
}

SlotBroker::~SlotBroker() = default;

auto SlotBroker::registerHandlers() -> void {
  Handlers.push_back(std::make_unique<FunctionPeerHandler>(
      [this](const Envelope &Request, const PeerReply &Reply) {
        Envelope Answer;
        auto *Grants = Answer.mutable_slot_request_reply();
        WorkClass Class = Request.slot_request().long_work() ? WorkClass::Long
                                                             : WorkClass::Short;
        std::lock_guard Lock(Mutex);
        for (const auto &GrantId : Request.slot_request().grant_ids()) {
          auto Decision = grantLocked(
              {GrantId, Request.sender(), Request.incarnation(), Class}, {});
          const auto *Grant = std::get_if<SlotGrant>(&Decision);
          if (!Grant)
            break;
          auto *Written = Grants->add_grants();
          Written->set_grant_id(Grant->GrantId);
          Written->set_worker(Grant->Worker);
          Written->set_worker_address(Grant->WorkerAddress);
          Written->set_epoch(Grant->Epoch);
        }
        if (Grants->grants_size() > 0 ||
            Request.slot_request().grant_ids_size() == 0)
          return Reply(Answer);
        WaitingPeerRequest Waiting;
        Waiting.ExpiresAt = Clock::now() + PeerRequestWait;
        Waiting.GrantRequest = {Request.slot_request().grant_ids(0),
                                Request.sender(), Request.incarnation(), Class};
        Waiting.Answer = [Reply](const std::optional<SlotGrant> &Grant) {
          Envelope LateAnswer;
          auto *LateGrants = LateAnswer.mutable_slot_request_reply();
          if (Grant) {
            auto *Added = LateGrants->add_grants();
            Added->set_grant_id(Grant->GrantId);
            Added->set_worker(Grant->Worker);
            Added->set_worker_address(Grant->WorkerAddress);
            Added->set_epoch(Grant->Epoch);
          }
          Reply(LateAnswer);
        };
        WaitingPeerRequests.push_back(std::move(Waiting));
      }));
  Transport.setHandler(PeerMessageType::SlotRequest, *Handlers.back());
  Handlers.push_back(std::make_unique<FunctionPeerHandler>(
      [this](const Envelope &Request, const PeerReply &Reply) {
        const auto &Source = Request.slot_release();
        SlotUseResult Result{.Latency = std::nullopt,
                             .Answered = Source.answered(),
                             .Failed = Source.failed(),
                             .Refused = false};
        if (Source.latency_ms() > 0)
          Result.Latency = Milliseconds(Source.latency_ms());
        releaseOwnSlot(Source.grant_id(), Source.worker(), Result);
        Envelope Answer;
        Answer.mutable_acknowledged()->set_ok(true);
        Reply(Answer);
      }));
  Transport.setHandler(PeerMessageType::SlotRelease, *Handlers.back());
}

auto SlotBroker::setSlotsFreedCallback(SlotsFreedCallback Function) -> void {
  std::lock_guard Lock(CallbackMutex);
  SlotsFreed = std::move(Function);
}

auto SlotBroker::grantLocked(const SlotGrantRequest &GrantRequest,
                             const std::string &Excluded) -> SlotDecision {
  TimePoint Now = Clock::now();
  auto Decision = Ledger.grant(
      GrantRequest,
      [this, Now](std::string_view Worker) {
        return Health.trafficShare(Worker, Now);
      },
      Excluded, Now);
  if (const auto *Grant = std::get_if<SlotGrant>(&Decision))
    Health.recordStart(Grant->Worker, Now);
  return Decision;
}

auto SlotBroker::acquire(WorkClass Class, const std::string &Excluded)
    -> SlotDecision {
  SlotGrantRequest GrantRequest{.GrantId = makeIdentifier(),
                                .HolderHost = HostName,
                                .HolderIncarnation = Membership.incarnation(),
                                .Class = Class};
  std::lock_guard Lock(Mutex);
  return grantLocked(GrantRequest, Excluded);
}

auto SlotBroker::acquireFromPeer(std::size_t Count, WorkClass Class,
                                 GrantsCallback Done) -> bool {
  auto Peers = Membership.peerObservations();
  std::string Chosen;
  {
    std::lock_guard Lock(PeerMutex);
    std::uint32_t MostFreeSlots = 0;
    std::vector<std::string> Candidates;
    for (const PeerObservation &Peer : Peers) {
      if (PeersWithOpenRequest.count(Peer.Name) != 0)
        continue;
      Candidates.push_back(Peer.Name);
      if (Peer.FreeSlots <= MostFreeSlots)
        continue;
      MostFreeSlots = Peer.FreeSlots;
      Chosen = Peer.Name;
    }
    // The reports are up to one heartbeat old. Waiting for the next report
    // after a report of 0 would delay requests by half a second.
    if (Chosen.empty() && !Candidates.empty())
      Chosen = Candidates[NextPeer++ % Candidates.size()];
    if (Chosen.empty())
      return false;
    PeersWithOpenRequest.insert(Chosen);
  }
  Envelope Message;
  Message.mutable_slot_request()->set_long_work(Class == WorkClass::Long);
  for (std::size_t Index = 0; Index < std::min(Count, MaximumSlotsPerRequest);
       ++Index)
    Message.mutable_slot_request()->add_grant_ids(makeIdentifier());
  std::string Incarnation = Membership.incarnation();
  Transport.call(
      Chosen, Message, SlotRequestTimeout,
      [this, Chosen, Class, Incarnation,
       Done](const PeerTransport::Answer &Answer) {
        {
          std::lock_guard Lock(PeerMutex);
          PeersWithOpenRequest.erase(Chosen);
        }
        std::vector<SlotGrant> Grants;
        if (Answer)
          for (const auto &Source :
               Answer.value()->slot_request_reply().grants())
            Grants.push_back({.GrantId = Source.grant_id(),
                              .Worker = Source.worker(),
                              .WorkerAddress = Source.worker_address(),
                              .Epoch = Source.epoch(),
                              // The peer that granted the slot, to which it is
                              // released.
                              .HolderHost = Chosen,
                              .HolderIncarnation = Incarnation,
                              .Class = Class,
                              .GrantedAt = Clock::now()});
        Counters.count("jayramp_peer_slots_granted_total", "", Grants.size());
        Done(std::move(Grants));
      });
  return true;
}

auto SlotBroker::release(const SlotGrant &Grant, const SlotUseResult &Result)
    -> void {
  if (Grant.HolderHost == HostName)
    return releaseOwnSlot(Grant.GrantId, Grant.Worker, Result);
  Envelope Message;
  auto *Release = Message.mutable_slot_release();
  Release->set_grant_id(Grant.GrantId);
  Release->set_worker(Grant.Worker);
  Release->set_failed(Result.Failed);
  Release->set_answered(Result.Answered);
  if (Result.Latency)
    Release->set_latency_ms(static_cast<std::uint32_t>(
        std::max<Milliseconds::rep>(1, Result.Latency->count())));
  std::string Owner = Grant.HolderHost;
  // If the release were lost, the slot would stay in use until this host's
  // incarnation ends, so it is repeated once.
  Transport.call(Owner, Message, SlotRequestTimeout,
                 [this, Owner, Message](const PeerTransport::Answer &Answer) {
                   if (!Answer)
                     Transport.notify(Owner, Message);
                 });
}

auto SlotBroker::releaseOwnSlot(const std::string &GrantId,
                                const std::string &Worker,
                                const SlotUseResult &Result) -> void {
  {
    std::lock_guard Lock(Mutex);
    auto Ended = Ledger.release(GrantId, Result.Latency);
    if (!Ended)
      return;
    TimePoint Now = Clock::now();
    if (Result.Failed)
      Health.recordFailure(Worker, Now);
    else if (Result.Answered)
      Health.recordSuccess(Worker, Result.Latency, Now);
    else
      Health.recordNoResult(Worker);
  }
  SlotsFreedCallback Function;
  {
    std::lock_guard Lock(CallbackMutex);
    Function = SlotsFreed;
  }
  // A freed slot is offered to the requests of this host before those of peers:
  // a slot that is granted to a peer is idle for the time of two messages,
  // which costs 5% of the capacity at a load peak.
  if (Function)
    Function();
  answerPeerRequests();
}

auto SlotBroker::answerPeerRequests() -> void {
  std::vector<std::pair<WaitingPeerRequest, std::optional<SlotGrant>>> Answered;
  {
    std::lock_guard Lock(Mutex);
    TimePoint Now = Clock::now();
    for (auto Position = WaitingPeerRequests.begin();
         Position != WaitingPeerRequests.end();) {
      std::optional<SlotGrant> Found;
      if (Now < Position->ExpiresAt) {
        auto Decision = grantLocked(Position->GrantRequest, {});
        if (const auto *Grant = std::get_if<SlotGrant>(&Decision))
          Found = *Grant;
      }
      if (!Found && Now < Position->ExpiresAt) {
        ++Position;
        continue;
      }
      Answered.emplace_back(std::move(*Position), Found);
      Position = WaitingPeerRequests.erase(Position);
    }
  }
  for (const auto &[Waiting, Grant] : Answered)
    Waiting.Answer(Grant);
}

auto SlotBroker::addWorker(const std::string &Worker,
                           const std::string &Address) -> void {
  std::lock_guard Lock(Mutex);
  Ledger.addWorker(Worker, Address);
}

auto SlotBroker::removeWorker(const std::string &Worker) -> void {
  std::lock_guard Lock(Mutex);
  Ledger.removeWorker(Worker);
  Health.removeWorker(Worker);
}

auto SlotBroker::markLeaving(const std::string &Worker) -> void {
  std::lock_guard Lock(Mutex);
  Ledger.markLeaving(Worker);
}

auto SlotBroker::setLeavingInHostList(const std::string &Worker, bool Leaving)
    -> void {
  std::lock_guard Lock(Mutex);
  Ledger.setLeavingInHostList(Worker, Leaving);
}

auto SlotBroker::applyStatus(const std::string &Worker,
                             const WorkerStatus &Status, TimePoint RequestedAt)
    -> void {
  std::lock_guard Lock(Mutex);
  Ledger.applyStatus({.Worker = Worker,
                      .Slots = Status.Slots,
                      .SlotsUsed = Status.SlotsUsed,
                      .Leaving = Status.Leaving,
                      .RequestedAt = RequestedAt},
                     Clock::now());
}

auto SlotBroker::recordStatusFailure(const std::string &Worker) -> void {
  std::lock_guard Lock(Mutex);
  Health.recordFailure(Worker, Clock::now());
}

auto SlotBroker::adoptView(std::uint64_t Version,
                           const std::set<std::string> &LiveIncarnations)
    -> void {
  std::lock_guard Lock(Mutex);
  Ledger.setEpoch(Version);
  Ledger.releaseGrantsOfLostHolders(LiveIncarnations, Clock::now());
}

auto SlotBroker::runPeriodicTasks() -> void {
  answerPeerRequests();
  std::lock_guard Lock(Mutex);
  TimePoint Now = Clock::now();
  auto Long = Ledger.reclassifyOverdueGrants(Now);
  Counters.count("jayramp_reclassified_total", "", Long.size());
  Health.ejectOutliers(Now);
}

auto SlotBroker::setLongLimits(std::uint32_t LongPercent,
                               Milliseconds ShortLimit) -> void {
  std::lock_guard Lock(Mutex);
  Ledger.setLongLimits(LongPercent, ShortLimit);
}

auto SlotBroker::freeSlots() const -> std::uint32_t {
  std::lock_guard Lock(Mutex);
  return Ledger.freeSlots();
}

auto SlotBroker::usedSlots(const std::string &Worker) const -> std::uint32_t {
  std::lock_guard Lock(Mutex);
  return Ledger.usedSlots(Worker);
}

auto SlotBroker::workerState(const std::string &Worker) const -> std::string {
  std::lock_guard Lock(Mutex);
  return Health.circuitState(Worker, Clock::now()) ==
                 WorkerHealth::CircuitState::Open
             ? "QUARANTINED"
             : "LIVE";
}

} // namespace jayramp
