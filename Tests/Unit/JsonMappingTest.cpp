#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

// Guards against a misspelt field being ignored in silence.
TEST(JsonMappingTest, namesAnUnknownField) {
  v1::SubmitRequest Request;
  auto Parsed = parseJson(R"({"account":"a","acount":"b"})", Request);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().kind(), ErrorKind::InvalidArgument);
  EXPECT_EQ(Parsed.error().place(), "acount");
  EXPECT_NE(Parsed.error().remedy().find("schema"), std::string::npos);
}

// Guards against a value of the wrong type that is read as its default.
TEST(JsonMappingTest, namesAFieldOfTheWrongType) {
  v1::SubmitRequest Request;
  auto Parsed = parseJson(R"({"deadline_ms":"soon"})", Request);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().place(), "deadline_ms");
}

// Guards against a misspelt field of a nested message that is reported without
// its name.
TEST(JsonMappingTest, namesAnUnknownNestedField) {
  v1::ChangeConfiguration Change;
  auto Parsed = parseJson(R"({"document":{"colour":1}})", Change);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().place(), "document.colour");
}

// Guards against a string that is taken as true or false.
TEST(JsonMappingTest, refusesAStringAsATruthValue) {
  for (const auto *Text :
       {R"({"idempotent":"yes"})", R"({"idempotent":"no"})",
        R"({"idempotent" : "true"})", R"({"key":"a\"b","idempotent":"1"})",
        R"({"idempotent":1})"}) {
    v1::SubmitRequest Request;
    auto Parsed = parseJson(Text, Request);
    ASSERT_FALSE(Parsed.has_value()) << Text;
    EXPECT_EQ(Parsed.error().place(), "idempotent") << Text;
  }
  v1::SubmitRequest Request;
  // The text of a value is not a field name.
  ASSERT_TRUE(parseJson(R"({"key":"idempotent","account":"x\\"})", Request));
  ASSERT_TRUE(parseJson(R"({"idempotent":true,"key":"yes"})", Request));
  EXPECT_TRUE(Request.idempotent());
}

// Guards against a negative number that wraps to a huge one.
TEST(JsonMappingTest, refusesANegativeCount) {
  v1::SubmitJob Job;
  auto Parsed = parseJson(R"({"accelerators":-4})", Job);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().place(), "accelerators");
}

// Guards against text that is cut in the middle.
TEST(JsonMappingTest, refusesCutText) {
  v1::SubmitRequest Request;
  auto Parsed = parseJson(R"({"account":"a)", Request);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().kind(), ErrorKind::InvalidArgument);
}

// Guards against payload bytes that change on the way through the mapping.
TEST(JsonMappingTest, keepsBytesThroughTheMapping) {
  v1::SubmitRequest Request;
  Request.set_account("a");
  Request.set_payload(std::string("\0\xff\"x", 4));
  v1::SubmitRequest Back;
  ASSERT_TRUE(parseJson(renderJson(Request), Back).has_value());
  EXPECT_EQ(Back.payload(), Request.payload());
}

} // namespace
} // namespace jayramp
