#include "Membership/ShardMap.h"
#include "Membership/View.h"
#include "Requests/KeyRegistry.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace jayramp {
namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

auto memberOf(const std::string &Name, const std::string &Incarnation)
    -> Member {
  return {.Name = Name,
          .Incarnation = Incarnation,
          .ApiAddress = {},
          .PeerAddress = {},
          .AvailabilityZone = "zone-" + Name,
          .State = MemberState::Serving};
}

struct Message {
  ShardExport Transfer;
  std::string Target;
};

/// A process with its registry, which adopts views as KeyCoordinator does.
struct Process {
  std::string Name;
  std::vector<std::string> Incarnations;
  KeyRegistry Registry = KeyRegistry::make({}).value();
};

/// Entry hosts without any key, between which transfers arrive in any order.
class QuietCluster {
public:
  explicit QuietCluster(unsigned Seed) : Random(Seed) {}

  auto publish(const View &Next) -> void { Published.push_back(Next); }
  auto current() const -> const View & { return Published.back(); }
  auto run(const std::string &Name, const std::string &Incarnation) -> void {
    std::erase_if(Processes,
                  [&](const auto &Entry) { return Entry->Name == Name; });
    Processes.push_back(std::make_unique<Process>());
    Processes.back()->Name = Name;
    Processes.back()->Incarnations = {Incarnation};
  }
  /// A host that was removed and joins again keeps its process.
  auto rename(const std::string &Name, const std::string &Incarnation) -> void {
    for (auto &Entry : Processes)
      if (Entry->Name == Name)
        Entry->Incarnations.push_back(Incarnation);
  }

  auto steps(int Count) -> void {
    for (int Step = 0; Step < Count; ++Step)
      if (chance(2))
        adoptSome(*Processes[below(Processes.size())]);
      else
        deliverSome();
  }

  /// Few or many, so that a view is followed early or late.
  auto someSteps() -> void { steps(chance(2) ? 3 : 300); }

  auto settle() -> void {
    for (auto &Entry : Processes)
      adopt(*Entry, current());
    while (!Messages.empty())
      deliverSome();
  }

  auto lostShards() const -> int {
    ShardMap Owners(current());
    int Lost = 0;
    for (const auto &Entry : Processes)
      for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
        Lost += Owners.home(Shard) == Entry->Name &&
                !Entry->Registry.isComplete(Shard);
    return Lost;
  }

  auto chance(unsigned OneIn) -> bool { return below(OneIn) == 0; }

private:
  auto below(std::size_t Limit) -> std::size_t { return Random() % Limit; }

  auto adoptSome(Process &Host) -> void {
    std::vector<const View *> Newer;
    for (const View &Entry : Published)
      if (Entry.version() > Host.Registry.viewVersion())
        Newer.push_back(&Entry);
    if (!Newer.empty())
      adopt(Host, *Newer[below(Newer.size())]);
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
          Messages.push_back({Host.Registry.exportShard(Shard, Start), Target});
  }

  // A transfer that is refused is repeated while its view is the sender's.
  auto deliverSome() -> void {
    if (Messages.empty())
      return;
    std::swap(Messages[below(Messages.size())], Messages.back());
    Message Taken = std::move(Messages.back());
    Messages.pop_back();
    bool Stored = false;
    for (auto &Entry : Processes)
      if (Entry->Name == Taken.Target)
        Stored = Entry->Registry.importShard(Taken.Transfer, Start);
    if (!Stored && Taken.Transfer.ViewVersion >= current().version())
      Messages.push_back(std::move(Taken));
  }

  std::mt19937 Random;
  std::vector<View> Published;
  std::vector<std::unique_ptr<Process>> Processes;
  std::vector<Message> Messages;
};

/// Hosts "0" to "2" join one after the other; the view with all of them.
auto startThreeHosts(QuietCluster &Cluster) -> View {
  View Next;
  for (const char *Name : {"0", "1", "2"}) {
    Cluster.run(Name, std::string(Name) + "a");
    Next = Next.withMember(memberOf(Name, std::string(Name) + "a"), false);
    Cluster.publish(Next);
    Cluster.someSteps();
  }
  return Next;
}

// Guards against a history that counts as lost although no key was claimed and
// of two hosts that could know it at most one was restarted.
TEST(ShardHistoryTest, noHistoryIsLostWhileHostsStartAndOneRestarts) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    QuietCluster Cluster(Seed);
    View Next = startThreeHosts(Cluster);
    Member Leaving = memberOf("2", "2a");
    Leaving.State = MemberState::Leaving;
    Next = Next.withMember(Leaving, true);
    Cluster.publish(Next);
    Cluster.someSteps();
    Next = Next.withoutMembers({"2"}, true, true);
    Cluster.publish(Next);
    Cluster.someSteps();
    Cluster.run("2", "2b");
    Next = Next.withMember(memberOf("2", "2b"), false);
    Cluster.publish(Next);
    Cluster.settle();
    EXPECT_EQ(Cluster.lostShards(), 0) << "seed " << Seed;
  }
}

// Guards against a host that takes its own earlier views for those of another
// process, because it was removed and joined again under a new incarnation.
TEST(ShardHistoryTest, hostThatRejoinsStillKnowsItsEarlierViews) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    QuietCluster Cluster(Seed);
    View Next = startThreeHosts(Cluster);
    Next = Next.withoutMembers({"1"}, true, false);
    Cluster.publish(Next);
    Cluster.rename("1", "1b");
    Next = Next.withMember(memberOf("1", "1b"), false);
    Cluster.publish(Next);
    Cluster.someSteps();
    Next = Next.withoutMembers({"2"}, true, true);
    Cluster.publish(Next);
    Cluster.someSteps();
    Cluster.run("2", "2b");
    Next = Next.withMember(memberOf("2", "2b"), false);
    Cluster.publish(Next);
    Cluster.settle();
    EXPECT_EQ(Cluster.lostShards(), 0) << "seed " << Seed;
  }
}

} // namespace
} // namespace jayramp
