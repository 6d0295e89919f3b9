#include "Schema/JsonMapping.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace jayramp {

namespace {

// The parser reports "(path): text" or "text" with the field name inside; an
// unknown name at the top level comes as "name: Cannot find field.".
auto offendingField(std::string_view Message) -> std::string {
  auto Open = Message.find('(');
  auto Close = Message.find(')');
  if (Open == 0 && Close != std::string_view::npos && Close > 1)
    return std::string(Message.substr(1, Close - 1));
  auto Colon = Message.find(':');
  if (Colon != std::string_view::npos && Colon > 0 &&
      Message.substr(0, Colon).find(' ') == std::string_view::npos)
    return std::string(Message.substr(0, Colon));
  return "body";
}

auto remedyFor(std::string_view Message) -> std::string {
  if (Message.find("Cannot find field") != std::string_view::npos)
    return "remove the field or correct its name; the schema file lists the "
           "known fields";
  if (Message.find("invalid value") != std::string_view::npos ||
      Message.find("Invalid value") != std::string_view::npos ||
      Message.find("not a") != std::string_view::npos)
    return "send a value of the type that the schema file gives the field";
  return "send one JSON object as the schema file describes it";
}

} // namespace

auto parseJson(std::string_view Json, google::protobuf::Message &Target)
    -> Result<void> {
  google::protobuf::util::JsonParseOptions Options;
  Options.ignore_unknown_fields = false;
  auto Status = google::protobuf::util::JsonStringToMessage(std::string(Json),
                                                            &Target, Options);
  if (Status.ok())
    return success();
  std::string Text(Status.message().data(), Status.message().size());
  return Error::make(ErrorKind::InvalidArgument, offendingField(Text), Text,
                     remedyFor(Text));
}

auto renderJson(const google::protobuf::Message &Source) -> std::string {
  google::protobuf::util::JsonPrintOptions Options;
  Options.preserve_proto_field_names = true;
  std::string Text;
  auto Status =
      google::protobuf::util::MessageToJsonString(Source, &Text, Options);
  return Status.ok() ? Text : "{}";
}

} // namespace jayramp
