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

// Time from the timeout of a call to the closing of its connection. A response
// that arrives within it is counted as late.
constexpr Milliseconds LateResponseGrace{1000};

// Upper limit of TCP_USER_TIMEOUT, the time that sent data may stay without an
// acknowledgement by the peer's kernel. A connect to a dead host fails after
// this time, before the timeout of a long call, so the call is known not to
// have been sent.
constexpr Milliseconds MaxUnacknowledgedTime{5000};

auto setTcpOption(int Socket, int Option, int Value) -> void {
  ::setsockopt(Socket, IPPROTO_TCP, Option, &Value, sizeof(Value));
}

/// An http_client that records whether it has reused a connection.
class RecordingClient {
public:
  RecordingClient(const std::string &Address, Milliseconds Timeout)
      : Reused(std::make_shared<std::atomic<bool>>(false)),
        Http(web::uri("http://" + Address), config(Timeout, Reused)) {}

  auto http() -> web::http::client::http_client & { return Http; }

  /// Returns true if a request may have been sent on a connection that an
  /// earlier request had used.
  auto hasReusedConnection() const -> bool { return *Reused; }

private:
  using Flag = std::shared_ptr<std::atomic<bool>>;

  static auto config(Milliseconds Timeout, const Flag &Reused)
      -> web::http::client::http_client_config {
    web::http::client::http_client_config Config;
    Config.set_max_redirects(0);
    // This timeout only limits inactivity. The timers of the channel enforce
    // the time limits of calls, so it must be longer than every call.
    constexpr std::chrono::hours InactivityTimeout{1};
    Config.set_timeout(InactivityTimeout);
    int UnacknowledgedMs = static_cast<int>(
        std::min(Timeout * 3 / 4, MaxUnacknowledgedTime).count());
    Config.set_nativehandle_options([Reused, UnacknowledgedMs](void *Handle) {
      // cpprestsdk calls this before each request. The socket is already open
      // if the connection comes from the pool.
      auto *Socket = static_cast<boost::asio::ip::tcp::socket *>(Handle);
      if (Socket->is_open()) {
        *Reused = true;
        return;
      }
      Socket->open(boost::asio::ip::tcp::v4());
      // cpprestsdk writes header and body separately. Without TCP_NODELAY the
      // body waits 40 ms for the delayed acknowledgement of the header.
      setTcpOption(Socket->native_handle(), TCP_NODELAY, 1);
      setTcpOption(Socket->native_handle(), TCP_USER_TIMEOUT, UnacknowledgedMs);
    });
    return Config;
  }

  Flag Reused;
  web::http::client::http_client Http;
};

/// Runs each continuation on the thread that completed its task. The default
/// scheduler passes it to another thread of the pool, whose wake-up adds
/// latency.
class InlineScheduler final : public pplx::scheduler_interface {
public:
  auto schedule(pplx::TaskProc_t Procedure, void *Argument) -> void override {
    Procedure(Argument);
  }
};

/// Returns options that make a continuation run on the InlineScheduler.
auto inlineContinuation() -> pplx::task_options {
  static const std::shared_ptr<pplx::scheduler_interface> Scheduler =
      std::make_shared<InlineScheduler>();
  return {pplx::scheduler_ptr(Scheduler)};
}

/// Returns true if \p Message is a message of cpprestsdk for a failed connect.
/// Its error codes cannot be used: a refused connect and a failed write have
/// the same code.
auto isConnectFailure(const std::string &Message) -> bool {
  return Message.find("Failed to connect") != std::string::npos ||
         Message.find("Error resolving address") != std::string::npos;
}

