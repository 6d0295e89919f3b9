#include "Base/Error.h"

#include <utility>

namespace jayramp {

auto toString(ErrorKind Kind) -> std::string_view {
  switch (Kind) {
  case ErrorKind::InvalidArgument:
    return "INVALID_ARGUMENT";
  case ErrorKind::NotFound:
    return "NOT_FOUND";
  case ErrorKind::Conflict:
    return "CONFLICT";
  case ErrorKind::Unavailable:
    return "UNAVAILABLE";
  case ErrorKind::Timeout:
    return "TIMEOUT";
  case ErrorKind::Fenced:
    return "FENCED";
  case ErrorKind::Rejected:
    return "REJECTED";
  case ErrorKind::Internal:
    return "INTERNAL";
  }
  return "INTERNAL";
}

Error::Error(ErrorKind Kind, std::string Place, std::string Detail,
             std::string Remedy)
    : Kind(Kind), Place(std::move(Place)), Detail(std::move(Detail)),
      Remedy(std::move(Remedy)) {}

auto Error::make(ErrorKind Kind, std::string Place, std::string Detail,
                 std::string Remedy) -> Error {
  return {Kind, std::move(Place), std::move(Detail), std::move(Remedy)};
}

auto Error::message() const -> std::string {
  return std::string(toString(Kind)) + " " + Place + ": " + Detail + "; " +
         Remedy;
}

} // namespace jayramp
