#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace jayramp::net {

/// Counts the connections that met a limit, and logs them at most once a second
/// for each reason.
class LimitReporter {
public:
  /// Receives the reason of each case.
  using Counter = std::function<void(std::string_view Reason)>;

  /// \p Server names the server in log lines.
  LimitReporter(std::string Server, Counter Count)
      : Server(std::move(Server)), Count(std::move(Count)) {}

  auto report(std::string_view Reason, const std::string &Peer) -> void;
  /// Counts one more case; returns the number of cases that are to be logged
  /// now, 0 if none are.
  auto countCase(std::string_view Reason, TimePoint Now) -> std::uint64_t;

private:
  struct Series {
    std::uint64_t NotLogged = 0;
    TimePoint LoggedAt;
  };

  std::string Server;
  Counter Count;
  std::map<std::string, Series, std::less<>> SeriesByReason;
};

} // namespace jayramp::net
