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

// Enough threads that a few workers that do not answer do not delay the status
// calls to the others.
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

  auto pollHostList() -> void;
  auto pollStatuses() -> void;
  auto updateOwnedWorkers() -> void;

  Options Settings;
  HostList &Hosts;
  WorkerClient &Workers;
  SlotBroker &Slots;
  MembershipRunner &Membership;
  Metrics &Counters;
  mutable std::mutex Mutex; ///< Guards the members up to Listeners.
  std::map<std::string, WorkerInfo> WorkersByName;
  std::shared_ptr<const ShardMap> Owners = std::make_shared<const ShardMap>();
  std::set<std::string> OwnedWorkers;
  std::set<std::string> StatusCallsInProgress; ///< Names of workers.
  std::vector<StatusListener> Listeners;
  WakeSignal HostListWake;
  WakeSignal StatusWake;
  boost::asio::thread_pool Pool;
  std::vector<std::thread> Threads;

private:
  auto callStatus(const ListedHost &Worker) -> void;
  auto applyStatus(const ListedHost &Worker, const WorkerStatus &Status,
                   TimePoint RequestedAt) -> void;
};

auto WorkerDirectory::Implementation::pollHostList() -> void {
  while (!HostListWake.isShutDown()) {
    TimePoint RoundStart = Clock::now();
    auto Listed = Hosts.hosts();
    if (Listed) {
      std::set<std::string> Names;
      {
        std::lock_guard Lock(Mutex);
        for (const ListedHost &Host : Listed.value()) {
          Names.insert(Host.Name);
          WorkersByName[Host.Name].HostListEntry = Host;
        }
        // An empty list is treated as an error of the host list service, so no
        // worker is removed.
        if (!Names.empty())
          std::erase_if(WorkersByName, [&Names](const auto &Entry) {
            return Names.count(Entry.first) == 0;
          });
      }
      updateOwnedWorkers();
    } else {
      Counters.count("jayramp_host_list_failed_total");
    }
    HostListWake.waitUntil(RoundStart + Settings.HostListInterval);
  }
}

auto WorkerDirectory::Implementation::updateOwnedWorkers() -> void {
  std::lock_guard Lock(Mutex);
  std::set<std::string> NewOwned;
  for (auto &[Name, Worker] : WorkersByName) {
    Worker.Owner = Owners->rackOwner(Worker.HostListEntry.Rack);
    if (Worker.Owner != Settings.HostName)
      continue;
    NewOwned.insert(Name);
    Slots.addWorker(Name, Worker.HostListEntry.Address);
    Slots.setLeavingInHostList(Name, Worker.HostListEntry.Leaving);
  }
  for (const std::string &Name : OwnedWorkers)
    if (NewOwned.count(Name) == 0)
      Slots.removeWorker(Name);
  bool OwnsMoreWorkers = NewOwned.size() > OwnedWorkers.size();
  OwnedWorkers = std::move(NewOwned);
  if (OwnsMoreWorkers)
    StatusWake.wake();
}

auto WorkerDirectory::Implementation::pollStatuses() -> void {
  while (!StatusWake.isShutDown()) {
    TimePoint RoundStart = Clock::now();
    std::vector<ListedHost> Due;
    {
      std::lock_guard Lock(Mutex);
      for (const std::string &Name : OwnedWorkers)
        if (StatusCallsInProgress.insert(Name).second)
          Due.push_back(WorkersByName.at(Name).HostListEntry);
    }
    for (const ListedHost &Worker : Due)
      boost::asio::post(Pool, [this, Worker] { callStatus(Worker); });
    Membership.reportFreeSlots(Slots.freeSlots());
    StatusWake.waitUntil(RoundStart + Settings.StatusInterval);
  }
}

auto WorkerDirectory::Implementation::callStatus(const ListedHost &Worker)
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
  StatusCallsInProgress.erase(Worker.Name);
  auto Found = WorkersByName.find(Worker.Name);
  if (Found != WorkersByName.end())
    Found->second.Reachable = Answer.has_value();
}

auto WorkerDirectory::Implementation::applyStatus(const ListedHost &Worker,
                                                  const WorkerStatus &Status,
                                                  TimePoint RequestedAt)
    -> void {
  std::vector<StatusListener> ToNotify;
  {
    std::lock_guard Lock(Mutex);
    auto Found = WorkersByName.find(Worker.Name);
    if (Found == WorkersByName.end() || OwnedWorkers.count(Worker.Name) == 0)
      return;
    Found->second.Status = Status;
    ToNotify = Listeners;
  }
  Slots.applyStatus(Worker.Name, Status, RequestedAt);
  for (const auto &Listener : ToNotify)
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
  Body->Threads.emplace_back([this] { Body->pollHostList(); });
  Body->Threads.emplace_back([this] { Body->pollStatuses(); });
}

auto WorkerDirectory::stop() -> void {
  Body->HostListWake.shutDown();
  Body->StatusWake.shutDown();
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
  Body->updateOwnedWorkers();
}

auto WorkerDirectory::addStatusListener(StatusListener Listener) -> void {
  std::lock_guard Lock(Body->Mutex);
  Body->Listeners.push_back(std::move(Listener));
}

auto WorkerDirectory::workers() const -> std::vector<WorkerInfo> {
  std::vector<WorkerInfo> Result;
  std::lock_guard Lock(Body->Mutex);
  for (const auto &[Name, Worker] : Body->WorkersByName)
    Result.push_back(Worker);
  return Result;
}

} // namespace jayramp
