#pragma once

#include "Api/ApiResponse.h"

#include <functional>
#include <string>

namespace jayramp {

class KeyCoordinator;
class MembershipRunner;

/// Queries of callers on requests.
class RequestQueries {
public:
  using Respond = std::function<void(ApiResponse)>;

  /// The references must outlive this object.
  RequestQueries(KeyCoordinator &Keys, const MembershipRunner &Membership);

  /// GET /v1/requests/{account}/{key}: the state of a non-idempotent request,
  /// 503 if its home does not answer.
  auto show(const std::string &Account, const std::string &Key, Respond Done)
      -> void;

private:
  KeyCoordinator &Keys;
  const MembershipRunner &Membership;
};

} // namespace jayramp
