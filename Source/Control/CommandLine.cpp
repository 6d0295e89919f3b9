#include "Control/CommandLine.h"

#include "Schema/JsonMapping.h"
#include "jayramp/v1/jayramp.pb.h"

#include <cpprest/base_uri.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <set>

namespace jayramp {

namespace {

using OptionNames = std::set<std::string>;

/// The arguments and options that a command accepts.
struct CommandSpec {
  int ArgumentCount;
  OptionNames Options;
};

/// Returns the commands by name. Options that all commands accept are not
/// listed.
auto commandSpecs() -> const std::map<std::string, CommandSpec> & {
  static const std::map<std::string, CommandSpec> Specs = {
      {"request submit",
       {0,
        {"account", "key", "idempotent", "class", "deadline-ms", "payload",
         "payload-file"}}},
      {"request show", {2, {}}},
      {"job submit",
       {0,
        {"account", "key", "accelerators", "priority", "adjacent",
         "declared-run-ms", "payload", "payload-file"}}},
      {"job list", {0, {"account"}}},
      {"job show", {1, {}}},
      {"job cancel", {1, {}}},
      {"account list", {0, {}}},
      {"account show", {1, {}}},
      {"account set", {1, {"guarantee", "share", "quota"}}},
      {"account remove", {1, {}}},
      {"configuration show", {0, {}}},
      {"configuration set", {1, {"expected-version"}}},
      {"status", {0, {}}},
      {"drain", {0, {}}},
      {"metrics", {0, {}}},
      {"explain", {1, {"log"}}},
  };
  return Specs;
}

auto makeOptions() -> cxxopts::Options {
  cxxopts::Options Options(
      "jayrampctl",
      "Sends requests and commands to the entry hosts of jayramp.");
  auto Text = [] { return cxxopts::value<std::string>(); };
  auto List = [] { return cxxopts::value<std::vector<std::string>>(); };
  Options.add_options()("entry-host", "entry host to call, repeatable", List(),
                        "IP:PORT")("output", "text or json", Text(), "FORMAT")(
      "timeout-ms", "limit for one entry host", Text(),
      "MS")("help", "print this text")("version", "print the version")(
      "account", "client account", Text(),
      "NAME")("key", "key that identifies the request or job", Text(),
              "KEY")("idempotent", "the request may safely run more than once")(
      "class", "short or long", Text(),
      "CLASS")("deadline-ms", "time that the caller waits, 1 to 600000", Text(),
               "MS")("payload", "payload as text", Text(), "TEXT")(
      "payload-file", "file with the payload", Text(),
      "FILE")("accelerators", "accelerators of the job, 1 to 64", Text(),
              "N")("priority", "urgent, guaranteed or surplus", Text(),
                   "PRIORITY")("adjacent", "the accelerators must be adjacent")(
      "declared-run-ms", "expected run time, used only as a hint", Text(),
      "MS")("guarantee", "accelerators x count, repeatable", List(),
            "AxC")("share", "request share, 1 to 1000", Text(), "N")(
      "quota", "accelerators held at once, 0: no limit", Text(),
      "N")("expected-version", "version that the change is based on", Text(),
           "N")("log", "collected log of an entry host, repeatable", List(),
                "FILE")("words", "", List());
  Options.parse_positional({"words"});
  Options.positional_help("COMMAND");
  Options.custom_help("[OPTION...]");
  return Options;
}

auto invalidArgument(std::string Place, std::string Detail, std::string Remedy)
    -> Error {
  return Error::make(ErrorKind::InvalidArgument, std::move(Place),
                     std::move(Detail), std::move(Remedy));
}

/// Reads the option values of one command line. Invalid values do not stop it:
/// the first error is kept for firstError().
class OptionReader {
public:
  explicit OptionReader(const cxxopts::ParseResult &Parsed) : Parsed(Parsed) {}

  /// Returns whether the option is given at least once.
  auto has(const std::string &Name) const -> bool {
    return Parsed.count(Name) > 0;
  }

  /// Returns an empty string if the option is not given.
  auto text(const std::string &Name) const -> std::string {
    return has(Name) ? Parsed[Name].as<std::string>() : std::string();
  }

  auto list(const std::string &Name) const -> std::vector<std::string> {
    return has(Name) ? Parsed[Name].as<std::vector<std::string>>()
                     : std::vector<std::string>();
  }

  /// Returns the value of the option, and records an error if it is missing or
  /// empty.
  auto required(const std::string &Name) -> std::string {
    if (text(Name).empty())
      recordError(invalidArgument("--" + Name, "the option is missing",
                                  "add --" + Name));
    return text(Name);
  }

