#pragma once

#include <string>

namespace web::json {
class value;
} // namespace web::json

namespace jayramp {

/// Posts \p Json to /control of the stand-in at \p Address ("IP:port"). Throws
/// std::runtime_error if the stand-in answers with a status other than 200.
auto controlStandIn(const std::string &Address, const std::string &Json)
    -> void;

/// Returns the JSON body of GET /record of the stand-in at \p Address. Throws
/// std::runtime_error if the stand-in answers with a status other than 200.
auto fetchStandInRecord(const std::string &Address) -> web::json::value;

/// Returns \p Address ("IP:port") with \p Offset added to the port. The workers
/// of one worker stand-in listen on consecutive ports.
auto addressWithPortOffset(const std::string &Address, int Offset)
    -> std::string;

} // namespace jayramp
