#include "Shard/ConfigurationReview.h"

#include "Shard/ServingConfiguration.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace jayramp::shard {

namespace {

using Findings = std::vector<ConfigurationFinding>;

auto placeOf(const QueuePolicy &Queue) -> std::string {
  return "queue \"" + Queue.Name + "\"";
}

auto placeOf(const ClientAccount &Account) -> std::string {
  return "client account \"" + Account.Name + "\"";
}

auto placeOfService(const std::string &Name) -> std::string {
  return "service \"" + Name + "\"";
}

class Review {
public:
  explicit Review(const ServingConfiguration &Proposed) : Proposed(Proposed) {}

  auto run() -> Findings {
    checkNames();
    for (const auto &Queue : Proposed.Queues)
      checkQueue(Queue);
    checkApiKeys();
    checkUnusedEntries();
    checkLimits();
    std::stable_sort(Found.begin(), Found.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.Kind < Right.Kind;
                     });
    return std::move(Found);
  }

private:
  auto add(FindingKind Kind, std::string Place, std::string Detail,
           std::string Remedy) -> void {
    Found.push_back(
        {Kind, std::move(Place), std::move(Detail), std::move(Remedy)});
  }

  /// Records an error for \p Place if its name is empty or not new to \p Names.
  auto checkName(std::set<std::string> &Names, const std::string &Name,
                 const std::string &Place) -> void {
    if (Name.empty())
      add(FindingKind::Error, Place, "has no name", "give it a name");
    else if (!Names.insert(Name).second)
      add(FindingKind::Error, Place, "has the name of an earlier entry",
          "rename or remove one of the two");
  }

  auto checkNames() -> void {
    std::set<std::string> Queues;
    std::set<std::string> Accounts;
    for (const auto &Queue : Proposed.Queues)
      checkName(Queues, Queue.Name, placeOf(Queue));
    for (const auto &Service : Proposed.Services)
      checkName(Services, Service, placeOfService(Service));
    for (const auto &Account : Proposed.Accounts)
      checkName(Accounts, Account.Name, placeOf(Account));
  }

  auto checkQueue(const QueuePolicy &Queue) -> void {
    const auto Place = placeOf(Queue);
    if (!Services.contains(Queue.Service))
      add(FindingKind::Error, Place,
          "uses the service \"" + Queue.Service + "\", which is not listed",
          "add the service or name a listed one");
    if (!Queue.PathPrefix.starts_with('/'))
      add(FindingKind::Error, Place,
          "has the path prefix \"" + Queue.PathPrefix + "\"",
          "let it begin with a slash");
    if (Queue.Host.find(':') != std::string::npos || Queue.Host.empty())
      add(FindingKind::NeverMatches, Place,
          "has the host name \"" + Queue.Host + "\"",
          "give the host name without a port, which requests are matched by");
    if (Queue.PathPrefix.find('?') != std::string::npos)
      add(FindingKind::NeverMatches, Place,
          "has a path prefix with a query, which is not part of the path",
          "remove the query");
    const auto [Other, IsNew] =
        QueueByRoute.try_emplace({Queue.Host, Queue.PathPrefix}, Queue.Name);
    if (!IsNew)
      add(FindingKind::NeverMatches, Place,
          "has the host name and path prefix of the queue \"" + Other->second +
              "\", which gets all of their requests",
          "change its path prefix or remove it");
    if (Queue.Stretch < 1.0 && Queue.TargetLatency <= Milliseconds(0))
      add(FindingKind::Contradiction, Place,
          "has a latency objective that is shorter than the work itself",
          "set a stretch of 1 or more, or a target latency above 0");
  }

