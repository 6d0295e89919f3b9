#pragma once

#include "Membership/MembershipState.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jayramp::test {

/// Simulates several entry hosts, each with its own MembershipState, on a
/// simulated clock. Store calls and peer messages can be slow, late or lost,
/// and the network can be partitioned. Before and after every event the
/// simulation checks that no two hosts may serve under different views.
class MembershipSimulation {
public:
  struct Options {
    std::size_t HostCount = 3;
    /// See MembershipDecisionInput::RequiredContacts.
    std::size_t RequiredContacts = 0;
    Milliseconds Duration{30000}; ///< Simulated time.
    std::size_t FaultCount = 6;   ///< Random faults, besides those added.
    /// Whether 2% of the peer messages and store calls are delayed by up to
    /// 3.5 s, which is longer than every period of MembershipTiming.
    bool LateMessages = true;
  };

  MembershipSimulation(unsigned Seed, Options Config)
      : Config(Config), Random(Seed) {
    for (std::size_t Index = 0; Index < Config.HostCount; ++Index) {
      Hosts.push_back(std::make_unique<Host>());
      startHost(Index, timeAt(Milliseconds(randomInt(0, 500))));
    }
    for (std::size_t Index = 0; Index < Config.FaultCount; ++Index)
      addFault();
  }

  /// Partitions the hosts of \p Group from the other hosts, and from the store
  /// if \p IncludeStore, for the duration \p For.
  auto addPartition(std::set<std::size_t> Group, Milliseconds From,
                    Milliseconds For, bool IncludeStore) -> void {
    Partitions.push_back(
        {std::move(Group), timeAt(From), timeAt(From + For), false});
    if (IncludeStore)
      StorePartitions.push_back(
          {Partitions.back().Group, timeAt(From), timeAt(From + For), false});
  }

  /// Makes the store unreachable for every host for the duration \p For.
  auto addStoreOutage(Milliseconds From, Milliseconds For) -> void {
    StorePartitions.push_back(
        {allHosts(), timeAt(From), timeAt(From + For), false});
  }

  /// Makes the store unreachable for one host for the duration \p For.
  auto cutHostFromStore(std::size_t Index, Milliseconds From, Milliseconds For)
      -> void {
    StorePartitions.push_back(
        {{Index}, timeAt(From), timeAt(From + For), false});
  }

  /// Ends the process of a host; it is not restarted.
  auto crashHost(std::size_t Index, Milliseconds At) -> void {
    schedule(timeAt(At), [this, Index] { Hosts[Index]->State.reset(); });
  }

  /// Runs the simulation. Returns an empty string if no two hosts could serve
  /// under different views, otherwise the first violation as text.
  auto run() -> std::string {
    TimePoint End = timeAt(Config.Duration);
    for (TimePoint Tick = timeAt(Milliseconds(0)); Tick < End;
         Tick += Milliseconds(20))
      schedule(Tick, [] {});
    while (!Events.empty() && Events.begin()->first < End) {
      auto Next = Events.begin();
      Now = Next->first;
      auto Action = std::move(Next->second);
      Events.erase(Next);
      // A process that resumes from a pause may answer a request before it
      // processes any newer message, so check before the event too.
      if (auto Found = findViolation(); !Found.empty())
        return Found;
      Action();
      if (auto Found = findViolation(); !Found.empty())
        return Found;
    }
    return {};
  }

  auto storedViewVersion() const -> std::uint64_t {
    return StoredView.version();
  }
  auto storedView() const -> const View & { return StoredView; }
  /// Returns the fraction (0 to 1) of the sampled times from \p From on at
  /// which host \p Index was permitted to serve.
  auto servingFraction(std::size_t Index, Milliseconds From) const -> double {
    std::size_t Served = 0;
    std::size_t Total = 0;
    for (const auto &[Time, Permitted] : Hosts[Index]->ServingHistory)
      if (Time >= timeAt(From)) {
        ++Total;
        Served += Permitted ? 1 : 0;
      }
    return Total == 0 ? 0 : static_cast<double>(Served) / Total;
  }

private:
  struct Host {
    std::optional<MembershipState> State;
    TimePoint PausedUntil;
    std::uint64_t OwnRowVersion = 0; ///< Of its heartbeat row.
    unsigned ProcessNumber = 0;      ///< Rises with every start of the host.
    /// Sampled times, and whether the host was permitted to serve then.
    std::vector<std::pair<TimePoint, bool>> ServingHistory;
  };
  struct Partition {
    std::set<std::size_t> Group;
    TimePoint From;
    TimePoint Until;
    bool OneWay; ///< Only messages sent by the group to other hosts are lost.
  };
  using Action = std::function<void()>;

