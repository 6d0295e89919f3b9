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

/// Drives several MembershipState objects as hosts with fake time, a store
/// whose calls can be slow, lost or late, and links that can be cut. Checks
/// after every event that no two hosts may serve under different views.
class MembershipSimulation {
public:
  struct Limits {
    std::size_t Hosts = 3;
    std::size_t RequiredContacts = 0; ///< As in MembershipDecisionInput.
    Milliseconds Length{30000};
    std::size_t Faults = 6;
    /// Whether 2% of the messages and calls are later than every window.
    bool LateMessages = true;
  };

  MembershipSimulation(unsigned Seed, Limits Bounds)
      : Bounds(Bounds), Random(Seed) {
    for (std::size_t Index = 0; Index < Bounds.Hosts; ++Index) {
      Hosts.push_back(std::make_unique<Host>());
      boot(Index, at(Milliseconds(pick(0, 500))));
    }
    for (std::size_t Index = 0; Index < Bounds.Faults; ++Index)
      addFault();
  }

  /// Adds one cut that separates the hosts of \p Group from the others, and
  /// from the store if \p StoreToo, for the time given.
  auto cut(std::set<std::size_t> Group, Milliseconds From, Milliseconds For,
           bool StoreToo) -> void {
    Cuts.push_back({std::move(Group), at(From), at(From + For), false});
    if (StoreToo)
      StoreCuts.push_back({Cuts.back().Group, at(From), at(From + For), false});
  }

  auto storeOutage(Milliseconds From, Milliseconds For) -> void {
    StoreCuts.push_back({all(), at(From), at(From + For), false});
  }

  auto storeCut(std::size_t Index, Milliseconds From, Milliseconds For)
      -> void {
    StoreCuts.push_back({{Index}, at(From), at(From + For), false});
  }

  /// Ends the process of a host for good.
  auto crash(std::size_t Index, Milliseconds At) -> void {
    push(at(At), [this, Index] { Hosts[Index]->State.reset(); });
  }

  /// Empty if the invariant held, otherwise what was seen.
  auto run() -> std::string {
    TimePoint End = at(Bounds.Length);
    for (TimePoint Tick = at(Milliseconds(0)); Tick < End;
         Tick += Milliseconds(20))
      push(Tick, [] {});
    while (!Events.empty() && Events.begin()->first < End) {
      auto Next = Events.begin();
      Now = Next->first;
      auto Action = std::move(Next->second);
      Events.erase(Next);
      // A process that resumes answers before it reads anything new.
      if (auto Found = violation(); !Found.empty())
        return Found;
      Action();
      if (auto Found = violation(); !Found.empty())
        return Found;
    }
    return {};
  }

  auto storedVersion() const -> std::uint64_t { return Stored.version(); }
  auto storedView() const -> const View & { return Stored; }
  /// Share of the ticks after \p From in which host \p Index might serve.
  auto servingShare(std::size_t Index, Milliseconds From) const -> double {
    std::size_t Served = 0;
    std::size_t Total = 0;
    for (const auto &[Time, Permitted] : Hosts[Index]->History)
      if (Time >= at(From)) {
        ++Total;
        Served += Permitted ? 1 : 0;
      }
    return Total == 0 ? 0 : static_cast<double>(Served) / Total;
  }

private:
  struct Host {
    std::optional<MembershipState> State;
    TimePoint PausedUntil;
    std::uint64_t OwnRow = 0;
    unsigned Life = 0;
    std::vector<std::pair<TimePoint, bool>> History;
  };
  struct Cut {
    std::set<std::size_t> Group;
    TimePoint From;
    TimePoint Until;
    bool OneWay; ///< Only messages that leave the group are lost.
  };
  using Action = std::function<void()>;

  static auto at(Milliseconds Offset) -> TimePoint {
    return TimePoint(std::chrono::hours(1)) + Offset;
  }
  auto pick(int Low, int High) -> int {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }
  auto all() const -> std::set<std::size_t> {
    std::set<std::size_t> Group;
    for (std::size_t Index = 0; Index < Bounds.Hosts; ++Index)
      Group.insert(Index);
    return Group;
  }
  auto push(TimePoint When, Action What) -> void {
    Events.emplace(When, std::move(What));
  }
  static auto nameOf(std::size_t Index) -> std::string {
    return "h" + std::to_string(Index);
  }

  // Runs on a host when it is not paused; dropped if the process has ended.
  void onHost(std::size_t Index, unsigned Life, TimePoint When,
              std::function<void(Host &)> What) {
    push(When, [this, Index, Life, What = std::move(What)] {
      Host &Target = *Hosts[Index];
      if (!Target.State || Target.Life != Life)
        return;
      if (Target.PausedUntil > Now)
        onHost(Index, Life, Target.PausedUntil + Milliseconds(1), What);
      else
        What(Target);
    });
  }

  auto delay() -> Milliseconds {
    // Mostly short; now and then longer than every window.
    int Kind = pick(0, 99);
    if (Kind < 90 || !Bounds.LateMessages)
      return Milliseconds(pick(1, 20));
    return Milliseconds(Kind < 98 ? pick(20, 400) : pick(400, 3500));
  }

