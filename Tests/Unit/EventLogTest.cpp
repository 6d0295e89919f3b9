#include "Base/EventLog.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <future>
#include <string>

namespace jayramp {
namespace {

// Guards against values that split a log line or add fields to it.
TEST(EventLogTest, quotesValuesWithSpecialCharacters) {
  EXPECT_EQ(formatEvent("request_done",
                        {{"key", "a b"}, {"detail", "x=\"1\"\n"}, {"n", "3"}}),
            "event=request_done key=\"a b\" detail=\"x=\\\"1\\\"\\n\" n=3");
}

/// A pipe that is read only by drain().
class ManualPipe {
public:
  ManualPipe() {
    if (::pipe2(Ends, O_CLOEXEC) != 0)
      std::abort();
  }
  ManualPipe(const ManualPipe &) = delete;
  auto operator=(const ManualPipe &) -> ManualPipe & = delete;
  ~ManualPipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }

  auto writer() const -> int { return Ends[1]; }
  /// Reads everything that the pipe holds, without blocking.
  auto drain() const -> std::string {
    std::string Text;
    char Buffer[65536];
    pollfd PollState{Ends[0], POLLIN, 0};
    while (::poll(&PollState, 1, 0) == 1) {
      auto Count = ::read(Ends[0], Buffer, sizeof Buffer);
      if (Count <= 0)
        break;
      Text.append(Buffer, static_cast<std::size_t>(Count));
    }
    return Text;
  }

private:
  int Ends[2] = {-1, -1};
};

// Guards against threads that block because nobody reads the log.
TEST(EventLogTest, dropsLinesInsteadOfBlockingOnAFullPipe) {
  ManualPipe Pipe;
  constexpr std::uint32_t Unlimited = 1U << 30U;
  initializeLog("host", LogLevel::Info,
                {Pipe.writer(), {.Lines = Unlimited, .Bytes = Unlimited}});
  constexpr int Lines = 20000;
  auto Writer = std::async(std::launch::async, [] {
    for (int Number = 0; Number < Lines; ++Number)
      logEvent(LogLevel::Info, "storm", {{"job", std::to_string(Number)}});
  });
  if (Writer.wait_for(std::chrono::seconds(30)) != std::future_status::ready) {
    Pipe.drain();
    FAIL() << "logEvent() blocks because the pipe is full";
  }
  auto TextBefore = Pipe.drain();
  auto WrittenLines = std::count(TextBefore.begin(), TextBefore.end(), '\n');
  EXPECT_GT(WrittenLines, 100);
  EXPECT_LT(WrittenLines, Lines);
  logEvent(LogLevel::Info, "after", {});
  auto TextAfter = Pipe.drain();
  EXPECT_NE(TextAfter.find("event=after"), std::string::npos);
  EXPECT_NE(TextAfter.find("event=log-dropped reason=output lines=" +
                           std::to_string(Lines - WrittenLines)),
            std::string::npos)
      << TextAfter;
}

// Guards against a burst of events whose dropped lines are not reported.
TEST(EventLogTest, reportsLinesDroppedByTheRateLimit) {
  ManualPipe Pipe;
  initializeLog("host", LogLevel::Info,
                {Pipe.writer(), {.Lines = 20, .Bytes = 1U << 20U}});
  for (int Number = 0; Number < 1000; ++Number)
    logEvent(LogLevel::Info, "storm", {{"job", std::to_string(Number)}});
  auto Text = Pipe.drain();
  EXPECT_LE(std::count(Text.begin(), Text.end(), '\n'), 20);
  EXPECT_NE(Text.find("event=log-dropped reason=budget"), std::string::npos);
}

// Guards against writing the report of lost lines while the pipe is still full:
// the report would be lost as well.
TEST(EventLogTest, reportsLostLinesOnceThePipeAcceptsLines) {
  ManualPipe Pipe;
  constexpr std::uint32_t Lines = 200;
  initializeLog("host", LogLevel::Info,
                {Pipe.writer(), {.Lines = Lines, .Bytes = 1U << 30U}});
  const std::string LongText(3000, 'x');
  for (std::uint32_t Number = 0; Number < Lines; ++Number)
    logEvent(LogLevel::Info, "storm",
             {{"job", std::to_string(Number)}, {"detail", LongText}});
  auto TextBefore = Pipe.drain();
  auto WrittenLines = std::count(TextBefore.begin(), TextBefore.end(), '\n');
  logEvent(LogLevel::Warning, "after", {});
  auto TextAfter = Pipe.drain();
  auto Position = TextAfter.find("reason=output lines=");
  ASSERT_NE(Position, std::string::npos) << TextAfter;
  auto LostLines =
      std::stol(TextAfter.substr(TextAfter.find("lines=", Position) + 6));
  // The rate limiter admits every line up to half of the limit, so these lines
  // are either written or lost at the pipe.
  EXPECT_GE(LostLines, Lines / 2 - WrittenLines) << TextAfter;
}

} // namespace
} // namespace jayramp
