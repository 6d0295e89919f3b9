#include "Settings/SettingsLoader.h"

#include "Settings/SettingConstraint.h"
#include "Settings/SettingsTable.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <numeric>
#include <sstream>
#include <utility>

namespace jayramp {

namespace {

/// Returns the line of \p Node, starting at 1.
auto lineOf(const YAML::Node &Node) -> int { return Node.Mark().line + 1; }

auto makeKey(const std::string &Section, const std::string &Name)
    -> std::string {
  return Section + "." + Name;
}

auto isSection(std::string_view Name) -> bool {
  const auto &Table = settingsTable();
  return std::any_of(Table.begin(), Table.end(), [&](const auto &Setting) {
    return Setting.section() == Name;
  });
}

auto sectionNames() -> std::string {
  std::string Names;
  std::string_view PreviousSection;
  for (const auto &Setting : settingsTable()) {
    if (Setting.section() == PreviousSection)
      continue;
    PreviousSection = Setting.section();
    Names += (Names.empty() ? "" : ", ") + std::string(PreviousSection);
  }
  return Names;
}

/// Returns \p Key without a suffix that names a unit, correct or not.
auto withoutUnitSuffix(std::string_view Key) -> std::string_view {
  for (std::string_view Suffix : {"_ms", "_s", "_kib", "_seconds", "_sec",
                                  "_min", "_kb", "_mib", "_mb", "_bytes"})
    if (Key.ends_with(Suffix))
      return Key.substr(0, Key.size() - Suffix.size());
  return Key;
}

/// Returns the Levenshtein distance between \p Left and \p Right.
auto editDistance(std::string_view Left, std::string_view Right)
    -> std::size_t {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    auto Diagonal = std::exchange(Row[0], I);
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      auto Replace = Diagonal + (Left[I - 1] == Right[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Replace});
    }
  }
  return Row.back();
}

/// Returns what to write instead of the unknown key \p Key: the setting that
/// was probably meant, if there is one.
auto remedyForUnknownKey(const std::string &Key) -> std::string {
  const SettingDescription *Nearest = nullptr;
  // A typing error changes one or two characters, so only keys at a smaller
  // distance than 3 are suggested.
  std::size_t Distance = 3;
  for (const auto &Setting : settingsTable()) {
    if (!Setting.Unit.empty() &&
        withoutUnitSuffix(Key) == withoutUnitSuffix(Setting.Key))
      return "write " + std::string(Setting.Key) + "; its unit is " +
             std::string(Setting.Unit);
    auto Name = Key.substr(Key.find('.') + 1);
    if (Setting.Key.substr(Setting.Key.find('.') + 1) == Name)
      return "write it as " + std::string(Setting.Key);
    if (auto Candidate = editDistance(Key, Setting.Key); Candidate < Distance) {
      Distance = Candidate;
      Nearest = &Setting;
    }
  }
  if (Nearest != nullptr)
    return "write " + std::string(Nearest->Key);
  return "remove it; docs/settings.md lists the known keys";
}

auto remedyForValue(const SettingDescription &Setting) -> std::string {
  auto Remedy = "write " + Setting.range();
  if (!Setting.Unit.empty())
    Remedy += ", as a number without its unit";
  return Remedy;
}

/// Returns true for characters that a settings file must not contain. yaml-cpp
/// loops forever on some inputs with control characters, for example 0x04, its
/// internal end marker. Of these, YAML permits only tab and line breaks.
auto isForbiddenCharacter(char Character) -> bool {
  auto Code = static_cast<unsigned char>(Character);
  return (Code < 0x20 && Code != '\t' && Code != '\n' && Code != '\r') ||
         Code >= 0x7f;
}

/// Records the line at which a YAML document starts. The parser with this
/// handler is used to find a second document instead of YAML::LoadAll(), which
/// never returns on some inputs, for example ",".
class DocumentStartHandler : public YAML::EventHandler {
public:
  auto line() const -> int { return Line; }

