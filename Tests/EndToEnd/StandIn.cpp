#include "EndToEnd/StandIn.h"

#include "EndToEnd/StandInClient.h"

#include <cpprest/json.h>

#include <stdexcept>
#include <utility>

namespace jayramp {

auto StandIn::start(const std::string &Program,
                    const std::vector<std::string> &Arguments) -> StandIn {
  std::vector<std::string> Command{Program};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  auto Started = ChildProcess::start(std::move(Command));
  if (!Started)
    throw std::runtime_error(Started.error().message());
  auto Address =
      Started.value().waitForLine("listening=", std::chrono::seconds(10));
  if (!Address)
    throw std::runtime_error(Program + ": " + Address.error().message());
  return {std::move(Started.value()), Address.value()};
}

StandIn::StandIn(ChildProcess Process, std::string Address)
    : Process(std::move(Process)), FirstAddress(std::move(Address)) {}

auto StandIn::startPlatform(const std::vector<std::string> &Arguments)
    -> StandIn {
  return start(JAYRAMP_PLATFORM_STAND_IN, Arguments);
}

auto StandIn::startWorkers(const std::vector<std::string> &Arguments)
    -> StandIn {
  return start(JAYRAMP_WORKER_STAND_IN, Arguments);
}

auto StandIn::address(int Index) const -> std::string {
  return addressWithPortOffset(FirstAddress, Index);
}

auto StandIn::control(const std::string &Json, int Index) const -> void {
  controlStandIn(address(Index), Json);
}

auto StandIn::record(int Index) const -> web::json::value {
  return fetchStandInRecord(address(Index));
}

} // namespace jayramp
