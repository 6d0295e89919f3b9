#include "Net/HttpMessage.h"

#include <boost/algorithm/string/predicate.hpp>

namespace jayramp::net {

auto HttpRequest::header(std::string_view Name) const -> std::string_view {
  for (const auto &[Key, Value] : Headers)
    if (boost::algorithm::iequals(Key, Name))
      return Value;
  return {};
}

} // namespace jayramp::net
