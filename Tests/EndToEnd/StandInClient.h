#pragma once

#include <string>

namespace web::json {
class value;
} // namespace web::json

namespace jayramp {

/// Posts \p Json to /control of the stand-in at \p Address ("IP:port"). Throws
/// std::runtime_error if the stand-in refuses it.
auto controlStandIn(const std::string &Address, const std::string &Json)
    -> void;

/// The record of the stand-in at \p Address. Throws on failure.
auto fetchStandInRecord(const std::string &Address) -> web::json::value;

/// "IP:port" with the port raised by \p Offset; worker stand-ins use
/// consecutive ports.
auto addressWithPortOffset(const std::string &Address, int Offset)
    -> std::string;

} // namespace jayramp
