#pragma once

#include "Api/ApiResponse.h"

#include <functional>
#include <string>

namespace jayramp {

class KeyCoordinator;
class MembershipRunner;

/// Handles the HTTP calls of callers that read the state of requests.
class RequestQueries {
public:
  using Respond = std::function<void(ApiResponse)>;

  /// \p Keys and \p Membership must outlive this object.
  RequestQueries(KeyCoordinator &Keys, const MembershipRunner &Membership);

  /// Handles GET /v1/requests/{account}/{key}. \p Done is called with the state
  /// of a non-idempotent request, or with 503 if this host may not serve or the
  /// home of the key, the entry host that keeps its record, cannot answer.
  auto show(const std::string &Account, const std::string &Key, Respond Done)
      -> void;

private:
  KeyCoordinator &Keys;
  const MembershipRunner &Membership;
};

} // namespace jayramp
