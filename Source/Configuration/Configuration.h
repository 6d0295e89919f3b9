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

/// One version of the cluster configuration: a version number and the
/// configuration document. Immutable and safe to read from any thread.
class Configuration {
public:
  /// Creates version 0 with an empty document.
  Configuration();
  Configuration(std::uint64_t Version, const v1::ConfigurationDocument &Source);

  /// Parses \p Text, the value of the table row `configuration/head`.
  /// \returns InvalidArgument naming the offending field if \p Text does not
  /// follow the JSON mapping of jayramp.v1.ConfigurationDocument.
  static auto parseJsonText(std::uint64_t Version, std::string_view Text)
      -> Result<Configuration>;
  /// Parses a jayramp.v1.ConfigurationDocument in protobuf wire format.
  /// \returns InvalidArgument if \p Bytes is not such a message.
  static auto parseSerialized(std::uint64_t Version, const std::string &Bytes)
      -> Result<Configuration>;

  /// Returns the version of the table row `configuration/head`, or 0 if no
  /// configuration has been written yet.
  auto version() const -> std::uint64_t { return Version; }
  auto document() const -> const v1::ConfigurationDocument & {
    return *Document;
  }
  /// Returns the document as JSON, to be stored as the value of the table row;
  /// row values must be text.
  auto toJsonText() const -> std::string;
  /// Returns the document in protobuf wire format.
  auto serialize() const -> std::string;

private:
  std::uint64_t Version = 0;
  std::shared_ptr<const v1::ConfigurationDocument> Document;
};

} // namespace jayramp
