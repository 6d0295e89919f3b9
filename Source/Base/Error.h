#pragma once

#include "Base/ErrorKind.h"

#include <compare>
#include <string>

namespace jayramp {

/// An error with its kind, the offending input, what is wrong with it, and what
/// to do about it.
class Error {
public:
  /// Creates an Internal error without text, which Result needs as a
  /// placeholder.
  Error() = default;

  /// Creates an error. \p Place names the offending input, for example
  /// "account" or "settings.yaml:12"; \p Detail says what is wrong; \p Remedy
  /// tells the user what to do.
  static auto make(ErrorKind Kind, std::string Place, std::string Detail,
                   std::string Remedy) -> Error;

  auto kind() const -> ErrorKind { return Kind; }
  auto place() const -> const std::string & { return Place; }
  auto detail() const -> const std::string & { return Detail; }
  auto remedy() const -> const std::string & { return Remedy; }

  /// Returns "KIND place: detail; remedy".
  auto message() const -> std::string;

  auto operator==(const Error &) const -> bool = default;

private:
  Error(ErrorKind Kind, std::string Place, std::string Detail,
        std::string Remedy);

  ErrorKind Kind = ErrorKind::Internal;
  std::string Place;
  std::string Detail;
  std::string Remedy;
};

} // namespace jayramp
