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

auto sendOn(HttpTestClient &Client, const std::string &Key,
            const RequestLoad::Options &Wanted) -> std::string {
  v1::SubmitRequest Request;
  Request.set_account("alpha");
  Request.set_key(Key);
  Request.set_idempotent(Wanted.Idempotent);
  Request.set_work_class(v1::SHORT);
  Request.set_deadline_ms(static_cast<std::uint32_t>(Wanted.Deadline.count()));
  Request.set_payload(Wanted.Payload);
  try {
    auto Answer = Client.call("POST", "/v1/requests", renderJson(Request),
                              Wanted.Deadline + Milliseconds(20000));
    v1::RequestOutcome Outcome;
    if (!parseJson(Answer.Body, Outcome))
      return "STATUS " + std::to_string(Answer.Status);
    std::string Text = v1::Outcome_Name(Outcome.outcome());
    if (Outcome.reason() != v1::REASON_UNSPECIFIED)
      Text += " " + v1::Reason_Name(Outcome.reason());
    return Text;
  } catch (const std::runtime_error &Failure) {
    return std::string("CUT ") + Failure.what();
  }
}

} // namespace

class RequestLoad::State {
public:
  State(const TestCluster &Cluster, Options Wanted)
      : Cluster(Cluster), Wanted(std::move(Wanted)) {
    for (std::size_t Host = 0; Host < Cluster.entryHostCount(); ++Host)
      Used.emplace_back(true), Changes.emplace_back(0);
  }

  auto run(std::size_t Caller) -> void {
    std::map<std::size_t, std::pair<std::uint64_t, HttpTestClient>> Clients;
    std::size_t Next = Caller;
    for (std::size_t Number = 0; !Ending.load(); ++Number) {
      std::size_t Host = Next++ % Used.size();
      if (!Used[Host].load()) {
        std::this_thread::sleep_for(Milliseconds(1));
        continue;
      }
      // Like a load balancer, drops the connections to a host that is taken
      // out of use: its process may be another one afterwards.
      std::uint64_t Change = Changes[Host].load();
      auto Found = Clients.find(Host);
      if (Found != Clients.end() && Found->second.first != Change)
        Clients.erase(Found);
      auto &Client =
          Clients
              .try_emplace(Host, Change,
                           HttpTestClient(Cluster.entryAddress(Host)))
              .first->second.second;
      SentRequest Done;
      Done.Key = Wanted.KeyPrefix + "-" + std::to_string(Caller) + "-" +
                 std::to_string(Number);
      Done.Host = Host;
      Done.Begin = Clock::now();
      Done.Result = sendOn(Client, Done.Key, Wanted);
      Done.End = Clock::now();
      {
        std::lock_guard Lock(Mutex);
        Requests.push_back(std::move(Done));
      }
      std::this_thread::sleep_for(Wanted.Pause);
    }
  }

  auto watch(std::size_t Host) -> void {
    while (!Ending.load()) {
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

  auto setHostInUse(std::size_t Host, bool Ready) -> void {
    if (!Ready && Used[Host].load())
      ++Changes[Host];
    Used[Host].store(Ready);
  }

  const TestCluster &Cluster;
  const Options Wanted;
  std::deque<std::atomic<bool>> Used;
  std::deque<std::atomic<std::uint64_t>> Changes;
  std::atomic<bool> Ending{false};
  std::mutex Mutex; ///< Guards Requests.
  std::vector<SentRequest> Requests;
  std::vector<std::thread> Threads;
};

RequestLoad::RequestLoad(const TestCluster &Cluster, const Options &Wanted)
    : Body(std::make_unique<State>(Cluster, Wanted)) {
  for (std::size_t Caller = 0; Caller < Wanted.Callers; ++Caller)
    Body->Threads.emplace_back([this, Caller] { Body->run(Caller); });
}

RequestLoad::~RequestLoad() { stop(); }

auto RequestLoad::setHostInUse(std::size_t Host, bool Used) -> void {
  Body->setHostInUse(Host, Used);
}

auto RequestLoad::followReadiness() -> void {
  for (std::size_t Host = 0; Host < Body->Used.size(); ++Host)
    Body->Threads.emplace_back([this, Host] { Body->watch(Host); });
}

auto RequestLoad::stop() -> std::vector<SentRequest> {
  Body->Ending.store(true);
  for (auto &Thread : Body->Threads)
    Thread.join();
  Body->Threads.clear();
  return Body->Requests;
}

auto RequestLoad::send(const std::string &Address, const std::string &Key,
                       const Options &Wanted) -> std::string {
  HttpTestClient Client(Address);
  return sendOn(Client, Key, Wanted);
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
  std::map<std::string, int> Runs;
  for (std::size_t Worker = 0; Worker < Workers; ++Worker) {
    auto Record = Cluster.workers().record(static_cast<int>(Worker));
    for (const auto &Entry : Record.at("executions").as_array())
      ++Runs[Entry.at("key").as_string()];
  }
  std::vector<std::string> Doubled;
  for (const auto &[Key, Count] : Runs)
    if (Count > 1)
      Doubled.push_back(Key);
  return Doubled;
}

} // namespace jayramp