  auto OnDocumentStart(const YAML::Mark &Mark) -> void override {
    Line = Mark.line + 1;
  }
  auto OnDocumentEnd() -> void override {}
  auto OnNull(const YAML::Mark &, YAML::anchor_t) -> void override {}
  auto OnAlias(const YAML::Mark &, YAML::anchor_t) -> void override {}
  auto OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                const std::string &) -> void override {}
  auto OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                       YAML::EmitterStyle::value) -> void override {}
  auto OnSequenceEnd() -> void override {}
  auto OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  YAML::EmitterStyle::value) -> void override {}
  auto OnMapEnd() -> void override {}

private:
  int Line = 0;
};

/// Returns the line of the second document in \p Yaml, or 0 if there is none.
auto lineOfSecondDocument(const std::string &Yaml) -> int {
  std::istringstream Input(Yaml);
  YAML::Parser Parser(Input);
  DocumentStartHandler Handler;
  Parser.HandleNextDocument(Handler);
  return Parser.HandleNextDocument(Handler) ? Handler.line() : 0;
}

// yaml-cpp gives a quoted scalar the tag "!" and a plain scalar the tag "?".
auto isQuoted(const YAML::Node &Value) -> bool { return Value.Tag() == "!"; }

} // namespace

SettingsLoader::SettingsLoader(std::string FileName)
    : FileName(std::move(FileName)) {}

auto SettingsLoader::addError(int Line, std::string Key, std::string Detail,
                              std::string Remedy) -> void {
  Errors.push_back(
      {FileName, Line, std::move(Key), std::move(Detail), std::move(Remedy)});
}

auto SettingsLoader::read(const std::string &Yaml) -> void {
  if (auto Forbidden =
          std::find_if(Yaml.begin(), Yaml.end(), isForbiddenCharacter);
      Forbidden != Yaml.end()) {
    auto Line = 1 + std::count(Yaml.begin(), Forbidden, '\n');
    addError(static_cast<int>(Line), "",
             "the line contains a control character or a non-ASCII character",
             "use ASCII text without control characters");
    return;
  }
  YAML::Node Root;
  int SecondDocumentLine = 0;
  try {
    Root = YAML::Load(Yaml);
    SecondDocumentLine = lineOfSecondDocument(Yaml);
  } catch (const YAML::Exception &Failure) {
    auto Line = Failure.mark.is_null() ? 0 : Failure.mark.line + 1;
    addError(Line, "", "the file is not valid YAML: " + Failure.msg,
             "correct the syntax of this line");
    return;
  }
  if (SecondDocumentLine > 0)
    addError(SecondDocumentLine, "", "a second YAML document starts here",
             "remove it; a settings file is a single document");
  if (!Root.IsMap()) {
    addError(1, "", "the file holds no settings",
             "write a map with the sections " + sectionNames());
    return;
  }
  for (const auto &Entry : Root) {
    auto Line = lineOf(Entry.first);
    if (!Entry.first.IsScalar()) {
      addError(Line, "", "a key is not a scalar",
               "write one of the sections " + sectionNames());
      continue;
    }
    const auto &Section = Entry.first.Scalar();
    if (!isSection(Section)) {
      addError(Line, Section, "the section is unknown",
               "remove it or use one of the sections " + sectionNames());
      continue;
    }
    if (auto [Existing, Inserted] = Lines.emplace(Section, Line); !Inserted)
      addError(Line, Section,
               "the section is already present in line " +
                   std::to_string(Existing->second),
               "merge the two sections");
    if (Entry.second.IsMap())
      readSection(Section, Entry.second);
    else if (!Entry.second.IsNull())
      addError(
          Line, Section, "the section is not a map of settings",
          "write its settings as \"key: value\" on indented lines below it");
  }
  applyDefaults();
  checkConstraints();
}