  auto checkApiKeys() -> void {
    std::map<std::string, std::string> AccountByKey;
    for (const auto &Account : Proposed.Accounts)
      for (const auto &Key : Account.ApiKeys) {
        const auto [Other, IsNew] = AccountByKey.try_emplace(Key, Account.Name);
        if (!IsNew && Other->second != Account.Name)
          add(FindingKind::Error, placeOf(Account),
              "has an API key of the client account \"" + Other->second + "\"",
              "give each account keys of its own");
        else if (!IsNew)
          add(FindingKind::NeverMatches, placeOf(Account),
              "lists an API key twice", "remove one of the two");
      }
  }

  auto checkUnusedEntries() -> void {
    const auto &Queues = Proposed.Queues;
    for (const auto &Service : Proposed.Services)
      if (std::none_of(Queues.begin(), Queues.end(), [&](const auto &Queue) {
            return Queue.Service == Service;
          }))
        add(FindingKind::NeverMatches, placeOfService(Service),
            "is used by no queue, so its workers get no work",
            "add a queue or remove the service");
    const bool HasUrgentQueue =
        std::any_of(Queues.begin(), Queues.end(),
                    [](const auto &Queue) { return Queue.Priority == 0; });
    for (const auto &Account : Proposed.Accounts) {
      if (Account.ApiKeys.empty())
        add(FindingKind::NeverMatches, placeOf(Account),
            "has no API key, so no request belongs to it", "add a key");
      if (Account.GuaranteedGpus > 0 && !HasUrgentQueue)
        add(FindingKind::Contradiction, placeOf(Account),
            "has guaranteed accelerators, which only jobs of priority 0 can "
            "claim, and no queue has this priority",
            "add such a queue or drop the guarantee");
    }
  }

  auto checkLimits() -> void {
    const auto &Limits = Proposed.Limits;
    if (Limits.MaxHeaderBytes == 0 || Limits.MaxBodyBytes == 0)
      add(FindingKind::Contradiction, "limits",
          "allow requests of no size, so all are refused", "set sizes above 0");
    if (Limits.HeaderTimeout <= Milliseconds(0) ||
        Limits.IdleTimeout <= Milliseconds(0))
      add(FindingKind::Contradiction, "limits",
          "leave no time for a request, so all are broken off",
          "set timeouts above 0");
  }

  const ServingConfiguration &Proposed;
  Findings Found;
  std::set<std::string> Services;
  std::map<std::pair<std::string, std::string>, std::string> QueueByRoute;
};

/// Adds a difference for each of \p Before and \p After that the other lacks,
/// and for those that differ what \p DescribeChange returns, unless empty.
template <typename Entry, typename NameOf, typename Describe>
auto compareEntries(const std::vector<Entry> &Before,
                    const std::vector<Entry> &After, NameOf Name,
                    Describe DescribeChange, Findings &Found) -> void {
  const auto Find = [&](const std::vector<Entry> &Entries,
                        const Entry &Wanted) {
    return std::find_if(Entries.begin(), Entries.end(), [&](const auto &Each) {
      return Name(Each) == Name(Wanted);
    });
  };
  for (const auto &Each : Before)
    if (Find(After, Each) == After.end())
      Found.push_back({FindingKind::Difference, Name(Each), "is removed", {}});
  for (const auto &Each : After) {
    const auto Old = Find(Before, Each);
    auto Detail = Old == Before.end() ? std::string("is added")
                                      : DescribeChange(*Old, Each);
    if (!Detail.empty())
      Found.push_back(
          {FindingKind::Difference, Name(Each), std::move(Detail), {}});
  }
}

/// Adds "NAME: BEFORE -> AFTER" to \p Text if the values differ.
auto addChange(std::string &Text, const char *Name, const std::string &Before,
               const std::string &After) -> void {
  if (Before == After)
    return;
  Text += (Text.empty() ? "" : ", ") + std::string(Name) + ": " + Before +
          " -> " + After;
}

template <typename Number>
auto addChange(std::string &Text, const char *Name, Number Before, Number After)
    -> void {
  addChange(Text, Name, std::to_string(Before), std::to_string(After));
}

