#include "Control/EntryHostClient.h"

#include <cpprest/http_client.h>

#include <condition_variable>
#include <mutex>
#include <system_error>
#include <thread>

namespace jayramp {

namespace {

/// Cancels a call at its deadline. The timeout of the client limits only the
/// time between two pieces of an answer.
class CallDeadline {
public:
  explicit CallDeadline(Milliseconds Timeout)
      : Watch([this, Timeout] {
          std::unique_lock Lock(Mutex);
          if (!Changed.wait_for(Lock, Timeout, [this] { return Ended; }))
            Source.cancel();
        }) {}
  CallDeadline(const CallDeadline &) = delete;
  auto operator=(const CallDeadline &) -> CallDeadline & = delete;

  ~CallDeadline() {
    {
      std::lock_guard Lock(Mutex);
      Ended = true;
    }
    Changed.notify_all();
    Watch.join();
  }

  auto token() const -> pplx::cancellation_token { return Source.get_token(); }

private:
  pplx::cancellation_token_source Source;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Ended = false;
  std::thread Watch;
};

// Only a failed connect gives these codes.
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
    auto Announced = Response.headers().content_length();
    if (Response.headers().has("Content-Length") && Announced != Body.size())
      return AnswerLost{"the answer is cut"};
    return WholeAnswer{Response.status_code(),
                       std::string(Body.begin(), Body.end())};
  } catch (const web::http::http_exception &Failure) {
    if (isConnectFailure(Failure.error_code()))
      return NotReached{Failure.what()};
    return AnswerLost{Failure.what()};
  } catch (const std::exception &Failure) {
    return AnswerLost{Failure.what()};
  }
}

} // namespace jayramp
