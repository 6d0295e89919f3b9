#include "Platform/HttpObjectStore.h"

#include "Base/Metrics.h"
#include "EndToEnd/StandIn.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

constexpr Milliseconds Timeout{500};

class HttpObjectStoreTest : public testing::Test {
protected:
  Metrics Registry;
  StandIn Platform = StandIn::startPlatform();
  std::unique_ptr<HttpObjectStore> Store =
      HttpObjectStore::create(Platform.address(), Timeout, Registry).value();
};

// Guards against bytes that are altered in transit, and against a key whose
// special characters are interpreted as part of the URL.
TEST_F(HttpObjectStoreTest, fetchReturnsTheStoredBytes) {
  std::string Bytes;
  for (int Index = 0; Index < 1 << 20; ++Index)
    Bytes += static_cast<char>(Index * 7 + Index / 256);
  ASSERT_TRUE(Store->put("jobs/a b%2F?", Bytes).has_value());
  EXPECT_TRUE(Store->fetch("jobs/a b%2F?").value() == Bytes);
}

// Guards against an absent object that is reported as an outage of the store.
TEST_F(HttpObjectStoreTest, fetchOfAnAbsentObjectIsNotFound) {
  EXPECT_EQ(Store->fetch("absent").error().kind(), ErrorKind::NotFound);
}

// Guards against a truncated object that is returned as a complete one.
TEST_F(HttpObjectStoreTest, fetchFailsIfTheObjectIsTruncated) {
  ASSERT_TRUE(Store->put("key", std::string(100'000, 'x')).has_value());
  for (const char *Chunked : {"false", "true"}) {
    Platform.control(std::string(R"({"cut_answers":1,"chunked_answers":)") +
                     Chunked + "}");
    auto Fetched = Store->fetch("key");
    ASSERT_FALSE(Fetched.has_value());
    EXPECT_EQ(Fetched.error().kind(), ErrorKind::Unavailable);
  }
}

} // namespace
} // namespace jayramp
