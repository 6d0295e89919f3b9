#include "Platform/HttpWorkerClient.h"

#include "Base/Metrics.h"
#include "EndToEnd/StandIn.h"
#include "Platform/RequestAttempt.h"
#include "Platform/TaskCall.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace jayramp {
namespace {

class HttpWorkerClientTest : public testing::Test {
protected:
  auto attempt(const std::string &Payload, bool Idempotent = false) const
      -> RequestAttempt {
    return {.WorkerAddress = Worker.address(),
            .Account = "account",
            .Key = "key",
            .AttemptNumber = 3,
            .Epoch = 5,
            .Timeout = Milliseconds(1000),
            .Idempotent = Idempotent,
            .Payload = Payload};
  }

  auto execute(RequestAttempt Attempt) -> AttemptOutcome {
    auto Shared = std::make_shared<std::promise<AttemptOutcome>>();
    auto Outcome = Shared->get_future();
    Client->execute(std::move(Attempt), [Shared](AttemptOutcome Received) {
      Shared->set_value(std::move(Received));
    });
    return Outcome.get();
  }

  /// Returns the reason with which the worker refused, or "not refused".
  auto refusalReason(RequestAttempt Attempt) -> std::string {
    auto Outcome = execute(std::move(Attempt));
    const auto *Refused = std::get_if<AttemptRefused>(&Outcome);
    return Refused ? Refused->Reason : "not refused";
  }

