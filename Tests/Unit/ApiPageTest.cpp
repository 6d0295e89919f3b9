#include "jayramp/v1/jayramp.pb.h"

#include <google/protobuf/descriptor.h>
#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

namespace jayramp {
namespace {

auto readApiPage() -> std::string {
  std::ifstream File(JAYRAMP_SOURCE_DIR "/docs/api.md");
  std::stringstream Page;
  Page << File.rdbuf();
  return Page.str();
}

auto schema() -> const google::protobuf::FileDescriptor & {
  return *v1::SubmitRequest::descriptor()->file();
}

auto typeName(const google::protobuf::FieldDescriptor &Field) -> std::string {
  std::string Type = Field.is_repeated() ? "repeated " : "";
  if (const auto *Message = Field.message_type())
    return Type + Message->name();
  if (const auto *Enum = Field.enum_type())
    return Type + Enum->name();
  return Type + Field.type_name();
}

/// Returns the first \p CellCount cells of each table row below the heading
/// \p Name, one string for each row.
auto tableRowsBelow(const std::string &Page, const std::string &Name,
                    std::size_t CellCount) -> std::set<std::string> {
  std::set<std::string> Rows;
  auto At = Page.find("\n### " + Name + "\n");
  if (At == std::string::npos)
    return Rows;
  std::istringstream Lines(Page.substr(At + 1));
  std::string Line;
  std::getline(Lines, Line);
  while (std::getline(Lines, Line) && !Line.starts_with("#")) {
    if (!Line.starts_with("| `"))
      continue;
    std::size_t End = 0;
    for (std::size_t I = 0; I < CellCount; ++I)
      End = Line.find(" |", End + 1);
    Rows.insert(Line.substr(0, End));
  }
  return Rows;
}

// Guards against a message, enum, field or value that was added, renamed or
// removed in the schema but not in docs/api.md, and the reverse.
TEST(ApiPageTest, listsTheMessagesOfTheSchema) {
  auto Page = readApiPage();
  std::set<std::string> Headings;
  for (int I = 0; I < schema().message_type_count(); ++I) {
    const auto &Message = *schema().message_type(I);
    Headings.insert("### " + Message.name());
    std::set<std::string> Expected;
    for (int J = 0; J < Message.field_count(); ++J) {
      const auto &Field = *Message.field(J);
      Expected.insert("| `" + Field.name() + "` | `" + typeName(Field) +
                      "` | " + std::to_string(Field.number()));
    }
    EXPECT_EQ(tableRowsBelow(Page, Message.name(), 3), Expected)
        << Message.name();
  }
  for (int I = 0; I < schema().enum_type_count(); ++I) {
    const auto &Enum = *schema().enum_type(I);
    Headings.insert("### " + Enum.name());
    std::set<std::string> Expected;
    for (int J = 0; J < Enum.value_count(); ++J)
      Expected.insert("| `" + Enum.value(J)->name() + "` | " +
                      std::to_string(Enum.value(J)->number()));
    EXPECT_EQ(tableRowsBelow(Page, Enum.name(), 2), Expected) << Enum.name();
  }
  std::istringstream Lines(Page);
  std::set<std::string> Found;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with("### "))
      Found.insert(Line);
  EXPECT_EQ(Found, Headings);
}

// Guards against a path that is missing in docs/api.md, or is listed there with
// a message that the schema does not have.
TEST(ApiPageTest, listsEachPathWithMessagesOfTheSchema) {
  auto Page = readApiPage();
  for (const auto *Path :
       {"POST /v1/requests", "GET /v1/requests/{account}/{key}",
        "DELETE /v1/requests/{account}/{key}", "POST /v1/jobs",
        "GET /v1/jobs[?account=]", "GET /v1/jobs/{id}", "DELETE /v1/jobs/{id}",
        "GET /v1/configuration", "PUT /v1/configuration",
        "GET /v1/accounts/{name}", "PUT /v1/accounts/{name}",
        "DELETE /v1/accounts/{name}", "GET /v1/status", "GET /v1/ready",
        "GET /metrics", "POST /v1/drain"})
    EXPECT_NE(Page.find("| `" + std::string(Path) + "` |"), std::string::npos)
        << Path;
  std::istringstream Lines(Page.substr(0, Page.find("## Messages")));
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with("| `"))
      continue;
    auto At = Line.find(" | ");
    while ((At = Line.find('`', At)) != std::string::npos) {
      auto End = Line.find('`', At + 1);
      auto Name = Line.substr(At + 1, End - At - 1);
      At = End + 1;
      if (Name == "winning_version" || Name == "NOT_RUN")
        continue;
      EXPECT_NE(schema().FindMessageTypeByName(Name), nullptr) << Name;
    }
  }
}

} // namespace
} // namespace jayramp
