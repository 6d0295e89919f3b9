#include "KeyRegistryModel.h"

namespace jayramp {

namespace {

constexpr const char *AccountName = "acme";

auto part(std::uint32_t Choice, std::uint32_t Shift, std::size_t Count)
    -> std::size_t {
  return (Choice >> Shift) % Count;
}

} // namespace

KeyRegistryModel::KeyRegistryModel(Naive Fault)
    : Fault(Fault), Now(TimePoint() + std::chrono::hours(1)) {
  for (std::size_t Number = 0; Number < KeyCount; ++Number)
    Keys.push_back("key-" + std::to_string(Number));
  Hosts.resize(HostCount);
  View First;
  for (std::size_t Number = 0; Number < HostCount; ++Number) {
    restart(Number);
    // One host joins later, so that complete shards move.
    if (Number + 1 < HostCount)
      First.Members[Number] = Hosts[Number].Incarnation;
  }
  Views.push_back(First);
  for (std::size_t Number = 0; Number < HostCount; ++Number)
    adopt(Number, false);
}

auto KeyRegistryModel::restart(std::size_t Number) -> void {
  Host &Target = Hosts[Number];
  // A full registry costs 256 shards each time; the model needs few of them.
  Target.Registry =
      std::make_unique<KeyRegistry>(KeyRegistry::make({}).value());
  Target.Incarnation = std::to_string(Number) + "-" + std::to_string(NextId++);
  Target.Adopted = 0;
}

auto KeyRegistryModel::roleIn(std::uint64_t Version, std::uint32_t Shard,
                              std::size_t Number) const -> ShardRole {
  // Any deterministic function of the members will do; like rendezvous
  // hashing, this one ranks the members by a hash.
  const View &Known = Views[Version - 1];
  auto Score = [&](std::size_t Member) {
    std::uint64_t Hash = (Shard * 977U + Member * 131U + 7U) * 2654435761ULL;
    return (Hash >> 7U) % 1009U * HostCount + Member;
  };
  auto Own = Known.Members.find(Number);
  if (Own == Known.Members.end() || Own->second != Hosts[Number].Incarnation)
    return ShardRole::None;
  std::size_t Better = 0;
  for (const auto &[Member, Incarnation] : Known.Members)
    if (Score(Member) > Score(Number))
      ++Better;
  if (Better == 0)
    return ShardRole::Home;
  return Better == 1 ? ShardRole::Backup : ShardRole::None;
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
  std::size_t Number = part(Choice, 4, HostCount);
  auto Position = Next.Members.find(Number);
  bool Current = Position != Next.Members.end() &&
                 Position->second == Hosts[Number].Incarnation;
  if (Current && Next.Members.size() > 2)
    Next.Members.erase(Position);
  else
    Next.Members[Number] = Hosts[Number].Incarnation;
  if (Next.Members == Views.back().Members)
    return;
  Views.push_back(Next);
}

auto KeyRegistryModel::adopt(std::size_t Number, bool SkipOne) -> void {
  Host &Target = Hosts[Number];
  if (Target.Adopted >= Views.size())
    return;
  std::uint64_t Version = Target.Adopted + 1;
  // A new incarnation reads the current view, or adopts recorded ones first.
  if (Target.Adopted == 0 && Views.size() > 1 && !SkipOne)
    Version = Views.size();
  else if (SkipOne && Version < Views.size())
    ++Version;
  const View &Known = Views[Version - 1];
  auto Own = Known.Members.find(Number);
  bool Member = Own != Known.Members.end() && Own->second == Target.Incarnation;
  if (!Member && Target.Adopted == 0)
    return;
  ShardRoles Roles;
  Roles.ViewVersion = Version;
  Roles.OwnIncarnation = Target.Incarnation;
  Roles.IsFirstView = Version == 1;
  for (const auto &[Member, Incarnation] : Known.Members)
    Roles.Members.insert(Incarnation);
  for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
    Roles.Roles[Shard] = roleIn(Version, Shard, Number);
  if (Fault == Naive::KeepCompleteOverSkipped && Version > Target.Adopted + 1 &&
      Target.Adopted > 0) {
    // Pretends to have been home throughout the skipped view.
    ShardRoles Skipped = Roles;
    Skipped.ViewVersion = Version - 1;
    Skipped.Roles.fill(ShardRole::Home);
    Target.Registry->adoptView(Skipped, Now);
  }
  Target.Registry->adoptView(Roles, Now);
  Target.Registry->endClaimsOfLostHolders(Roles.Members, Now);
  Target.Adopted = Version;
  sendTransfers(Number);
}

auto KeyRegistryModel::sendTransfers(std::size_t Number) -> void {
  Host &Sender = Hosts[Number];
  if (Sender.Adopted == 0)
    return;
  std::set<std::uint32_t> Shards;
  for (const std::string &Key : Keys)
    Shards.insert(KeyRegistry::shardOf(AccountName, Key));
  for (std::uint32_t Shard : Shards)
    for (ShardRole Role : {ShardRole::Home, ShardRole::Backup}) {
      auto To = hostWithRole(Sender.Adopted, Shard, Role);
      if (!To || *To == Number)
        continue;
      Message Item{Message::Kind::Transfer};
      Item.ViewVersion = Sender.Adopted;
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

auto KeyRegistryModel::newClaim(std::uint32_t Choice) -> void {
  std::size_t Number = part(Choice, 4, HostCount);
  Host &Holder = Hosts[Number];
  if (Holder.Adopted == 0)
    return;
  ClaimState State;
  State.Holder = Number;
  State.HolderIncarnation = Holder.Incarnation;
  State.Claim.Account = AccountName;
  State.Claim.Key = Keys[part(Choice, 8, KeyCount)];
  State.Claim.Shard = KeyRegistry::shardOf(AccountName, State.Claim.Key);
  State.Claim.ClaimId = "claim-" + std::to_string(NextId++);
  State.Claim.HolderHost = std::to_string(Number);
  State.Claim.HolderIncarnation = Holder.Incarnation;
  Claims.push_back(State);
  sendClaim(Claims.back());
}

auto KeyRegistryModel::sendClaim(ClaimState &State) -> void {
  std::uint64_t Version = Hosts[State.Holder].Adopted;
  auto To = hostWithRole(Version, State.Claim.Shard, ShardRole::Home);
  if (!To)
    return;
  Message Item{Message::Kind::Claim};
  Item.ViewVersion = Version;
  Item.From = State.Holder;
  Item.To = *To;
  Item.Claim = State.Claim;
  Item.Claim.ViewVersion = Version;
  send(Item);
}

auto KeyRegistryModel::repeatClaim(std::uint32_t Choice) -> void {
  if (Claims.empty())
    return;
  ClaimState &State = Claims[part(Choice, 4, Claims.size())];
  if (State.HolderIncarnation != Hosts[State.Holder].Incarnation ||
      State.Released || State.Done)
    return;
  sendClaim(State);
}

auto KeyRegistryModel::endClaim(std::uint32_t Choice) -> void {
  if (Claims.empty())
    return;
  ClaimState &State = Claims[part(Choice, 4, Claims.size())];
  if (State.HolderIncarnation != Hosts[State.Holder].Incarnation)
    return;
  // The report repeats the first decision of the holder.
  if (!State.Released && !State.Done) {
    bool Run = State.EverGranted && part(Choice, 20, 2) == 0;
    (Run ? State.Done : State.Released) = true;
  }
  std::uint64_t Version = Hosts[State.Holder].Adopted;
  auto To = hostWithRole(Version, State.Claim.Shard, ShardRole::Home);
  if (!To)
    return;
  Message Item{Message::Kind::Report};
  Item.ViewVersion = Version;
  Item.From = State.Holder;
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

auto KeyRegistryModel::replicate(std::size_t Home, std::uint64_t Version,
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

auto KeyRegistryModel::granted(std::size_t Home, const KeyRecord &Record)
    -> void {
  // A paused old home may grant a claim again after its holder released it in
  // a newer view. The holder knows that the claim ended and does not dispatch.
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
    if (State.EverGranted && !State.Released && Violation.empty())
      Violation = Record.Key + " granted to " + Record.ClaimId + " and " +
                  State.Claim.ClaimId;
  }
  std::uint64_t Version = Hosts[Home].Adopted;
  auto Backup = hostWithRole(Version, Record.Shard, ShardRole::Backup);
  // A backup that restarted since its acknowledgement has lost the record.
  if (!Backup || Hosts[*Backup].Adopted != Version)
    return;
  auto Copy = Hosts[*Backup].Registry->findRecord(AccountName, Record.Key, Now);
  bool Holds = Copy && (Copy->ClaimId == Record.ClaimId ||
                        Copy->Version > Record.Version);
  if (!Holds && Violation.empty())
    Violation = Record.ClaimId + " granted without a copy at the backup";
}

auto KeyRegistryModel::deliver(std::uint32_t Choice) -> void {
  if (Messages.empty())
    return;
  // Recent messages are preferred; otherwise most steps would deliver old
  // ones, which are refused.
  std::size_t Count = Messages.size();
  std::size_t Window =
      part(Choice, 4, 4) == 0 ? Count : std::min<std::size_t>(Count, 4);
  std::size_t Index = Count - 1 - part(Choice, 8, Window);
  Message Item = Messages[Index];
  std::uint32_t Fate = part(Choice, 24, 8);
  if (Fate != 0)
    Messages.erase(Messages.begin() + static_cast<std::ptrdiff_t>(Index));
  if (Fate != 1 && Item.ToIncarnation == Hosts[Item.To].Incarnation)
    deliverOne(Item);
}

auto KeyRegistryModel::deliverOne(const Message &Item) -> void {
  Host &Target = Hosts[Item.To];
  KeyRegistry &Registry = *Target.Registry;
  std::uint64_t Version = Fault == Naive::IgnoreViewVersion
                              ? Registry.viewVersion()
                              : Item.ViewVersion;
  switch (Item.Type) {
  case Message::Kind::Claim: {
    KeyClaim Claim = Item.Claim;
    Claim.ViewVersion = Version;
    ClaimDecision Decision = Registry.claim(Claim, Now);
    if (const auto *Needed = std::get_if<ReplicationNeeded>(&Decision)) {
      replicate(Item.To, Target.Adopted, Needed->Record);
      if (Fault == Naive::GrantBeforeAcknowledgement)
        granted(Item.To, Needed->Record);
    }
    if (const auto *Grant = std::get_if<ClaimGranted>(&Decision))
      granted(Item.To, Grant->Record);
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
      granted(Item.To, Grant->Record);
    return;
  }
  case Message::Kind::Report: {
    OutcomeReport Report = Item.Report;
    Report.ViewVersion = Version;
    auto Decision = Registry.reportOutcome(Report, Now);
    if (const auto *Recorded = std::get_if<ReportRecorded>(&Decision))
      replicate(Item.To, Target.Adopted, Recorded->Record);
    return;
  }
  case Message::Kind::Transfer:
    ShardExport Transfer = Item.Transfer;
    Transfer.ViewVersion = Version;
    Registry.importShard(Transfer, Now);
    return;
  }
}

auto KeyRegistryModel::step(std::uint32_t Choice) -> void {
  // Well below the retention time in all, so that no history expires.
  Now += Milliseconds(1);
  std::uint32_t Kind = Choice % 32;
  std::uint32_t Rest = Choice / 32;
  if (Kind < 18)
    deliver(Rest);
  else if (Kind < 22)
    newClaim(Rest);
  else if (Kind < 24)
    repeatClaim(Rest);
  else if (Kind < 26)
    endClaim(Rest);
  else if (Kind < 29)
    adopt(part(Rest, 4, HostCount), part(Rest, 8, 4) == 0);
  else if (Kind == 29)
    sendTransfers(part(Rest, 4, HostCount));
  else if (Kind == 30 && part(Rest, 12, 3) == 0)
    changeView(Rest);
  else if (Kind == 31 && part(Rest, 8, 8) == 0)
    restart(part(Rest, 4, HostCount));
}

} // namespace jayramp
