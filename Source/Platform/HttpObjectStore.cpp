#include "Platform/HttpObjectStore.h"

#include "Platform/HttpAddress.h"
#include "Platform/HttpCall.h"
#include "Platform/HttpChannel.h"
#include "Platform/HttpErrors.h"

#include <cpprest/base_uri.h>

#include <utility>

namespace jayramp {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned FirstNonSuccess = 300;
constexpr unsigned NotFound = 404;

auto objectPath(const std::string &Key) -> std::string {
  return "/v1/objects/" + web::uri::encode_data_string(Key);
}

} // namespace

auto HttpObjectStore::create(const std::string &Address, Milliseconds Timeout,
                             Metrics &Registry)
    -> Result<std::unique_ptr<HttpObjectStore>> {
  BOOST_OUTCOME_TRY(checkHttpAddress("object store address", Address));
  BOOST_OUTCOME_TRY(Channel, HttpChannel::create("object_store", Registry));
  return std::unique_ptr<HttpObjectStore>(
      new HttpObjectStore(Address, Timeout, std::move(Channel)));
}

HttpObjectStore::HttpObjectStore(std::string Address, Milliseconds Timeout,
                                 std::unique_ptr<HttpChannel> Channel)
    : Address(std::move(Address)), Timeout(Timeout),
      Channel(std::move(Channel)) {}

HttpObjectStore::~HttpObjectStore() = default;

auto HttpObjectStore::put(const std::string &Key, const std::string &Bytes)
    -> Result<void> {
  HttpOutcome Outcome =
      Channel->call({.Address = Address,
                     .Method = "PUT",
                     .Path = objectPath(Key),
                     .Headers = {{"Content-Type", "application/octet-stream"}},
                     .Body = Bytes,
                     .Timeout = Timeout});
  const auto *Response = std::get_if<HttpResponseReceived>(&Outcome);
  if (Response && Response->Status >= Ok && Response->Status < FirstNonSuccess)
    return success();
  return httpCallError("put of object \"" + Key + "\" at " + Address, Outcome,
                       true);
}

auto HttpObjectStore::fetch(const std::string &Key) -> Result<std::string> {
  HttpOutcome Outcome = Channel->call({.Address = Address,
                                       .Method = "GET",
                                       .Path = objectPath(Key),
                                       .Timeout = Timeout});
  auto *Response = std::get_if<HttpResponseReceived>(&Outcome);
  if (Response && Response->Status == Ok)
    return std::move(Response->Body);
  std::string Operation = "fetch of object \"" + Key + "\" at " + Address;
  if (Response && Response->Status == NotFound)
    return Error::make(ErrorKind::NotFound, Operation,
                       "there is no object with this key",
                       "check the key and that the object was stored");
  return httpCallError(Operation, Outcome, false);
}

} // namespace jayramp