  Metrics Registry;
  StandIn Worker = StandIn::startWorkers();
  std::unique_ptr<HttpWorkerClient> Client =
      HttpWorkerClient::create(Registry).value();
};

// Guards against headers that do not reach the worker, and against responses
// whose bytes are altered in transit.
TEST_F(HttpWorkerClientTest, returnsAResponseOfOneMegabyteUnchanged) {
  std::string Payload;
  for (int Index = 0; Index < 1 << 20; ++Index)
    Payload += static_cast<char>(Index * 31 + Index / 255);
  for (bool Idempotent : {false, true}) {
    auto Outcome = execute(attempt(Payload, Idempotent));
    const auto *Succeeded = std::get_if<AttemptSucceeded>(&Outcome);
    ASSERT_TRUE(Succeeded);
    EXPECT_TRUE(Succeeded->Body == Payload);
  }
  auto Execution = Worker.record().at("executions").at(0);
  EXPECT_EQ(Execution.at("account").as_string(), "account");
  EXPECT_EQ(Execution.at("key").as_string(), "key");
  EXPECT_EQ(Execution.at("attempt").as_integer(), 3);
}

// Guards against a non-idempotent request that runs twice because its response
// was lost.
TEST_F(HttpWorkerClientTest, nonIdempotentAttemptRunsOnce) {
  Worker.control(R"({"lose_answers":0.5})");
  constexpr int Calls = 40;
  int InterruptedCount = 0;
  for (int Index = 0; Index < Calls; ++Index) {
    auto Outcome = execute(attempt("payload"));
    if (const auto *Interrupted = std::get_if<AttemptInterrupted>(&Outcome)) {
      ++InterruptedCount;
      EXPECT_FALSE(Interrupted->ResponseTruncated);
    }
  }
  EXPECT_EQ(Worker.record().at("executions").size(), Calls);
  EXPECT_GT(InterruptedCount, 0);
  EXPECT_LT(InterruptedCount, Calls);
}

// Guards against a truncated response that is passed on as a complete one.
TEST_F(HttpWorkerClientTest, truncatedResponseInterruptsTheAttempt) {
  for (const char *Chunked : {"false", "true"}) {
    Worker.control(std::string(R"({"cut_answers":1,"chunked_answers":)") +
                   Chunked + "}");
    for (int Size : {2, 1000, 70'000, 1'000'000}) {
      auto Outcome = execute(attempt(R"({"run_ms":1,"answer_bytes":)" +
                                     std::to_string(Size) + "}"));
      const auto *Interrupted = std::get_if<AttemptInterrupted>(&Outcome);
      ASSERT_TRUE(Interrupted) << Size << " chunked " << Chunked;
      EXPECT_TRUE(Interrupted->ResponseTruncated)
          << Size << " chunked " << Chunked;
    }
  }
}

// Guards against an attempt that never ends on a connection without responses,
// and against a callback that is called twice.
TEST_F(HttpWorkerClientTest, unansweredAttemptEndsOnceAtTheTimeout) {
  // Opens the pooled connection before the worker stops responding.
  ASSERT_TRUE(std::holds_alternative<AttemptSucceeded>(
      execute(attempt("payload", true))));
  Worker.control(R"({"silent":true})");
  for (bool Idempotent : {true, false}) {
    auto Calls = std::make_shared<std::atomic<int>>(0);
    auto Ended = std::make_shared<std::promise<AttemptOutcome>>();
    TimePoint Start = Clock::now();
    Client->execute(attempt("payload", Idempotent),
                    [Calls, Ended](AttemptOutcome Outcome) {
                      if (++*Calls == 1)
                        Ended->set_value(std::move(Outcome));
                    });
    auto Outcome = Ended->get_future().get();
    auto Duration = Clock::now() - Start;
    EXPECT_TRUE(std::holds_alternative<AttemptInterrupted>(Outcome));
    EXPECT_GE(Duration, Milliseconds(1000));
    EXPECT_LT(Duration, Milliseconds(1200));
    // The channel closes the connection one second after the timeout.
    std::this_thread::sleep_for(Milliseconds(1300));
    EXPECT_EQ(*Calls, 1);
  }
  Worker.control(R"({"silent":false})");
  EXPECT_TRUE(std::holds_alternative<AttemptSucceeded>(
      execute(attempt("payload", true))));
}

// Guards against a failed connect that is reported as an unknown outcome.
TEST_F(HttpWorkerClientTest, failedConnectIsReportedAsNotSent) {
  Worker.process().kill();
  EXPECT_TRUE(
      std::holds_alternative<AttemptNotSent>(execute(attempt("payload"))));
}

// Guards against the injection of headers through a key.
TEST_F(HttpWorkerClientTest, keyWithControlCharactersIsNotSent) {
  auto Attempt = attempt("payload");
  Attempt.Key = "a\r\nJayramp-Epoch: 9";
  EXPECT_TRUE(std::holds_alternative<AttemptNotSent>(execute(Attempt)));
}

// Guards against a refusal before the start that is reported as a failure of
// the request, or with the wrong reason.
TEST_F(HttpWorkerClientTest, reportsTheReasonOfARefusal) {
  std::vector<std::future<void>> Running;
  for (int Index = 0; Index < 8; ++Index) {
    auto Ended = std::make_shared<std::promise<void>>();
    Running.push_back(Ended->get_future());
    Client->execute(attempt(R"({"run_ms":600})"),
                    [Ended](const AttemptOutcome &) { Ended->set_value(); });
  }
  std::this_thread::sleep_for(Milliseconds(200));
  EXPECT_EQ(refusalReason(attempt("payload")), "busy");
  for (auto &Attempt : Running)
    Attempt.get();
  auto OutdatedAttempt = attempt("payload");
  OutdatedAttempt.Epoch = 4;
  EXPECT_EQ(refusalReason(OutdatedAttempt), "fenced");
  Worker.control(R"({"leaving":true})");
  EXPECT_EQ(refusalReason(attempt("payload")), "leaving");
  auto Record = Worker.record();
  EXPECT_EQ(Record.at("executions").size(), 8U);
  EXPECT_EQ(Record.at("most_slots_used").as_integer(), 8);
  EXPECT_EQ(Record.at("refused").at("busy").as_integer(), 1);
  EXPECT_EQ(Record.at("refused").at("fenced").as_integer(), 1);
  EXPECT_EQ(Record.at("refused").at("leaving").as_integer(), 1);
}

// Guards against a request that failed on the worker but is reported as
// successful.
TEST_F(HttpWorkerClientTest, reportsAFailedRequest) {
  EXPECT_TRUE(std::holds_alternative<AttemptFailed>(
      execute(attempt(R"({"run_ms":1,"fail":true})"))));
}

// Guards against calls of a former owner of the worker that still take effect:
// they carry an outdated epoch.
TEST_F(HttpWorkerClientTest, statusAndControlWithAnOldEpochAreFenced) {
  std::string Address = Worker.address();
  Milliseconds Timeout(1000);
  WorkerStatus Status = Client->status(Address, 6, Timeout).value();
  EXPECT_EQ(Status.Name, "worker-0");
  EXPECT_EQ(Status.Epoch, 6U);
  EXPECT_EQ(Status.Slots, 8U);
  EXPECT_EQ(Status.Accelerators, 8U);
  EXPECT_EQ(Client->status(Address, 5, Timeout).error().kind(),
            ErrorKind::Fenced);
  TaskCall Call{TaskVerb::Prepare, 5, {{"t", "j", {0}, Milliseconds(1000)}}};
  EXPECT_EQ(Client->control(Address, Call, Timeout).error().kind(),
            ErrorKind::Fenced);
  Call.Epoch = 6;
  auto Tasks = Client->control(Address, Call, Timeout).value();
  ASSERT_EQ(Tasks.size(), 1U);
  EXPECT_EQ(Tasks[0].State, "prepared");
}

// Guards against attempts that never get an outcome because the client is
// destroyed.
TEST_F(HttpWorkerClientTest, destructorEndsAttemptsInProgress) {
  std::promise<AttemptOutcome> Ended;
  Client->execute(attempt(R"({"run_ms":800})"), [&](AttemptOutcome Outcome) {
    Ended.set_value(std::move(Outcome));
  });
  Client.reset();
  auto Outcome = Ended.get_future();
  ASSERT_EQ(Outcome.wait_for(std::chrono::seconds(0)),
            std::future_status::ready);
  EXPECT_TRUE(std::holds_alternative<AttemptInterrupted>(Outcome.get()));
}

// Guards against latency from additional calls, connections or timers, for
// example the 40 ms of a delayed acknowledgement. ClientLatencyBenchmark
// measures the processing time of the client itself.
TEST_F(HttpWorkerClientTest, attemptNeedsNoExtraCallConnectionOrTimer) {
  constexpr int Calls = 50;
  // A connection returns to the pool shortly after its response was passed to
  // the callback, so a few more than one are opened.
  constexpr int MaxPooledConnections = 5;
  // Far longer than an attempt takes, but shorter than any timer that could
  // delay it.
  constexpr Milliseconds MaxFastestAttempt(20);
  for (bool Idempotent : {false, true}) {
    Worker.control(R"({"reset_record":true})");
    auto Fastest = Clock::duration::max();
    for (int Index = 0; Index < Calls; ++Index) {
      TimePoint Sent = Clock::now();
      auto Outcome = execute(attempt(std::string(1000, 'x'), Idempotent));
      Fastest = std::min(Fastest, Clock::now() - Sent);
      ASSERT_TRUE(std::holds_alternative<AttemptSucceeded>(Outcome));
    }
    auto Record = Worker.record();
    EXPECT_EQ(Record.at("executions").size(), Calls);
    int Connections = Record.at("connections").as_integer();
    if (Idempotent)
      EXPECT_LE(Connections, MaxPooledConnections);
    else
      EXPECT_EQ(Connections, Calls);
    EXPECT_LT(Fastest, MaxFastestAttempt);
  }
}

} // namespace
} // namespace jayramp
