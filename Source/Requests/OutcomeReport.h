#pragma once

#include "Requests/KeyRecord.h"

#include <variant>

namespace jayramp {

/// A holder's report on how its granted request ended.
struct OutcomeReport {
  std::uint64_t ViewVersion = 0;
  std::uint32_t Shard = 0;
  std::string Account;
  std::string Key;
  std::string ClaimId;
  bool Released = false; ///< The request did not run.
  std::string Outcome;   ///< Opaque bytes, kept unless released.
};

/// Recorded. Replicate `Record`; acknowledge to the holder only after the
/// backup has it, as the only copy could be lost otherwise.
struct ReportRecorded {
  KeyRecord Record;
};

/// The same report was recorded and replicated before: acknowledge.
struct ReportDuplicate {};

/// The key was set to unknown, or ended otherwise, before this report:
/// acknowledge and ignore.
struct ReportTooLate {};

/// Another claim holds the key, or none does: acknowledge and ignore.
struct ReportClaimMismatch {};

/// The shard is not complete here yet, or its history is lost and the report
/// is a release: the holder repeats the report.
struct ReportShardNotReady {};

/// Sent in another view, or this host is not home: the holder repeats it to
/// the home of the current view.
struct ReportWrongView {
  std::uint64_t OwnVersion = 0;
};

using ReportDecision =
    std::variant<ReportRecorded, ReportDuplicate, ReportTooLate,
                 ReportClaimMismatch, ReportShardNotReady, ReportWrongView>;

} // namespace jayramp