auto exceptionMessage(const std::exception_ptr &Failure) -> std::string {
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

/// Returns the value of a header, or an empty string if it is absent.
auto headerValue(const web::http::http_headers &Headers, const char *Name)
    -> std::string {
  auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

/// Returns true if a body of \p Length bytes is complete according to the
/// status and the headers of its response.
auto isBodyComplete(unsigned Status, const web::http::http_headers &Headers,
                    std::size_t Length) -> bool {
  std::string Declared = headerValue(Headers, "Content-Length");
  if (!Declared.empty())
    return Declared == std::to_string(Length);
  // Reading a chunked body fails if its last chunk is missing. A body without a
  // declared length ends with the connection, so a truncated one cannot be
  // detected; it is treated as incomplete.
  return Status == web::http::status_codes::NoContent ||
         !headerValue(Headers, "Transfer-Encoding").empty();
}

} // namespace

/// A call in progress.
class HttpChannel::PendingCall {
public:
  std::uint64_t Number = 0;
  std::string Address;
  std::shared_ptr<RecordingClient> Client;
  bool Pooled = false; ///< The client is shared by the calls to the address.
  OutcomeCallback Callback;
  TimerThread::Handle Timeout;
  bool Ended = false; ///< Guarded by the mutex of the channel.
  std::atomic<bool> ResponseStarted = false;
  pplx::cancellation_token_source Cancellation;
};

class HttpChannel::Core : public std::enable_shared_from_this<Core> {
public:
  Core(std::string Name, Metrics &Registry)
      : Label("channel=\"" + std::move(Name) + "\""), Registry(Registry) {}

  auto send(HttpCall Call, OutcomeCallback Callback) -> void;
  auto close() -> void;

private:
  using CallPointer = std::shared_ptr<PendingCall>;

  auto start(HttpCall &Call, const CallPointer &NewCall) -> void;
  /// Handles the header of the response and begins to read its body.
  auto receive(const CallPointer &Call,
               const pplx::task<web::http::http_response> &ResponseTask)
      -> void;
  auto clientFor(const HttpCall &Call) -> std::shared_ptr<RecordingClient>;
  /// Removes the client of \p Call from the pool if it is shared.
  auto discardClient(const PendingCall &Call) -> void;
  auto handleTimeout(const CallPointer &Call) -> void;
  /// Ends \p Call after an error of cpprestsdk with the message \p Detail.
  auto fail(const CallPointer &Call, std::string Detail) -> void;
  /// Ends \p Call and runs its callback. Returns false, without an effect, if
  /// it has already ended.
  auto end(const CallPointer &Call, HttpOutcome Outcome) -> bool;
  auto runCallback(PendingCall &Call, HttpOutcome Outcome) -> void;
  auto countLateResponse() -> void;

  std::string Label;
  Metrics &Registry;
  std::mutex Mutex;
  std::map<std::string, std::shared_ptr<RecordingClient>> Pool;
  std::map<std::uint64_t, CallPointer> CallsInProgress;
  std::uint64_t NextCallNumber = 0;
  bool Closed = false;
  /// Number of calls that have ended but whose callback has not returned.
  int RunningCallbacks = 0;
  std::condition_variable CallbackReturned;
  TimerThread TimeoutTimers;
  TimerThread CancellationTimers;
};

auto HttpChannel::Core::clientFor(const HttpCall &Call)
    -> std::shared_ptr<RecordingClient> {
  if (Call.FreshConnection)
    return std::make_shared<RecordingClient>(Call.Address, Call.Timeout);
  std::lock_guard Lock(Mutex);
  auto &Entry = Pool[Call.Address];
  if (!Entry)
    Entry = std::make_shared<RecordingClient>(Call.Address, Call.Timeout);
  return Entry;
}

auto HttpChannel::Core::discardClient(const PendingCall &Call) -> void {
  if (!Call.Pooled)
    return;
  std::shared_ptr<RecordingClient> Removed;
  std::lock_guard Lock(Mutex);
  auto Found = Pool.find(Call.Address);
  if (Found == Pool.end() || Found->second != Call.Client)
    return;
  Removed = std::move(Found->second);
  Pool.erase(Found);
}

auto HttpChannel::Core::send(HttpCall Call, OutcomeCallback Callback) -> void {
  if (Call.Timeout <= Milliseconds::zero())
    return Callback(
        HttpNotSent{"the time limit had passed before the call was sent"});
  auto NewCall = std::make_shared<PendingCall>();
  try {
    NewCall->Client = clientFor(Call);
  } catch (const std::exception &Failure) {
    return Callback(HttpNotSent{Failure.what()});
  }
  NewCall->Address = Call.Address;
  NewCall->Pooled = !Call.FreshConnection;
  NewCall->Callback = std::move(Callback);
  bool ChannelClosed = false;
  {
    std::lock_guard Lock(Mutex);
    ChannelClosed = Closed;
    NewCall->Number = NextCallNumber++;
    // Set under the lock, so that the timer is known to a call that ends at
    // once.
    if (!ChannelClosed) {
      NewCall->Timeout = TimeoutTimers.schedule(
          Clock::now() + Call.Timeout,
          [Self = weak_from_this(), WeakCall = std::weak_ptr(NewCall)] {
            auto Locked = Self.lock();
            auto Target = WeakCall.lock();
            if (Locked && Target)
              Locked->handleTimeout(Target);
          });
      CallsInProgress.emplace(NewCall->Number, NewCall);
    }
  }
  if (ChannelClosed)
    return NewCall->Callback(HttpNotSent{"the HTTP client is being shut down"});
  start(Call, NewCall);
}

auto HttpChannel::Core::start(HttpCall &Call, const CallPointer &NewCall)
    -> void {
  std::optional<web::http::http_request> Request;
  try {
    Request = makeRequest(Call);
  } catch (const std::exception &Failure) {
    end(NewCall, HttpNotSent{Failure.what()});
    return;
  }
  try {
    NewCall->Client->http()
        .request(*Request, NewCall->Cancellation.get_token())
        .then(
            [Self = shared_from_this(),
             NewCall](const pplx::task<web::http::http_response> &Arrived) {
              Self->receive(NewCall, Arrived);
            },
            inlineContinuation());
  } catch (const std::exception &Failure) {
    fail(NewCall, Failure.what());
  }
}

auto HttpChannel::Core::receive(
    const CallPointer &Call,
    const pplx::task<web::http::http_response> &ResponseTask) -> void {
  web::http::http_response Response;
  try {
    // The task has completed, so this does not block.
    Response = ResponseTask.get();
    Call->ResponseStarted = true;
    Response.extract_vector().then(
        [Self = shared_from_this(), Call, Response](
            const pplx::task<std::vector<unsigned char>> &BodyTask) mutable {
          std::vector<unsigned char> Bytes;
          try {
            Bytes = BodyTask.get();
          } catch (...) {
            return Self->fail(Call, exceptionMessage(std::current_exception()));
          }
          const auto &Headers = Response.headers();
          unsigned Status = Response.status_code();
          if (!isBodyComplete(Status, Headers, Bytes.size()))
            return Self->fail(
                Call,
                "the response body is incomplete or has no declared length");
          HttpResponseReceived Received{
              Status, headerValue(Headers, "Jayramp-Refused"),
              std::string(Bytes.begin(), Bytes.end())};
          if (!Self->end(Call, std::move(Received)))
            Self->countLateResponse();
        },
        inlineContinuation());
  } catch (...) {
    fail(Call, exceptionMessage(std::current_exception()));
  }
}

auto HttpChannel::Core::handleTimeout(const CallPointer &Call) -> void {
  HttpInterrupted Outcome{"no complete response within the timeout",
                          Call->ResponseStarted, true};
  {
    std::lock_guard Lock(Mutex);
    if (!Closed) {
      Registry.count("http_timeouts_total", Label);
      // Cancelling takes locks of cpprestsdk. It runs on another thread, so
      // that it cannot delay the thread that enforces the timeouts.
      CancellationTimers.schedule(Clock::now() + LateResponseGrace,
                                  [Call] { Call->Cancellation.cancel(); });
    }
  }
  discardClient(*Call);
  end(Call, std::move(Outcome));
}

auto HttpChannel::Core::fail(const CallPointer &Call, std::string Detail)
    -> void {
  discardClient(*Call);
  // A pooled client may have sent the request on a reused connection before it
  // failed to open a new one.
  if (isConnectFailure(Detail) && !Call->Client->hasReusedConnection())
    end(Call, HttpNotSent{std::move(Detail)});
  else
    end(Call, HttpInterrupted{std::move(Detail), Call->ResponseStarted, false});
}

auto HttpChannel::Core::end(const CallPointer &Call, HttpOutcome Outcome)
    -> bool {
  CallPointer Removed;
  {
    std::lock_guard Lock(Mutex);
    // Ended is set and RunningCallbacks increased under one lock, so that
    // close() waits for this callback.
    if (std::exchange(Call->Ended, true))
      return false;
    auto Found = CallsInProgress.find(Call->Number);
    if (Found != CallsInProgress.end()) {
      Removed = std::move(Found->second);
      CallsInProgress.erase(Found);
    }
    ++RunningCallbacks;
  }
  TimeoutTimers.cancel(Call->Timeout);
  runCallback(*Call, std::move(Outcome));
  return true;
}

auto HttpChannel::Core::runCallback(PendingCall &Call, HttpOutcome Outcome)
    -> void {
  // The callback is destroyed before close() can return, because the objects
  // that it has captured may refer to the owner of the channel.
  {
    auto Callback = std::move(Call.Callback);
    Callback(std::move(Outcome));
  }
  std::lock_guard Lock(Mutex);
  --RunningCallbacks;
  CallbackReturned.notify_all();
}

auto HttpChannel::Core::countLateResponse() -> void {
  std::lock_guard Lock(Mutex);
  if (!Closed)
    Registry.count("http_late_answers_total", Label);
}

auto HttpChannel::Core::close() -> void {
  std::map<std::uint64_t, CallPointer> Remaining;
  {
    std::lock_guard Lock(Mutex);
    Closed = true;
    Remaining = CallsInProgress;
  }
  TimeoutTimers.stop();
  CancellationTimers.stop();
  for (const auto &[Number, Call] : Remaining) {
    end(Call, HttpInterrupted{"the HTTP client was shut down during the call",
                              Call->ResponseStarted, false});
    Call->Cancellation.cancel();
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
