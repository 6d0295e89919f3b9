#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

// Guards against a misspelt field that is silently ignored.
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

// Guards against an error for a misspelt field of a nested message that does
// not contain the path of the field.
TEST(JsonMappingTest, namesAnUnknownNestedField) {
  v1::ChangeConfiguration Change;
  auto Parsed = parseJson(R"({"document":{"colour":1}})", Change);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().place(), "document.colour");
}

// Guards against a string that is accepted as a bool value.
TEST(JsonMappingTest, rejectsAStringAsABoolValue) {
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
  // A string value that equals the name of a bool field is accepted.
  ASSERT_TRUE(parseJson(R"({"key":"idempotent","account":"x\\"})", Request));
  ASSERT_TRUE(parseJson(R"({"idempotent":true,"key":"yes"})", Request));
  EXPECT_TRUE(Request.idempotent());
}

// Guards against a negative number that wraps around to a large unsigned value.
TEST(JsonMappingTest, rejectsANegativeCount) {
  v1::SubmitJob Job;
  auto Parsed = parseJson(R"({"accelerators":-4})", Job);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().place(), "accelerators");
}

// Guards against truncated JSON that is accepted.
TEST(JsonMappingTest, rejectsTruncatedText) {
  v1::SubmitRequest Request;
  auto Parsed = parseJson(R"({"account":"a)", Request);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_EQ(Parsed.error().kind(), ErrorKind::InvalidArgument);
}

// Guards against payload bytes that are changed by rendering and parsing.
TEST(JsonMappingTest, preservesBytesInARoundTrip) {
  v1::SubmitRequest Request;
  Request.set_account("a");
  Request.set_payload(std::string("\0\xff\"x", 4));
  v1::SubmitRequest ParsedRequest;
  ASSERT_TRUE(parseJson(renderJson(Request), ParsedRequest).has_value());
  EXPECT_EQ(ParsedRequest.payload(), Request.payload());
}

} // namespace
} // namespace jayramp
