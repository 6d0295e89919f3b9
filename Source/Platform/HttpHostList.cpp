#include "Platform/HttpHostList.h"

#include "Platform/HttpAddress.h"
#include "Platform/HttpCall.h"
#include "Platform/HttpChannel.h"
#include "Platform/HttpErrors.h"

#include <cpprest/json.h>

#include <exception>
#include <stdexcept>
#include <utility>

namespace jayramp {

namespace {

constexpr unsigned Ok = 200;

auto hostFromJson(const web::json::value &Json) -> ListedHost {
  ListedHost Host;
  Host.Name = Json.at("name").as_string();
  Host.Address = Json.at("address").as_string();
  const auto &State = Json.at("state").as_string();
  if (State != "live" && State != "leaving")
    throw std::runtime_error("unknown state \"" + State + "\" of host " +
                             Host.Name + "; expected live or leaving");
  Host.Leaving = State == "leaving";
  if (Json.has_string_field("zone"))
    Host.AvailabilityZone = Json.at("zone").as_string();
  if (Json.has_string_field("rack"))
    Host.Rack = Json.at("rack").as_string();
  return Host;
}

} // namespace

auto HttpHostList::create(const std::string &Address, Milliseconds Timeout,
                          Metrics &Registry)
    -> Result<std::unique_ptr<HttpHostList>> {
  BOOST_OUTCOME_TRY(checkHttpAddress("host list address", Address));
  BOOST_OUTCOME_TRY(Channel, HttpChannel::create("host_list", Registry));
  return std::unique_ptr<HttpHostList>(
      new HttpHostList(Address, Timeout, std::move(Channel)));
}

HttpHostList::HttpHostList(std::string Address, Milliseconds Timeout,
                           std::unique_ptr<HttpChannel> Channel)
    : Address(std::move(Address)), Timeout(Timeout),
      Channel(std::move(Channel)) {}

HttpHostList::~HttpHostList() = default;

auto HttpHostList::hosts() -> Result<std::vector<ListedHost>> {
  HttpOutcome Outcome = Channel->call({.Address = Address,
                                       .Method = "GET",
                                       .Path = "/v1/hosts",
                                       .Timeout = Timeout});
  std::string Operation = "host list at " + Address;
  const auto *Response = std::get_if<HttpResponseReceived>(&Outcome);
  if (!Response || Response->Status != Ok) {
    Error Failure = httpCallError(Operation, Outcome, false);
    return Error::make(ErrorKind::Unavailable, Failure.place(),
                       Failure.detail(), Failure.remedy());
  }
  try {
    std::vector<ListedHost> Hosts;
    auto Json = web::json::value::parse(Response->Body);
    for (const auto &Entry : Json.at("hosts").as_array())
      Hosts.push_back(hostFromJson(Entry));
    return Hosts;
  } catch (const std::exception &Failure) {
    return malformedResponseError(Operation, Failure.what(), false);
  }
}

} // namespace jayramp
