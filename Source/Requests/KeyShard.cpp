#include "Requests/KeyShard.h"

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

// Accounts and keys come from JSON strings; the length keeps pairs apart even
// if one of them contains the separator.
auto indexOf(std::string_view Account, std::string_view Key) -> std::string {
  std::string Index = std::to_string(Account.size());
  Index.append(":").append(Account).append(Key);
  return Index;
}

auto isEnded(const KeyRecord &Record) -> bool {
  return Record.State == KeyState::Released || Record.State == KeyState::Done;
}

// Old records are useful only while the changes of view that made them old go
// on; a start or a rolling restart of eight hosts takes less.
constexpr Milliseconds StaleRetention{30000};
// Bounds the memory and the messages; more views than the view row records.
constexpr std::size_t MostIdleViews = 64;

// A record from elsewhere may have been granted there.
auto asGranted(KeyRecord Record) -> KeyRecord {
  if (Record.State == KeyState::Tentative)
    Record.State = KeyState::Granted;
  return Record;
}

} // namespace

KeyShard::KeyShard(std::uint32_t Number, KeyRegistryLimits Limits,
                   std::shared_ptr<RegistryUsage> Usage)
    : Number(Number), Limits(Limits), Usage(std::move(Usage)),
      Others(std::make_shared<const std::set<std::string>>()) {}

auto KeyShard::refusal(std::uint64_t ViewVersion) const
    -> std::optional<ClaimDecision> {
  if (ViewVersion != View)
    return ClaimWrongView{View};
  if (Role != ShardRole::Home)
    return ClaimNotHome{};
  if (!Complete && !LostUntil)
    return ClaimRebalancing{};
  return std::nullopt;
}

auto KeyShard::nextVersion() -> RecordVersion { return {View, ++Sequence}; }

auto KeyShard::snapshot(const Held &Entry, TimePoint Now) const -> KeyRecord {
  KeyRecord Copy = Entry.Record;
  Copy.Age =
      std::max(Milliseconds(0),
               std::chrono::duration_cast<Milliseconds>(Now - Entry.ChangedAt));
  return Copy;
}

auto KeyShard::isFull() const -> bool {
  return Usage->Records.load() >= Limits.MaxRecords;
}

auto KeyShard::isLost(const KeyRecord &Record) const -> bool {
  return Live && Live->count(Record.HolderIncarnation) == 0;
}

auto KeyShard::put(const std::string &Index, KeyRecord Record,
                   TimePoint ChangedAt) -> Held & {
  auto [Position, Added] = Map.try_emplace(Index);
  if (Added)
    Usage->Records.fetch_add(1);
  Held &Entry = Position->second;
  std::string Outcome = std::move(Record.Outcome);
  Record.Outcome.clear();
  setOutcome(Entry, {});
  Entry.Record = std::move(Record);
  Entry.Record.Shard = Number;
  Entry.Record.Age = Milliseconds(0);
  Entry.ChangedAt = ChangedAt;
  Entry.ConfirmedView = 0;
  Entry.FromReport = false;
  Entry.Stale = false;
  setOutcome(Entry, std::move(Outcome));
  return Entry;
}

auto KeyShard::setOutcome(Held &Entry, std::string Outcome) -> void {
  Usage->OutcomeBytes.fetch_sub(Entry.Record.Outcome.size());
  Entry.Record.Outcome.clear();
  if (Usage->OutcomeBytes.fetch_add(Outcome.size()) + Outcome.size() >
      Limits.MaxOutcomeBytes) {
    Usage->OutcomeBytes.fetch_sub(Outcome.size());
    Entry.Record.IsOutcomeUnknown =
        Entry.Record.IsOutcomeUnknown || !Outcome.empty();
    return;
  }
  Entry.Record.Outcome = std::move(Outcome);
}

auto KeyShard::erase(Records::iterator Position) -> Records::iterator {
  setOutcome(Position->second, {});
  Usage->Records.fetch_sub(1);
  return Map.erase(Position);
}

