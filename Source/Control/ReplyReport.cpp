#include "Control/ReplyReport.h"

#include "Schema/JsonMapping.h"
#include "jayramp/v1/jayramp.pb.h"

#include <memory>

namespace jayramp {

namespace {

auto makeMessage(ReplyMessage Kind)
    -> std::unique_ptr<google::protobuf::Message> {
  switch (Kind) {
  case ReplyMessage::RequestOutcome:
    return std::make_unique<v1::RequestOutcome>();
  case ReplyMessage::KeyReport:
    return std::make_unique<v1::KeyReport>();
  case ReplyMessage::JobReport:
    return std::make_unique<v1::JobReport>();
  case ReplyMessage::JobList:
    return std::make_unique<v1::JobList>();
  case ReplyMessage::ConfigurationReport:
    return std::make_unique<v1::ConfigurationReport>();
  case ReplyMessage::ClientAccount:
    return std::make_unique<v1::ClientAccount>();
  case ReplyMessage::StatusReport:
    return std::make_unique<v1::StatusReport>();
  case ReplyMessage::Text:
    break;
  }
  return nullptr;
}

auto codeOf(v1::Outcome Outcome) -> ExitCode {
  switch (Outcome) {
  case v1::ANSWERED:
    return ExitCode::Done;
  case v1::FAILED:
    return ExitCode::FailedAtWorker;
  case v1::NOT_RUN:
    return ExitCode::NotRun;
  default:
    return ExitCode::OutcomeUnknown;
  }
}

auto codeOf(const v1::KeyReport &Report) -> ExitCode {
  if (Report.state() == v1::KEY_ABSENT)
    return ExitCode::NotFound;
  if (Report.state() == v1::KEY_DONE)
    return codeOf(Report.outcome().outcome());
  return ExitCode::OutcomeUnknown;
}

auto codeOf(const google::protobuf::Message &Message, const ControlCall &Call)
    -> ExitCode {
  if (const auto *Outcome = dynamic_cast<const v1::RequestOutcome *>(&Message))
    return codeOf(Outcome->outcome());
  if (const auto *Key = dynamic_cast<const v1::KeyReport *>(&Message))
    return codeOf(*Key);
  // A change that some entry hosts have not confirmed may not be in effect.
  if (const auto *Report =
          dynamic_cast<const v1::ConfigurationReport *>(&Message);
      Report != nullptr && Call.Method != "GET" && !Report->accepted())
    return ExitCode::OutcomeUnknown;
  return ExitCode::Done;
}

auto render(const google::protobuf::Message &Message,
            CommandLine::Output Format) -> std::string {
  if (Format == CommandLine::Output::Json)
    return renderJson(Message) + "\n";
  if (const auto *Outcome = dynamic_cast<const v1::RequestOutcome *>(&Message);
      Outcome != nullptr && Outcome->outcome() == v1::ANSWERED)
    return Outcome->answer();
  return Message.Utf8DebugString();
}

auto codeOf(const v1::ErrorReply &Reply, int Status) -> ExitCode {
  if (Reply.kind() == "CONFLICT" || Status == 409)
    return ExitCode::Conflict;
  if (Reply.kind() == "NOT_FOUND" || Status == 404)
    return ExitCode::NotFound;
  if (Reply.kind() == "UNAVAILABLE" || Reply.kind() == "FENCED")
    return ExitCode::NotRun;
  if (Status >= 400 && Status < 500 && Reply.kind() != "TIMEOUT")
    return ExitCode::InvalidInput;
  return ExitCode::OutcomeUnknown;
}

auto reportFailure(const WholeAnswer &Answer, CommandLine::Output Format)
    -> ReplyReport {
  v1::RequestOutcome Outcome;
  if (parseJson(Answer.Body, Outcome).has_value() &&
      Outcome.outcome() != v1::OUTCOME_UNSPECIFIED)
    return {codeOf(Outcome.outcome()), render(Outcome, Format), ""};
  v1::ErrorReply Reply;
  if (!parseJson(Answer.Body, Reply).has_value() || Reply.kind().empty())
    return {ExitCode::OutcomeUnknown, "",
            "HTTP status " + std::to_string(Answer.Status) +
                " without a message of the schema; check that --entry-host "
                "names an entry host"};
  auto Text = Reply.kind() + " " + Reply.field() + ": " + Reply.detail() +
              "; " + Reply.remedy();
  if (Reply.winning_version() > 0)
    Text += " (the winning version is " +
            std::to_string(Reply.winning_version()) + ")";
  return {codeOf(Reply, Answer.Status),
          Format == CommandLine::Output::Json ? renderJson(Reply) + "\n" : "",
          Text};
}

} // namespace

auto makeReplyReport(const ControlCall &Call, const WholeAnswer &Answer,
                     CommandLine::Output Format) -> ReplyReport {
  if (Answer.Status < 200 || Answer.Status >= 300)
    return reportFailure(Answer, Format);
  auto Message = makeMessage(Call.Reply);
  if (Message == nullptr)
    return {ExitCode::Done, Answer.Body, ""};
  if (auto Parsed = parseJson(Answer.Body, *Message); !Parsed.has_value())
    return {ExitCode::OutcomeUnknown, "",
            "the answer is not a message of the schema: " +
                Parsed.error().message()};
  ReplyReport Report{codeOf(*Message, Call), render(*Message, Format), ""};
  if (Report.Code == ExitCode::OutcomeUnknown)
    Report.Diagnostic = "the outcome is not known yet; query it again with the "
                        "matching show command";
  return Report;
}

} // namespace jayramp
