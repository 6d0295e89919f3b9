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

/// Milliseconds since the Unix epoch, the common clock of all records.
auto unixMilliseconds() -> std::int64_t;

/// \p Body as a JSON answer.
auto jsonAnswer(const web::json::value &Body, unsigned Status = 200)
    -> StandInAnswer;

/// Hands each field of the control object \p Body to \p Set, which returns
/// false for an unknown field; that and malformed values answer 400.
auto applyControl(const std::string &Body,
                  const std::function<bool(const std::string &,
                                           const web::json::value &)> &Set)
    -> StandInAnswer;

/// The endpoint that \p Text ("IP:port") names. Throws std::runtime_error.
auto parseEndpoint(const std::string &Text) -> boost::asio::ip::tcp::endpoint;

/// Prints the `listening=` line and serves until SIGTERM or SIGINT, or until
/// the parent process has ended if \p ExitWithParent is set.
auto runStandIn(boost::asio::io_context &Context,
                const boost::asio::ip::tcp::endpoint &Listening,
                bool ExitWithParent) -> void;

} // namespace jayramp
