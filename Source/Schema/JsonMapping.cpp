#include "Schema/JsonMapping.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace jayramp {

namespace {

// The parser reports "(path): text" or "text" with the field name inside; an
// unknown name comes as "name: Cannot find field." at the top level and as
// "(path) name: Cannot find field." below.
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

/// The position after the string that begins at \p Start in \p Json.
auto stringEnd(std::string_view Json, std::size_t Start) -> std::size_t {
  for (std::size_t Place = Start + 1; Place < Json.size();) {
    Place = Json.find_first_of("\"\\", Place);
    if (Place == std::string_view::npos)
      break;
    if (Json[Place] == '"')
      return Place + 1;
    Place += 2;
  }
  return Json.size();
}

/// A bool field of \p Type to which \p Json, which has been parsed, gives a
/// string. The parser accepts strings such as "yes", which the published
/// mapping does not permit; a client that sends "no" would be misunderstood by
/// a stricter version.
auto boolGivenAsString(std::string_view Json,
                       const google::protobuf::Descriptor &Type)
    -> const google::protobuf::FieldDescriptor * {
  constexpr std::string_view Spaces = " \t\r\n";
  int Depth = 0;
  for (std::size_t Place = 0; Place < Json.size(); ++Place) {
    char Character = Json[Place];
    if (Character == '{' || Character == '[')
      ++Depth;
    else if (Character == '}' || Character == ']')
      --Depth;
    if (Character != '"')
      continue;
    std::size_t End = stringEnd(Json, Place);
    std::string Name(Json.substr(Place + 1, End - Place - 2));
    Place = End - 1;
    std::size_t Colon = Json.find_first_not_of(Spaces, End);
    if (Depth != 1 || Colon == std::string_view::npos || Json[Colon] != ':')
      continue;
    std::size_t Value = Json.find_first_not_of(Spaces, Colon + 1);
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
    const auto *Field = boolGivenAsString(Json, *Target.GetDescriptor());
    if (!Field)
      return success();
    return Error::make(ErrorKind::InvalidArgument, Field->name(),
                       "a string is not a truth value", "send true or false");
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
