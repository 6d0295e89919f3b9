#include "Configuration/Configuration.h"

#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

namespace jayramp {

Configuration::Configuration()
    : Document(std::make_shared<const v1::ConfigurationDocument>()) {}

Configuration::Configuration(std::uint64_t Version,
                             const v1::ConfigurationDocument &Source)
    : Version(Version),
      Document(std::make_shared<const v1::ConfigurationDocument>(Source)) {}

auto Configuration::parseJsonText(std::uint64_t Version, std::string_view Text)
    -> Result<Configuration> {
  v1::ConfigurationDocument Parsed;
  BOOST_OUTCOME_TRYV(parseJson(Text, Parsed));
  return Configuration(Version, Parsed);
}

auto Configuration::parseSerialized(std::uint64_t Version,
                                    const std::string &Bytes)
    -> Result<Configuration> {
  v1::ConfigurationDocument Parsed;
  if (!Parsed.ParseFromString(Bytes))
    return Error::make(
        ErrorKind::InvalidArgument, "document",
        "is not a ConfigurationDocument in protobuf wire format",
        "serialize the message as the schema jayramp.v1 defines it");
  return Configuration(Version, Parsed);
}

auto Configuration::toJsonText() const -> std::string {
  return renderJson(*Document);
}

auto Configuration::serialize() const -> std::string {
  return Document->SerializeAsString();
}

} // namespace jayramp
