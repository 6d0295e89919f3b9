#pragma once

#include "StandInAnswer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace web::json {
class value;
} // namespace web::json

namespace jayramp {

/// Returns the milliseconds since the Unix epoch. All recorded times use this
/// clock.
auto unixMilliseconds() -> std::int64_t;

/// Returns a response with the JSON text of \p Body.
auto jsonAnswer(const web::json::value &Body, unsigned Status = 200)
    -> StandInAnswer;

/// Calls \p SetField for each field of the JSON object \p Body, the body of a
/// control request. Returns a response with status 400 if \p Body is not an
/// object, \p SetField returns false, which means an unknown field, or it
/// throws because of a malformed value.
auto applyControl(const std::string &Body,
                  const std::function<bool(const std::string &,
                                           const web::json::value &)> &SetField)
    -> StandInAnswer;

/// Returns the endpoint for \p Text, in the format IP:port. Throws an
/// exception derived from std::exception if \p Text is malformed.
auto parseEndpoint(const std::string &Text) -> boost::asio::ip::tcp::endpoint;

/// Prints `listening=` and \p Listening, then serves until SIGTERM or SIGINT
/// arrives or, if \p ExitWithParent is set, the parent process has ended.
auto runStandIn(boost::asio::io_context &Context,
                const boost::asio::ip::tcp::endpoint &Listening,
                bool ExitWithParent) -> void;

} // namespace jayramp