  static auto timeAt(Milliseconds Offset) -> TimePoint {
    return TimePoint(std::chrono::hours(1)) + Offset;
  }
  auto randomInt(int Low, int High) -> int {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }
  auto allHosts() const -> std::set<std::size_t> {
    std::set<std::size_t> Group;
    for (std::size_t Index = 0; Index < Config.HostCount; ++Index)
      Group.insert(Index);
    return Group;
  }
  auto schedule(TimePoint Time, Action Callback) -> void {
    Events.emplace(Time, std::move(Callback));
  }
  static auto hostName(std::size_t Index) -> std::string {
    return "h" + std::to_string(Index);
  }

  // Runs the callback on a host at \p Time, or when the host resumes if it is
  // paused then. Does nothing if that process has ended.
  void runOnHost(std::size_t Index, unsigned ProcessNumber, TimePoint Time,
                 std::function<void(Host &)> Callback) {
    schedule(Time,
             [this, Index, ProcessNumber, Callback = std::move(Callback)] {
               Host &Target = *Hosts[Index];
               if (!Target.State || Target.ProcessNumber != ProcessNumber)
                 return;
               if (Target.PausedUntil > Now)
                 runOnHost(Index, ProcessNumber,
                           Target.PausedUntil + Milliseconds(1), Callback);
               else
                 Callback(Target);
             });
  }

  auto randomDelay() -> Milliseconds {
    // 2% of the delays can exceed every period of MembershipTiming.
    int Percentile = randomInt(0, 99);
    if (Percentile < 90 || !Config.LateMessages)
      return Milliseconds(randomInt(1, 20));
    return Milliseconds(Percentile < 98 ? randomInt(20, 400)
                                        : randomInt(400, 3500));
  }

  auto canSend(std::size_t From, std::size_t To) const -> bool {
    return std::none_of(
        Partitions.begin(), Partitions.end(), [&](const Partition &Entry) {
          bool Leaves = Entry.Group.contains(From) && !Entry.Group.contains(To);
          bool Enters = !Entry.Group.contains(From) && Entry.Group.contains(To);
          return Entry.From <= Now && Now < Entry.Until &&
                 (Leaves || (Enters && !Entry.OneWay));
        });
  }
  auto storeReachable(std::size_t Index) const -> bool {
    return std::none_of(StorePartitions.begin(), StorePartitions.end(),
                        [&](const Partition &Entry) {
                          return Entry.Group.contains(Index) &&
                                 Entry.From <= Now && Now < Entry.Until;
                        });
  }

  auto addFault() -> void {
    Milliseconds From(
        randomInt(2000, static_cast<int>(Config.Duration.count())));
    Milliseconds For(randomInt(100, 9000));
    auto Index = static_cast<std::size_t>(
        randomInt(0, static_cast<int>(Config.HostCount) - 1));
    std::set<std::size_t> Group;
    for (std::size_t HostIndex = 0; HostIndex < Config.HostCount; ++HostIndex)
      if (randomInt(0, 1) == 1)
        Group.insert(HostIndex);
    switch (randomInt(0, 9)) {
    case 0: // The process pauses.
      schedule(timeAt(From),
               [this, Index, For] { Hosts[Index]->PausedUntil = Now + For; });
      break;
    case 1: // The process crashes and restarts.
      schedule(timeAt(From), [this, Index, For] {
        Hosts[Index]->State.reset();
        schedule(Now + For, [this, Index] {
          if (!Hosts[Index]->State)
            startHost(Index, Now);
        });
      });
      break;
    case 2: // One host cannot reach the store.
      cutHostFromStore(Index, From, For);
      break;
    case 3: // No host can reach the store.
      addStoreOutage(From, For);
      break;
    case 4: // Network partition that includes the store.
      addPartition(Group, From, For, true);
      break;
    case 5: // Network partition between hosts only.
      addPartition(Group, From, For, false);
      break;
    case 7: // A host hands over its racks and shards.
      schedule(timeAt(From), [this, Index] {
        if (Hosts[Index]->State)
          Hosts[Index]->State->requestLeaving();
      });
      break;
    case 8: // Planned stop: the process asks to leave, then ends and restarts.
      schedule(timeAt(From), [this, Index, For] {
        if (!Hosts[Index]->State)
          return;
        Hosts[Index]->State->requestRemoval();
        unsigned ProcessNumber = Hosts[Index]->ProcessNumber;
        schedule(Now + For, [this, Index, ProcessNumber] {
          if (Hosts[Index]->ProcessNumber != ProcessNumber)
            return;
          Hosts[Index]->State.reset();
          schedule(Now + Milliseconds(randomInt(100, 3000)), [this, Index] {
            if (!Hosts[Index]->State)
              startHost(Index, Now);
          });
        });
      });
      break;
    case 6: // Some hosts cannot reach the store.
      StorePartitions.push_back(
          {Group, timeAt(From), timeAt(From + For), false});
      break;
    default: // One host can receive peer messages but not send them.
      Partitions.push_back({{Index}, timeAt(From), timeAt(From + For), true});
      break;
    }
  }

