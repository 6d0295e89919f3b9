// Feeds randomly damaged HTTP messages to the reader of requests and responses,
// in random pieces. Set JAYRAMP_FUZZ_SECONDS for a longer run and JAYRAMP_SEED
// to repeat one.

#include "Base/Clock.h"
#include "MessageMutator.h"
#include "Net/MessageReader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace jayramp::net {
namespace {

constexpr std::size_t MaxPieceBytes = 64;

auto requests() -> std::vector<std::string> {
  const std::string Head = "POST /jobs/00000000000000aa?x=1 HTTP/1.1\r\n"
                           "Host: jobs.example\r\nAuthorization: Bearer k\r\n";
  return {"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
          Head + "Content-Length: 5\r\n\r\n{\"a\"}" + Head + "\r\n",
          Head +
              "Transfer-Encoding: chunked\r\n\r\n"
              "3;name=\"value\"\r\n{\"a\r\n2\r\n\"}\r\n0\r\nX-Sum: 1\r\n\r\n",
          Head + "X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n"};
}

auto responses() -> std::vector<std::string> {
  return {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "2\r\n{}\r\n0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\nrest",
          "HTTP/1.0 503 Busy\r\nRetry-After: 1\r\n\r\n"};
}

auto smallLimits() -> HttpLimits {
  HttpLimits Limits;
  Limits.MaxHeaderBytes = 400;
  Limits.MaxBodyBytes = 100;
  Limits.MaxHeaderLines = 20;
  Limits.MaxFramingBytes = 200;
  return Limits;
}

/// Reads all messages in \p Text; returns their number.
template <bool IsRequest>
auto readAll(const std::string &Text, MessageMutator &Random) -> std::size_t {
  using Progress = typename MessageReader<IsRequest>::Progress;
  const auto Limits = smallLimits();
  MessageReader<IsRequest> Reader;
  Reader.begin(Limits);
  std::size_t Messages = 0;
  for (std::size_t At = 0; At < Text.size();) {
    const auto Size =
        std::min(Text.size() - At, 1 + Random.below(MaxPieceBytes));
    std::memcpy(Reader.prepare(Size).data(), Text.data() + At, Size);
    Reader.commit(Size);
    At += Size;
    auto Reached = Reader.parse();
    while (Reached == Progress::Complete) {
      ++Messages;
      EXPECT_LE(Reader.take().body().size(), Limits.MaxBodyBytes);
      Reader.begin(Limits);
      Reached = Reader.parse();
    }
    // The buffer doubles when it grows.
    EXPECT_LE(Reader.bufferBytes(),
              2 * (Limits.MaxHeaderBytes + Limits.MaxBodyBytes + 512));
    if (Reached == Progress::Failed) {
      EXPECT_NE(Reader.fault(), MessageFault::None);
      Reader.discard();
      return Messages;
    }
  }
  Reader.finish();
  return Messages;
}

// Guards against bytes of a client, worker, store or peer that end the process
// or get around the limits.
TEST(HttpFuzzTest, damagedMessagesStayWithinTheLimits) {
  const auto Seed = environmentNumber("JAYRAMP_SEED", 40);
  const auto Duration =
      std::chrono::seconds(environmentNumber("JAYRAMP_FUZZ_SECONDS", 1));
  const auto Requests = requests();
  const auto Responses = responses();
  MessageMutator Random(Seed);
  std::size_t Inputs = 0;
  std::size_t Messages = 0;
  for (const auto End = Clock::now() + Duration; Clock::now() < End; ++Inputs) {
    const auto &Corpus = Inputs % 2 == 0 ? Requests : Responses;
    const auto Text = Random.mutate(Corpus[Random.below(Corpus.size())] +
                                    Corpus[Random.below(Corpus.size())]);
    ASSERT_NO_THROW(Messages += Inputs % 2 == 0 ? readAll<true>(Text, Random)
                                                : readAll<false>(Text, Random))
        << "seed " << Seed << ": " << Text;
    ASSERT_FALSE(HasFailure()) << "seed " << Seed << ": " << Text;
  }
  EXPECT_GT(Messages, 0U);
  std::printf("seed=%u inputs=%zu messages=%zu\n", Seed, Inputs, Messages);
}

} // namespace
} // namespace jayramp::net
