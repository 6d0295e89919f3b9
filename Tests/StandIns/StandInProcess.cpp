#include "StandInProcess.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cpprest/json.h>

#include <chrono>
#include <csignal>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <unistd.h>

namespace jayramp {

namespace asio = boost::asio;

namespace {

/// Checks each second whether \p Parent is still the parent process, and stops
/// \p Context when it has ended.
auto watchParent(asio::io_context &Context, asio::steady_timer &Timer,
                 pid_t Parent) -> void {
  Timer.expires_after(std::chrono::seconds(1));
  Timer.async_wait([&Context, &Timer, Parent](boost::system::error_code) {
    if (::getppid() != Parent)
      return Context.stop();
    watchParent(Context, Timer, Parent);
  });
}

} // namespace

auto unixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto jsonAnswer(const web::json::value &Body, unsigned Status)
    -> StandInAnswer {
  return {Status, Body.serialize(), {{"Content-Type", "application/json"}}};
}

auto applyControl(const std::string &Body,
                  const std::function<bool(const std::string &,
                                           const web::json::value &)> &SetField)
    -> StandInAnswer {
  try {
    auto Json = web::json::value::parse(Body);
    for (const auto &[Name, Value] : Json.as_object())
      if (!SetField(Name, Value))
        return {400, "unknown field " + Name, {}};
  } catch (const std::exception &Failure) {
    return {400, Failure.what(), {}};
  }
  return jsonAnswer(web::json::value::object());
}

auto parseEndpoint(const std::string &Text) -> asio::ip::tcp::endpoint {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw std::runtime_error("\"" + Text +
                             "\" is not of the form IP:port; give for example "
                             "127.0.0.1:0");
  return {asio::ip::make_address(Text.substr(0, Colon)),
          static_cast<unsigned short>(std::stoi(Text.substr(Colon + 1)))};
}

auto runStandIn(asio::io_context &Context,
                const asio::ip::tcp::endpoint &Listening, bool ExitWithParent)
    -> void {
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait(
      [&Context](boost::system::error_code, int) { Context.stop(); });
  asio::steady_timer Timer(Context);
  if (ExitWithParent)
    watchParent(Context, Timer, ::getppid());
  std::cout << "listening=" << Listening << std::endl;
  Context.run();
}

} // namespace jayramp
