#include "EndToEnd/StandInClient.h"

#include "Platform/HttpRuntime.h"

#include <cpprest/http_client.h>

#include <stdexcept>

namespace jayramp {

namespace {

constexpr std::chrono::seconds CallTimeout{10};

/// Sends \p Request and returns the body of the response. Opens a new
/// connection for each call, because a test may have told the stand-in to stop
/// answering on open ones.
auto callStandIn(const std::string &Address,
                 const web::http::http_request &Request) -> std::string {
  initializeHttpThreads();
  web::http::client::http_client_config Config;
  Config.set_timeout(CallTimeout);
  web::http::client::http_client Client("http://" + Address, Config);
  auto Response = Client.request(Request).get();
  auto Bytes = Response.extract_vector().get();
  std::string Body(Bytes.begin(), Bytes.end());
  if (Response.status_code() != web::http::status_codes::OK)
    throw std::runtime_error("stand-in at " + Address + ": status " +
                             std::to_string(Response.status_code()) + ": " +
                             Body);
  return Body;
}

} // namespace

auto controlStandIn(const std::string &Address, const std::string &Json)
    -> void {
  web::http::http_request Request(web::http::methods::POST);
  Request.set_request_uri("/control");
  Request.set_body(Json, "application/json");
  callStandIn(Address, Request);
}

auto fetchStandInRecord(const std::string &Address) -> web::json::value {
  web::http::http_request Request(web::http::methods::GET);
  Request.set_request_uri("/record");
  return web::json::value::parse(callStandIn(Address, Request));
}

auto addressWithPortOffset(const std::string &Address, int Offset)
    -> std::string {
  auto Colon = Address.rfind(':');
  return Address.substr(0, Colon + 1) +
         std::to_string(std::stoi(Address.substr(Colon + 1)) + Offset);
}

} // namespace jayramp