  /// Returns \p Default if the option is not given or its value is not a whole
  /// number from \p Minimum to \p Maximum; the latter is recorded as an error.
  auto number(const std::string &Name, std::uint64_t Default,
              std::uint64_t Minimum, std::uint64_t Maximum) -> std::uint64_t {
    if (!has(Name))
      return Default;
    auto Value = parseNumber(text(Name));
    if (!Value || *Value < Minimum || *Value > Maximum) {
      recordError(invalidArgument(
          "--" + Name, "\"" + text(Name) + "\" is not a valid value",
          "give a whole number from " + std::to_string(Minimum) + " to " +
              std::to_string(Maximum)));
      return Default;
    }
    return *Value;
  }

  /// Returns the value that \p Choices maps the text of the option to, or
  /// \p Default if the option is not given. An unknown text is an error.
  template <typename T>
  auto choice(const std::string &Name, T Default,
              const std::map<std::string, T> &Choices) -> T {
    if (!has(Name))
      return Default;
    auto Found = Choices.find(text(Name));
    if (Found != Choices.end())
      return Found->second;
    std::string Accepted;
    for (const auto &[Choice, Value] : Choices)
      Accepted += (Accepted.empty() ? "" : " or ") + Choice;
    recordError(invalidArgument("--" + Name,
                                "\"" + text(Name) + "\" is not a valid value",
                                "give " + Accepted));
    return Default;
  }

  auto payload() -> std::string {
    if (has("payload") && has("payload-file"))
      recordError(invalidArgument("--payload-file", "--payload is given too",
                                  "give only one of the two options"));
    return has("payload-file")
               ? readFile("--payload-file", text("payload-file"))
               : text("payload");
  }

  /// Returns the content of the file \p Path. A read error is recorded with
  /// \p Place, the option or argument that names the file.
  auto readFile(const std::string &Place, const std::string &Path)
      -> std::string {
    std::ifstream File(Path, std::ios::binary);
    std::string Content{std::istreambuf_iterator<char>(File), {}};
    if (!File)
      recordError(invalidArgument(Place,
                                  "the file \"" + Path + "\" cannot be read",
                                  "give the path of a readable file"));
    return Content;
  }

  auto recordError(Error Failure) -> void {
    if (!FirstError)
      FirstError = std::move(Failure);
  }

  auto firstError() const -> const std::optional<Error> & { return FirstError; }

