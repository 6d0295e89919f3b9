#include "Membership/MembershipEngine.h"

#include "Base/EventLog.h"
#include "Base/Identifier.h"
#include "Base/Metrics.h"
#include "Configuration/ConfigurationStore.h"
#include "Platform/TableService.h"
#include "Platform/TableTransaction.h"

#include "jayramp/peer/v1/peer.pb.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace jayramp {

namespace {

constexpr const char *ViewTable = "membership";
constexpr const char *ViewKey = "view";
constexpr const char *HostTable = "hosts";
constexpr const char *ConfigurationTable = "configuration";
constexpr const char *ConfigurationKey = "head";

// A conflict returns the newer rows, so the second attempt usually succeeds.
constexpr int MaxHeartbeatAttempts = 3;

auto clampAgeMs(std::int64_t Age) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Age, 0, std::numeric_limits<std::int32_t>::max()));
}

auto memberNames(const View &Source) -> std::string {
  std::string Names;
  for (const auto &Entry : Source.members())
    Names += (Names.empty() ? "" : ",") + Entry.Name;
  return Names;
}

auto heartbeatValue(const std::string &Incarnation, std::uint64_t Counter)
    -> std::string {
  return R"({"incarnation":")" + Incarnation + R"(","counter":)" +
         std::to_string(Counter) + "}";
}

} // namespace

MembershipEngine::MembershipEngine(Member Self, MembershipTiming Timing,
                                   TableService &Tables,
                                   PeerTransport &Transport,
                                   ConfigurationStore &Store, Metrics &Registry,
                                   std::function<void()> OnChange)
    : Timing(Timing), Tables(Tables), Transport(Transport), Store(Store),
      Registry(Registry), OnChange(std::move(OnChange)),
      State(std::move(Self), Timing, Clock::now()) {
  Transport.setIdentity(State.self().Incarnation, 0);
}

auto MembershipEngine::heartbeatTransaction(std::uint64_t ViewVersion,
                                            const std::string &Incarnation)
    -> TableTransaction {
  TableTransaction Transaction;
  Transaction.WriteId = LastHeartbeatWriteId = makeIdentifier();
  Transaction.Checks = {
      {ViewTable, ViewKey, ViewVersion},
      {ConfigurationTable, ConfigurationKey, Store.version()}};
  Transaction.Writes = {{HostTable, State.self().Name, OwnRowVersion,
                         heartbeatValue(Incarnation, ++HeartbeatCounter)}};
  return Transaction;
}

auto MembershipEngine::writeHeartbeat() -> Result<void> {
  for (int Attempt = 0; Attempt < MaxHeartbeatAttempts; ++Attempt) {
    TableTransaction Transaction;
    std::uint64_t ViewVersion = 0;
    {
      std::lock_guard Lock(Mutex);
      if (!State.isMember())
        return success();
      ViewVersion = State.view()->version();
      Transaction = heartbeatTransaction(ViewVersion, State.self().Incarnation);
    }
    TimePoint SentAt = Clock::now();
    auto Outcome = Tables.commit(Transaction);
    Registry.observe("jayramp_store_seconds", "call=\"heartbeat\"",
                     Clock::now() - SentAt);
    if (!Outcome) {
      Registry.count("jayramp_store_failures_total", "call=\"heartbeat\"");
      return Outcome.error();
    }
    if (const auto *Done =
            std::get_if<TransactionCommitted>(&Outcome.value())) {
      std::lock_guard Lock(Mutex);
      if (!Done->Versions.empty())
        OwnRowVersion = std::max(OwnRowVersion, Done->Versions.front());
      State.recordStoreConfirmation(ViewVersion, SentAt);
      StateChanged.notify_all();
      return success();
    }
    for (const auto &Entry :
         std::get<TransactionConflict>(Outcome.value()).Conflicts)
      adoptRow(Entry.Table, Entry.Current);
  }
  Registry.count("jayramp_store_failures_total", "call=\"heartbeat\"");
  return Error::make(
      ErrorKind::Conflict, "hosts/" + self().Name,
      "every attempt to write the heartbeat conflicted with other writes",
      "check whether a second process runs under this host name");
}

