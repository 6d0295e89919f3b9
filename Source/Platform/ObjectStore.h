#pragma once

#include "Base/Result.h"

#include <string>

namespace jayramp {

/// Interface to the platform's object store. Calls block.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Stores \p Bytes under \p Key. Repeating the call with the same bytes has
  /// no further effect. Returns Unavailable if nothing was stored, Timeout if
  /// the object may have been stored.
  virtual auto put(const std::string &Key, const std::string &Bytes)
      -> Result<void> = 0;

  /// Returns the bytes stored under \p Key, NotFound if there are none, or
  /// Unavailable if the store cannot be read.
  virtual auto fetch(const std::string &Key) -> Result<std::string> = 0;
};

} // namespace jayramp
