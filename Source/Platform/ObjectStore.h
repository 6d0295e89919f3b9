#pragma once

#include "Base/Result.h"

#include <string>

namespace jayramp {

/// Port to the platform's object store. Calls block.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Stores \p Bytes; a repeat with the same bytes has no further effect.
  virtual auto put(const std::string &Key, const std::string &Bytes)
      -> Result<void> = 0;

  /// NotFound if there is no such object.
  virtual auto fetch(const std::string &Key) -> Result<std::string> = 0;
};

} // namespace jayramp
