#include "KeyRegistryModel.h"

namespace jayramp {

namespace {

constexpr const char *AccountName = "acme";

/// Returns an index below \p Count, taken from the bits of \p Choice above
/// \p Shift.
auto selectIndex(std::uint32_t Choice, std::uint32_t Shift, std::size_t Count)
    -> std::size_t {
  return (Choice >> Shift) % Count;
}

} // namespace

KeyRegistryModel::KeyRegistryModel(InjectedFault Fault)
    : Fault(Fault), Now(TimePoint() + std::chrono::hours(1)) {
  for (std::size_t Number = 0; Number < KeyCount; ++Number)
    Keys.push_back("key-" + std::to_string(Number));
  Hosts.resize(HostCount);
  View First;
  for (std::size_t Number = 0; Number < HostCount; ++Number) {
    restart(Number);
    // The last host joins later, so that complete shards move to it.
    if (Number + 1 < HostCount)
      First.Members[Number] = Hosts[Number].Incarnation;
  }
  Views.push_back(First);
  for (std::size_t Number = 0; Number < HostCount; ++Number)
    adoptNextView(Number, false);
}

auto KeyRegistryModel::restart(std::size_t Number) -> void {
  Host &Target = Hosts[Number];
  // Creates all 256 shards each time, although the model uses only a few.
  Target.Registry =
      std::make_unique<KeyRegistry>(KeyRegistry::make({}).value());
  Target.Incarnation = std::to_string(Number) + "-" + std::to_string(NextId++);
  Target.AdoptedVersion = 0;
}

auto KeyRegistryModel::roleIn(std::uint64_t Version, std::uint32_t Shard,
                              std::size_t Number) const -> ShardRole {
  // The model may use any deterministic function of the members. This one ranks
  // the members by a hash, as rendezvous hashing does.
  const View &AdoptedView = Views[Version - 1];
  auto Score = [&](std::size_t Member) {
    std::uint64_t Hash = (Shard * 977U + Member * 131U + 7U) * 2654435761ULL;
    return (Hash >> 7U) % 1009U * HostCount + Member;
  };
  auto Own = AdoptedView.Members.find(Number);
  if (Own == AdoptedView.Members.end() ||
      Own->second != Hosts[Number].Incarnation)
    return ShardRole::None;
  std::size_t HigherScoreCount = 0;
  for (const auto &[Member, Incarnation] : AdoptedView.Members)
    if (Score(Member) > Score(Number))
      ++HigherScoreCount;
  if (HigherScoreCount == 0)
    return ShardRole::Home;
  return HigherScoreCount == 1 ? ShardRole::Backup : ShardRole::None;
}

auto KeyRegistryModel::hostWithRole(std::uint64_t Version, std::uint32_t Shard,
                                    ShardRole Role) const
    -> std::optional<std::size_t> {
  for (std::size_t Number = 0; Number < HostCount; ++Number)
    if (roleIn(Version, Shard, Number) == Role)
      return Number;
  return std::nullopt;
}

auto KeyRegistryModel::changeView(std::uint32_t Choice) -> void {
  View Next = Views.back();
  std::size_t Number = selectIndex(Choice, 4, HostCount);
  auto Position = Next.Members.find(Number);
  bool IsCurrentMember = Position != Next.Members.end() &&
                         Position->second == Hosts[Number].Incarnation;
  if (IsCurrentMember && Next.Members.size() > 2)
    Next.Members.erase(Position);
  else
    Next.Members[Number] = Hosts[Number].Incarnation;
  if (Next.Members == Views.back().Members)
    return;
  Views.push_back(Next);
}

auto KeyRegistryModel::adoptNextView(std::size_t Number, bool SkipOne) -> void {
  Host &Target = Hosts[Number];
  if (Target.AdoptedVersion >= Views.size())
    return;
  std::uint64_t Version = Target.AdoptedVersion + 1;
  // A new incarnation adopts the newest view, or the recorded earlier ones
  // first.
  if (Target.AdoptedVersion == 0 && Views.size() > 1 && !SkipOne)
    Version = Views.size();
  else if (SkipOne && Version < Views.size())
    ++Version;
  const View &AdoptedView = Views[Version - 1];
  auto Own = AdoptedView.Members.find(Number);
  bool Member =
      Own != AdoptedView.Members.end() && Own->second == Target.Incarnation;
  if (!Member && Target.AdoptedVersion == 0)
    return;
  ShardRoles Roles;
  Roles.ViewVersion = Version;
  Roles.OwnIncarnation = Target.Incarnation;
  Roles.IsFirstView = Version == 1;
  for (const auto &[Member, Incarnation] : AdoptedView.Members)
    Roles.Members.insert(Incarnation);
  for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
    Roles.Roles[Shard] = roleIn(Version, Shard, Number);
  if (Fault == InjectedFault::KeepCompleteAfterSkippedView &&
      Version > Target.AdoptedVersion + 1 && Target.AdoptedVersion > 0) {
    // Adopts the skipped view as if this host had been the home of all shards.
    ShardRoles Skipped = Roles;
    Skipped.ViewVersion = Version - 1;
    Skipped.Roles.fill(ShardRole::Home);
    Target.Registry->adoptView(Skipped, Now);
  }
  Target.Registry->adoptView(Roles, Now);
  Target.Registry->endClaimsOfLostHolders(Roles.Members, Now);
  Target.AdoptedVersion = Version;
  sendTransfers(Number);
}

auto KeyRegistryModel::sendTransfers(std::size_t Number) -> void {
  Host &Sender = Hosts[Number];
  if (Sender.AdoptedVersion == 0)
    return;
  std::set<std::uint32_t> Shards;
  for (const std::string &Key : Keys)
    Shards.insert(KeyRegistry::shardOf(AccountName, Key));
  for (std::uint32_t Shard : Shards)
    for (ShardRole Role : {ShardRole::Home, ShardRole::Backup}) {
      auto To = hostWithRole(Sender.AdoptedVersion, Shard, Role);
      if (!To || *To == Number)
        continue;
      Message Item{Message::Kind::Transfer};
      Item.ViewVersion = Sender.AdoptedVersion;
      Item.From = Number;
      Item.To = *To;
      Item.Transfer = Sender.Registry->exportShard(Shard, Now);
      send(Item);
    }
}

auto KeyRegistryModel::send(Message Item) -> void {
  Item.ToIncarnation = Hosts[Item.To].Incarnation;
  Messages.push_back(std::move(Item));
}

auto KeyRegistryModel::startClaim(std::uint32_t Choice) -> void {
  std::size_t Number = selectIndex(Choice, 4, HostCount);
  Host &Holder = Hosts[Number];
  if (Holder.AdoptedVersion == 0)
    return;
  ClaimState State;
  State.HolderNumber = Number;
  State.HolderIncarnation = Holder.Incarnation;
  State.Claim.Account = AccountName;
  State.Claim.Key = Keys[selectIndex(Choice, 8, KeyCount)];
  State.Claim.Shard = KeyRegistry::shardOf(AccountName, State.Claim.Key);
  State.Claim.ClaimId = "claim-" + std::to_string(NextId++);
  State.Claim.HolderHost = std::to_string(Number);
  State.Claim.HolderIncarnation = Holder.Incarnation;
  Claims.push_back(State);
  sendClaim(Claims.back());
}

auto KeyRegistryModel::sendClaim(ClaimState &State) -> void {
  std::uint64_t Version = Hosts[State.HolderNumber].AdoptedVersion;
  auto To = hostWithRole(Version, State.Claim.Shard, ShardRole::Home);
  if (!To)
    return;
  Message Item{Message::Kind::Claim};
  Item.ViewVersion = Version;
  Item.From = State.HolderNumber;
  Item.To = *To;
  Item.Claim = State.Claim;
  Item.Claim.ViewVersion = Version;
  send(Item);
}

auto KeyRegistryModel::repeatClaim(std::uint32_t Choice) -> void {
  if (Claims.empty())
    return;
  ClaimState &State = Claims[selectIndex(Choice, 4, Claims.size())];
  if (State.HolderIncarnation != Hosts[State.HolderNumber].Incarnation ||
      State.Released || State.Done)
    return;
  sendClaim(State);
}

auto KeyRegistryModel::endClaim(std::uint32_t Choice) -> void {
  if (Claims.empty())
    return;
  ClaimState &State = Claims[selectIndex(Choice, 4, Claims.size())];
  if (State.HolderIncarnation != Hosts[State.HolderNumber].Incarnation)
    return;
  // A repeated report repeats the first decision of the holder.
  if (!State.Released && !State.Done) {
    bool Run = State.EverGranted && selectIndex(Choice, 20, 2) == 0;
    (Run ? State.Done : State.Released) = true;
  }
  std::uint64_t Version = Hosts[State.HolderNumber].AdoptedVersion;
  auto To = hostWithRole(Version, State.Claim.Shard, ShardRole::Home);
  if (!To)
    return;
  Message Item{Message::Kind::Report};
  Item.ViewVersion = Version;
  Item.From = State.HolderNumber;
  Item.To = *To;
  Item.Report = {Version,
                 State.Claim.Shard,
                 AccountName,
                 State.Claim.Key,
                 State.Claim.ClaimId,
                 State.Released,
                 "answer of " + State.Claim.ClaimId};
  send(Item);
}

auto KeyRegistryModel::sendToBackup(std::size_t Home, std::uint64_t Version,
                                    const KeyRecord &Record) -> void {
  auto To = hostWithRole(Version, Record.Shard, ShardRole::Backup);
  if (!To)
    return;
  Message Item{Message::Kind::Replicate};
  Item.ViewVersion = Version;
  Item.From = Home;
  Item.To = *To;
  Item.Record = Record;
  send(Item);
}

auto KeyRegistryModel::recordGrant(std::size_t Home, const KeyRecord &Record)
    -> void {
  // A paused former home may grant a claim again after its holder released it
  // in a newer view. The holder knows that the claim ended and does not
  // dispatch the request.
  for (const ClaimState &State : Claims)
    if (State.Claim.ClaimId == Record.ClaimId && State.Released) {
      ++IgnoredGrantCount;
      return;
    }
  ++GrantCount;
  for (ClaimState &State : Claims) {
    if (State.Claim.Key != Record.Key)
      continue;
    if (State.Claim.ClaimId == Record.ClaimId) {
      State.EverGranted = true;
      continue;
    }
    if (State.EverGranted && !State.Released && FirstViolation.empty())
      FirstViolation = Record.Key + " granted to " + Record.ClaimId + " and " +
                       State.Claim.ClaimId;
  }
  std::uint64_t Version = Hosts[Home].AdoptedVersion;
  auto Backup = hostWithRole(Version, Record.Shard, ShardRole::Backup);
  // A backup that restarted after its acknowledgement has lost the record,
  // which is no violation.
  if (!Backup || Hosts[*Backup].AdoptedVersion != Version)
    return;
  auto BackupRecord =
      Hosts[*Backup].Registry->findRecord(AccountName, Record.Key, Now);
  bool BackupHasRecord =
      BackupRecord && (BackupRecord->ClaimId == Record.ClaimId ||
                       BackupRecord->Version > Record.Version);
  if (!BackupHasRecord && FirstViolation.empty())
    FirstViolation = Record.ClaimId + " granted without a copy at the backup";
}

auto KeyRegistryModel::deliverRandomMessage(std::uint32_t Choice) -> void {
  if (Messages.empty())
    return;
  // Prefers recent messages; otherwise most steps would deliver old messages,
  // which are refused.
  std::size_t Count = Messages.size();
  std::size_t Window =
      selectIndex(Choice, 4, 4) == 0 ? Count : std::min<std::size_t>(Count, 4);
  std::size_t Index = Count - 1 - selectIndex(Choice, 8, Window);
  Message Item = Messages[Index];
  std::uint32_t DeliveryMode = selectIndex(Choice, 24, 8);
  if (DeliveryMode != 0)
    Messages.erase(Messages.begin() + static_cast<std::ptrdiff_t>(Index));
  if (DeliveryMode != 1 && Item.ToIncarnation == Hosts[Item.To].Incarnation)
    handleMessage(Item);
}

auto KeyRegistryModel::handleMessage(const Message &Item) -> void {
  Host &Target = Hosts[Item.To];
  KeyRegistry &Registry = *Target.Registry;
  std::uint64_t Version = Fault == InjectedFault::IgnoreViewVersion
                              ? Registry.viewVersion()
                              : Item.ViewVersion;
  switch (Item.Type) {
  case Message::Kind::Claim: {
    KeyClaim Claim = Item.Claim;
    Claim.ViewVersion = Version;
    ClaimDecision Decision = Registry.claim(Claim, Now);
    if (const auto *Needed = std::get_if<ReplicationNeeded>(&Decision)) {
      sendToBackup(Item.To, Target.AdoptedVersion, Needed->Record);
      if (Fault == InjectedFault::GrantBeforeAcknowledgement)
        recordGrant(Item.To, Needed->Record);
    }
    if (const auto *Grant = std::get_if<ClaimGranted>(&Decision))
      recordGrant(Item.To, Grant->Record);
    return;
  }
  case Message::Kind::Replicate: {
    ReplicaStoreResult Answer =
        Registry.storeReplica(Version, Item.Record, Now);
    Message Reply = Item;
    std::swap(Reply.From, Reply.To);
    Reply.Type = Message::Kind::Acknowledge;
    if (Answer == ReplicaStoreResult::Stored)
      send(Reply);
    return;
  }
  case Message::Kind::Acknowledge: {
    auto Decision = Registry.confirmReplication(Version, Item.Record, Now);
    if (const auto *Grant = std::get_if<ReplicationGrantsClaim>(&Decision))
      recordGrant(Item.To, Grant->Record);
    return;
  }
  case Message::Kind::Report: {
    OutcomeReport Report = Item.Report;
    Report.ViewVersion = Version;
    auto Decision = Registry.reportOutcome(Report, Now);
    if (const auto *Recorded = std::get_if<ReportRecorded>(&Decision))
      sendToBackup(Item.To, Target.AdoptedVersion, Recorded->Record);
    return;
  }
  case Message::Kind::Transfer:
    ShardExport Transfer = Item.Transfer;
    Transfer.ViewVersion = Version;
    Registry.importShard(Transfer, Now);
    return;
  }
}

auto KeyRegistryModel::executeStep(std::uint32_t Choice) -> void {
  // All steps together take far less than the retention time, so that no record
  // expires.
  Now += Milliseconds(1);
  std::uint32_t Kind = Choice % 32;
  std::uint32_t Rest = Choice / 32;
  if (Kind < 18)
    deliverRandomMessage(Rest);
  else if (Kind < 22)
    startClaim(Rest);
  else if (Kind < 24)
    repeatClaim(Rest);
  else if (Kind < 26)
    endClaim(Rest);
  else if (Kind < 29)
    adoptNextView(selectIndex(Rest, 4, HostCount),
                  selectIndex(Rest, 8, 4) == 0);
  else if (Kind == 29)
    sendTransfers(selectIndex(Rest, 4, HostCount));
  else if (Kind == 30 && selectIndex(Rest, 12, 3) == 0)
    changeView(Rest);
  else if (Kind == 31 && selectIndex(Rest, 8, 8) == 0)
    restart(selectIndex(Rest, 4, HostCount));
}

} // namespace jayramp
