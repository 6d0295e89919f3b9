#include "ConnectionCrowd.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <numeric>

namespace jayramp::platform_test {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t BlockBytes = 64U << 10U;
constexpr std::chrono::milliseconds PlayStep{50};
/// A crowd that has sent nothing for so long waits for the server.
constexpr int MaxIdleSteps = 40;
constexpr int MaxSteps = 300;

auto endpointOf(const std::string &Address) -> tcp::endpoint {
  const auto Port = std::atoi(Address.c_str() + Address.rfind(':') + 1);
  return {boost::asio::ip::address_v4::loopback(),
          static_cast<unsigned short>(Port)};
}

/// Returns whole repetitions of \p Text of about BlockBytes.
auto makeBlock(const std::string &Text) -> std::string {
  std::string Block;
  while (!Text.empty() && Block.size() < BlockBytes)
    Block += Text;
  return Block;
}

} // namespace

class ConnectionCrowd::Member : public std::enable_shared_from_this<Member> {
public:
  Member(boost::asio::io_context &Context, const CrowdKind &Kind,
         std::shared_ptr<const std::string> Block)
      : Socket(Context), Opening(Kind.Opening), Block(std::move(Block)),
        FillerLeft(Kind.FillerBytes), ReadsAnswers(Kind.ReadsAnswers) {}

  auto connect(const tcp::endpoint &Endpoint) -> void {
    Socket.async_connect(Endpoint, [Self =
                                        shared_from_this()](ErrorCode Failure) {
      if (Failure)
        return Self->end();
      if (Self->ReadsAnswers)
        Self->readNext();
      boost::asio::async_write(Self->Socket, boost::asio::buffer(Self->Opening),
                               [Self](ErrorCode Problem, std::size_t Count) {
                                 Self->Sent += Count;
                                 Problem ? Self->end() : Self->writeNext();
                               });
    });
  }

  auto isDone() const -> bool { return Done; }
  auto isAnswered() const -> bool { return ReadEnded || !Received.empty(); }
  auto sent() const -> std::size_t { return Sent; }
  auto received() const -> const std::string & { return Received; }
  auto close() -> void {
    ErrorCode Ignored; // The server may have closed the connection already.
    Socket.close(Ignored);
  }

private:
  auto writeNext() -> void {
    if (FillerLeft == 0)
      return end();
    const auto Size = std::min(FillerLeft, Block->size());
    FillerLeft -= Size;
    boost::asio::async_write(
        Socket, boost::asio::buffer(*Block, Size),
        [Self = shared_from_this()](ErrorCode Failure, std::size_t Count) {
          Self->Sent += Count;
          Failure ? Self->end() : Self->writeNext();
        });
  }

  auto readNext() -> void {
    Socket.async_read_some(
        boost::asio::buffer(Answer),
        [Self = shared_from_this()](ErrorCode Failure, std::size_t Count) {
          if (Self->Received.empty())
            Self->Received.assign(Self->Answer.data(), Count);
          Self->ReadEnded = bool(Failure);
          if (!Failure)
            Self->readNext();
        });
  }

  auto end() -> void { Done = true; }

  tcp::socket Socket;
  std::string Opening;
  std::shared_ptr<const std::string> Block;
  std::size_t FillerLeft;
  bool ReadsAnswers;
  bool Done = false;
  std::size_t Sent = 0;
  std::array<char, 4096> Answer{};
  std::string Received; ///< Result of the first read.
  bool ReadEnded = false;
};

ConnectionCrowd::ConnectionCrowd(const std::string &Address,
                                 const CrowdKind &Kind) {
  const auto Block =
      std::make_shared<const std::string>(makeBlock(Kind.Filler));
  for (std::size_t Index = 0; Index < Kind.Connections; ++Index) {
    Members.push_back(std::make_shared<Member>(Context, Kind, Block));
    Members.back()->connect(endpointOf(Address));
  }
}

ConnectionCrowd::~ConnectionCrowd() {
  for (const auto &Each : Members)
    Each->close();
}

auto ConnectionCrowd::play() -> void {
  int IdleSteps = 0;
  for (int Step = 0; Step < MaxSteps && IdleSteps < MaxIdleSteps; ++Step) {
    const auto Before = sentBytes();
    Context.restart();
    Context.run_for(PlayStep);
    if (std::ranges::all_of(Members,
                            [](const auto &Each) { return Each->isDone(); }))
      return;
    IdleSteps = sentBytes() == Before ? IdleSteps + 1 : 0;
  }
}

auto ConnectionCrowd::waitForAnswers() -> void {
  for (int Step = 0; Step < MaxSteps; ++Step) {
    if (std::ranges::all_of(
            Members, [](const auto &Each) { return Each->isAnswered(); }))
      return;
    Context.restart();
    Context.run_for(PlayStep);
  }
}

auto ConnectionCrowd::answers() const -> std::vector<std::string> {
  std::vector<std::string> Texts;
  for (const auto &Each : Members)
    Texts.push_back(Each->received());
  return Texts;
}

auto ConnectionCrowd::sentBytes() const -> std::size_t {
  return std::accumulate(
      Members.begin(), Members.end(), std::size_t{0},
      [](std::size_t Sum, const auto &Each) { return Sum + Each->sent(); });
}

} // namespace jayramp::platform_test
