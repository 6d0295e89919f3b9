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

auto lineOf(const YAML::Node &Node) -> int { return Node.Mark().line + 1; }

auto join(const std::string &Section, const std::string &Name) -> std::string {
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
  std::string_view Last;
  for (const auto &Setting : settingsTable()) {
    if (Setting.section() == Last)
      continue;
    Last = Setting.section();
    Names += (Names.empty() ? "" : ", ") + std::string(Last);
  }
  return Names;
}

auto withoutUnit(std::string_view Key) -> std::string_view {
  for (std::string_view Suffix : {"_ms", "_s", "_kib", "_seconds", "_sec",
                                  "_min", "_kb", "_mib", "_mb", "_bytes"})
    if (Key.ends_with(Suffix))
      return Key.substr(0, Key.size() - Suffix.size());
  return Key;
}

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

auto remedyForUnknown(const std::string &Key) -> std::string {
  const SettingDescription *Nearest = nullptr;
  std::size_t Distance = 3; // A typing error changes one or two characters.
  for (const auto &Setting : settingsTable()) {
    if (!Setting.Unit.empty() && withoutUnit(Key) == withoutUnit(Setting.Key))
      return "write " + std::string(Setting.Key) + "; its unit is " +
             std::string(Setting.Unit);
    auto Name = Key.substr(Key.find('.') + 1);
    if (Setting.Key.substr(Setting.Key.find('.') + 1) == Name)
      return "write it as " + std::string(Setting.Key);
    if (auto Found = editDistance(Key, Setting.Key); Found < Distance) {
      Distance = Found;
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

// yaml-cpp does not end on some inputs with control characters, for example
// its internal end marker 0x04, and YAML permits none but tab and line ends.
auto isForbidden(char Character) -> bool {
  auto Code = static_cast<unsigned char>(Character);
  return (Code < 0x20 && Code != '\t' && Code != '\n' && Code != '\r') ||
         Code >= 0x7f;
}

// Finds text after the first document. YAML::LoadAll() is not used, because it
// never returns on some inputs, for example ",".
class DocumentStart : public YAML::EventHandler {
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

/// Line of the second document of \p Yaml, 0 if there is none.
auto lineOfSecondDocument(const std::string &Yaml) -> int {
  std::istringstream Input(Yaml);
  YAML::Parser Parser(Input);
  DocumentStart Start;
  Parser.HandleNextDocument(Start);
  return Parser.HandleNextDocument(Start) ? Start.line() : 0;
}

// A quoted scalar has the tag "!"; a plain one has "?".
auto isQuoted(const YAML::Node &Value) -> bool { return Value.Tag() == "!"; }

} // namespace

SettingsLoader::SettingsLoader(std::string FileName)
    : FileName(std::move(FileName)) {}

auto SettingsLoader::addError(int Line, std::string Key, std::string Detail,
                              std::string Remedy) -> void {
  Faults.push_back(
      {FileName, Line, std::move(Key), std::move(Detail), std::move(Remedy)});
}

auto SettingsLoader::read(const std::string &Yaml) -> void {
  if (auto Bad = std::find_if(Yaml.begin(), Yaml.end(), isForbidden);
      Bad != Yaml.end()) {
    auto Line = 1 + std::count(Yaml.begin(), Bad, '\n');
    addError(static_cast<int>(Line), "",
             "the line holds a control character or a character outside ASCII",
             "write the settings in plain ASCII text");
    return;
  }
  YAML::Node Root;
  int Second = 0;
  try {
    Root = YAML::Load(Yaml);
    Second = lineOfSecondDocument(Yaml);
  } catch (const YAML::Exception &Failure) {
    auto Line = Failure.mark.is_null() ? 0 : Failure.mark.line + 1;
    addError(Line, "", "the file is not YAML: " + Failure.msg,
             "correct the syntax of this line");
    return;
  }
  if (Second > 0)
    addError(Second, "", "text follows after the first document",
             "remove it; the file holds one document");
  if (!Root.IsMap()) {
    addError(1, "", "the file holds no settings",
             "write one map of sections: " + sectionNames());
    return;
  }
  for (const auto &Entry : Root) {
    auto Line = lineOf(Entry.first);
    if (!Entry.first.IsScalar()) {
      addError(Line, "", "a key is not a plain word",
               "write one of the sections: " + sectionNames());
      continue;
    }
    const auto &Section = Entry.first.Scalar();
    if (!isSection(Section)) {
      addError(Line, Section, "the section is unknown",
               "remove it or write one of " + sectionNames());
      continue;
    }
    if (auto [At, Added] = Lines.emplace(Section, Line); !Added)
      addError(Line, Section,
               "the section was already given in line " +
                   std::to_string(At->second),
               "put all its settings under one heading");
    if (Entry.second.IsMap())
      readSection(Section, Entry.second);
    else if (!Entry.second.IsNull())
      addError(Line, Section, "the section is not a map of settings",
               "write its settings indented on the next lines");
  }
  applyDefaults();
  checkConstraints();
}

auto SettingsLoader::readSection(const std::string &Section,
                                 const YAML::Node &Map) -> void {
  for (const auto &Entry : Map) {
    auto Line = lineOf(Entry.first);
    if (!Entry.first.IsScalar()) {
      addError(Line, Section, "a key is not a plain word",
               "write a key that docs/settings.md lists");
      continue;
    }
    auto Key = join(Section, Entry.first.Scalar());
    const auto *Setting = findSetting(Key);
    if (Setting == nullptr) {
      addError(Line, Key, "the setting is unknown", remedyForUnknown(Key));
      continue;
    }
    if (auto [At, Added] = Lines.emplace(Key, Line); !Added) {
      addError(Line, Key,
               "the setting was already given in line " +
                   std::to_string(At->second),
               "remove one of the two lines");
      Invalid.insert(Key);
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
    Detail = "the value is a quoted text";
  else
    Detail = Setting.store(Value.Scalar(), Values);
  if (Detail.empty()) {
    Texts.emplace(Key, Value.Scalar());
    return;
  }
  Invalid.insert(Key);
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
               "add it as " + remedyForValue(Setting).substr(6));
      Invalid.insert(Key);
    } else if (!Setting.Default.empty()) {
      Setting.store(Setting.Default, Values);
      Texts.emplace(Key, Setting.Default);
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
                    [&](auto Key) { return Invalid.contains(Key); }) ||
        Constraint.IsSatisfied(Values))
      continue;
    std::string Found;
    std::string Place;
    for (auto Key : Constraint.Keys) {
      auto Text = Texts.find(Key);
      if (Text == Texts.end())
        continue;
      Found += (Found.empty() ? "" : ", ") + Text->first + " is " +
               Text->second + (Lines.contains(Key) ? "" : " by default");
      if (Place.empty() && Lines.contains(Key))
        Place = Key;
    }
    addError(Place.empty() ? 1 : Lines.find(Place)->second, Place,
             std::string(Constraint.Rule) + " (" + Found + ")",
             std::string(Constraint.Remedy));
  }
}

auto SettingsLoader::errors() const -> std::vector<SettingError> {
  auto Sorted = Faults;
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Line < Right.Line;
                   });
  return Sorted;
}

} // namespace jayramp