auto MembershipEngine::maintainView(bool ReadHeartbeatRows) -> Result<void> {
  if (ReadHeartbeatRows) {
    BOOST_OUTCOME_TRYV(readHeartbeatRows());
  }
  bool ReadView = false;
  {
    std::lock_guard Lock(Mutex);
    // A member learns of newer views from its heartbeat writes and its peers;
    // other hosts have to read the view row.
    ReadView = MustReadView || (ReadHeartbeatRows && !State.isMember());
  }
  if (ReadView) {
    BOOST_OUTCOME_TRYV(readView());
  }
  MembershipDecision Decision;
  {
    std::lock_guard Lock(Mutex);
    Decision = State.decide(Clock::now());
    if (State.isSuperseded() && !std::exchange(SupersededLogged, true))
      logEvent(LogLevel::Error, "membership_superseded",
               {{"remedy", "stop this process: a newer process with the same "
                           "host name has joined the view"}});
  }
  if (std::holds_alternative<KeepView>(Decision))
    return success();
  return writeView(Decision);
}

auto MembershipEngine::readHeartbeatRows() -> Result<void> {
  std::uint64_t Since = 0;
  {
    std::lock_guard Lock(Mutex);
    Since = HostTableRevision;
  }
  TimePoint SentAt = Clock::now();
  auto Outcome = Tables.changes(HostTable, Since);
  Registry.observe("jayramp_store_seconds", "call=\"hosts\"",
                   Clock::now() - SentAt);
  if (!Outcome) {
    Registry.count("jayramp_store_failures_total", "call=\"hosts\"");
    return Outcome.error();
  }
  std::lock_guard Lock(Mutex);
  HostTableRevision = Outcome.value().Revision;
  std::vector<std::pair<std::string, std::uint64_t>> Rows;
  for (const auto &Row : Outcome.value().Rows) {
    Rows.emplace_back(Row.Key, Row.Version);
    if (Row.Key == State.self().Name)
      OwnRowVersion = std::max(OwnRowVersion, Row.Version);
  }
  State.recordHeartbeatRows(Rows, SentAt, Clock::now());
  return success();
}

auto MembershipEngine::readView() -> Result<void> {
  auto Outcome = Tables.read(ViewTable, ViewKey);
  if (!Outcome) {
    Registry.count("jayramp_store_failures_total", "call=\"view\"");
    return Outcome.error();
  }
  if (Outcome.value())
    adoptRow(ViewTable, *Outcome.value());
  std::lock_guard Lock(Mutex);
  State.markViewRead();
  MustReadView = false;
  return success();
}

auto MembershipEngine::viewTransaction(const MembershipDecision &Decision,
                                       const View &Next) -> TableTransaction {
  TableTransaction Transaction;
  Transaction.WriteId = LastViewWriteId = makeIdentifier();
  Transaction.Writes.push_back(
      {ViewTable, ViewKey, State.view()->version(), Next.toJson()});
  if (std::holds_alternative<AddSelf>(Decision))
    Transaction.Writes.push_back(
        {HostTable, State.self().Name, OwnRowVersion,
         heartbeatValue(State.self().Incarnation, ++HeartbeatCounter)});
  if (const auto *Removal = std::get_if<RemoveSilentMembers>(&Decision))
    for (const auto &Entry : Removal->Members)
      Transaction.Checks.push_back({HostTable, Entry.Name, Entry.RowVersion});
  return Transaction;
}

auto MembershipEngine::writeView(const MembershipDecision &Decision)
    -> Result<void> {
  TableTransaction Transaction;
  View Next;
  {
    std::lock_guard Lock(Mutex);
    Next = State.nextView(Decision);
    Transaction = viewTransaction(Decision, Next);
    // Until the answer arrives, the stored view may be newer than the known
    // one.
    MustReadView = true;
  }
  auto Outcome = Tables.commit(Transaction);
  if (!Outcome) {
    Registry.count("jayramp_store_failures_total", "call=\"view\"");
    return Outcome.error();
  }
  if (const auto *Conflict =
          std::get_if<TransactionConflict>(&Outcome.value())) {
    Registry.count("jayramp_view_conflicts_total");
    for (const auto &Entry : Conflict->Conflicts)
      adoptRow(Entry.Table, Entry.Current);
    return success();
  }
  const auto &Versions =
      std::get<TransactionCommitted>(Outcome.value()).Versions;
  Registry.count("jayramp_view_changes_total");
  auto Written =
      View::make(Versions.empty() ? Next.version() : Versions.front(),
                 Next.members(), Next.predecessors(), Next.recentViews());
  std::lock_guard Lock(Mutex);
  if (Versions.size() > 1)
    OwnRowVersion = std::max(OwnRowVersion, Versions[1]);
  adoptView(Written.value());
  MustReadView = false;
  return success();
}

