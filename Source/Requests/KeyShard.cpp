#include "Requests/KeyShard.h"

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

// Returns a map key that is unique for the pair of account and key. Both come
// from JSON strings and may contain any character, so the length of the account
// marks where the key begins.
auto mapKey(std::string_view Account, std::string_view Key) -> std::string {
  std::string MapKey = std::to_string(Account.size());
  MapKey.append(":").append(Account).append(Key);
  return MapKey;
}

auto isEnded(const KeyRecord &Record) -> bool {
  return Record.State == KeyState::Released || Record.State == KeyState::Done;
}

// Time for which a host without a role in a shard keeps its old records. They
// are useful only during a series of view changes; a start or a rolling restart
// of eight hosts takes less time.
constexpr Milliseconds StaleRecordRetention{30000};
// Limits memory and message size. It exceeds the number of earlier views that
// the view row in the table service records.
constexpr std::size_t MaxIdleViews = 64;

// Returns the record with state Granted instead of Tentative. Another host that
// held a tentative record may have granted it.
auto promoteTentative(KeyRecord Record) -> KeyRecord {
  if (Record.State == KeyState::Tentative)
    Record.State = KeyState::Granted;
  return Record;
}

} // namespace

KeyShard::KeyShard(std::uint32_t ShardNumber, KeyRegistryLimits Limits,
                   std::shared_ptr<RegistryUsage> Usage)
    : ShardNumber(ShardNumber), Limits(Limits), Usage(std::move(Usage)),
      OtherMembers(std::make_shared<const std::set<std::string>>()) {}

auto KeyShard::findRefusal(std::uint64_t ViewVersion) const
    -> std::optional<ClaimDecision> {
  if (ViewVersion != CurrentView)
    return ClaimWrongView{CurrentView};
  if (Role != ShardRole::Home)
    return ClaimNotHome{};
  if (!HistoryComplete && !HistoryLostUntil)
    return ClaimRebalancing{};
  return std::nullopt;
}

auto KeyShard::nextVersion() -> RecordVersion {
  return {CurrentView, ++LastSequence};
}

auto KeyShard::copyWithAge(const RecordEntry &Entry, TimePoint Now) const
    -> KeyRecord {
  KeyRecord Copy = Entry.Record;
  Copy.Age =
      std::max(Milliseconds(0),
               std::chrono::duration_cast<Milliseconds>(Now - Entry.ChangedAt));
  return Copy;
}

auto KeyShard::isRegistryFull() const -> bool {
  return Usage->Records.load() >= Limits.MaxRecords;
}

auto KeyShard::isHolderLost(const KeyRecord &Record) const -> bool {
  return LiveHolders && LiveHolders->count(Record.HolderIncarnation) == 0;
}

auto KeyShard::storeRecord(const std::string &MapKey, KeyRecord Record,
                           TimePoint ChangedAt) -> RecordEntry & {
  auto [Position, Added] = RecordsByKey.try_emplace(MapKey);
  if (Added)
    Usage->Records.fetch_add(1);
  RecordEntry &Entry = Position->second;
  std::string Outcome = std::move(Record.Outcome);
  Record.Outcome.clear();
  setOutcome(Entry, {});
  Entry.Record = std::move(Record);
  Entry.Record.Shard = ShardNumber;
  Entry.Record.Age = Milliseconds(0);
  Entry.ChangedAt = ChangedAt;
  Entry.BackupConfirmedView = 0;
  Entry.EndedByReport = false;
  Entry.FromEarlierRole = false;
  setOutcome(Entry, std::move(Outcome));
  return Entry;
}

