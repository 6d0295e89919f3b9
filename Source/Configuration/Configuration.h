#pragma once

#include "Base/Result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace jayramp::v1 {
class ConfigurationDocument;
} // namespace jayramp::v1

namespace jayramp {

/// A version of the configuration. Immutable; safe to read from any thread.
class Configuration {
public:
  /// Version 0 with an empty document.
  Configuration();
  Configuration(std::uint64_t Version, const v1::ConfigurationDocument &Source);

  /// Reads the text of a table row. \returns InvalidArgument naming the field.
  static auto parseJsonText(std::uint64_t Version, std::string_view Text)
      -> Result<Configuration>;
  /// Reads a serialized jayramp.v1.ConfigurationDocument.
  static auto parseSerialized(std::uint64_t Version, const std::string &Bytes)
      -> Result<Configuration>;

  /// Version of the row `configuration/head`; 0: no configuration yet.
  auto version() const -> std::uint64_t { return Version; }
  auto document() const -> const v1::ConfigurationDocument & {
    return *Document;
  }
  /// JSON text for the table row, whose values are text.
  auto toJsonText() const -> std::string;
  auto serialize() const -> std::string;

private:
  std::uint64_t Version = 0;
  std::shared_ptr<const v1::ConfigurationDocument> Document;
};

} // namespace jayramp
