#include "Platform/HttpChannel.h"

#include "Base/Metrics.h"
#include "Platform/HttpCall.h"
#include "Platform/HttpRuntime.h"
#include "Platform/TimerThread.h"

#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_client.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <exception>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace jayramp {

namespace {

// A connection on which nothing has arrived is closed this long after its call
// has timed out; an answer that arrives before is counted as late.
constexpr Milliseconds LateAnswerGrace{1000};

// Longest time without acknowledgement by the peer's kernel. It ends a connect
// to a dead host before the timeout of a long call, so that the call is known
// not to have been sent.
constexpr Milliseconds LongestUnacknowledged{5000};

auto setOption(int Socket, int Option, int Value) -> void {
  ::setsockopt(Socket, IPPROTO_TCP, Option, &Value, sizeof(Value));
}

/// An http_client and what is known about its connections.
class Client {
public:
  Client(const std::string &Address, Milliseconds Timeout)
      : Reused(std::make_shared<std::atomic<bool>>(false)),
        Http(web::uri("http://" + Address), config(Timeout, Reused)) {}

  auto http() -> web::http::client::http_client & { return Http; }

  /// True if a request may have been sent on a connection used before.
  auto reused() const -> bool { return *Reused; }

private:
  using Flag = std::shared_ptr<std::atomic<bool>>;

  static auto config(Milliseconds Timeout, const Flag &Reused)
      -> web::http::client::http_client_config {
    web::http::client::http_client_config Config;
    Config.set_max_redirects(0);
    // The channel's own timer comes first. This one only limits inactivity.
    constexpr std::chrono::hours BeyondEveryCall{1};
    Config.set_timeout(BeyondEveryCall);
    int Unacknowledged = static_cast<int>(
        std::min(Timeout * 3 / 4, LongestUnacknowledged).count());
    Config.set_nativehandle_options([Reused, Unacknowledged](void *Handle) {
      // Called before each request, also on a connection from the pool.
      auto *Socket = static_cast<boost::asio::ip::tcp::socket *>(Handle);
      if (Socket->is_open()) {
        *Reused = true;
        return;
      }
      Socket->open(boost::asio::ip::tcp::v4());
      // Header and body are written separately; without this option the body
      // waits for the delayed acknowledgement of the header (40 ms).
      setOption(Socket->native_handle(), TCP_NODELAY, 1);
      setOption(Socket->native_handle(), TCP_USER_TIMEOUT, Unacknowledged);
    });
    return Config;
  }

  Flag Reused;
  web::http::client::http_client Http;
};

/// Runs a continuation at once on the thread that completed its task. The
/// default hands it to another thread of the pool, which costs a wake-up.
class InlineScheduler final : public pplx::scheduler_interface {
public:
  auto schedule(pplx::TaskProc_t Procedure, void *Argument) -> void override {
    Procedure(Argument);
  }
};

auto inlineContinuation() -> pplx::task_options {
  static const std::shared_ptr<pplx::scheduler_interface> Scheduler =
      std::make_shared<InlineScheduler>();
  return {pplx::scheduler_ptr(Scheduler)};
}

/// True if cpprestsdk reports that it never had a connection. Its error codes
/// do not tell: it maps a refused connect and a broken write to one code.
auto connectFailed(const std::string &Message) -> bool {
  return Message.find("Failed to connect") != std::string::npos ||
         Message.find("Error resolving address") != std::string::npos;
}

auto describe(const std::exception_ptr &Failure) -> std::string {
  try {
    std::rethrow_exception(Failure);
  } catch (const std::exception &Caught) {
    return Caught.what();
  }
}

auto makeRequest(HttpCall &Call) -> web::http::http_request {
  web::http::http_request Request(Call.Method);
  Request.set_request_uri(web::uri(Call.Path));
  for (const auto &[Name, Value] : Call.Headers)
    Request.headers().add(Name, Value);
  if (Call.FreshConnection)
    Request.headers().add("Connection", "close");
  if (Call.Method != "GET")
    Request.set_body(
        std::vector<unsigned char>(Call.Body.begin(), Call.Body.end()));
  return Request;
}

auto headerText(const web::http::http_headers &Headers, const char *Name)
    -> std::string {
  auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

/// Whether \p Length bytes are the whole body that \p Headers declare.
auto bodyIsWhole(unsigned Status, const web::http::http_headers &Headers,
                 std::size_t Length) -> bool {
  std::string Declared = headerText(Headers, "Content-Length");
  if (!Declared.empty())
    return Declared == std::to_string(Length);
  // A chunked body that lacks its last chunk fails while it is read. A body
  // that ends with the connection cannot be told from one that was cut.
  return Status == web::http::status_codes::NoContent ||
         !headerText(Headers, "Transfer-Encoding").empty();
}

} // namespace

/// One call in progress.
class HttpChannel::Exchange {
public:
  std::uint64_t Number = 0;
  std::string Address;
  std::shared_ptr<Client> Connection;
  bool Pooled = false;
  OutcomeCallback Callback;
  TimerThread::Handle Timeout;
  bool Ended = false; ///< Guarded by the mutex of the channel.
  std::atomic<bool> AnswerStarted = false;
  pplx::cancellation_token_source Cancellation;
};

class HttpChannel::Core : public std::enable_shared_from_this<Core> {
public:
  Core(std::string Name, Metrics &Registry)
      : Label("channel=\"" + std::move(Name) + "\""), Registry(Registry) {}