  static auto parseNumber(std::string_view Text)
      -> std::optional<std::uint64_t> {
    std::uint64_t Value = 0;
    const auto *End = Text.data() + Text.size();
    auto [Rest, Code] = std::from_chars(Text.data(), End, Value);
    if (Code != std::errc() || Rest != End)
      return std::nullopt;
    return Value;
  }

private:
  const cxxopts::ParseResult &Parsed;
  std::optional<Error> FirstError;
};

auto encodePathSegment(const std::string &Segment) -> std::string {
  return web::uri::encode_data_string(Segment);
}

auto validateKey(OptionReader &Options, const std::string &Key) -> void {
  auto Visible = [](char C) { return C > ' ' && C < '\x7f'; };
  if (Key.size() > 128 || !std::all_of(Key.begin(), Key.end(), Visible))
    Options.recordError(invalidArgument(
        "--key",
        "the key is longer than 128 characters or contains spaces or "
        "characters other than visible ASCII",
        "give a key of 1 to 128 visible ASCII characters"));
}

auto submitRequest(OptionReader &Options) -> ControlCall {
  v1::SubmitRequest Message;
  Message.set_account(Options.required("account"));
  Message.set_key(Options.required("key"));
  validateKey(Options, Message.key());
  Message.set_idempotent(Options.has("idempotent"));
  Message.set_work_class(Options.choice<v1::WorkClass>(
      "class", v1::SHORT, {{"short", v1::SHORT}, {"long", v1::LONG}}));
  Message.set_deadline_ms(static_cast<std::uint32_t>(
      Options.number("deadline-ms", 30000, 1, 600000)));
  Message.set_payload(Options.payload());
  return {"POST", "/v1/requests", renderJson(Message),
          ReplyType::RequestOutcome, Message.idempotent()};
}

auto submitJob(OptionReader &Options) -> ControlCall {
  v1::SubmitJob Message;
  Message.set_account(Options.required("account"));
  Message.set_key(Options.required("key"));
  validateKey(Options, Message.key());
  Options.required("accelerators");
  Message.set_accelerators(
      static_cast<std::uint32_t>(Options.number("accelerators", 1, 1, 64)));
  Message.set_priority(
      Options.choice<v1::Priority>("priority", v1::GUARANTEED,
                                   {{"urgent", v1::URGENT},
                                    {"guaranteed", v1::GUARANTEED},
                                    {"surplus", v1::SURPLUS}}));
  Message.set_adjacent(Options.has("adjacent"));
  Message.set_declared_run_ms(
      Options.number("declared-run-ms", 0, 0, UINT64_MAX));
  Message.set_payload(Options.payload());
  // The job id is derived from the account and the key, so a repeated call does
  // not create a second job.
  return {"POST", "/v1/jobs", renderJson(Message), ReplyType::JobReport, true};
}

auto setAccount(OptionReader &Options, const std::string &Name) -> ControlCall {
  v1::ChangeAccount Message;
  auto &Account = *Message.mutable_account();
  Account.set_name(Name);
  Options.required("share");
  Account.set_request_share(
      static_cast<std::uint32_t>(Options.number("share", 1, 1, 1000)));
  Account.set_accelerator_quota(
      static_cast<std::uint32_t>(Options.number("quota", 0, 0, 1000000)));
  for (const auto &Text : Options.list("guarantee")) {
    auto Separator = Text.find('x');
    auto Accelerators = OptionReader::parseNumber(Text.substr(0, Separator));
    auto Count = Separator == std::string::npos
                     ? std::nullopt
                     : OptionReader::parseNumber(Text.substr(Separator + 1));
    if (!Accelerators || !Count || *Accelerators < 1 || *Accelerators > 64 ||
        *Count < 1 || *Count > 100000) {
      Options.recordError(invalidArgument(
          "--guarantee",
          "\"" + Text +
              "\" is not of the form AxC, accelerators x "
              "count",
          "give 1 to 64 accelerators and a count of 1 to 100000, "
          "for example 8x2"));
      continue;
    }
    auto &Shape = *Account.add_guarantees();
    Shape.set_accelerators(static_cast<std::uint32_t>(*Accelerators));
    Shape.set_count(static_cast<std::uint32_t>(*Count));
  }
  return {"PUT", "/v1/accounts/" + encodePathSegment(Name), renderJson(Message),
          ReplyType::ConfigurationReport};
}

auto setConfiguration(OptionReader &Options, const std::string &Path)
    -> ControlCall {
  v1::ChangeConfiguration Message;
  Options.required("expected-version");
  Message.set_expected_version(
      Options.number("expected-version", 0, 0, UINT64_MAX));
  auto Parsed =
      parseJson(Options.readFile(Path, Path), *Message.mutable_document());
  if (!Parsed.has_value())
    Options.recordError(invalidArgument(Path + ": " + Parsed.error().place(),
                                        Parsed.error().detail(),
                                        Parsed.error().remedy()));
  return {"PUT", "/v1/configuration", renderJson(Message),
          ReplyType::ConfigurationReport};
}

/// Returns the call of the validated command name \p Command; \p Words are its
/// arguments.
auto makeCall(const std::string &Command, const std::vector<std::string> &Words,
              OptionReader &Options) -> ControlCall {
  if (Command == "request submit")
    return submitRequest(Options);
  if (Command == "request show")
    return {"GET",
            "/v1/requests/" + encodePathSegment(Words[0]) + "/" +
                encodePathSegment(Words[1]),
            "", ReplyType::KeyReport, true};
  if (Command == "job submit")
    return submitJob(Options);
  if (Command == "job list")
    return {"GET",
            Options.has("account")
                ? "/v1/jobs?account=" +
                      encodePathSegment(Options.text("account"))
                : "/v1/jobs",
            "", ReplyType::JobList, true};
  if (Command == "job show")
    return {"GET", "/v1/jobs/" + encodePathSegment(Words[0]), "",
            ReplyType::JobReport, true};
  if (Command == "job cancel")
    return {"DELETE", "/v1/jobs/" + encodePathSegment(Words[0]), "",
            ReplyType::JobReport, true};
  if (Command == "account list" || Command == "configuration show")
    return {"GET", "/v1/configuration", "", ReplyType::ConfigurationReport,
            true};
  if (Command == "account show")
    return {"GET", "/v1/accounts/" + encodePathSegment(Words[0]), "",
            ReplyType::ClientAccount, true};
  if (Command == "account set")
    return setAccount(Options, Words[0]);
  // Not safe to repeat: a delayed repeat of a configuration change could undo a
  // newer change by another operator.
  if (Command == "account remove")
    return {"DELETE", "/v1/accounts/" + encodePathSegment(Words[0]), "",
            ReplyType::ConfigurationReport};
  if (Command == "configuration set")
    return setConfiguration(Options, Words[0]);
  if (Command == "status")
    return {"GET", "/v1/status", "", ReplyType::StatusReport, true};
  if (Command == "metrics")
    return {"GET", "/metrics", "", ReplyType::Text, true, false};
  return {"POST", "/v1/drain", "", ReplyType::Text, false, false};
}

/// Returns the text that --help prints.
auto helpText(const cxxopts::Options &Options) -> std::string {
  std::string Text = Options.help() + "\nCommands:\n";
  for (const auto &[Name, Spec] : commandSpecs()) {
    Text += "  " + Name;
    for (const auto &Option : Spec.Options)
      Text += " [--" + Option + "]";
    Text += Spec.ArgumentCount == 0 ? "\n" : " ARGUMENT...\n";
  }
  return Text + "\nHelp/jayrampctl.md describes the exit codes.\n";
}

} // namespace

auto controlOptionNames() -> std::vector<std::string> {
  std::vector<std::string> All;
  auto Options = makeOptions();
  for (const auto &Option : Options.group_help("").options)
    if (Option.l.front() != "words")
      All.push_back(Option.l.front());
  return All;
}

auto CommandLine::parse(const std::vector<std::string> &Arguments)
    -> Result<CommandLine> {
  auto Options = makeOptions();
  std::vector<const char *> ArgumentPointers = {"jayrampctl"};
  for (const auto &Argument : Arguments)
    ArgumentPointers.push_back(Argument.c_str());
  try {
    auto Parsed = Options.parse(static_cast<int>(ArgumentPointers.size()),
                                ArgumentPointers.data());
    OptionReader Reader(Parsed);
    CommandLine Line;
    if (Reader.has("help") || Reader.has("version")) {
      Line.InformationText =
          Reader.has("help") ? helpText(Options) : "jayrampctl 0.1.0\n";
      return Line;
    }
    auto Words = Reader.list("words");
    std::string Command = Words.empty() ? "" : Words.front();
    std::size_t CommandWords = 1;
    if (!commandSpecs().contains(Command) && Words.size() > 1) {
      Command += " " + Words[1];
      CommandWords = 2;
    }
    auto Spec = commandSpecs().find(Command);
    if (Spec == commandSpecs().end())
      return invalidArgument("command", "\"" + Command + "\" is not a command",
                             "run jayrampctl --help for the list of commands");
    Words.erase(Words.begin(), Words.begin() + static_cast<long>(CommandWords));
    if (Words.size() != static_cast<std::size_t>(Spec->second.ArgumentCount))
      return invalidArgument(Command,
                             "the command was given " +
                                 std::to_string(Words.size()) + " arguments",
                             "give exactly " +
                                 std::to_string(Spec->second.ArgumentCount));
    static const OptionNames CommonOptions = {"entry-host", "output",
                                              "timeout-ms", "words"};
    for (const auto &Option : Parsed.arguments())
      if (!CommonOptions.contains(Option.key()) &&
          !Spec->second.Options.contains(Option.key()))
        return invalidArgument("--" + Option.key(),
                               "the command " + Command +
                                   " does not accept the option",
                               "remove the option");
    if (Command == "explain") {
      Line.ExplainedId = Words[0];
      Line.LogFiles = Reader.list("log");
      if (Line.LogFiles.empty())
        return invalidArgument("--log", "the option is missing",
                               "add --log FILE");
      return Line;
    }
    Line.Call = makeCall(Command, Words, Reader);
    for (const auto &Text : Reader.list("entry-host")) {
      auto Address = SocketAddress::parse(Text);
      if (!Address || Address->isWildcard())
        return invalidArgument("--entry-host",
                               "\"" + Text + "\" is not a valid IP:PORT",
                               "give an address such as 10.0.0.1:8080");
      Line.EntryHosts.push_back(*Address);
    }
    if (Line.EntryHosts.empty())
      return invalidArgument("--entry-host", "the option is missing",
                             "add --entry-host IP:PORT");
    if (!Line.Call.AcceptsAnyEntryHost && Line.EntryHosts.size() > 1)
      return invalidArgument("--entry-host",
                             Command + " is sent to exactly one entry host",
                             "give the option once");
    Line.Format =
        Reader.choice<Output>("output", Output::Text,
                              {{"text", Output::Text}, {"json", Output::Json}});
    // An entry host may respond as late as the deadline of the request, so the
    // default timeout is 2 s longer.
    auto DefaultTimeoutMs =
        Command == "request submit"
            ? Reader.number("deadline-ms", 30000, 1, 600000) + 2000
            : 10000;
    Line.Timeout =
        Milliseconds(Reader.number("timeout-ms", DefaultTimeoutMs, 1, 3600000));
    if (Reader.firstError())
      return *Reader.firstError();
    return Line;
  } catch (const cxxopts::exceptions::exception &Failure) {
    return invalidArgument("command line", Failure.what(),
                           "run jayrampctl --help");
  }
}

} // namespace jayramp
