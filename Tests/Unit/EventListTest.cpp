#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace jayramp {
namespace {

using Names = std::set<std::string>;

auto readFile(const std::filesystem::path &Path) -> std::string {
  std::ifstream File(Path);
  EXPECT_TRUE(File) << Path;
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

auto addMatches(const std::string &Text, const std::regex &Pattern,
                Names &Found) -> void {
  for (std::sregex_iterator Match(Text.begin(), Text.end(), Pattern), End;
       Match != End; ++Match)
    Found.insert((*Match)[1]);
}

/// Returns the event names in all calls of logEvent() in the sources below
/// \p Folder, and in the statements that assign an event name to a variable for
/// such a call.
auto eventsInCode(const std::string &Folder) -> Names {
  static const std::regex EventStatement(
      R"(logEvent\([^{;]*\{|\*Event =[^;]*;)");
  static const std::regex QuotedName(R"rx("([a-z_-]+)")rx");
  Names Found;
  for (const auto &Entry : std::filesystem::recursive_directory_iterator(
           std::string(JAYRAMP_SOURCE_DIR "/") + Folder)) {
    if (Entry.path().extension() != ".cpp")
      continue;
    auto Text = readFile(Entry.path());
    for (std::sregex_iterator Match(Text.begin(), Text.end(), EventStatement),
         End;
         Match != End; ++Match)
      addMatches(Match->str(), QuotedName, Found);
  }
  return Found;
}

/// Returns the event names in the operations page: the names in backticks in
/// the first column of its event tables.
auto eventsInPage() -> Names {
  auto Page = readFile(JAYRAMP_SOURCE_DIR "/docs/OPERATIONS.md");
  std::istringstream Lines(Page);
  Names Found;
  bool InTable = false;
  for (std::string Line; std::getline(Lines, Line);) {
    InTable =
        Line.rfind("| event |", 0) == 0 || (InTable && Line.rfind('|', 0) == 0);
    if (InTable)
      addMatches(Line.substr(0, Line.find('|', 1)), std::regex("`([a-z_-]+)`"),
                 Found);
  }
  return Found;
}

// Guards against an event that operators cannot find in the operations page,
// and against one in the page that no program logs any more.
TEST(EventListTest, operationsPageListsExactlyTheLoggedEvents) {
  Names Code = eventsInCode("Source");
  Code.merge(eventsInCode("platform"));
  Code.insert("log-dropped"); // Logged by the log, without logEvent().
  EXPECT_GE(Code.size(), 40U);
  Names Page = eventsInPage();
  for (const auto &Name : Code)
    EXPECT_TRUE(Page.count(Name))
        << Name << " is logged but not listed in docs/OPERATIONS.md";
  for (const auto &Name : Page)
    EXPECT_TRUE(Code.count(Name))
        << Name << " is listed in docs/OPERATIONS.md but not logged";
}

} // namespace
} // namespace jayramp