auto MembershipEngine::adoptRow(const std::string &Table, const TableRow &Row)
    -> void {
  if (Table == ConfigurationTable) {
    if (Row.Version <= Store.version())
      return;
    auto Parsed = Configuration::parseJsonText(Row.Version, Row.Value);
    if (Parsed)
      Store.adopt(Parsed.value());
    else
      logEvent(LogLevel::Error, "configuration_unreadable",
               {{"error", Parsed.error().message()}});
    return;
  }
  std::lock_guard Lock(Mutex);
  if (Table == HostTable) {
    if (Row.Key != State.self().Name)
      return;
    if (Row.WriteId == LastHeartbeatWriteId || Row.WriteId == LastViewWriteId)
      Registry.count("jayramp_store_lost_answers_total");
    OwnRowVersion = Row.Version;
    return;
  }
  if (Table != ViewTable || Row.Version <= State.view()->version())
    return;
  if (Row.WriteId == LastViewWriteId) {
    Registry.count("jayramp_store_lost_answers_total");
    Registry.count("jayramp_view_changes_total");
  }
  auto Parsed = View::parse(Row.Value, Row.Version);
  if (Parsed)
    adoptView(Parsed.value());
  else
    logEvent(LogLevel::Error, "view_unreadable",
             {{"error", Parsed.error().message()}});
}

auto MembershipEngine::adoptView(const View &Newer) -> void {
  if (!State.adopt(Newer, Clock::now()))
    return;
  const Member &Self = State.self();
  std::vector<PeerEndpoint> Endpoints;
  for (const auto &Entry : Newer.members())
    if (Entry.Name != Self.Name)
      Endpoints.push_back({Entry.Name, Entry.Incarnation, Entry.PeerAddress});
  Transport.replacePeers(std::move(Endpoints));
  Transport.setIdentity(Self.Incarnation, Newer.version());
  Registry.gauge("jayramp_view_version", "",
                 static_cast<double>(Newer.version()));
  logEvent(LogLevel::Info, "view_adopted",
           {{"version", std::to_string(Newer.version())},
            {"members", memberNames(Newer)},
            {"member", State.isMember() ? "true" : "false"}});
  StateChanged.notify_all();
  OnChange();
}

auto MembershipEngine::fillReport(peer::v1::PeerHeartbeat &Report,
                                  TimePoint Now) const -> void {
  auto OwnReport = State.selfObservation(Store.version(), Now);
  Report.set_configuration_version(OwnReport.ConfigurationVersion);
  if (OwnReport.ConfirmedAt)
    Report.set_store_confirmation_age_ms(clampAgeMs(
        std::chrono::ceil<Milliseconds>(Now - *OwnReport.ConfirmedAt).count()));
  Report.set_free_slots(FreeSlots);
  Report.set_stopping(OwnReport.Stopping);
  Report.set_incarnation(OwnReport.Incarnation);
  Report.set_view_version(OwnReport.ViewVersion);
  Report.set_removed_contact_age_ms(
      clampAgeMs(std::chrono::floor<Milliseconds>(
                     Now - *OwnReport.LastRemovedHostContactAt)
                     .count()));
}

auto MembershipEngine::sendHeartbeats() -> void {
  peer::v1::Envelope Message;
  std::vector<std::string> Names;
  {
    std::lock_guard Lock(Mutex);
    fillReport(*Message.mutable_heartbeat(), Clock::now());
    for (const auto &Entry : State.view()->members())
      if (Entry.Name != State.self().Name)
        Names.push_back(Entry.Name);
  }
  for (const auto &Name : Names) {
    TimePoint SentAt = Clock::now();
    Transport.call(Name, Message, Timing.ContactWindow,
                   [this, Name, SentAt](const PeerTransport::Answer &Reply) {
                     if (Reply && Reply.value()->has_heartbeat())
                       receiveReply(Name, SentAt, Reply.value()->heartbeat());
                   });
  }
}

