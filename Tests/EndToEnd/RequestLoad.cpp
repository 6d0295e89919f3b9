#include "EndToEnd/RequestLoad.h"

#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/TestCluster.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <cpprest/json.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace jayramp {

namespace {

auto sendRequest(HttpTestClient &Client, const std::string &Key,
                 const RequestLoad::Options &LoadOptions) -> std::string {
  v1::SubmitRequest Request;
  Request.set_account("alpha");
  Request.set_key(Key);
  Request.set_idempotent(LoadOptions.Idempotent);
  Request.set_work_class(v1::SHORT);
  Request.set_deadline_ms(
      static_cast<std::uint32_t>(LoadOptions.Deadline.count()));
  Request.set_payload(LoadOptions.Payload);
  try {
    auto Response = Client.call("POST", "/v1/requests", renderJson(Request),
                                LoadOptions.Deadline + Milliseconds(20000));
    v1::RequestOutcome Outcome;
    if (!parseJson(Response.Body, Outcome))
      return "STATUS " + std::to_string(Response.Status);
    std::string Result = v1::Outcome_Name(Outcome.outcome());
    if (Outcome.reason() != v1::REASON_UNSPECIFIED)
      Result += " " + v1::Reason_Name(Outcome.reason());
    return Result;
  } catch (const std::runtime_error &Failure) {
    return std::string("CUT ") + Failure.what();
  }
}

} // namespace

class RequestLoad::State {
public:
  State(const TestCluster &Cluster, Options LoadOptions)
      : Cluster(Cluster), LoadOptions(std::move(LoadOptions)) {
    for (std::size_t Host = 0; Host < Cluster.entryHostCount(); ++Host)
      HostInUse.emplace_back(true), RemovalCounts.emplace_back(0);
  }

  auto runCaller(std::size_t Caller) -> void {
    std::map<std::size_t, std::pair<std::uint64_t, HttpTestClient>> Clients;
    std::size_t NextHost = Caller;
    for (std::size_t RequestNumber = 0; !Stopping.load(); ++RequestNumber) {
      std::size_t Host = NextHost++ % HostInUse.size();
      if (!HostInUse[Host].load()) {
        std::this_thread::sleep_for(Milliseconds(1));
        continue;
      }
      // Closes the connection to a host that was taken out of use in the
      // meantime, as a load balancer does: the host may have a new process.
      std::uint64_t RemovalCount = RemovalCounts[Host].load();
      auto Found = Clients.find(Host);
      if (Found != Clients.end() && Found->second.first != RemovalCount)
        Clients.erase(Found);
      auto &Client =
          Clients
              .try_emplace(Host, RemovalCount,
                           HttpTestClient(Cluster.entryAddress(Host)))
              .first->second.second;
      SentRequest Request;
      Request.Key = LoadOptions.KeyPrefix + "-" + std::to_string(Caller) + "-" +
                    std::to_string(RequestNumber);
      Request.Host = Host;
      Request.Begin = Clock::now();
      Request.Result = sendRequest(Client, Request.Key, LoadOptions);
      Request.End = Clock::now();
      {
        std::lock_guard Lock(Mutex);
        Requests.push_back(std::move(Request));
      }
      std::this_thread::sleep_for(LoadOptions.Pause);
    }
  }

  auto followReadinessOf(std::size_t Host) -> void {
    while (!Stopping.load()) {
      bool Ready = false;
      try {
        Ready = HttpTestClient(Cluster.entryAddress(Host))
                    .call("GET", "/v1/ready", {}, Milliseconds(200))
                    .Status == 200;
      } catch (const std::runtime_error &) {
        Ready = false;
      }
      setHostInUse(Host, Ready);
      std::this_thread::sleep_for(Milliseconds(20));
    }
  }

  auto setHostInUse(std::size_t Host, bool InUse) -> void {
    if (!InUse && HostInUse[Host].load())
      ++RemovalCounts[Host];
    HostInUse[Host].store(InUse);
  }

  const TestCluster &Cluster;
  const Options LoadOptions;
  std::deque<std::atomic<bool>> HostInUse;
  /// How often each host was taken out of use.
  std::deque<std::atomic<std::uint64_t>> RemovalCounts;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex; ///< Guards Requests.
  std::vector<SentRequest> Requests;
  std::vector<std::thread> Threads;
};

RequestLoad::RequestLoad(const TestCluster &Cluster, const Options &LoadOptions)
    : Impl(std::make_unique<State>(Cluster, LoadOptions)) {
  for (std::size_t Caller = 0; Caller < LoadOptions.Callers; ++Caller)
    Impl->Threads.emplace_back([this, Caller] { Impl->runCaller(Caller); });
}

RequestLoad::~RequestLoad() { stop(); }

auto RequestLoad::setHostInUse(std::size_t Host, bool InUse) -> void {
  Impl->setHostInUse(Host, InUse);
}

auto RequestLoad::followReadiness() -> void {
  for (std::size_t Host = 0; Host < Impl->HostInUse.size(); ++Host)
    Impl->Threads.emplace_back([this, Host] { Impl->followReadinessOf(Host); });
}

auto RequestLoad::stop() -> std::vector<SentRequest> {
  Impl->Stopping.store(true);
  for (auto &Thread : Impl->Threads)
    Thread.join();
  Impl->Threads.clear();
  return Impl->Requests;
}

auto RequestLoad::send(const std::string &Address, const std::string &Key,
                       const Options &LoadOptions) -> std::string {
  HttpTestClient Client(Address);
  return sendRequest(Client, Key, LoadOptions);
}

auto countResults(const std::vector<RequestLoad::SentRequest> &Requests)
    -> std::map<std::string, std::size_t> {
  std::map<std::string, std::size_t> Counts;
  for (const auto &Entry : Requests)
    ++Counts[Entry.Result];
  return Counts;
}

auto percentile(const std::vector<RequestLoad::SentRequest> &Requests,
                double Share) -> Milliseconds {
  std::vector<Milliseconds> Times;
  for (const auto &Entry : Requests)
    Times.push_back(Entry.latency());
  if (Times.empty())
    return Milliseconds(0);
  std::sort(Times.begin(), Times.end());
  return Times[static_cast<std::size_t>(Share *
                                        static_cast<double>(Times.size() - 1))];
}

auto keysExecutedMoreThanOnce(TestCluster &Cluster, std::size_t Workers)
    -> std::vector<std::string> {
  std::map<std::string, int> ExecutionCounts;
  for (std::size_t Worker = 0; Worker < Workers; ++Worker) {
    auto Record = Cluster.workers().record(static_cast<int>(Worker));
    for (const auto &Entry : Record.at("executions").as_array())
      ++ExecutionCounts[Entry.at("key").as_string()];
  }
  std::vector<std::string> RepeatedKeys;
  for (const auto &[Key, Count] : ExecutionCounts)
    if (Count > 1)
      RepeatedKeys.push_back(Key);
  return RepeatedKeys;
}

} // namespace jayramp