  auto connected(std::size_t From, std::size_t To) const -> bool {
    return std::none_of(Cuts.begin(), Cuts.end(), [&](const Cut &Entry) {
      bool Leaves = Entry.Group.contains(From) && !Entry.Group.contains(To);
      bool Enters = !Entry.Group.contains(From) && Entry.Group.contains(To);
      return Entry.From <= Now && Now < Entry.Until &&
             (Leaves || (Enters && !Entry.OneWay));
    });
  }
  auto storeReachable(std::size_t Index) const -> bool {
    return std::none_of(StoreCuts.begin(), StoreCuts.end(),
                        [&](const Cut &Entry) {
                          return Entry.Group.contains(Index) &&
                                 Entry.From <= Now && Now < Entry.Until;
                        });
  }

  auto addFault() -> void {
    Milliseconds From(pick(2000, static_cast<int>(Bounds.Length.count())));
    Milliseconds For(pick(100, 9000));
    auto Index =
        static_cast<std::size_t>(pick(0, static_cast<int>(Bounds.Hosts) - 1));
    std::set<std::size_t> Group;
    for (std::size_t Each = 0; Each < Bounds.Hosts; ++Each)
      if (pick(0, 1) == 1)
        Group.insert(Each);
    switch (pick(0, 9)) {
    case 0:
      push(at(From),
           [this, Index, For] { Hosts[Index]->PausedUntil = Now + For; });
      break;
    case 1:
      push(at(From), [this, Index, For] {
        Hosts[Index]->State.reset();
        push(Now + For, [this, Index] {
          if (!Hosts[Index]->State)
            boot(Index, Now);
        });
      });
      break;
    case 2:
      storeCut(Index, From, For);
      break;
    case 3:
      storeOutage(From, For);
      break;
    case 4:
      cut(Group, From, For, true);
      break;
    case 5:
      cut(Group, From, For, false);
      break;
    case 7:
      push(at(From), [this, Index] {
        if (Hosts[Index]->State)
          Hosts[Index]->State->requestLeaving();
      });
      break;
    case 8:
      // A planned stop: the process ends some time after it asked to leave.
      push(at(From), [this, Index, For] {
        if (!Hosts[Index]->State)
          return;
        Hosts[Index]->State->requestRemoval();
        unsigned Life = Hosts[Index]->Life;
        push(Now + For, [this, Index, Life] {
          if (Hosts[Index]->Life != Life)
            return;
          Hosts[Index]->State.reset();
          push(Now + Milliseconds(pick(100, 3000)), [this, Index] {
            if (!Hosts[Index]->State)
              boot(Index, Now);
          });
        });
      });
      break;
    case 6:
      StoreCuts.push_back({Group, at(From), at(From + For), false});
      break;
    default:
      Cuts.push_back({{Index}, at(From), at(From + For), true});
      break;
    }
  }

  auto boot(std::size_t Index, TimePoint When) -> void {
    Host &Target = *Hosts[Index];
    Target.State.emplace(Member{.Name = nameOf(Index)}, MembershipTiming(),
                         When);
    Target.OwnRow = 0;
    unsigned Life = ++Target.Life;
    repeat(Index, Life, When, Milliseconds(1000),
           [this, Index](Host &) { beat(Index); });
    repeat(Index, Life, When, Milliseconds(400),
           [this, Index](Host &) { maintain(Index); });
    repeat(Index, Life, When, Milliseconds(500),
           [this, Index](Host &) { greet(Index); });
  }

  void repeat(std::size_t Index, unsigned Life, TimePoint When,
              Milliseconds Interval, std::function<void(Host &)> What) {
    onHost(Index, Life, When, [=, this](Host &Target) {
      What(Target);
      repeat(Index, Life, Now + Interval, Interval, What);
    });
  }

  // A store call: takes effect after a delay, and its answer may be lost.
  template <typename Answer>
  void store(std::size_t Index, std::function<Answer()> Effect,
             std::function<void(Host &, const Answer &)> Receive) {
    unsigned Life = Hosts[Index]->Life;
    push(Now + delay(), [=, this] {
      if (!storeReachable(Index))
        return;
      Answer Given = Effect();
      if (pick(0, 19) == 0)
        return;
      onHost(Index, Life, Now + delay(),
             [Receive, Given](Host &Target) { Receive(Target, Given); });
    });
  }

  struct WriteAnswer {
    bool Applied;
    View Current;
    std::uint64_t OwnRow;
  };

  auto beat(std::size_t Index) -> void {
    Host &Source = *Hosts[Index];
    if (!Source.State->isMember())
      return;
    std::uint64_t Version = Source.State->view()->version();
    std::uint64_t Expected = Source.OwnRow;
    TimePoint SentAt = Now;
    store<WriteAnswer>(
        Index,
        [=, this]() -> WriteAnswer {
          auto &Row = Rows[nameOf(Index)];
          bool Applied = Stored.version() == Version && Row == Expected;
          if (Applied)
            ++Row;
          return {Applied, Stored, Row};
        },
        [=, this](Host &Target, const WriteAnswer &Given) {
          Target.OwnRow = Given.OwnRow;
          if (Given.Applied)
            Target.State->confirm(Version, SentAt);
          else
            Target.State->adopt(Given.Current, Now);
        });
  }