auto KeyShard::createRecord(const KeyClaim &Claim, KeyState State,
                            TimePoint Now) -> ClaimDecision {
  std::string Index = indexOf(Claim.Account, Claim.Key);
  if (isFull() && Map.count(Index) == 0)
    return ClaimRegistryFull{};
  KeyRecord Record;
  Record.Account = Claim.Account;
  Record.Key = Claim.Key;
  Record.State = State;
  Record.ClaimId = Claim.ClaimId;
  Record.HolderHost = Claim.HolderHost;
  Record.HolderIncarnation = Claim.HolderIncarnation;
  Record.Version = nextVersion();
  return ReplicationNeeded{snapshot(put(Index, std::move(Record), Now), Now)};
}

auto KeyShard::claim(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision {
  if (auto Refused = refusal(Claim.ViewVersion))
    return *Refused;
  Touched = true;
  auto Position = Map.find(indexOf(Claim.Account, Claim.Key));
  bool Found = Position != Map.end();
  const Held *Entry = Found ? &Position->second : nullptr;
  bool Same = Found && Entry->Record.ClaimId == Claim.ClaimId &&
              Entry->Record.HolderIncarnation == Claim.HolderIncarnation;
  if (Found && Entry->Record.State == KeyState::Done)
    return ClaimDone{snapshot(*Entry, Now)};
  if (Found && !isEnded(Entry->Record) && !Same)
    return ClaimInProgress{snapshot(*Entry, Now)};
  if (LostUntil)
    return ClaimHistoryLost{*LostUntil};
  if (!Found)
    return createRecord(Claim, KeyState::Tentative, Now);
  if (Entry->Record.State == KeyState::Released) {
    if (Entry->Record.ClaimId == Claim.ClaimId)
      return ClaimReleased{};
    return createRecord(Claim, KeyState::Tentative, Now);
  }
  if (Entry->Record.State == KeyState::Granted && Entry->ConfirmedView == View)
    return ClaimGranted{snapshot(*Entry, Now)};
  return ReplicationNeeded{snapshot(*Entry, Now)};
}

auto KeyShard::query(std::uint64_t ViewVersion, std::string_view Account,
                     std::string_view Key, TimePoint Now) const
    -> std::optional<ClaimDecision> {
  if (auto Refused = refusal(ViewVersion))
    return Refused;
  auto Position = Map.find(indexOf(Account, Key));
  if (Position != Map.end()) {
    const Held &Entry = Position->second;
    if (Entry.Record.State == KeyState::Done)
      return ClaimDone{snapshot(Entry, Now)};
    if (!isEnded(Entry.Record))
      return ClaimInProgress{snapshot(Entry, Now)};
  }
  if (LostUntil)
    return ClaimHistoryLost{*LostUntil};
  return std::nullopt;
}

auto KeyShard::reassert(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision {
  if (auto Refused = refusal(Claim.ViewVersion))
    return *Refused;
  Touched = true;
  auto Position = Map.find(indexOf(Claim.Account, Claim.Key));
  if (Position == Map.end())
    return createRecord(Claim, KeyState::Granted, Now);
  Held &Entry = Position->second;
  bool Same = Entry.Record.ClaimId == Claim.ClaimId &&
              Entry.Record.HolderIncarnation == Claim.HolderIncarnation;
  if (Entry.Record.State == KeyState::Done)
    return ClaimDone{snapshot(Entry, Now)};
  if (Entry.Record.State == KeyState::Released)
    return Entry.Record.ClaimId == Claim.ClaimId
               ? ClaimDecision(ClaimReleased{})
               : createRecord(Claim, KeyState::Granted, Now);
  if (!Same)
    return ClaimInProgress{snapshot(Entry, Now)};
  if (Entry.Record.State == KeyState::Granted && Entry.ConfirmedView == View)
    return ClaimGranted{snapshot(Entry, Now)};
  Entry.Record.State = KeyState::Granted;
  return ReplicationNeeded{snapshot(Entry, Now)};
}

auto KeyShard::confirmReplication(std::uint64_t ViewVersion,
                                  const KeyRecord &Sent)
    -> ReplicationDecision {
  if (ViewVersion != View || Role != ShardRole::Home)
    return ReplicationAcknowledgementStale{};
  Touched = true;
  auto Position = Map.find(indexOf(Sent.Account, Sent.Key));
  if (Position == Map.end())
    return ReplicationAcknowledgementStale{};
  Held &Entry = Position->second;
  if (Entry.Record.Version != Sent.Version ||
      Entry.Record.ClaimId != Sent.ClaimId)
    return ReplicationAcknowledgementStale{};
  if (isEnded(Entry.Record)) {
    // The state changes without a new version only when the holder is lost.
    if (Sent.State != Entry.Record.State)
      return ReplicationAcknowledgementStale{};
    Entry.ConfirmedView = View;
    return ReplicationConfirmsOutcome{Entry.Record};
  }
  Entry.Record.State = KeyState::Granted;
  Entry.ConfirmedView = View;
  return ReplicationGrantsClaim{Entry.Record};
}

auto KeyShard::failReplication(std::uint64_t ViewVersion,
                               const KeyRecord &Sent) const -> bool {
  if (ViewVersion != View || Role != ShardRole::Home)
    return false;
  auto Position = Map.find(indexOf(Sent.Account, Sent.Key));
  return Position != Map.end() &&
         Position->second.Record.Version == Sent.Version &&
         Position->second.Record.State == KeyState::Tentative;
}

auto KeyShard::merge(const KeyRecord &Incoming, TimePoint Now) -> bool {
  Sequence = std::max(Sequence, Incoming.Version.Sequence);
  KeyRecord Record = asGranted(Incoming);
  std::string Index = indexOf(Record.Account, Record.Key);
  auto Position = Map.find(Index);
  if (Position != Map.end()) {
    const KeyRecord &Own = Position->second.Record;
    if (Own.Version > Record.Version ||
        (Own.Version == Record.Version && Own.State > Record.State)) {
      Position->second.Stale = false;
      return false;
    }
    Position->second.Stale = false;
    if (Own.Version == Record.Version && Own.State == Record.State)
      return true;
  }
  bool SameVersion = Position != Map.end() &&
                     Position->second.Record.Version == Record.Version;
  std::uint64_t Confirmed = SameVersion ? Position->second.ConfirmedView : 0;
  Held &Entry = put(Index, std::move(Record), Now - Incoming.Age);
  Entry.ConfirmedView = Confirmed;
  if (Entry.Record.State == KeyState::Granted && isLost(Entry.Record)) {
    Entry.Record.State = KeyState::Done;
    Entry.Record.IsOutcomeUnknown = true;
    Entry.ChangedAt = Now;
  }
  return true;
}

auto KeyShard::storeReplica(std::uint64_t ViewVersion, const KeyRecord &Record,
                            TimePoint Now) -> ReplicaStoreResult {
  if (ViewVersion != View)
    return ReplicaStoreResult::WrongView;
  if (Role != ShardRole::Backup)
    return ReplicaStoreResult::NotBackup;
  Touched = true;
  if (isFull() && Map.count(indexOf(Record.Account, Record.Key)) == 0)
    return ReplicaStoreResult::RegistryFull;
  return merge(Record, Now) ? ReplicaStoreResult::Stored
                            : ReplicaStoreResult::HasNewerWrite;
}

auto KeyShard::reportOutcome(const OutcomeReport &Report, TimePoint Now)
    -> ReportDecision {
  if (Report.ViewVersion != View || Role != ShardRole::Home)
    return ReportWrongView{View};
  if (!Complete && (!LostUntil || Report.Released))
    // A release gets a new version. Without the history that version could
    // replace the record of a later claim, which a transfer brings afterwards.
    return ReportShardNotReady{};
  Touched = true;
  std::string Index = indexOf(Report.Account, Report.Key);
  auto Position = Map.find(Index);
  KeyState Target = Report.Released ? KeyState::Released : KeyState::Done;
  KeyRecord Record;
  if (Position == Map.end()) {
    // With a lost history the outcome is all that is known of the key. A
    // release can overtake its own claim, which must then not be granted.
    if (!LostUntil && (!Report.Released || isFull()))
      return ReportClaimMismatch{};
    Record.Account = Report.Account;
    Record.Key = Report.Key;
    Record.ClaimId = Report.ClaimId;
  } else {
    const Held &Entry = Position->second;
    if (Entry.Record.ClaimId != Report.ClaimId)
      return ReportClaimMismatch{};
    if (isEnded(Entry.Record)) {
      bool LostHolder = Entry.Record.IsOutcomeUnknown && !Entry.FromReport;
      if (LostHolder || Entry.Record.State != Target)
        return ReportTooLate{};
      if (Entry.ConfirmedView != View)
        return ReportRecorded{snapshot(Entry, Now)};
      return ReportDuplicate{};
    }
    Record = Entry.Record;
  }
  Record.State = Target;
  Record.IsOutcomeUnknown = false;
  Record.Outcome = Report.Released ? std::string() : Report.Outcome;
  Record.Version = nextVersion();
  Held &Entry = put(Index, std::move(Record), Now);
  Entry.FromReport = true;
  return ReportRecorded{snapshot(Entry, Now)};
}

auto KeyShard::endClaimsOfLostHolders(const Incarnations &NewLive,
                                      TimePoint Now) -> std::vector<KeyRecord> {
  Live = NewLive;
  std::vector<KeyRecord> Changed;
  for (auto &[Index, Entry] : Map) {
    if (isEnded(Entry.Record) || !isLost(Entry.Record))
      continue;
    if (Entry.Record.State == KeyState::Tentative) {
      // This home never granted it, so it did not run. The new version
      // replaces the copy that the backup may hold.
      Entry.Record.State = KeyState::Released;
      Entry.Record.Version = nextVersion();
    } else {
      Entry.Record.State = KeyState::Done;
      Entry.Record.IsOutcomeUnknown = true;
    }
    Entry.ChangedAt = Now;
    Entry.ConfirmedView = 0;
    if (Role == ShardRole::Home)
      Changed.push_back(snapshot(Entry, Now));
  }
  return Changed;
}

auto KeyShard::adoptView(std::uint64_t ViewVersion, ShardRole NewRole,
                         const Incarnations &NewOthers, bool IsFirstView,
                         TimePoint Now) -> void {
  bool First = View == 0;
  bool Consecutive = !First && ViewVersion == View + 1;
  bool StaysHome =
      Consecutive && Role == ShardRole::Home && NewRole == ShardRole::Home;
  bool WasNeither = Role == ShardRole::None;
  if (First)
    KnownThroughView = IsFirstView ? ViewVersion - 1 : 0;
  else
    leaveView();
  View = ViewVersion;
  Complete = reachesView();
  if (WasNeither && !Complete)
    for (auto &[Index, Entry] : Map)
      Entry.Stale = true;
  if (!StaysHome) {
    LostUntil.reset();
    // Another home may have granted them from the backup's copy.
    for (auto &[Index, Entry] : Map)
      Entry.Record = asGranted(std::move(Entry.Record));
  }
  Role = NewRole;
  Touched = false;
  AdoptedAt = Now;
  Others = NewOthers;
  // Holders that joined with this view are unknown until
  // endClaimsOfLostHolders().
  Live.reset();
  BecameComplete = false;
  IncompleteFrom.clear();
  decideHistory(Now);
}

auto KeyShard::leaveView() -> void {
  // A change in a view needs both its home and its backup. A host that was one
  // of them missed none; any other host may have missed some.
  bool TookPart = Role != ShardRole::None;
  if (Complete)
    KnownThroughView = TookPart ? View : View - 1;
  if (TookPart && !Touched)
    IdleViews.insert(View);
  while (IdleViews.size() > MostIdleViews)
    IdleViews.erase(IdleViews.begin());
}

auto KeyShard::reachesView() const -> bool {
  for (std::uint64_t Earlier = KnownThroughView + 1; Earlier < View; ++Earlier)
    if (IdleViews.count(Earlier) == 0)
      return false;
  return true;
}

auto KeyShard::eraseStale() -> void {
  for (auto Position = Map.begin(); Position != Map.end();)
    Position = Position->second.Stale ? erase(Position) : std::next(Position);
}

auto KeyShard::decideHistory(TimePoint Now) -> void {
  if (Role != ShardRole::Home || Complete || LostUntil)
    return;
  if (std::includes(IncompleteFrom.begin(), IncompleteFrom.end(),
                    Others->begin(), Others->end()))
    LostUntil = Now + Limits.Retention;
}

auto KeyShard::exportShard(const std::string &Sender, TimePoint Now) const
    -> ShardExport {
  ShardExport Transfer;
  Transfer.ViewVersion = View;
  Transfer.Shard = Number;
  Transfer.SenderIncarnation = Sender;
  Transfer.Complete = Complete;
  Transfer.Incomplete = !Complete;
  Transfer.KnownThroughView = Complete ? View - 1 : KnownThroughView;
  if (!Complete)
    Transfer.IdleViews = IdleViews;
  for (const auto &[Index, Entry] : Map)
    Transfer.Records.push_back(snapshot(Entry, Now));
  return Transfer;
}

auto KeyShard::importShard(const ShardExport &Transfer, TimePoint Now) -> bool {
  if (Transfer.ViewVersion != View || Role == ShardRole::None)
    return false;
  std::uint64_t Theirs = Transfer.Complete
                             ? View - 1
                             : std::min(Transfer.KnownThroughView, View - 1);
  // An older history than this one could bring back what has ended since.
  if (Theirs >= (Complete ? View - 1 : KnownThroughView))
    for (const KeyRecord &Record : Transfer.Records)
      merge(Record, Now);
  if (!Complete && (Transfer.Complete || Transfer.Incomplete)) {
    if (Theirs > KnownThroughView) {
      KnownThroughView = Theirs;
      eraseStale();
    }
    IdleViews.insert(Transfer.IdleViews.begin(), Transfer.IdleViews.end());
    if (reachesView()) {
      BecameComplete = BecameComplete || Role == ShardRole::Home;
      Complete = true;
      LostUntil.reset();
    }
  }
  if (Transfer.Incomplete)
    IncompleteFrom.insert(Transfer.SenderIncarnation);
  decideHistory(Now);
  return true;
}

auto KeyShard::evictExpired(TimePoint Now) -> bool {
  for (auto Position = Map.begin(); Position != Map.end();) {
    bool Expired = isEnded(Position->second.Record) &&
                   Now - Position->second.ChangedAt > Limits.Retention;
    Position = Expired ? erase(Position) : std::next(Position);
  }
  if (Role == ShardRole::None && !Complete &&
      Now - AdoptedAt > StaleRetention) {
    eraseStale();
    if (Map.empty())
      KnownThroughView = 0;
  }
  if (LostUntil && Now >= *LostUntil) {
    LostUntil.reset();
    Complete = true;
    BecameComplete = true;
    eraseStale();
  }
  return std::exchange(BecameComplete, false);
}

auto KeyShard::findRecord(std::string_view Account, std::string_view Key,
                          TimePoint Now) const -> std::optional<KeyRecord> {
  auto Position = Map.find(indexOf(Account, Key));
  if (Position == Map.end())
    return std::nullopt;
  return snapshot(Position->second, Now);
}

} // namespace jayramp
