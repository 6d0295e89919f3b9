#include "Platform/HttpAddress.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cctype>

namespace jayramp {

namespace {

auto isValidPort(const std::string &Port) -> bool {
  constexpr int MaxPort = 65535;
  constexpr std::size_t MaxPortDigits = 5;
  if (Port.empty() || Port.size() > MaxPortDigits ||
      !std::all_of(Port.begin(), Port.end(),
                   [](unsigned char Digit) { return std::isdigit(Digit); }))
    return false;
  int Value = std::stoi(Port);
  return Value > 0 && Value <= MaxPort;
}

} // namespace

auto checkHttpAddress(const std::string &Setting, const std::string &Address)
    -> Result<void> {
  auto Colon = Address.rfind(':');
  bool Valid = Colon != std::string::npos;
  if (Valid) {
    boost::system::error_code Failure;
    boost::asio::ip::make_address_v4(Address.substr(0, Colon), Failure);
    Valid = !Failure && isValidPort(Address.substr(Colon + 1));
  }
  if (!Valid)
    return Error::make(
        ErrorKind::InvalidArgument, Setting,
        "\"" + Address + "\" is not an IPv4 address with a port",
        "write it as IP:port with a port from 1 to 65535, for example "
        "127.0.0.1:8080");
  return success();
}

} // namespace jayramp
