#include "Requests/WorkerDirectory.h"

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Membership/MembershipRunner.h"
#include "Membership/ShardMap.h"
#include "Membership/WakeSignal.h"
#include "Platform/HostList.h"
#include "Platform/WorkerClient.h"
#include "Requests/SlotBroker.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace jayramp {

namespace {

// Enough that a few silent workers do not delay the status of the others.
constexpr std::size_t StatusThreads = 8;

} // namespace

class WorkerDirectory::Implementation {
public:
  Implementation(Options Settings, HostList &Hosts, WorkerClient &Workers,
                 SlotBroker &Slots, MembershipRunner &Membership,
                 Metrics &Counters)
      : Settings(std::move(Settings)), Hosts(Hosts), Workers(Workers),
        Slots(Slots), Membership(Membership), Counters(Counters),
        Pool(StatusThreads) {}

  auto runHostList() -> void;
  auto runStatus() -> void;
  auto applyOwners() -> void;

  Options Settings;
  HostList &Hosts;
  WorkerClient &Workers;
  SlotBroker &Slots;
  MembershipRunner &Membership;
  Metrics &Counters;
  mutable std::mutex Mutex; ///< Guards all below but the threads.
  std::map<std::string, WorkerInfo> Known;
  std::shared_ptr<const ShardMap> Owners = std::make_shared<const ShardMap>();
  std::set<std::string> Owned;
  std::set<std::string> Asked; ///< Workers with a status call in progress.
  std::vector<StatusListener> Listeners;
  WakeSignal HostListWake;
  WakeSignal StatusWake;
  boost::asio::thread_pool Pool;
  std::vector<std::thread> Threads;

private:
  auto askStatus(const ListedHost &Worker) -> void;
  auto applyStatus(const ListedHost &Worker, const WorkerStatus &Status,
                   TimePoint RequestedAt) -> void;
};

auto WorkerDirectory::Implementation::runHostList() -> void {
  while (!HostListWake.ended()) {
    TimePoint Begin = Clock::now();
    auto Listed = Hosts.hosts();
    if (Listed) {
      std::set<std::string> Names;
      {
        std::lock_guard Lock(Mutex);
        for (const ListedHost &Host : Listed.value()) {
          Names.insert(Host.Name);
          Known[Host.Name].HostListEntry = Host;
        }
        // An empty list is taken for a fault of the list, not for the truth.
        if (!Names.empty())
          std::erase_if(Known, [&Names](const auto &Entry) {
            return Names.count(Entry.first) == 0;
          });
      }
      applyOwners();
    } else {
      Counters.count("jayramp_host_list_failed_total");
    }
    HostListWake.waitUntil(Begin + Settings.HostListInterval);
  }
}

auto WorkerDirectory::Implementation::applyOwners() -> void {
  std::lock_guard Lock(Mutex);
  std::set<std::string> Next;
  for (auto &[Name, Worker] : Known) {
    Worker.Owner = Owners->rackOwner(Worker.HostListEntry.Rack);
    if (Worker.Owner != Settings.HostName)
      continue;
    Next.insert(Name);
    Slots.addWorker(Name, Worker.HostListEntry.Address);
    Slots.setLeavingInHostList(Name, Worker.HostListEntry.Leaving);
  }
  for (const std::string &Name : Owned)
    if (Next.count(Name) == 0)
      Slots.removeWorker(Name);
  bool Gained = Next.size() > Owned.size();
  Owned = std::move(Next);
  if (Gained)
    StatusWake.wake();
}

auto WorkerDirectory::Implementation::runStatus() -> void {
  while (!StatusWake.ended()) {
    TimePoint Begin = Clock::now();
    std::vector<ListedHost> Due;
    {
      std::lock_guard Lock(Mutex);
      for (const std::string &Name : Owned)
        if (Asked.insert(Name).second)
          Due.push_back(Known.at(Name).HostListEntry);
    }
    for (const ListedHost &Worker : Due)
      boost::asio::post(Pool, [this, Worker] { askStatus(Worker); });
    Membership.reportFreeSlots(Slots.freeSlots());
    StatusWake.waitUntil(Begin + Settings.StatusInterval);
  }
}

auto WorkerDirectory::Implementation::askStatus(const ListedHost &Worker)
    -> void {
  TimePoint RequestedAt = Clock::now();
  auto Answer = Workers.status(Worker.Address, Membership.view()->version(),
                               Settings.StatusTimeout);
  if (Answer) {
    applyStatus(Worker, Answer.value(), RequestedAt);
  } else {
    Slots.recordStatusFailure(Worker.Name);
    Counters.count("jayramp_worker_status_failed_total");
  }
  std::lock_guard Lock(Mutex);
  Asked.erase(Worker.Name);
  auto Found = Known.find(Worker.Name);
  if (Found != Known.end())
    Found->second.Reachable = Answer.has_value();
}

auto WorkerDirectory::Implementation::applyStatus(const ListedHost &Worker,
                                                  const WorkerStatus &Status,
                                                  TimePoint RequestedAt)
    -> void {
  std::vector<StatusListener> Called;
  {
    std::lock_guard Lock(Mutex);
    auto Found = Known.find(Worker.Name);
    if (Found == Known.end() || Owned.count(Worker.Name) == 0)
      return;
    Found->second.Status = Status;
    Called = Listeners;
  }
  Slots.applyStatus(Worker.Name, Status, RequestedAt);
  for (const auto &Listener : Called)
    Listener(Worker, Status);
}

WorkerDirectory::WorkerDirectory(Options Settings, HostList &Hosts,
                                 WorkerClient &Workers, SlotBroker &Slots,
                                 MembershipRunner &Membership,
                                 Metrics &Counters)
    : Body(std::make_unique<Implementation>(std::move(Settings), Hosts, Workers,
                                            Slots, Membership, Counters)) {}

WorkerDirectory::~WorkerDirectory() { stop(); }

auto WorkerDirectory::start() -> void {
  Body->Threads.emplace_back([this] { Body->runHostList(); });
  Body->Threads.emplace_back([this] { Body->runStatus(); });
}

auto WorkerDirectory::stop() -> void {
  Body->HostListWake.end();
  Body->StatusWake.end();
  for (auto &Thread : Body->Threads)
    Thread.join();
  Body->Threads.clear();
  Body->Pool.join();
}

auto WorkerDirectory::adoptView(std::shared_ptr<const ShardMap> Owners)
    -> void {
  {
    std::lock_guard Lock(Body->Mutex);
    Body->Owners = std::move(Owners);
  }
  Body->applyOwners();
}

auto WorkerDirectory::addStatusListener(StatusListener Added) -> void {
  std::lock_guard Lock(Body->Mutex);
  Body->Listeners.push_back(std::move(Added));
}

auto WorkerDirectory::workers() const -> std::vector<WorkerInfo> {
  std::vector<WorkerInfo> Result;
  std::lock_guard Lock(Body->Mutex);
  for (const auto &[Name, Worker] : Body->Known)
    Result.push_back(Worker);
  return Result;
}

} // namespace jayramp
