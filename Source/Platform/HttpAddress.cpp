#include "Platform/HttpAddress.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cctype>

namespace jayramp {

namespace {

auto validPort(const std::string &Port) -> bool {
  constexpr int HighestPort = 65535;
  constexpr std::size_t MostDigits = 5;
  if (Port.empty() || Port.size() > MostDigits ||
      !std::all_of(Port.begin(), Port.end(),
                   [](unsigned char Digit) { return std::isdigit(Digit); }))
    return false;
  int Value = std::stoi(Port);
  return Value > 0 && Value <= HighestPort;
}

} // namespace

auto checkHttpAddress(const std::string &Place, const std::string &Address)
    -> Result<void> {
  auto Colon = Address.rfind(':');
  bool Valid = Colon != std::string::npos;
  if (Valid) {
    boost::system::error_code Failure;
    boost::asio::ip::make_address_v4(Address.substr(0, Colon), Failure);
    Valid = !Failure && validPort(Address.substr(Colon + 1));
  }
  if (!Valid)
    return Error::make(ErrorKind::InvalidArgument, Place,
                       "\"" + Address + "\" is not an address",
                       "give an IPv4 address and a port as IP:port");
  return success();
}

} // namespace jayramp
