#include "Membership/ShardMap.h"
#include "Membership/View.h"
#include "Requests/KeyRegistry.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace jayramp {
namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

auto makeMember(const std::string &Name, const std::string &Incarnation)
    -> Member {
  return {.Name = Name,
          .Incarnation = Incarnation,
          .ApiAddress = {},
          .PeerAddress = {},
          .AvailabilityZone = "zone-" + Name,
          .State = MemberState::Serving};
}

/// A shard transfer that has not been delivered yet.
struct TransferMessage {
  ShardExport Transfer;
  std::string Target;
};

/// A simulated entry host process with its registry. It adopts views in the
/// same way as KeyCoordinator.
struct Process {
  std::string Name;
  std::vector<std::string> Incarnations;
  KeyRegistry Registry = KeyRegistry::make({}).value();
};

/// Simulates entry hosts that hold no keys and exchange shard transfers that
/// arrive in any order.
class KeylessCluster {
public:
  explicit KeylessCluster(unsigned Seed) : Random(Seed) {}

  auto publish(const View &Next) -> void { Published.push_back(Next); }
  auto current() const -> const View & { return Published.back(); }
  auto startProcess(const std::string &Name, const std::string &Incarnation)
      -> void {
    std::erase_if(Processes,
                  [&](const auto &Entry) { return Entry->Name == Name; });
    Processes.push_back(std::make_unique<Process>());
    Processes.back()->Name = Name;
    Processes.back()->Incarnations = {Incarnation};
  }
  /// Lets the process of a host that was removed join again under a new
  /// incarnation.
  auto addIncarnation(const std::string &Name, const std::string &Incarnation)
      -> void {
    for (auto &Entry : Processes)
      if (Entry->Name == Name)
        Entry->Incarnations.push_back(Incarnation);
  }

  auto runRandomSteps(int Count) -> void {
    for (int Step = 0; Step < Count; ++Step)
      if (oneIn(2))
        adoptRandomNewerView(*Processes[randomBelow(Processes.size())]);
      else
        deliverRandomTransfer();
  }

  /// Runs few or many steps, so that the next view is published early or late.
  auto runFewOrManySteps() -> void { runRandomSteps(oneIn(2) ? 3 : 300); }

  auto adoptCurrentViewAndDeliverAll() -> void {
    for (auto &Entry : Processes)
      adopt(*Entry, current());
    while (!PendingTransfers.empty())
      deliverRandomTransfer();
  }

  /// Returns the number of shards whose home does not have the complete
  /// history.
  auto incompleteHomeShardCount() const -> int {
    ShardMap Owners(current());
    int IncompleteCount = 0;
    for (const auto &Entry : Processes)
      for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
        IncompleteCount += Owners.home(Shard) == Entry->Name &&
                           !Entry->Registry.isComplete(Shard);
    return IncompleteCount;
  }

  /// Returns true with a probability of 1 / \p Count.
  auto oneIn(unsigned Count) -> bool { return randomBelow(Count) == 0; }

private:
  auto randomBelow(std::size_t Limit) -> std::size_t {
    return Random() % Limit;
  }

  auto adoptRandomNewerView(Process &Host) -> void {
    std::vector<const View *> Newer;
    for (const View &Entry : Published)
      if (Entry.version() > Host.Registry.viewVersion())
        Newer.push_back(&Entry);
    if (!Newer.empty())
      adopt(Host, *Newer[randomBelow(Newer.size())]);
  }

  auto adopt(Process &Host, const View &Next) -> void {
    for (const ShardRoles &Skipped : ShardRoles::forSkippedViews(
             Next, Host.Registry.viewVersion(), Host.Name, Host.Incarnations))
      if (Host.Registry.adoptView(Skipped, Start))
        Host.Registry.endClaimsOfLostHolders(Skipped.Members, Start);
    ShardMap Owners(Next);
    auto Roles =
        ShardRoles::forView(Next, Owners, Host.Name, Host.Incarnations);
    if (!Host.Registry.adoptView(Roles, Start))
      return;
    Host.Registry.endClaimsOfLostHolders(Roles.Members, Start);
    for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
      for (const auto &Target : {Owners.home(Shard), Owners.backup(Shard)})
        if (!Target.empty() && Target != Host.Name)
          PendingTransfers.push_back(
              {Host.Registry.exportShard(Shard, Start), Target});
  }

