#pragma once

#include "Base/ErrorKind.h"

#include <compare>
#include <string>

namespace jayramp {

/// A failure with the offending input, its place and the remedy.
class Error {
public:
  /// An Internal error without text; Result needs it as a placeholder.
  Error() = default;

  /// \p Place names the offending input, for example "account" or
  /// "settings.yaml:12"; \p Detail says what is wrong; \p Remedy says what the
  /// reader should do.
  static auto make(ErrorKind Kind, std::string Place, std::string Detail,
                   std::string Remedy) -> Error;

  auto kind() const -> ErrorKind { return Kind; }
  auto place() const -> const std::string & { return Place; }
  auto detail() const -> const std::string & { return Detail; }
  auto remedy() const -> const std::string & { return Remedy; }

  /// "KIND place: detail; remedy".
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
