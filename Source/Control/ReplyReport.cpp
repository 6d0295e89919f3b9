#include "Control/ReplyReport.h"

#include "Schema/JsonMapping.h"
#include "jayramp/v1/jayramp.pb.h"

#include <memory>

namespace jayramp {

namespace {

auto makeMessage(ReplyType Kind) -> std::unique_ptr<google::protobuf::Message> {
  switch (Kind) {
  case ReplyType::RequestOutcome:
    return std::make_unique<v1::RequestOutcome>();
  case ReplyType::KeyReport:
    return std::make_unique<v1::KeyReport>();
  case ReplyType::JobReport:
    return std::make_unique<v1::JobReport>();
  case ReplyType::JobList:
    return std::make_unique<v1::JobList>();
  case ReplyType::ConfigurationReport:
    return std::make_unique<v1::ConfigurationReport>();
  case ReplyType::ClientAccount:
    return std::make_unique<v1::ClientAccount>();
  case ReplyType::StatusReport:
    return std::make_unique<v1::StatusReport>();
  case ReplyType::Text:
    break;
  }
  return nullptr;
}

auto exitCodeFor(v1::Outcome Outcome) -> ExitCode {
  switch (Outcome) {
  case v1::ANSWERED:
    return ExitCode::Success;
  case v1::FAILED:
    return ExitCode::WorkerFailed;
  case v1::NOT_RUN:
    return ExitCode::NotRun;
  default:
    return ExitCode::OutcomeUnknown;
  }
}

auto exitCodeFor(const v1::KeyReport &Report) -> ExitCode {
  if (Report.state() == v1::KEY_ABSENT)
    return ExitCode::NotFound;
  if (Report.state() == v1::KEY_DONE)
    return exitCodeFor(Report.outcome().outcome());
  return ExitCode::OutcomeUnknown;
}

auto exitCodeFor(const google::protobuf::Message &Message,
                 const ControlCall &Call) -> ExitCode {
  if (const auto *Outcome = dynamic_cast<const v1::RequestOutcome *>(&Message))
    return exitCodeFor(Outcome->outcome());
  if (const auto *Key = dynamic_cast<const v1::KeyReport *>(&Message))
    return exitCodeFor(*Key);
  // A configuration change that is not accepted has not been confirmed by all
  // entry hosts, so it may not be in effect.
  if (const auto *Report =
          dynamic_cast<const v1::ConfigurationReport *>(&Message);
      Report != nullptr && Call.Method != "GET" && !Report->accepted())
    return ExitCode::OutcomeUnknown;
  return ExitCode::Success;
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

auto exitCodeFor(const v1::ErrorReply &Reply, int Status) -> ExitCode {
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

auto makeErrorReport(const CompleteResponse &Response,
                     CommandLine::Output Format) -> ReplyReport {
  v1::RequestOutcome Outcome;
  if (parseJson(Response.Body, Outcome).has_value() &&
      Outcome.outcome() != v1::OUTCOME_UNSPECIFIED)
    return {exitCodeFor(Outcome.outcome()), render(Outcome, Format), ""};
  v1::ErrorReply Reply;
  if (!parseJson(Response.Body, Reply).has_value() || Reply.kind().empty())
    return {ExitCode::OutcomeUnknown, "",
            "HTTP status " + std::to_string(Response.Status) +
                " without an ErrorReply or RequestOutcome in the body; check "
                "that --entry-host names an entry host"};
  auto Diagnostic = Reply.kind() + " " + Reply.field() + ": " + Reply.detail() +
                    "; " + Reply.remedy();
  if (Reply.winning_version() > 0)
    Diagnostic += " (the winning version is " +
                  std::to_string(Reply.winning_version()) + ")";
  return {exitCodeFor(Reply, Response.Status),
          Format == CommandLine::Output::Json ? renderJson(Reply) + "\n" : "",
          Diagnostic};
}

} // namespace

auto makeReplyReport(const ControlCall &Call, const CompleteResponse &Response,
                     CommandLine::Output Format) -> ReplyReport {
  if (Response.Status < 200 || Response.Status >= 300)
    return makeErrorReport(Response, Format);
  auto Message = makeMessage(Call.ExpectedReply);
  if (Message == nullptr)
    return {ExitCode::Success, Response.Body, ""};
  if (auto Parsed = parseJson(Response.Body, *Message); !Parsed.has_value())
    return {ExitCode::OutcomeUnknown, "",
            "the response body is not the expected message: " +
                Parsed.error().message()};
  ReplyReport Report{exitCodeFor(*Message, Call), render(*Message, Format), ""};
  if (Report.Code == ExitCode::OutcomeUnknown)
    Report.Diagnostic = "the outcome is not known yet; query it later with the "
                        "matching show command";
  return Report;
}

} // namespace jayramp