  // Delivers one pending transfer. A refused transfer is repeated unless a
  // newer view was published since it was sent.
  auto deliverRandomTransfer() -> void {
    if (PendingTransfers.empty())
      return;
    std::swap(PendingTransfers[randomBelow(PendingTransfers.size())],
              PendingTransfers.back());
    TransferMessage Selected = std::move(PendingTransfers.back());
    PendingTransfers.pop_back();
    bool Accepted = false;
    for (auto &Entry : Processes)
      if (Entry->Name == Selected.Target)
        Accepted = Entry->Registry.importShard(Selected.Transfer, Start);
    if (!Accepted && Selected.Transfer.ViewVersion >= current().version())
      PendingTransfers.push_back(std::move(Selected));
  }

  std::mt19937 Random;
  std::vector<View> Published;
  std::vector<std::unique_ptr<Process>> Processes;
  std::vector<TransferMessage> PendingTransfers;
};

/// Lets the hosts "0" to "2" join one after the other. Returns the view with
/// all of them.
auto startThreeHosts(KeylessCluster &Cluster) -> View {
  View Next;
  for (const char *Name : {"0", "1", "2"}) {
    Cluster.startProcess(Name, std::string(Name) + "a");
    Next = Next.withMember(makeMember(Name, std::string(Name) + "a"), false);
    Cluster.publish(Next);
    Cluster.runFewOrManySteps();
  }
  return Next;
}

// Guards against treating a shard's history as lost although no key was claimed
// and at most one of the two hosts that could know the history was restarted.
TEST(ShardHistoryTest, noHistoryIsLostWhileHostsStartAndOneRestarts) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    KeylessCluster Cluster(Seed);
    View Next = startThreeHosts(Cluster);
    Member Leaving = makeMember("2", "2a");
    Leaving.State = MemberState::Leaving;
    Next = Next.withMember(Leaving, true);
    Cluster.publish(Next);
    Cluster.runFewOrManySteps();
    Next = Next.withoutMembers({"2"}, true, true);
    Cluster.publish(Next);
    Cluster.runFewOrManySteps();
    Cluster.startProcess("2", "2b");
    Next = Next.withMember(makeMember("2", "2b"), false);
    Cluster.publish(Next);
    Cluster.adoptCurrentViewAndDeliverAll();
    EXPECT_EQ(Cluster.incompleteHomeShardCount(), 0) << "seed " << Seed;
  }
}

// Guards against a process that was removed and joined again under a new
// incarnation, and then treats its own earlier views as those of another
// process.
TEST(ShardHistoryTest, hostThatRejoinsStillKnowsItsEarlierViews) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    KeylessCluster Cluster(Seed);
    View Next = startThreeHosts(Cluster);
    Next = Next.withoutMembers({"1"}, true, false);
    Cluster.publish(Next);
    Cluster.addIncarnation("1", "1b");
    Next = Next.withMember(makeMember("1", "1b"), false);
    Cluster.publish(Next);
    Cluster.runFewOrManySteps();
    Next = Next.withoutMembers({"2"}, true, true);
    Cluster.publish(Next);
    Cluster.runFewOrManySteps();
    Cluster.startProcess("2", "2b");
    Next = Next.withMember(makeMember("2", "2b"), false);
    Cluster.publish(Next);
    Cluster.adoptCurrentViewAndDeliverAll();
    EXPECT_EQ(Cluster.incompleteHomeShardCount(), 0) << "seed " << Seed;
  }
}

} // namespace
} // namespace jayramp
