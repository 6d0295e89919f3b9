#include "Settings/DaemonSettings.h"

#include "Settings/SettingsLoader.h"

#include <fstream>
#include <utility>

namespace jayramp {

namespace {

auto makeFileError(const std::string &Path, std::string Detail,
                   std::string Remedy) -> std::vector<SettingError> {
  return {{Path, 0, "", std::move(Detail), std::move(Remedy)}};
}

} // namespace

DaemonSettings::DaemonSettings(Sections Values) : Values(std::move(Values)) {}

auto DaemonSettings::load(const std::string &Path) -> LoadedSettings {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return makeFileError(Path, "the file cannot be opened",
                         "give the path of a readable settings file");
  // A settings file has fewer than 100 lines, so a larger file was probably
  // given by mistake.
  constexpr std::size_t MaxFileBytes = 1024 * 1024;
  std::string Yaml(MaxFileBytes + 1, '\0');
  File.read(Yaml.data(), static_cast<std::streamsize>(Yaml.size()));
  if (File.bad())
    return makeFileError(Path, "the file cannot be read",
                         "give the path of a readable settings file");
  Yaml.resize(static_cast<std::size_t>(File.gcount()));
  if (Yaml.size() > MaxFileBytes)
    return makeFileError(Path, "the file is larger than 1 MiB",
                         "give the path of a jayrampd settings file");
  return parse(Yaml, Path);
}

auto DaemonSettings::parse(const std::string &Yaml, const std::string &FileName)
    -> LoadedSettings {
  SettingsLoader Loader(FileName);
  Loader.read(Yaml);
  if (auto Errors = Loader.errors(); !Errors.empty())
    return Errors;
  return DaemonSettings(Loader.values());
}

} // namespace jayramp