  struct ReadAnswer {
    View Current;
    std::vector<std::pair<std::string, std::uint64_t>> Rows;
  };

  auto maintain(std::size_t Index) -> void {
    TimePoint SentAt = Now;
    store<ReadAnswer>(
        Index,
        [this]() -> ReadAnswer {
          return {Stored, {Rows.begin(), Rows.end()}};
        },
        [=, this](Host &Target, const ReadAnswer &Given) {
          for (const auto &[Name, Version] : Given.Rows)
            if (Name == nameOf(Index))
              Target.OwnRow = std::max(Target.OwnRow, Version);
          Target.State->observeRows(Given.Rows, SentAt, Now);
          Target.State->adopt(Given.Current, Now);
          Target.State->noteViewRead();
          change(Index, Target);
        });
  }

  auto change(std::size_t Index, Host &Source) -> void {
    auto Decision = Source.State->decide(Now, Bounds.RequiredContacts);
    if (std::holds_alternative<KeepView>(Decision))
      return;
    View Next = Source.State->successor(Decision);
    std::uint64_t Expected = Source.State->view()->version();
    std::uint64_t OwnRow = Source.OwnRow;
    store<WriteAnswer>(
        Index,
        [=, this]() -> WriteAnswer {
          bool Applied = Stored.version() == Expected;
          if (const auto *Removal = std::get_if<RemoveSilentMembers>(&Decision))
            for (const auto &Entry : Removal->Members)
              Applied = Applied && Rows[Entry.Name] == Entry.RowVersion;
          auto &Row = Rows[nameOf(Index)];
          if (std::holds_alternative<AddSelf>(Decision)) {
            Applied = Applied && Row == OwnRow;
            if (Applied)
              ++Row;
          }
          if (Applied)
            Stored = Next;
          return {Applied, Stored, Row};
        },
        [=, this](Host &Target, const WriteAnswer &Given) {
          Target.OwnRow = Given.OwnRow;
          Target.State->adopt(Given.Current, Now);
          greet(Index);
        });
  }

  auto greet(std::size_t Index) -> void {
    Host &Source = *Hosts[Index];
    TimePoint SentAt = Now;
    unsigned Life = Source.Life;
    for (const auto &Entry : Source.State->view()->members()) {
      auto Peer = static_cast<std::size_t>(std::stoi(Entry.Name.substr(1)));
      if (Peer == Index || !connected(Index, Peer))
        continue;
      auto Asker = Source.State->self();
      onHost(Peer, Hosts[Peer]->Life, Now + delay(), [=, this](Host &Target) {
        auto Report = Target.State->report(0, Now);
        Target.State->noteAnswered(Asker.Name, Asker.Incarnation, Now);
        View Attached = *Target.State->view();
        TimePoint AnsweredAt = Now;
        if (!connected(Peer, Index))
          return;
        onHost(Index, Life, Now + delay(), [=, this](Host &Receiver) mutable {
          if (Report.ConfirmedAt)
            Report.ConfirmedAt = SentAt - (AnsweredAt - *Report.ConfirmedAt);
          if (Report.LastRemovedHostContactAt)
            Report.LastRemovedHostContactAt =
                Now - (AnsweredAt - *Report.LastRemovedHostContactAt);
          Report.LastContactAt = SentAt;
          Receiver.State->adopt(Attached, Now);
          Receiver.State->observePeer(Report, Now);
        });
      });
    }
  }

  auto violation() -> std::string {
    std::map<std::uint64_t, std::string> Serving;
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      Host &Target = *Hosts[Index];
      if (!Target.State || Target.PausedUntil > Now)
        continue;
      auto Decision = Target.State->servingDecision(0, Now);
      const auto *Permitted = std::get_if<ServingPermitted>(&Decision);
      if (Target.History.empty() || Target.History.back().first != Now)
        Target.History.emplace_back(Now, Permitted != nullptr);
      if (Permitted)
        Serving[Permitted->ViewVersion] +=
            " " + nameOf(Index) + (Permitted->ByPeerMajority ? "(outage)" : "");
    }
    if (Serving.size() < 2)
      return {};
    std::string Text = "at " +
                       std::to_string(std::chrono::duration_cast<Milliseconds>(
                                          Now - at(Milliseconds(0)))
                                          .count()) +
                       " ms";
    for (const auto &[Version, Names] : Serving)
      Text += "; view " + std::to_string(Version) + ":" + Names;
    return Text;
  }

  Limits Bounds;
  std::mt19937 Random;
  TimePoint Now = at(Milliseconds(0));
  std::multimap<TimePoint, Action> Events;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Cut> Cuts;
  std::vector<Cut> StoreCuts;
  View Stored;
  std::map<std::string, std::uint64_t> Rows;
};

} // namespace jayramp::test
