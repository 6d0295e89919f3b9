#include "Control/ControlProgram.h"

#include "FixedResponseServer.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>

namespace jayramp {
namespace {

using Words = std::vector<std::string>;

// A loopback address whose port has no listener; connections are refused.
constexpr const char *ClosedAddress = "127.0.0.1:9";

struct RunResult {
  ExitCode Code;
  std::string Output;
  std::string Diagnostics;
};

auto run(Words Arguments, const Words &EntryHosts = {}) -> RunResult {
  for (const auto &EntryHost : EntryHosts) {
    Arguments.emplace_back("--entry-host");
    Arguments.push_back(EntryHost);
  }
  std::ostringstream Output;
  std::ostringstream Diagnostics;
  auto Code = runControlProgram(Arguments, Output, Diagnostics);
  return {Code, Output.str(), Diagnostics.str()};
}

const Words SubmitArguments = {"request", "submit", "--account", "a",
                               "--key",   "k",      "--payload", "x"};
const Words SubmitIdempotentArguments = {
    "request", "submit", "--account", "a", "--key", "k", "--idempotent"};

/// Returns the exit code of jayrampctl when the entry host answers with HTTP
/// status \p Status and \p Body.
auto exitCodeFor(const Words &Arguments, int Status, const std::string &Body)
    -> ExitCode {
  FixedResponseServer Listener(FixedResponseServer::http(Status, Body));
  return run(Arguments, {Listener.address()}).Code;
}

// Guards against two request outcomes with the same exit code, which a calling
// script could not tell apart.
TEST(ControlProgramTest, eachRequestOutcomeHasItsOwnExitCode) {
  EXPECT_EQ(exitCodeFor(SubmitArguments, 200,
                        R"({"outcome":"ANSWERED","answer":"eA=="})"),
            ExitCode::Success);
  EXPECT_EQ(exitCodeFor(SubmitArguments, 200, R"({"outcome":"FAILED"})"),
            ExitCode::WorkerFailed);
  EXPECT_EQ(exitCodeFor(SubmitArguments, 200, R"({"outcome":"NOT_RUN"})"),
            ExitCode::NotRun);
  EXPECT_EQ(exitCodeFor(SubmitArguments, 200, R"({"outcome":"UNKNOWN"})"),
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(exitCodeFor(SubmitArguments, 200, "{}"), ExitCode::OutcomeUnknown);
}

// Guards against error replies that are mapped to the wrong exit code, for
// example a rejected job reported as an unknown outcome.
TEST(ControlProgramTest, eachErrorReplyMapsToItsExitCode) {
  const Words Show = {"job", "show", "1"};
  const Words SubmitJob = {"job",   "submit", "--account",      "a",
                           "--key", "k",      "--accelerators", "64"};
  EXPECT_EQ(exitCodeFor(Show, 404, R"({"kind":"NOT_FOUND"})"),
            ExitCode::NotFound);
  EXPECT_EQ(exitCodeFor(Show, 400, R"({"kind":"INVALID_ARGUMENT"})"),
            ExitCode::InvalidInput);
  EXPECT_EQ(
      exitCodeFor(Show, 409, R"({"kind":"CONFLICT","winning_version":"7"})"),
      ExitCode::Conflict);
  EXPECT_EQ(exitCodeFor(SubmitJob, 422, R"({"kind":"REJECTED"})"),
            ExitCode::InvalidInput);
  EXPECT_EQ(exitCodeFor(SubmitJob, 503, R"({"outcome":"NOT_RUN"})"),
            ExitCode::NotRun);
  EXPECT_EQ(exitCodeFor(SubmitJob, 201, R"({"id":"1","state":"PENDING"})"),
            ExitCode::Success);
  EXPECT_EQ(exitCodeFor(SubmitJob, 502, "<html>"), ExitCode::OutcomeUnknown);
  EXPECT_EQ(exitCodeFor(SubmitJob, 500, R"({"kind":"INTERNAL"})"),
            ExitCode::OutcomeUnknown);
}

// Guards against `request show` exiting with success although the recorded
// outcome is a failure, or no outcome is recorded.
TEST(ControlProgramTest, requestShowExitsWithTheCodeOfTheRecordedOutcome) {
  const Words Show = {"request", "show", "a", "k"};
  EXPECT_EQ(exitCodeFor(Show, 200, R"({"state":"KEY_ABSENT"})"),
            ExitCode::NotFound);
  EXPECT_EQ(exitCodeFor(Show, 200, R"({"state":"KEY_IN_FLIGHT"})"),
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(
      exitCodeFor(Show, 200,
                  R"({"state":"KEY_DONE","outcome":{"outcome":"FAILED"}})"),
      ExitCode::WorkerFailed);
}

// Guards against success being reported for a configuration change that some
// entry hosts have not confirmed yet.
TEST(ControlProgramTest, unconfirmedChangeIsAnUnknownOutcome) {
  const Words Set = {"account", "set", "a", "--share", "5"};
  EXPECT_EQ(exitCodeFor(Set, 200, R"({"version":"3","accepted":true})"),
            ExitCode::Success);
  EXPECT_EQ(exitCodeFor(Set, 200, R"({"version":"3","waiting_for":["e2"]})"),
            ExitCode::OutcomeUnknown);
}

// Guards against a truncated response that is reported as success.
TEST(ControlProgramTest, truncatedResponseIsAnUnknownOutcome) {
  auto FullResponse = FixedResponseServer::http(
      200, R"({"outcome":"ANSWERED","answer":"eHl6"})");
  for (std::size_t MissingBytes : {1U, 5U, 40U}) {
    FixedResponseServer Listener(
        FullResponse.substr(0, FullResponse.size() - MissingBytes));
    auto Result = run(SubmitArguments, {Listener.address()});
    EXPECT_EQ(Result.Code, ExitCode::OutcomeUnknown) << MissingBytes;
    EXPECT_EQ(Result.Output, "");
    EXPECT_EQ(Listener.requests(), 1);
  }
}

// Guards against a chunked response without its final chunk that is reported as
// a complete job list.
TEST(ControlProgramTest, truncatedChunkedResponseIsAnUnknownOutcome) {
  FixedResponseServer Listener("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n2\r\n{}\r\n");
  EXPECT_EQ(run({"job", "list"}, {Listener.address()}).Code,
            ExitCode::OutcomeUnknown);
}

// Guards against waiting without limit for an entry host that accepts the
// connection and never responds.
TEST(ControlProgramTest, timeoutOfAnEntryHostIsAnUnknownOutcome) {
  FixedResponseServer Listener("");
  auto Arguments = SubmitArguments;
  Arguments.insert(Arguments.end(), {"--timeout-ms", "200"});
  auto Start = std::chrono::steady_clock::now();
  EXPECT_EQ(run(Arguments, {Listener.address()}).Code,
            ExitCode::OutcomeUnknown);
  EXPECT_LT(std::chrono::steady_clock::now() - Start, std::chrono::seconds(5));
}

// Guards against a refused connection that is reported as an unknown outcome,
// although the call cannot have taken effect.
TEST(ControlProgramTest, refusedConnectionIsReportedAsUnreachable) {
  auto Result = run(SubmitArguments, {ClosedAddress});
  EXPECT_EQ(Result.Code, ExitCode::EntryHostUnreachable);
  EXPECT_NE(Result.Diagnostics.find(ClosedAddress), std::string::npos);
}

// Guards against sending a non-idempotent request to a second entry host after
// the first may have run it.
TEST(ControlProgramTest, triesTheNextEntryHostOnlyIfARepeatIsSafe) {
  FixedResponseServer TruncatingHost(
      "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
  FixedResponseServer AnsweringHost(
      FixedResponseServer::http(200, R"({"outcome":"ANSWERED"})"));
  EXPECT_EQ(
      run(SubmitArguments, {TruncatingHost.address(), AnsweringHost.address()})
          .Code,
      ExitCode::OutcomeUnknown);
  EXPECT_EQ(AnsweringHost.requests(), 0);
  EXPECT_EQ(run(SubmitIdempotentArguments,
                {TruncatingHost.address(), AnsweringHost.address()})
                .Code,
            ExitCode::Success);
  EXPECT_EQ(run(SubmitArguments, {ClosedAddress, AnsweringHost.address()}).Code,
            ExitCode::Success);
  EXPECT_EQ(AnsweringHost.requests(), 2);
}

// Guards against reporting "not run" for a request that an earlier entry host,
// whose response was lost, may have run.
TEST(ControlProgramTest, notRunAfterALostResponseIsAnUnknownOutcome) {
  FixedResponseServer TruncatingHost(
      "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
  FixedResponseServer NotRunHost(
      FixedResponseServer::http(200, R"({"outcome":"NOT_RUN"})"));
  EXPECT_EQ(run(SubmitIdempotentArguments,
                {TruncatingHost.address(), NotRunHost.address()})
                .Code,
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(run(SubmitArguments, {NotRunHost.address(), ClosedAddress}).Code,
            ExitCode::NotRun);
}

// Guards against special characters in an account name, such as / and ?, that
// change the request path.
TEST(ControlProgramTest, percentEncodesNamesInPaths) {
  FixedResponseServer Listener(FixedResponseServer::http(200, "{}"));
  run({"account", "show", "a/b?c d"}, {Listener.address()});
  EXPECT_TRUE(
      Listener.lastRequest().starts_with("GET /v1/accounts/a%2Fb%3Fc%20d "))
      << Listener.lastRequest();
}

// Guards against command line options that are missing from the JSON body.
TEST(ControlProgramTest, sendsAllAccountOptionsInTheJsonBody) {
  FixedResponseServer Listener(
      FixedResponseServer::http(200, R"({"accepted":true})"));
  run({"account", "set", "a", "--share", "5", "--guarantee", "8x2",
       "--guarantee", "16x1"},
      {Listener.address()});
  EXPECT_NE(Listener.lastRequest().find(
                R"({"account":{"name":"a","guarantees":[{"accelerators":8,)"
                R"("count":2},{"accelerators":16,"count":1}],)"
                R"("request_share":5}})"),
            std::string::npos)
      << Listener.lastRequest();
}

// Guards against sending invalid input to an entry host, and against error
// messages that do not say how to correct the input.
TEST(ControlProgramTest, rejectsInvalidCommandLines) {
  FixedResponseServer Listener(FixedResponseServer::http(200, "{}"));
  const std::vector<Words> InvalidCommandLines = {
      {},
      {"reqest", "submit"},
      {"job", "show"},
      {"job", "show", "1", "2"},
      {"status", "--nonsense"},
      {"status", "--account", "a"},
      {"status", "--output", "xml"},
      {"status", "--timeout-ms", "0"},
      {"status", "--timeout-ms", "5s"},
      {"request", "submit", "--account", "a"},
      {"request", "submit", "--account", "a", "--key", "a b"},
      {"request", "submit", "--account", "a", "--key", std::string(129, 'k')},
      {"request", "submit", "--account", "a", "--key", "k", "--deadline-ms",
       "600001"},
      {"request", "submit", "--account", "a", "--key", "k", "--payload-file",
       "/nonexistent"},
      {"job", "submit", "--account", "a", "--key", "k", "--accelerators", "65"},
      {"account", "set", "a", "--share", "1001"},
      {"account", "set", "a", "--share", "1", "--guarantee", "8"},
      {"configuration", "set", "/nonexistent", "--expected-version", "1"},
      {"configuration", "set", "/dev/null"},
  };
  for (const auto &Arguments : InvalidCommandLines) {
    auto Result = run(Arguments, {Listener.address()});
    EXPECT_EQ(Result.Code, ExitCode::InvalidInput)
        << testing::PrintToString(Arguments);
    EXPECT_NE(Result.Diagnostics.find("; "), std::string::npos);
  }
  EXPECT_EQ(run({"status"}).Code, ExitCode::InvalidInput);
  EXPECT_EQ(run({"status"}, {"localhost:80"}).Code, ExitCode::InvalidInput);
  EXPECT_EQ(run({"drain"}, {Listener.address(), ClosedAddress}).Code,
            ExitCode::InvalidInput);
  EXPECT_EQ(Listener.requests(), 0);
}

// Guards against `drain` that sends the wrong request, or that treats HTTP
// status 202 as an error.
TEST(ControlProgramTest, drainSendsAPostRequest) {
  FixedResponseServer Listener(FixedResponseServer::http(202, "{}"));
  EXPECT_EQ(run({"drain"}, {Listener.address()}).Code, ExitCode::Success);
  EXPECT_TRUE(Listener.lastRequest().starts_with("POST /v1/drain "));
}

// Guards against --help and --version requiring an --entry-host option.
TEST(ControlProgramTest, printsHelpAndVersionWithoutAnEntryHost) {
  EXPECT_EQ(run({"--help"}).Code, ExitCode::Success);
  EXPECT_NE(run({"--help"}).Output.find("request submit"), std::string::npos);
  EXPECT_EQ(run({"--version"}).Output, "jayrampctl 0.1.0\n");
}

// Guards against a timeline of a job that lacks lines, is not in the order of
// their times, or shows lines of another job, host or worker.
TEST(ControlProgramTest, explainMergesTheLogsOfAllHostsOfAJob) {
  auto PathPrefix =
      testing::TempDir() + "explain-" + std::to_string(::getpid());
  std::ofstream(PathPrefix + "-a.log")
      << "time=2026-12-04T16:00:00.100Z level=warning host=a event=store-lost\n"
         "time=2026-12-04T16:00:01.000Z level=info host=a event=job-submitted "
         "job=j1 outcome=0\n"
         "time=2026-12-04T16:00:01.500Z level=info host=a event=job-submitted "
         "job=j2 outcome=0\n"
         "time=2026-12-04T16:00:09.000Z level=info host=a event=store-good\n";
  std::ofstream(PathPrefix + "-b.log")
      << "time=2026-12-04T16:00:03.000Z level=info host=b event=task-ended "
         "run=j1/0/0#1 worker=\"w 1\" how=0\n"
         "time=2026-12-04T16:00:02.000Z level=info host=b event=tasks-placed "
         "job=j1 run=1\n"
         "time=2026-12-04T16:00:02.500Z level=info host=b event=worker-gone "
         "worker=\"w 1\"\n"
         "time=2026-12-04T16:00:02.600Z level=info host=c event=worker-gone\n"
         "time=2026-12-04T16:00:02.700Z level=info host=b event=worker-gone "
         "worker=w2\n"
         "time=2026-12-04T16:00:02.800Z level=info host=b event=store-lost\n"
         "time=2026-12-04T16:00:02.810Z level=info host=b event=store-lost\n"
         "time=2026-12-04T16:00:02.820Z level=info host=b event=store-lost\n"
         "a line of something else\n";
  auto Explained = run({"explain", "j1", "--log", PathPrefix + "-a.log",
                        "--log", PathPrefix + "-b.log"});
  EXPECT_EQ(Explained.Code, ExitCode::Success);
  EXPECT_EQ(
      Explained.Output,
      "    time=2026-12-04T16:00:00.100Z level=warning host=a "
      "event=store-lost\n"
      "time=2026-12-04T16:00:01.000Z level=info host=a event=job-submitted "
      "job=j1 outcome=0\n"
      "time=2026-12-04T16:00:02.000Z level=info host=b event=tasks-placed "
      "job=j1 run=1\n"
      "    time=2026-12-04T16:00:02.500Z level=info host=b event=worker-gone "
      "worker=\"w 1\"\n"
      "    time=2026-12-04T16:00:02.800Z level=info host=b event=store-lost\n"
      "    host=b event=store-lost: 2 more\n"
      "time=2026-12-04T16:00:03.000Z level=info host=b event=task-ended "
      "run=j1/0/0#1 worker=\"w 1\" how=0\n");
  EXPECT_EQ(run({"explain", "j3", "--log", PathPrefix + "-a.log"}).Code,
            ExitCode::NotFound);
  EXPECT_EQ(run({"explain", "j1", "--log", PathPrefix + "-c.log"}).Code,
            ExitCode::InvalidInput);
  EXPECT_EQ(run({"explain", "j1"}).Code, ExitCode::InvalidInput);
}

// Guards against a timeline without the cause of a job's wait when no host that
// has a line about the job acts as the owner of its shard.
TEST(ControlProgramTest, explainShowsWhyNoOwnerActsOnAJob) {
  const auto Path =
      testing::TempDir() + "owner-" + std::to_string(::getpid()) + ".log";
  const std::string Submitted =
      "time=2026-12-04T16:00:01.000Z level=info host=a event=job-submitted "
      "job=j1 outcome=0\n";
  const std::string Delayed =
      "time=2026-12-04T16:00:04.000Z level=warning host=b "
      "event=takeover-delayed shard=s reason=feed-interrupted\n";
  const std::string Recovering =
      "time=2026-12-04T16:00:06.000Z level=warning host=c "
      "event=shard-recovering shard=s reason=job-table\n";
  const std::string Placed =
      "time=2026-12-04T16:00:05.000Z level=info host=c event=tasks-placed "
      "job=j1 run=1\n";
  std::ofstream(Path) << Submitted << Delayed << Recovering;
  EXPECT_EQ(run({"explain", "j1", "--log", Path}).Output,
            Submitted + "    " + Delayed + "    " + Recovering);
  std::ofstream(Path) << Submitted << Delayed << Recovering << Placed;
  EXPECT_EQ(run({"explain", "j1", "--log", Path}).Output,
            Submitted + "    " + Delayed + Placed);
}

} // namespace
} // namespace jayramp