  auto startHost(std::size_t Index, TimePoint Time) -> void {
    Host &Target = *Hosts[Index];
    Target.State.emplace(Member{.Name = hostName(Index)}, MembershipTiming(),
                         Time);
    Target.OwnRowVersion = 0;
    unsigned ProcessNumber = ++Target.ProcessNumber;
    runPeriodically(Index, ProcessNumber, Time, Milliseconds(1000),
                    [this, Index](Host &) { writeHeartbeat(Index); });
    runPeriodically(Index, ProcessNumber, Time, Milliseconds(400),
                    [this, Index](Host &) { readStore(Index); });
    runPeriodically(Index, ProcessNumber, Time, Milliseconds(500),
                    [this, Index](Host &) { exchangePeerHeartbeats(Index); });
  }

  void runPeriodically(std::size_t Index, unsigned ProcessNumber,
                       TimePoint Time, Milliseconds Interval,
                       std::function<void(Host &)> Callback) {
    runOnHost(Index, ProcessNumber, Time, [=, this](Host &Target) {
      Callback(Target);
      runPeriodically(Index, ProcessNumber, Now + Interval, Interval, Callback);
    });
  }

  // Simulates a store call: it takes effect after a delay, and its response is
  // delayed too or, in 5% of the calls, lost.
  template <typename Response>
  void callStore(std::size_t Index, std::function<Response()> Apply,
                 std::function<void(Host &, const Response &)> Receive) {
    unsigned ProcessNumber = Hosts[Index]->ProcessNumber;
    schedule(Now + randomDelay(), [=, this] {
      if (!storeReachable(Index))
        return;
      Response Result = Apply();
      if (randomInt(0, 19) == 0)
        return;
      runOnHost(Index, ProcessNumber, Now + randomDelay(),
                [Receive, Result](Host &Target) { Receive(Target, Result); });
    });
  }

  struct WriteResponse {
    bool Applied;
    View CurrentView;
    std::uint64_t OwnRowVersion;
  };

  auto writeHeartbeat(std::size_t Index) -> void {
    Host &Sender = *Hosts[Index];
    if (!Sender.State->isMember())
      return;
    std::uint64_t ViewVersion = Sender.State->view()->version();
    std::uint64_t ExpectedRowVersion = Sender.OwnRowVersion;
    TimePoint SentAt = Now;
    callStore<WriteResponse>(
        Index,
        [=, this]() -> WriteResponse {
          auto &RowVersion = RowVersions[hostName(Index)];
          bool Applied = StoredView.version() == ViewVersion &&
                         RowVersion == ExpectedRowVersion;
          if (Applied)
            ++RowVersion;
          return {Applied, StoredView, RowVersion};
        },
        [=, this](Host &Target, const WriteResponse &Response) {
          Target.OwnRowVersion = Response.OwnRowVersion;
          if (Response.Applied)
            Target.State->recordStoreConfirmation(ViewVersion, SentAt);
          else
            Target.State->adopt(Response.CurrentView, Now);
        });
  }

  struct ReadResponse {
    View CurrentView;
    std::vector<std::pair<std::string, std::uint64_t>> RowVersions;
  };

  auto readStore(std::size_t Index) -> void {
    TimePoint SentAt = Now;
    callStore<ReadResponse>(
        Index,
        [this]() -> ReadResponse {
          return {StoredView, {RowVersions.begin(), RowVersions.end()}};
        },
        [=, this](Host &Target, const ReadResponse &Response) {
          for (const auto &[Name, Version] : Response.RowVersions)
            if (Name == hostName(Index))
              Target.OwnRowVersion = std::max(Target.OwnRowVersion, Version);
          Target.State->recordHeartbeatRows(Response.RowVersions, SentAt, Now);
          Target.State->adopt(Response.CurrentView, Now);
          Target.State->markViewRead();
          changeView(Index, Target);
        });
  }