auto MembershipEngine::receiveReply(const std::string &PeerName,
                                    TimePoint SentAt,
                                    const peer::v1::PeerHeartbeat &Reply)
    -> void {
  TimePoint Now = Clock::now();
  if (Reply.has_configuration() &&
      Reply.configuration().version() > Store.version()) {
    auto Parsed = Configuration::parseSerialized(
        Reply.configuration().version(), Reply.configuration().document());
    if (Parsed)
      Store.adopt(Parsed.value());
  }
  PeerObservation Observation{
      .Name = PeerName,
      .Incarnation = Reply.incarnation(),
      .LastContactAt = SentAt,
      .ViewVersion = Reply.view_version(),
      .ConfigurationVersion = Reply.configuration_version(),
      .LastRemovedHostContactAt =
          Now - Milliseconds(Reply.removed_contact_age_ms()),
      .FreeSlots = Reply.free_slots(),
      .Stopping = Reply.stopping()};
  if (Reply.has_store_confirmation_age_ms())
    Observation.ConfirmedAt =
        SentAt - Milliseconds(Reply.store_confirmation_age_ms());
  std::lock_guard Lock(Mutex);
  if (!Reply.view().empty()) {
    auto Parsed = View::parse(Reply.view());
    if (Parsed)
      adoptView(Parsed.value());
  }
  bool WasSettled = State.isSettled(Now);
  State.recordPeerObservation(Observation, Now);
  if (!WasSettled && State.isSettled(Now)) {
    StateChanged.notify_all();
    OnChange();
  }
}

auto MembershipEngine::handle(const peer::v1::Envelope &Request,
                              PeerReply Reply) -> void {
  if (!Request.has_heartbeat())
    return;
  const auto &PeerReport = Request.heartbeat();
  peer::v1::Envelope Answer;
  auto &Report = *Answer.mutable_heartbeat();
  {
    std::lock_guard Lock(Mutex);
    TimePoint Now = Clock::now();
    fillReport(Report, Now);
    State.recordHeartbeatReply(Request.sender(), PeerReport.incarnation(), Now);
    if (PeerReport.view_version() < State.view()->version())
      Report.set_view(State.view()->toJson());
    if (PeerReport.view_version() > State.view()->version())
      MustReadView = true;
    if (PeerReport.view_version() > State.view()->version() ||
        PeerReport.configuration_version() > Report.configuration_version())
      OnChange();
  }
  if (PeerReport.configuration_version() < Report.configuration_version()) {
    auto Newest = Store.current();
    Report.mutable_configuration()->set_version(Newest->version());
    Report.mutable_configuration()->set_document(Newest->serialize());
  }
  Reply(Answer);
}

auto MembershipEngine::view() const -> std::shared_ptr<const View> {
  std::lock_guard Lock(Mutex);
  return State.view();
}

auto MembershipEngine::self() const -> Member {
  std::lock_guard Lock(Mutex);
  return State.self();
}

auto MembershipEngine::incarnations() const -> std::vector<std::string> {
  std::lock_guard Lock(Mutex);
  return State.incarnations();
}

auto MembershipEngine::peerObservations() const
    -> std::vector<PeerObservation> {
  std::lock_guard Lock(Mutex);
  return State.peerObservations();
}

auto MembershipEngine::hasMajority() const -> bool {
  std::lock_guard Lock(Mutex);
  return State.hasMajority(Clock::now());
}

auto MembershipEngine::isSettled() const -> bool {
  std::lock_guard Lock(Mutex);
  return State.isSettled(Clock::now());
}

auto MembershipEngine::servingDecision() const -> ServingDecision {
  std::lock_guard Lock(Mutex);
  return State.servingDecision(Store.version(), Clock::now());
}

auto MembershipEngine::requestLeaving() -> void {
  std::lock_guard Lock(Mutex);
  State.requestLeaving();
  OnChange();
}

auto MembershipEngine::requestRemoval() -> void {
  std::lock_guard Lock(Mutex);
  State.requestRemoval();
  OnChange();
}

auto MembershipEngine::waitFor(
    const std::function<bool(const MembershipState &)> &Condition,
    TimePoint Until) -> bool {
  std::unique_lock Lock(Mutex);
  return StateChanged.wait_until(Lock, Until, [&] { return Condition(State); });
}

} // namespace jayramp
