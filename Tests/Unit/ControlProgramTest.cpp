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

// A port of the loopback address on which nothing listens.
constexpr const char *Closed = "127.0.0.1:9";

struct Ran {
  ExitCode Code;
  std::string Output;
  std::string Diagnostics;
};

auto run(Words Arguments, const Words &EntryHosts = {}) -> Ran {
  for (const auto &EntryHost : EntryHosts) {
    Arguments.emplace_back("--entry-host");
    Arguments.push_back(EntryHost);
  }
  std::ostringstream Output;
  std::ostringstream Diagnostics;
  auto Code = runControlProgram(Arguments, Output, Diagnostics);
  return {Code, Output.str(), Diagnostics.str()};
}

const Words Submit = {"request", "submit", "--account", "a",
                      "--key",   "k",      "--payload", "x"};
const Words SubmitIdempotent = {"request", "submit", "--account",   "a",
                                "--key",   "k",      "--idempotent"};

auto codeFor(const Words &Arguments, int Status, const std::string &Body)
    -> ExitCode {
  FixedResponseServer Listener(FixedResponseServer::http(Status, Body));
  return run(Arguments, {Listener.address()}).Code;
}

// Guards against outcomes of a request that share an exit code.
TEST(ControlProgramTest, eachOutcomeHasItsExitCode) {
  EXPECT_EQ(codeFor(Submit, 200, R"({"outcome":"ANSWERED","answer":"eA=="})"),
            ExitCode::Done);
  EXPECT_EQ(codeFor(Submit, 200, R"({"outcome":"FAILED"})"),
            ExitCode::FailedAtWorker);
  EXPECT_EQ(codeFor(Submit, 200, R"({"outcome":"NOT_RUN"})"), ExitCode::NotRun);
  EXPECT_EQ(codeFor(Submit, 200, R"({"outcome":"UNKNOWN"})"),
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(codeFor(Submit, 200, "{}"), ExitCode::OutcomeUnknown);
}

// Guards against refusals that share an exit code.
TEST(ControlProgramTest, eachRefusalHasItsExitCode) {
  const Words Show = {"job", "show", "1"};
  const Words SubmitJob = {"job",   "submit", "--account",      "a",
                           "--key", "k",      "--accelerators", "64"};
  EXPECT_EQ(codeFor(Show, 404, R"({"kind":"NOT_FOUND"})"), ExitCode::NotFound);
  EXPECT_EQ(codeFor(Show, 400, R"({"kind":"INVALID_ARGUMENT"})"),
            ExitCode::InvalidInput);
  EXPECT_EQ(codeFor(Show, 409, R"({"kind":"CONFLICT","winning_version":"7"})"),
            ExitCode::Conflict);
  EXPECT_EQ(codeFor(SubmitJob, 422, R"({"kind":"REJECTED"})"),
            ExitCode::InvalidInput);
  EXPECT_EQ(codeFor(SubmitJob, 503, R"({"outcome":"NOT_RUN"})"),
            ExitCode::NotRun);
  EXPECT_EQ(codeFor(SubmitJob, 201, R"({"id":"1","state":"PENDING"})"),
            ExitCode::Done);
  EXPECT_EQ(codeFor(SubmitJob, 502, "<html>"), ExitCode::OutcomeUnknown);
  EXPECT_EQ(codeFor(SubmitJob, 500, R"({"kind":"INTERNAL"})"),
            ExitCode::OutcomeUnknown);
}

// Guards against a record that is reported as success whatever it says.
TEST(ControlProgramTest, requestShowExitsLikeTheRecordedOutcome) {
  const Words Show = {"request", "show", "a", "k"};
  EXPECT_EQ(codeFor(Show, 200, R"({"state":"KEY_ABSENT"})"),
            ExitCode::NotFound);
  EXPECT_EQ(codeFor(Show, 200, R"({"state":"KEY_IN_FLIGHT"})"),
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(codeFor(Show, 200,
                    R"({"state":"KEY_DONE","outcome":{"outcome":"FAILED"}})"),
            ExitCode::FailedAtWorker);
}

// Guards against a pending change that is reported as in effect.
TEST(ControlProgramTest, aPendingChangeIsNotDone) {
  const Words Set = {"account", "set", "a", "--share", "5"};
  EXPECT_EQ(codeFor(Set, 200, R"({"version":"3","accepted":true})"),
            ExitCode::Done);
  EXPECT_EQ(codeFor(Set, 200, R"({"version":"3","waiting_for":["e2"]})"),
            ExitCode::OutcomeUnknown);
}

// Guards against a cut answer that is passed on as success.
TEST(ControlProgramTest, aCutAnswerIsAnUnknownOutcome) {
  auto Whole = FixedResponseServer::http(
      200, R"({"outcome":"ANSWERED","answer":"eHl6"})");
  for (std::size_t Cut : {1U, 5U, 40U}) {
    FixedResponseServer Listener(Whole.substr(0, Whole.size() - Cut));
    auto Result = run(Submit, {Listener.address()});
    EXPECT_EQ(Result.Code, ExitCode::OutcomeUnknown) << Cut;
    EXPECT_EQ(Result.Output, "");
    EXPECT_EQ(Listener.requests(), 1);
  }
}

// Guards against a listing that is cut in a chunked answer.
TEST(ControlProgramTest, aCutChunkedAnswerIsAnUnknownOutcome) {
  FixedResponseServer Listener("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n2\r\n{}\r\n");
  EXPECT_EQ(run({"job", "list"}, {Listener.address()}).Code,
            ExitCode::OutcomeUnknown);
}

// Guards against waiting forever for a silent entry host.
TEST(ControlProgramTest, aSilentEntryHostIsAnUnknownOutcome) {
  FixedResponseServer Listener("");
  auto Arguments = Submit;
  Arguments.insert(Arguments.end(), {"--timeout-ms", "200"});
  auto Start = std::chrono::steady_clock::now();
  EXPECT_EQ(run(Arguments, {Listener.address()}).Code,
            ExitCode::OutcomeUnknown);
  EXPECT_LT(std::chrono::steady_clock::now() - Start, std::chrono::seconds(5));
}

// Guards against a failed connect that is reported as an unknown outcome.
TEST(ControlProgramTest, aClosedPortIsNotReachable) {
  auto Result = run(Submit, {Closed});
  EXPECT_EQ(Result.Code, ExitCode::EntryHostNotReachable);
  EXPECT_NE(Result.Diagnostics.find(Closed), std::string::npos);
}

// Guards against a non-idempotent request that is sent twice.
TEST(ControlProgramTest, triesTheNextHostOnlyWhereARepeatIsSafe) {
  FixedResponseServer Cut("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
  FixedResponseServer Good(
      FixedResponseServer::http(200, R"({"outcome":"ANSWERED"})"));
  EXPECT_EQ(run(Submit, {Cut.address(), Good.address()}).Code,
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(Good.requests(), 0);
  EXPECT_EQ(run(SubmitIdempotent, {Cut.address(), Good.address()}).Code,
            ExitCode::Done);
  EXPECT_EQ(run(Submit, {Closed, Good.address()}).Code, ExitCode::Done);
  EXPECT_EQ(Good.requests(), 2);
}

// Guards against "not run" for a request whose first attempt may have run.
TEST(ControlProgramTest, notRunAfterALostAnswerStaysUnknown) {
  FixedResponseServer Cut("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
  FixedResponseServer Refusing(
      FixedResponseServer::http(200, R"({"outcome":"NOT_RUN"})"));
  EXPECT_EQ(run(SubmitIdempotent, {Cut.address(), Refusing.address()}).Code,
            ExitCode::OutcomeUnknown);
  EXPECT_EQ(run(Submit, {Refusing.address(), Closed}).Code, ExitCode::NotRun);
}

// Guards against names that change the path of a call.
TEST(ControlProgramTest, encodesNamesInPaths) {
  FixedResponseServer Listener(FixedResponseServer::http(200, "{}"));
  run({"account", "show", "a/b?c d"}, {Listener.address()});
  EXPECT_TRUE(
      Listener.lastRequest().starts_with("GET /v1/accounts/a%2Fb%3Fc%20d "))
      << Listener.lastRequest();
}

// Guards against payload bytes or fields that are lost on the way.
TEST(ControlProgramTest, sendsTheMessageOfTheSchema) {
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

// Guards against invalid input that reaches an entry host.
TEST(ControlProgramTest, refusesInvalidCommandLines) {
  FixedResponseServer Listener(FixedResponseServer::http(200, "{}"));
  const std::vector<Words> All = {
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
  for (const auto &Arguments : All) {
    auto Result = run(Arguments, {Listener.address()});
    EXPECT_EQ(Result.Code, ExitCode::InvalidInput)
        << testing::PrintToString(Arguments);
    EXPECT_NE(Result.Diagnostics.find("; "), std::string::npos);
  }
  EXPECT_EQ(run({"status"}).Code, ExitCode::InvalidInput);
  EXPECT_EQ(run({"status"}, {"localhost:80"}).Code, ExitCode::InvalidInput);
  EXPECT_EQ(run({"drain"}, {Listener.address(), Closed}).Code,
            ExitCode::InvalidInput);
  EXPECT_EQ(Listener.requests(), 0);
}

// Guards against a drain that is not sent or that fails on its answer.
TEST(ControlProgramTest, drainPostsToOneEntryHost) {
  FixedResponseServer Listener(FixedResponseServer::http(202, "{}"));
  EXPECT_EQ(run({"drain"}, {Listener.address()}).Code, ExitCode::Done);
  EXPECT_TRUE(Listener.lastRequest().starts_with("POST /v1/drain "));
}

// Guards against help that needs an entry host.
TEST(ControlProgramTest, printsHelpAndVersionWithoutACall) {
  EXPECT_EQ(run({"--help"}).Code, ExitCode::Done);
  EXPECT_NE(run({"--help"}).Output.find("request submit"), std::string::npos);
  EXPECT_EQ(run({"--version"}).Output, "jayrampctl 0.1.0\n");
}

// Guards against lines that are missing from a story, out of order, or of
// another job.
TEST(ControlProgramTest, explainFollowsOneJobThroughTheLogsOfItsHosts) {
  auto Folder = testing::TempDir() + "explain-" + std::to_string(::getpid());
  std::ofstream(Folder + "-a.log")
      << "time=2026-12-04T16:00:00.100Z level=warning host=a event=store-lost\n"
         "time=2026-12-04T16:00:01.000Z level=info host=a event=job-submitted "
         "job=j1 outcome=0\n"
         "time=2026-12-04T16:00:01.500Z level=info host=a event=job-submitted "
         "job=j2 outcome=0\n"
         "time=2026-12-04T16:00:09.000Z level=info host=a event=store-good\n";
  std::ofstream(Folder + "-b.log")
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
  auto Told = run({"explain", "j1", "--log", Folder + "-a.log", "--log",
                   Folder + "-b.log"});
  EXPECT_EQ(Told.Code, ExitCode::Done);
  EXPECT_EQ(
      Told.Output,
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
  EXPECT_EQ(run({"explain", "j3", "--log", Folder + "-a.log"}).Code,
            ExitCode::NotFound);
  EXPECT_EQ(run({"explain", "j1", "--log", Folder + "-c.log"}).Code,
            ExitCode::InvalidInput);
  EXPECT_EQ(run({"explain", "j1"}).Code, ExitCode::InvalidInput);
}

} // namespace
} // namespace jayramp
