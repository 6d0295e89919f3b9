#include "Control/EntryHostClient.h"

#include <cpprest/http_client.h>

#include <condition_variable>
#include <mutex>
#include <system_error>
#include <thread>

namespace jayramp {

namespace {

/// Cancels a call at its deadline. This limits the whole call, while the
/// timeout of http_client limits only the time between two parts of a response.
class CallDeadline {
public:
  explicit CallDeadline(Milliseconds Timeout)
      : WatchdogThread([this, Timeout] {
          std::unique_lock Lock(Mutex);
          if (!EndedChanged.wait_for(Lock, Timeout, [this] { return Ended; }))
            CancellationSource.cancel();
        }) {}
  CallDeadline(const CallDeadline &) = delete;
  auto operator=(const CallDeadline &) -> CallDeadline & = delete;

  ~CallDeadline() {
    {
      std::lock_guard Lock(Mutex);
      Ended = true;
    }
    EndedChanged.notify_all();
    WatchdogThread.join();
  }

  auto token() const -> pplx::cancellation_token {
    return CancellationSource.get_token();
  }

private:
  pplx::cancellation_token_source CancellationSource;
  std::mutex Mutex;
  std::condition_variable EndedChanged;
  bool Ended = false;
  std::thread WatchdogThread;
};

// These codes are returned only by connect(), before any data is sent.
auto isConnectFailure(const std::error_code &Code) -> bool {
  return Code == std::errc::connection_refused ||
         Code == std::errc::host_unreachable ||
         Code == std::errc::network_unreachable;
}

} // namespace

auto callEntryHost(const SocketAddress &EntryHost, const ControlCall &Call,
                   Milliseconds Timeout) -> CallResult {
  try {
    CallDeadline Deadline(Timeout);
    web::http::client::http_client_config Config;
    Config.set_timeout(Timeout);
    web::http::client::http_client Client("http://" + EntryHost.text(), Config);
    web::http::http_request Request(Call.Method);
    Request.set_request_uri(Call.Path);
    if (!Call.Body.empty())
      Request.set_body(Call.Body, "application/json");
    auto Response = Client.request(Request, Deadline.token()).get();
    auto Body = Response.extract_vector().get();
    auto DeclaredLength = Response.headers().content_length();
    if (Response.headers().has("Content-Length") &&
        DeclaredLength != Body.size())
      return ResponseLost{"the response body is shorter than Content-Length"};
    return CompleteResponse{Response.status_code(),
                            std::string(Body.begin(), Body.end())};
  } catch (const web::http::http_exception &Failure) {
    if (isConnectFailure(Failure.error_code()))
      return ConnectFailed{Failure.what()};
    return ResponseLost{Failure.what()};
  } catch (const std::exception &Failure) {
    return ResponseLost{Failure.what()};
  }
}

} // namespace jayramp
