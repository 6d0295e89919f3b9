#pragma once

#include "Platform/ObjectStore.h"

#include <map>
#include <string>

namespace jayramp::test {

/// In-memory object store. Not thread-safe.
class FakeObjectStore final : public ObjectStore {
public:
  std::map<std::string, std::string> Objects;
  bool Down = false; ///< Makes put() fail with Unavailable.

  auto put(const std::string &Key, const std::string &Bytes)
      -> Result<void> override {
    if (Down)
      return Error::make(ErrorKind::Unavailable, "objects",
                         "the fake store is down", "retry");
    Objects[Key] = Bytes;
    return success();
  }
  auto fetch(const std::string &Key) -> Result<std::string> override {
    auto Found = Objects.find(Key);
    if (Found == Objects.end())
      return Error::make(ErrorKind::NotFound, Key, "no such object",
                         "store the object first");
    return Found->second;
  }
};

} // namespace jayramp::test