  auto send(HttpCall Call, OutcomeCallback Callback) -> void;
  auto close() -> void;

private:
  using ExchangePointer = std::shared_ptr<Exchange>;

  auto start(HttpCall &Call, const ExchangePointer &Started) -> void;
  auto receive(const ExchangePointer &Started,
               const pplx::task<web::http::http_response> &Arrived) -> void;
  auto clientOf(const HttpCall &Call) -> std::shared_ptr<Client>;
  auto dropClient(const Exchange &Failed) -> void;
  auto timeOut(const ExchangePointer &Late) -> void;
  auto fail(const ExchangePointer &Failed, std::string Detail) -> void;
  auto end(const ExchangePointer &Ended, HttpOutcome Outcome) -> bool;
  auto finish(Exchange &Ended, HttpOutcome Outcome) -> void;
  auto countLateAnswer() -> void;

  std::string Label;
  Metrics &Registry;
  std::mutex Mutex;
  std::map<std::string, std::shared_ptr<Client>> Pool;
  std::map<std::uint64_t, ExchangePointer> InProgress;
  std::uint64_t NextNumber = 0;
  bool Closed = false;
  int RunningCallbacks = 0;
  std::condition_variable CallbackReturned;
  TimerThread Timers;
  TimerThread Cancellations;
};

auto HttpChannel::Core::clientOf(const HttpCall &Call)
    -> std::shared_ptr<Client> {
  if (Call.FreshConnection)
    return std::make_shared<Client>(Call.Address, Call.Timeout);
  std::lock_guard Lock(Mutex);
  auto &Entry = Pool[Call.Address];
  if (!Entry)
    Entry = std::make_shared<Client>(Call.Address, Call.Timeout);
  return Entry;
}

auto HttpChannel::Core::dropClient(const Exchange &Failed) -> void {
  if (!Failed.Pooled)
    return;
  std::shared_ptr<Client> Dropped;
  std::lock_guard Lock(Mutex);
  auto Found = Pool.find(Failed.Address);
  if (Found == Pool.end() || Found->second != Failed.Connection)
    return;
  Dropped = std::move(Found->second);
  Pool.erase(Found);
}

auto HttpChannel::Core::send(HttpCall Call, OutcomeCallback Callback) -> void {
  if (Call.Timeout <= Milliseconds::zero())
    return Callback(HttpNotSent{"no time was left for the call"});
  auto Started = std::make_shared<Exchange>();
  try {
    Started->Connection = clientOf(Call);
  } catch (const std::exception &Failure) {
    return Callback(HttpNotSent{Failure.what()});
  }
  Started->Address = Call.Address;
  Started->Pooled = !Call.FreshConnection;
  Started->Callback = std::move(Callback);
  bool Refused = false;
  {
    std::lock_guard Lock(Mutex);
    Refused = Closed;
    Started->Number = NextNumber++;
    // Under the lock, so that a call that ends at once finds its timer.
    if (!Refused) {
      Started->Timeout = Timers.schedule(
          Clock::now() + Call.Timeout,
          [Self = weak_from_this(), Late = std::weak_ptr(Started)] {
            auto Locked = Self.lock();
            auto Target = Late.lock();
            if (Locked && Target)
              Locked->timeOut(Target);
          });
      InProgress.emplace(Started->Number, Started);
    }
  }
  if (Refused)
    return Started->Callback(HttpNotSent{"the channel is closed"});
  start(Call, Started);
}

auto HttpChannel::Core::start(HttpCall &Call, const ExchangePointer &Started)
    -> void {
  std::optional<web::http::http_request> Request;
  try {
    Request = makeRequest(Call);
  } catch (const std::exception &Failure) {
    end(Started, HttpNotSent{Failure.what()});
    return;
  }
  try {
    Started->Connection->http()
        .request(*Request, Started->Cancellation.get_token())
        .then(
            [Self = shared_from_this(),
             Started](const pplx::task<web::http::http_response> &Arrived) {
              Self->receive(Started, Arrived);
            },
            inlineContinuation());
  } catch (const std::exception &Failure) {
    fail(Started, Failure.what());
  }
}

auto HttpChannel::Core::receive(
    const ExchangePointer &Started,
    const pplx::task<web::http::http_response> &Arrived) -> void {
  web::http::http_response Response;
  try {
    // The task has completed, so this does not block.
    Response = Arrived.get();
    Started->AnswerStarted = true;
    Response.extract_vector().then(
        [Self = shared_from_this(), Started,
         Response](const pplx::task<std::vector<unsigned char>> &Read) mutable {
          std::vector<unsigned char> Bytes;
          try {
            Bytes = Read.get();
          } catch (...) {
            return Self->fail(Started, describe(std::current_exception()));
          }
          const auto &Headers = Response.headers();
          unsigned Status = Response.status_code();
          if (!bodyIsWhole(Status, Headers, Bytes.size()))
            return Self->fail(Started, "the answer is shorter than declared");
          HttpResponseReceived Answer{Status,
                                      headerText(Headers, "Jayramp-Refused"),
                                      std::string(Bytes.begin(), Bytes.end())};
          if (!Self->end(Started, std::move(Answer)))
            Self->countLateAnswer();
        },
        inlineContinuation());
  } catch (...) {
    fail(Started, describe(std::current_exception()));
  }
}

auto HttpChannel::Core::timeOut(const ExchangePointer &Late) -> void {
  HttpInterrupted Outcome{"no whole answer within the timeout",
                          Late->AnswerStarted, true};
  {
    std::lock_guard Lock(Mutex);
    if (!Closed) {
      Registry.count("http_timeouts_total", Label);
      // Cancellation takes locks of the library, so it must not hold up the
      // timer that ends calls in time.
      Cancellations.schedule(Clock::now() + LateAnswerGrace,
                             [Late] { Late->Cancellation.cancel(); });
    }
  }
  dropClient(*Late);
  end(Late, std::move(Outcome));
}

auto HttpChannel::Core::fail(const ExchangePointer &Failed, std::string Detail)
    -> void {
  dropClient(*Failed);
  // A pooled client may have sent the request on an old connection before it
  // failed to make a new one.
  if (connectFailed(Detail) && !Failed->Connection->reused())
    end(Failed, HttpNotSent{std::move(Detail)});
  else
    end(Failed,
        HttpInterrupted{std::move(Detail), Failed->AnswerStarted, false});
}

auto HttpChannel::Core::end(const ExchangePointer &Ended, HttpOutcome Outcome)
    -> bool {
  ExchangePointer Removed;
  {
    std::lock_guard Lock(Mutex);
    // Under the lock, so that close() sees the callback as running.
    if (std::exchange(Ended->Ended, true))
      return false;
    auto Found = InProgress.find(Ended->Number);
    if (Found != InProgress.end()) {
      Removed = std::move(Found->second);
      InProgress.erase(Found);
    }
    ++RunningCallbacks;
  }
  Timers.cancel(Ended->Timeout);
  finish(*Ended, std::move(Outcome));
  return true;
}

auto HttpChannel::Core::finish(Exchange &Ended, HttpOutcome Outcome) -> void {
  // Destroyed before close() may return: it can hold what the callback uses.
  {
    auto Callback = std::move(Ended.Callback);
    Callback(std::move(Outcome));
  }
  std::lock_guard Lock(Mutex);
  --RunningCallbacks;
  CallbackReturned.notify_all();
}

auto HttpChannel::Core::countLateAnswer() -> void {
  std::lock_guard Lock(Mutex);
  if (!Closed)
    Registry.count("http_late_answers_total", Label);
}

auto HttpChannel::Core::close() -> void {
  std::map<std::uint64_t, ExchangePointer> Remaining;
  {
    std::lock_guard Lock(Mutex);
    Closed = true;
    Remaining = InProgress;
  }
  Timers.stop();
  Cancellations.stop();
  for (const auto &[Number, Open] : Remaining) {
    end(Open,
        HttpInterrupted{"the channel was closed", Open->AnswerStarted, false});
    Open->Cancellation.cancel();
  }
  std::unique_lock Lock(Mutex);
  CallbackReturned.wait(Lock, [this] { return RunningCallbacks == 0; });
  Pool.clear();
}

auto HttpChannel::create(std::string Name, Metrics &Registry)
    -> Result<std::unique_ptr<HttpChannel>> {
  initializeHttpThreads();
  return std::unique_ptr<HttpChannel>(
      new HttpChannel(std::make_shared<Core>(std::move(Name), Registry)));
}

HttpChannel::HttpChannel(std::shared_ptr<Core> Implementation)
    : Implementation(std::move(Implementation)) {}

HttpChannel::~HttpChannel() { Implementation->close(); }

auto HttpChannel::send(HttpCall Call, OutcomeCallback Callback) -> void {
  Implementation->send(std::move(Call), std::move(Callback));
}

auto HttpChannel::call(HttpCall Call) -> HttpOutcome {
  struct Waiter {
    std::mutex Mutex;
    std::condition_variable Changed;
    std::optional<HttpOutcome> Outcome;
  };
  auto Shared = std::make_shared<Waiter>();
  send(std::move(Call), [Shared](HttpOutcome Outcome) {
    std::lock_guard Lock(Shared->Mutex);
    Shared->Outcome = std::move(Outcome);
    Shared->Changed.notify_one();
  });
  std::unique_lock Lock(Shared->Mutex);
  Shared->Changed.wait(Lock, [&Shared] { return Shared->Outcome.has_value(); });
  return std::move(*Shared->Outcome);
}

} // namespace jayramp
