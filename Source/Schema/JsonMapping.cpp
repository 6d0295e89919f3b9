#include "Schema/JsonMapping.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace jayramp {

namespace {

/// Returns the path of the field that \p Message, an error of the protobuf JSON
/// parser, refers to, or "body" if it names none. The parser reports an invalid
/// value as "(path): text". It reports an unknown field as
/// "name: Cannot find field." at the top level and as
/// "(path) name: Cannot find field." in a nested message.
auto offendingField(std::string_view Message) -> std::string {
  auto Open = Message.find('(');
  auto Close = Message.find(')');
  if (Open == 0 && Close != std::string_view::npos && Close > 1) {
    std::string Path(Message.substr(1, Close - 1));
    auto End = Message.find(": Cannot find field");
    if (End != std::string_view::npos && End > Close + 2)
      Path += "." + std::string(Message.substr(Close + 2, End - Close - 2));
    return Path;
  }
  auto Colon = Message.find(':');
  if (Colon != std::string_view::npos && Colon > 0 &&
      Message.substr(0, Colon).find(' ') == std::string_view::npos)
    return std::string(Message.substr(0, Colon));
  return "body";
}

/// Returns how to correct the input that \p Message, an error of the protobuf
/// JSON parser, refers to.
auto remedyFor(std::string_view Message) -> std::string {
  if (Message.find("Cannot find field") != std::string_view::npos)
    return "remove the field or correct its name; the schema file lists the "
           "fields of each message";
  if (Message.find("invalid value") != std::string_view::npos ||
      Message.find("Invalid value") != std::string_view::npos ||
      Message.find("not a") != std::string_view::npos)
    return "send a value of the type that the schema file declares for the "
           "field";
  return "send one JSON object that follows the schema file";
}

/// Returns the index after the closing quote of the JSON string whose opening
/// quote is at \p Start in \p Json.
auto findStringEnd(std::string_view Json, std::size_t Start) -> std::size_t {
  for (std::size_t Index = Start + 1; Index < Json.size();) {
    Index = Json.find_first_of("\"\\", Index);
    if (Index == std::string_view::npos)
      break;
    if (Json[Index] == '"')
      return Index + 1;
    Index += 2;
  }
  return Json.size();
}

/// Returns a top-level bool field of \p Type that has a string as its value in
/// \p Json, or null if there is none. \p Json must be valid JSON. The protobuf
/// parser accepts strings such as "yes" for a bool, although the proto3 JSON
/// mapping does not permit them. They are rejected here, because another
/// version of the parser may read them differently.
auto findBoolFieldWithStringValue(std::string_view Json,
                                  const google::protobuf::Descriptor &Type)
    -> const google::protobuf::FieldDescriptor * {
  constexpr std::string_view Whitespace = " \t\r\n";
  int Depth = 0;
  for (std::size_t Index = 0; Index < Json.size(); ++Index) {
    char Character = Json[Index];
    if (Character == '{' || Character == '[')
      ++Depth;
    else if (Character == '}' || Character == ']')
      --Depth;
    if (Character != '"')
      continue;
    std::size_t End = findStringEnd(Json, Index);
    std::string Name(Json.substr(Index + 1, End - Index - 2));
    Index = End - 1;
    std::size_t Colon = Json.find_first_not_of(Whitespace, End);
    if (Depth != 1 || Colon == std::string_view::npos || Json[Colon] != ':')
      continue;
    std::size_t Value = Json.find_first_not_of(Whitespace, Colon + 1);
    if (Value == std::string_view::npos || Json[Value] != '"')
      continue;
    const auto *Field = Type.FindFieldByName(Name);
    if (!Field)
      Field = Type.FindFieldByCamelcaseName(Name);
    if (Field && Field->type() == google::protobuf::FieldDescriptor::TYPE_BOOL)
      return Field;
  }
  return nullptr;
}

} // namespace

auto parseJson(std::string_view Json, google::protobuf::Message &Target)
    -> Result<void> {
  google::protobuf::util::JsonParseOptions Options;
  Options.ignore_unknown_fields = false;
  auto Status = google::protobuf::util::JsonStringToMessage(std::string(Json),
                                                            &Target, Options);
  if (Status.ok()) {
    const auto *Field =
        findBoolFieldWithStringValue(Json, *Target.GetDescriptor());
    if (!Field)
      return success();
    return Error::make(ErrorKind::InvalidArgument, Field->name(),
                       "the value is a string, but the field is a bool",
                       "send true or false without quotes");
  }
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