auto KeyShard::setOutcome(RecordEntry &Entry, std::string Outcome) -> void {
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

auto KeyShard::eraseRecord(RecordMap::iterator Position)
    -> RecordMap::iterator {
  setOutcome(Position->second, {});
  Usage->Records.fetch_sub(1);
  return RecordsByKey.erase(Position);
}

auto KeyShard::createRecord(const KeyClaim &Claim, KeyState State,
                            TimePoint Now) -> ClaimDecision {
  std::string MapKey = mapKey(Claim.Account, Claim.Key);
  if (isRegistryFull() && RecordsByKey.count(MapKey) == 0)
    return ClaimRegistryFull{};
  KeyRecord Record;
  Record.Account = Claim.Account;
  Record.Key = Claim.Key;
  Record.State = State;
  Record.ClaimId = Claim.ClaimId;
  Record.HolderHost = Claim.HolderHost;
  Record.HolderIncarnation = Claim.HolderIncarnation;
  Record.Version = nextVersion();
  return ReplicationNeeded{
      copyWithAge(storeRecord(MapKey, std::move(Record), Now), Now)};
}

auto KeyShard::claim(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision {
  if (auto Refusal = findRefusal(Claim.ViewVersion))
    return *Refusal;
  MayHaveChanged = true;
  auto Position = RecordsByKey.find(mapKey(Claim.Account, Claim.Key));
  bool Found = Position != RecordsByKey.end();
  const RecordEntry *Entry = Found ? &Position->second : nullptr;
  bool SameClaim = Found && Entry->Record.ClaimId == Claim.ClaimId &&
                   Entry->Record.HolderIncarnation == Claim.HolderIncarnation;
  if (Found && Entry->Record.State == KeyState::Done)
    return ClaimDone{copyWithAge(*Entry, Now)};
  if (Found && !isEnded(Entry->Record) && !SameClaim)
    return ClaimInProgress{copyWithAge(*Entry, Now)};
  if (HistoryLostUntil)
    return ClaimHistoryLost{*HistoryLostUntil};
  if (!Found)
    return createRecord(Claim, KeyState::Tentative, Now);
  if (Entry->Record.State == KeyState::Released) {
    if (Entry->Record.ClaimId == Claim.ClaimId)
      return ClaimReleased{};
    return createRecord(Claim, KeyState::Tentative, Now);
  }
  if (Entry->Record.State == KeyState::Granted &&
      Entry->BackupConfirmedView == CurrentView)
    return ClaimGranted{copyWithAge(*Entry, Now)};
  return ReplicationNeeded{copyWithAge(*Entry, Now)};
}

auto KeyShard::query(std::uint64_t ViewVersion, std::string_view Account,
                     std::string_view Key, TimePoint Now) const
    -> std::optional<ClaimDecision> {
  if (auto Refusal = findRefusal(ViewVersion))
    return Refusal;
  auto Position = RecordsByKey.find(mapKey(Account, Key));
  if (Position != RecordsByKey.end()) {
    const RecordEntry &Entry = Position->second;
    if (Entry.Record.State == KeyState::Done)
      return ClaimDone{copyWithAge(Entry, Now)};
    if (!isEnded(Entry.Record))
      return ClaimInProgress{copyWithAge(Entry, Now)};
  }
  if (HistoryLostUntil)
    return ClaimHistoryLost{*HistoryLostUntil};
  return std::nullopt;
}

auto KeyShard::reassert(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision {
  if (auto Refusal = findRefusal(Claim.ViewVersion))
    return *Refusal;
  MayHaveChanged = true;
  auto Position = RecordsByKey.find(mapKey(Claim.Account, Claim.Key));
  if (Position == RecordsByKey.end())
    return createRecord(Claim, KeyState::Granted, Now);
  RecordEntry &Entry = Position->second;
  bool SameClaim = Entry.Record.ClaimId == Claim.ClaimId &&
                   Entry.Record.HolderIncarnation == Claim.HolderIncarnation;
  if (Entry.Record.State == KeyState::Done)
    return ClaimDone{copyWithAge(Entry, Now)};
  if (Entry.Record.State == KeyState::Released)
    return Entry.Record.ClaimId == Claim.ClaimId
               ? ClaimDecision(ClaimReleased{})
               : createRecord(Claim, KeyState::Granted, Now);
  if (!SameClaim)
    return ClaimInProgress{copyWithAge(Entry, Now)};
  if (Entry.Record.State == KeyState::Granted &&
      Entry.BackupConfirmedView == CurrentView)
    return ClaimGranted{copyWithAge(Entry, Now)};
  Entry.Record.State = KeyState::Granted;
  return ReplicationNeeded{copyWithAge(Entry, Now)};
}

auto KeyShard::confirmReplication(std::uint64_t ViewVersion,
                                  const KeyRecord &Sent)
    -> ReplicationDecision {
  if (ViewVersion != CurrentView || Role != ShardRole::Home)
    return ReplicationAcknowledgementStale{};
  MayHaveChanged = true;
  auto Position = RecordsByKey.find(mapKey(Sent.Account, Sent.Key));
  if (Position == RecordsByKey.end())
    return ReplicationAcknowledgementStale{};
  RecordEntry &Entry = Position->second;
  if (Entry.Record.Version != Sent.Version ||
      Entry.Record.ClaimId != Sent.ClaimId)
    return ReplicationAcknowledgementStale{};
  if (isEnded(Entry.Record)) {
    // The state changes without a new version only if the holder was lost after
    // the record was sent.
    if (Sent.State != Entry.Record.State)
      return ReplicationAcknowledgementStale{};
    Entry.BackupConfirmedView = CurrentView;
    return ReplicationConfirmsOutcome{Entry.Record};
  }
  Entry.Record.State = KeyState::Granted;
  Entry.BackupConfirmedView = CurrentView;
  return ReplicationGrantsClaim{Entry.Record};
}

auto KeyShard::handleReplicationFailure(std::uint64_t ViewVersion,
                                        const KeyRecord &Sent) const -> bool {
  if (ViewVersion != CurrentView || Role != ShardRole::Home)
    return false;
  auto Position = RecordsByKey.find(mapKey(Sent.Account, Sent.Key));
  return Position != RecordsByKey.end() &&
         Position->second.Record.Version == Sent.Version &&
         Position->second.Record.State == KeyState::Tentative;
}

auto KeyShard::mergeRecord(const KeyRecord &Incoming, TimePoint Now) -> bool {
  LastSequence = std::max(LastSequence, Incoming.Version.Sequence);
  KeyRecord Record = promoteTentative(Incoming);
  std::string MapKey = mapKey(Record.Account, Record.Key);
  auto Position = RecordsByKey.find(MapKey);
  if (Position != RecordsByKey.end()) {
    const KeyRecord &Own = Position->second.Record;
    if (Own.Version > Record.Version ||
        (Own.Version == Record.Version && Own.State > Record.State)) {
      Position->second.FromEarlierRole = false;
      return false;
    }
    Position->second.FromEarlierRole = false;
    if (Own.Version == Record.Version && Own.State == Record.State)
      return true;
  }
  bool SameVersion = Position != RecordsByKey.end() &&
                     Position->second.Record.Version == Record.Version;
  std::uint64_t Confirmed =
      SameVersion ? Position->second.BackupConfirmedView : 0;
  RecordEntry &Entry =
      storeRecord(MapKey, std::move(Record), Now - Incoming.Age);
  Entry.BackupConfirmedView = Confirmed;
  if (Entry.Record.State == KeyState::Granted && isHolderLost(Entry.Record)) {
    Entry.Record.State = KeyState::Done;
    Entry.Record.IsOutcomeUnknown = true;
    Entry.ChangedAt = Now;
  }
  return true;
}

auto KeyShard::storeReplica(std::uint64_t ViewVersion, const KeyRecord &Record,
                            TimePoint Now) -> ReplicaStoreResult {
  if (ViewVersion != CurrentView)
    return ReplicaStoreResult::WrongView;
  if (Role != ShardRole::Backup)
    return ReplicaStoreResult::NotBackup;
  MayHaveChanged = true;
  if (isRegistryFull() &&
      RecordsByKey.count(mapKey(Record.Account, Record.Key)) == 0)
    return ReplicaStoreResult::RegistryFull;
  return mergeRecord(Record, Now) ? ReplicaStoreResult::Stored
                                  : ReplicaStoreResult::HasNewerWrite;
}

auto KeyShard::reportOutcome(const OutcomeReport &Report, TimePoint Now)
    -> ReportDecision {
  if (Report.ViewVersion != CurrentView || Role != ShardRole::Home)
    return ReportWrongView{CurrentView};
  if (!HistoryComplete && (!HistoryLostUntil || Report.Released))
    // A release is written with a new version. Without the history, that
    // version could replace the record of a later claim that a transfer brings
    // afterwards.
    return ReportShardNotReady{};
  MayHaveChanged = true;
  std::string MapKey = mapKey(Report.Account, Report.Key);
  auto Position = RecordsByKey.find(MapKey);
  KeyState Target = Report.Released ? KeyState::Released : KeyState::Done;
  KeyRecord Record;
  if (Position == RecordsByKey.end()) {
    // If the history is lost, the reported outcome is all that is known about
    // the key, so it is stored. A release can arrive before its own claim; it
    // is stored so that the claim is not granted afterwards.
    if (!HistoryLostUntil && (!Report.Released || isRegistryFull()))
      return ReportClaimMismatch{};
    Record.Account = Report.Account;
    Record.Key = Report.Key;
    Record.ClaimId = Report.ClaimId;
  } else {
    const RecordEntry &Entry = Position->second;
    if (Entry.Record.ClaimId != Report.ClaimId)
      return ReportClaimMismatch{};
    if (isEnded(Entry.Record)) {
      bool HolderWasLost =
          Entry.Record.IsOutcomeUnknown && !Entry.EndedByReport;
      if (HolderWasLost || Entry.Record.State != Target)
        return ReportTooLate{};
      if (Entry.BackupConfirmedView != CurrentView)
        return ReportRecorded{copyWithAge(Entry, Now)};
      return ReportDuplicate{};
    }
    Record = Entry.Record;
  }
  Record.State = Target;
  Record.IsOutcomeUnknown = false;
  Record.Outcome = Report.Released ? std::string() : Report.Outcome;
  Record.Version = nextVersion();
  RecordEntry &Entry = storeRecord(MapKey, std::move(Record), Now);
  Entry.EndedByReport = true;
  return ReportRecorded{copyWithAge(Entry, Now)};
}

auto KeyShard::endClaimsOfLostHolders(const Incarnations &NewLiveHolders,
                                      TimePoint Now) -> std::vector<KeyRecord> {
  LiveHolders = NewLiveHolders;
  std::vector<KeyRecord> Changed;
  for (auto &[MapKey, Entry] : RecordsByKey) {
    if (isEnded(Entry.Record) || !isHolderLost(Entry.Record))
      continue;
    if (Entry.Record.State == KeyState::Tentative) {
      // This home never granted the claim, so the request did not run. The new
      // version replaces the copy that the backup may hold.
      Entry.Record.State = KeyState::Released;
      Entry.Record.Version = nextVersion();
    } else {
      Entry.Record.State = KeyState::Done;
      Entry.Record.IsOutcomeUnknown = true;
    }
    Entry.ChangedAt = Now;
    Entry.BackupConfirmedView = 0;
    if (Role == ShardRole::Home)
      Changed.push_back(copyWithAge(Entry, Now));
  }
  return Changed;
}

auto KeyShard::adoptView(std::uint64_t ViewVersion, ShardRole NewRole,
                         const Incarnations &NewOtherMembers, bool IsFirstView,
                         TimePoint Now) -> void {
  bool NoViewAdopted = CurrentView == 0;
  bool IsNextView = !NoViewAdopted && ViewVersion == CurrentView + 1;
  bool StaysHome =
      IsNextView && Role == ShardRole::Home && NewRole == ShardRole::Home;
  bool HadNoRole = Role == ShardRole::None;
  if (NoViewAdopted)
    KnownThroughView = IsFirstView ? ViewVersion - 1 : 0;
  else
    updateHistoryOfLeftView();
  CurrentView = ViewVersion;
  HistoryComplete = knowsAllEarlierViews();
  if (HadNoRole && !HistoryComplete)
    for (auto &[MapKey, Entry] : RecordsByKey)
      Entry.FromEarlierRole = true;
  if (!StaysHome) {
    HistoryLostUntil.reset();
    // Another home may have granted tentative claims from the backup's copy.
    for (auto &[MapKey, Entry] : RecordsByKey)
      Entry.Record = promoteTentative(std::move(Entry.Record));
  }
  Role = NewRole;
  MayHaveChanged = false;
  ViewAdoptedAt = Now;
  OtherMembers = NewOtherMembers;
  // The live holders of the new view are unknown until
  // endClaimsOfLostHolders() is called.
  LiveHolders.reset();
  HistoryBecameComplete = false;
  IncompleteSenders.clear();
  detectLostHistory(Now);
}

auto KeyShard::updateHistoryOfLeftView() -> void {
  // Every change to the shard involves the home and the backup of the view. A
  // host in one of these roles saw all changes; any other host may have missed
  // some.
  bool HadRole = Role != ShardRole::None;
  if (HistoryComplete)
    KnownThroughView = HadRole ? CurrentView : CurrentView - 1;
  if (HadRole && !MayHaveChanged)
    IdleViews.insert(CurrentView);
  while (IdleViews.size() > MaxIdleViews)
    IdleViews.erase(IdleViews.begin());
}

auto KeyShard::knowsAllEarlierViews() const -> bool {
  for (std::uint64_t Earlier = KnownThroughView + 1; Earlier < CurrentView;
       ++Earlier)
    if (IdleViews.count(Earlier) == 0)
      return false;
  return true;
}

auto KeyShard::eraseStaleRecords() -> void {
  for (auto Position = RecordsByKey.begin(); Position != RecordsByKey.end();)
    Position = Position->second.FromEarlierRole ? eraseRecord(Position)
                                                : std::next(Position);
}

auto KeyShard::detectLostHistory(TimePoint Now) -> void {
  if (Role != ShardRole::Home || HistoryComplete || HistoryLostUntil)
    return;
  if (std::includes(IncompleteSenders.begin(), IncompleteSenders.end(),
                    OtherMembers->begin(), OtherMembers->end()))
    HistoryLostUntil = Now + Limits.Retention;
}

auto KeyShard::exportShard(const std::string &Sender, TimePoint Now) const
    -> ShardExport {
  ShardExport Transfer;
  Transfer.ViewVersion = CurrentView;
  Transfer.Shard = ShardNumber;
  Transfer.SenderIncarnation = Sender;
  Transfer.Complete = HistoryComplete;
  Transfer.Incomplete = !HistoryComplete;
  Transfer.KnownThroughView =
      HistoryComplete ? CurrentView - 1 : KnownThroughView;
  if (!HistoryComplete)
    Transfer.IdleViews = IdleViews;
  for (const auto &[MapKey, Entry] : RecordsByKey)
    Transfer.Records.push_back(copyWithAge(Entry, Now));
  return Transfer;
}

auto KeyShard::importShard(const ShardExport &Transfer, TimePoint Now) -> bool {
  if (Transfer.ViewVersion != CurrentView || Role == ShardRole::None)
    return false;
  std::uint64_t SenderKnownThroughView =
      Transfer.Complete ? CurrentView - 1
                        : std::min(Transfer.KnownThroughView, CurrentView - 1);
  // Records whose history is older than the history of this shard copy are
  // ignored, because they could restore claims that have ended since.
  if (SenderKnownThroughView >=
      (HistoryComplete ? CurrentView - 1 : KnownThroughView))
    for (const KeyRecord &Record : Transfer.Records)
      mergeRecord(Record, Now);
  if (!HistoryComplete && (Transfer.Complete || Transfer.Incomplete)) {
    if (SenderKnownThroughView > KnownThroughView) {
      KnownThroughView = SenderKnownThroughView;
      eraseStaleRecords();
    }
    IdleViews.insert(Transfer.IdleViews.begin(), Transfer.IdleViews.end());
    if (knowsAllEarlierViews()) {
      HistoryBecameComplete = HistoryBecameComplete || Role == ShardRole::Home;
      HistoryComplete = true;
      HistoryLostUntil.reset();
    }
  }
  if (Transfer.Incomplete)
    IncompleteSenders.insert(Transfer.SenderIncarnation);
  detectLostHistory(Now);
  return true;
}

auto KeyShard::evictExpired(TimePoint Now) -> bool {
  for (auto Position = RecordsByKey.begin(); Position != RecordsByKey.end();) {
    bool Expired = isEnded(Position->second.Record) &&
                   Now - Position->second.ChangedAt > Limits.Retention;
    Position = Expired ? eraseRecord(Position) : std::next(Position);
  }
  if (Role == ShardRole::None && !HistoryComplete &&
      Now - ViewAdoptedAt > StaleRecordRetention) {
    eraseStaleRecords();
    if (RecordsByKey.empty())
      KnownThroughView = 0;
  }
  if (HistoryLostUntil && Now >= *HistoryLostUntil) {
    HistoryLostUntil.reset();
    HistoryComplete = true;
    HistoryBecameComplete = true;
    eraseStaleRecords();
  }
  return std::exchange(HistoryBecameComplete, false);
}

auto KeyShard::findRecord(std::string_view Account, std::string_view Key,
                          TimePoint Now) const -> std::optional<KeyRecord> {
  auto Position = RecordsByKey.find(mapKey(Account, Key));
  if (Position == RecordsByKey.end())
    return std::nullopt;
  return copyWithAge(Position->second, Now);
}

} // namespace jayramp