auto queueChange(const QueuePolicy &Before, const QueuePolicy &After)
    -> std::string {
  std::string Text;
  addChange(Text, "host", Before.Host, After.Host);
  addChange(Text, "path prefix", Before.PathPrefix, After.PathPrefix);
  addChange(Text, "service", Before.Service, After.Service);
  addChange(Text, "priority", Before.Priority, After.Priority);
  addChange(Text, "attempts", Before.MaxAttempts, After.MaxAttempts);
  addChange(Text, "stretch", Before.Stretch, After.Stretch);
  addChange(Text, "target latency in ms", Before.TargetLatency.count(),
            After.TargetLatency.count());
  addChange(Text, "public", Before.Public, After.Public);
  return Text;
}

auto countMissing(const std::vector<std::string> &Keys,
                  const std::vector<std::string> &Others) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Keys.begin(), Keys.end(), [&](const auto &Key) {
        return std::find(Others.begin(), Others.end(), Key) == Others.end();
      }));
}

auto accountChange(const ClientAccount &Before, const ClientAccount &After)
    -> std::string {
  std::string Text;
  const auto Added = countMissing(After.ApiKeys, Before.ApiKeys);
  const auto Removed = countMissing(Before.ApiKeys, After.ApiKeys);
  if (Added + Removed > 0)
    Text = "API keys added: " + std::to_string(Added) +
           ", removed: " + std::to_string(Removed);
  addChange(Text, "guaranteed accelerators", Before.GuaranteedGpus,
            After.GuaranteedGpus);
  return Text;
}

auto limitsChange(const net::HttpLimits &Before, const net::HttpLimits &After)
    -> std::string {
  std::string Text;
  addChange(Text, "header bytes", Before.MaxHeaderBytes, After.MaxHeaderBytes);
  addChange(Text, "body bytes", Before.MaxBodyBytes, After.MaxBodyBytes);
  addChange(Text, "header timeout in ms", Before.HeaderTimeout.count(),
            After.HeaderTimeout.count());
  addChange(Text, "idle timeout in ms", Before.IdleTimeout.count(),
            After.IdleTimeout.count());
  return Text;
}

} // namespace

auto toString(FindingKind Kind) -> std::string_view {
  switch (Kind) {
  case FindingKind::Error:
    return "error";
  case FindingKind::NeverMatches:
    return "never-matches";
  case FindingKind::Contradiction:
    return "contradiction";
  case FindingKind::Difference:
    return "difference";
  }
  return "error";
}

auto reviewConfiguration(const ServingConfiguration &Proposed)
    -> std::vector<ConfigurationFinding> {
  return Review(Proposed).run();
}

auto compareConfigurations(const ServingConfiguration &InForce,
                           const ServingConfiguration &Proposed)
    -> std::vector<ConfigurationFinding> {
  Findings Found;
  if (Proposed.Version <= InForce.Version)
    Found.push_back({FindingKind::Error, "version",
                     "is " + std::to_string(Proposed.Version) +
                         ", and version " + std::to_string(InForce.Version) +
                         " is in force, so hosts ignore it",
                     "raise the version"});
  const auto QueueName = [](const QueuePolicy &Each) { return placeOf(Each); };
  const auto AccountName = [](const ClientAccount &Each) {
    return placeOf(Each);
  };
  compareEntries(InForce.Queues, Proposed.Queues, QueueName, queueChange,
                 Found);
  compareEntries(
      InForce.Services, Proposed.Services, placeOfService,
      [](const auto &, const auto &) { return std::string(); }, Found);
  compareEntries(InForce.Accounts, Proposed.Accounts, AccountName,
                 accountChange, Found);
  if (auto Text = limitsChange(InForce.Limits, Proposed.Limits); !Text.empty())
    Found.push_back({FindingKind::Difference, "limits", std::move(Text), {}});
  return Found;
}

} // namespace jayramp::shard