  auto changeView(std::size_t Index, Host &Sender) -> void {
    auto Decision = Sender.State->decide(Now, Config.RequiredContacts);
    if (std::holds_alternative<KeepView>(Decision))
      return;
    View Next = Sender.State->nextView(Decision);
    std::uint64_t ExpectedViewVersion = Sender.State->view()->version();
    std::uint64_t OwnRowVersion = Sender.OwnRowVersion;
    callStore<WriteResponse>(
        Index,
        [=, this]() -> WriteResponse {
          bool Applied = StoredView.version() == ExpectedViewVersion;
          if (const auto *Removal = std::get_if<RemoveSilentMembers>(&Decision))
            for (const auto &Silent : Removal->Members)
              Applied =
                  Applied && RowVersions[Silent.Name] == Silent.RowVersion;
          auto &RowVersion = RowVersions[hostName(Index)];
          if (std::holds_alternative<AddSelf>(Decision)) {
            Applied = Applied && RowVersion == OwnRowVersion;
            if (Applied)
              ++RowVersion;
          }
          if (Applied)
            StoredView = Next;
          return {Applied, StoredView, RowVersion};
        },
        [=, this](Host &Target, const WriteResponse &Response) {
          Target.OwnRowVersion = Response.OwnRowVersion;
          Target.State->adopt(Response.CurrentView, Now);
          exchangePeerHeartbeats(Index);
        });
  }

  auto exchangePeerHeartbeats(std::size_t Index) -> void {
    Host &Sender = *Hosts[Index];
    TimePoint SentAt = Now;
    unsigned ProcessNumber = Sender.ProcessNumber;
    for (const auto &PeerMember : Sender.State->view()->members()) {
      auto Peer =
          static_cast<std::size_t>(std::stoi(PeerMember.Name.substr(1)));
      if (Peer == Index || !canSend(Index, Peer))
        continue;
      auto SenderSelf = Sender.State->self();
      runOnHost(
          Peer, Hosts[Peer]->ProcessNumber, Now + randomDelay(),
          [=, this](Host &Target) {
            auto Report = Target.State->selfObservation(0, Now);
            Target.State->recordHeartbeatReply(SenderSelf.Name,
                                               SenderSelf.Incarnation, Now);
            View AttachedView = *Target.State->view();
            TimePoint AnsweredAt = Now;
            if (!canSend(Peer, Index))
              return;
            runOnHost(Index, ProcessNumber, Now + randomDelay(),
                      [=, this](Host &Receiver) mutable {
                        if (Report.ConfirmedAt)
                          Report.ConfirmedAt =
                              SentAt - (AnsweredAt - *Report.ConfirmedAt);
                        if (Report.LastRemovedHostContactAt)
                          Report.LastRemovedHostContactAt =
                              Now -
                              (AnsweredAt - *Report.LastRemovedHostContactAt);
                        Report.LastContactAt = SentAt;
                        Receiver.State->adopt(AttachedView, Now);
                        Receiver.State->recordPeerObservation(Report, Now);
                      });
          });
    }
  }

  auto findViolation() -> std::string {
    std::map<std::uint64_t, std::string> Serving;
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      Host &Target = *Hosts[Index];
      if (!Target.State || Target.PausedUntil > Now)
        continue;
      auto Decision = Target.State->servingDecision(0, Now);
      const auto *Permitted = std::get_if<ServingPermitted>(&Decision);
      if (Target.ServingHistory.empty() ||
          Target.ServingHistory.back().first != Now)
        Target.ServingHistory.emplace_back(Now, Permitted != nullptr);
      if (Permitted)
        Serving[Permitted->ViewVersion] +=
            " " + hostName(Index) +
            (Permitted->ByPeerMajority ? "(by peer majority)" : "");
    }
    if (Serving.size() < 2)
      return {};
    std::string Text = "at " +
                       std::to_string(std::chrono::duration_cast<Milliseconds>(
                                          Now - timeAt(Milliseconds(0)))
                                          .count()) +
                       " ms";
    for (const auto &[Version, Names] : Serving)
      Text += "; view " + std::to_string(Version) + ":" + Names;
    return Text;
  }

  Options Config;
  std::mt19937 Random;
  TimePoint Now = timeAt(Milliseconds(0));
  std::multimap<TimePoint, Action> Events;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Partition> Partitions;
  std::vector<Partition> StorePartitions;
  View StoredView;
  std::map<std::string, std::uint64_t> RowVersions;
};

} // namespace jayramp::test