auto SettingsLoader::readSection(const std::string &Section,
                                 const YAML::Node &Map) -> void {
  for (const auto &Entry : Map) {
    auto Line = lineOf(Entry.first);
    if (!Entry.first.IsScalar()) {
      addError(Line, Section, "a key is not a scalar",
               "use a key that docs/settings.md lists");
      continue;
    }
    auto Key = makeKey(Section, Entry.first.Scalar());
    const auto *Setting = findSetting(Key);
    if (Setting == nullptr) {
      addError(Line, Key, "the setting is unknown", remedyForUnknownKey(Key));
      continue;
    }
    if (auto [Existing, Inserted] = Lines.emplace(Key, Line); !Inserted) {
      addError(Line, Key,
               "the setting is already present in line " +
                   std::to_string(Existing->second),
               "remove one of the two lines");
      InvalidKeys.insert(Key);
      continue;
    }
    readSetting(*Setting, Entry.second, Line);
  }
}

auto SettingsLoader::readSetting(const SettingDescription &Setting,
                                 const YAML::Node &Value, int Line) -> void {
  std::string Key(Setting.Key);
  std::string Detail;
  if (Value.IsNull())
    Detail = "the setting has no value";
  else if (!Value.IsScalar())
    Detail = "the value is a list or a map";
  else if (isQuoted(Value) && (Setting.type() == "whole number" ||
                               Setting.type() == "true or false"))
    Detail = "the value is a quoted string";
  else
    Detail = Setting.store(Value.Scalar(), Values);
  if (Detail.empty()) {
    ValueTexts.emplace(Key, Value.Scalar());
    return;
  }
  InvalidKeys.insert(Key);
  addError(Line, Key, Detail, remedyForValue(Setting));
}

auto SettingsLoader::applyDefaults() -> void {
  for (const auto &Setting : settingsTable()) {
    std::string Key(Setting.Key);
    if (Lines.contains(Key))
      continue;
    if (Setting.Required) {
      auto Section = Lines.find(Setting.section());
      addError(Section == Lines.end() ? 1 : Section->second, Key,
               "the required setting is missing",
               // Drops "write " from the start of the remedy.
               "add it as " + remedyForValue(Setting).substr(6));
      InvalidKeys.insert(Key);
    } else if (!Setting.Default.empty()) {
      Setting.store(Setting.Default, Values);
      ValueTexts.emplace(Key, Setting.Default);
    }
  }
  if (!Lines.contains("api.advertise"))
    Values.Api.Advertise = Values.Api.Address;
  if (!Lines.contains("peer.advertise"))
    Values.Peer.Advertise = Values.Peer.Address;
}

auto SettingsLoader::checkConstraints() -> void {
  for (const auto &Constraint : settingConstraints()) {
    if (std::any_of(Constraint.Keys.begin(), Constraint.Keys.end(),
                    [&](auto Key) { return InvalidKeys.contains(Key); }) ||
        Constraint.IsSatisfied(Values))
      continue;
    std::string FoundValues;
    std::string ReportedKey;
    for (auto Key : Constraint.Keys) {
      auto Text = ValueTexts.find(Key);
      if (Text == ValueTexts.end())
        continue;
      FoundValues += (FoundValues.empty() ? "" : ", ") + Text->first + " is " +
                     Text->second + (Lines.contains(Key) ? "" : " by default");
      if (ReportedKey.empty() && Lines.contains(Key))
        ReportedKey = Key;
    }
    addError(ReportedKey.empty() ? 1 : Lines.find(ReportedKey)->second,
             ReportedKey,
             std::string(Constraint.Rule) + " (" + FoundValues + ")",
             std::string(Constraint.Remedy));
  }
}

auto SettingsLoader::errors() const -> std::vector<SettingError> {
  auto Sorted = Errors;
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Line < Right.Line;
                   });
  return Sorted;
}

} // namespace jayramp
