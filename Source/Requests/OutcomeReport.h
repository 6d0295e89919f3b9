#pragma once

#include "Requests/KeyRecord.h"

#include <variant>

namespace jayramp {

/// Report of a claim's holder to the home about how the granted request ended.
struct OutcomeReport {
  std::uint64_t ViewVersion = 0;
  std::uint32_t Shard = 0;
  std::string Account;
  std::string Key;
  std::string ClaimId;
  bool Released = false; ///< The request did not run.
  /// Serialized v1::RequestOutcome, opaque to the registry; ignored if
  /// released.
  std::string Outcome;
};

/// The report was recorded. The home replicates `Record` and acknowledges the
/// report only after the backup has stored it; otherwise the only copy could be
/// lost.
struct ReportRecorded {
  KeyRecord Record;
};

/// The same report was recorded and replicated before; the home acknowledges
/// it.
struct ReportDuplicate {};

/// The key had already ended, with an unknown outcome or in another way; the
/// home acknowledges the report and ignores it.
struct ReportTooLate {};

/// The key is claimed by another claim or by none; the home acknowledges the
/// report and ignores it.
struct ReportClaimMismatch {};

/// The home does not have the complete history of the shard yet, or the history
/// is lost and the report is a release. The holder repeats the report.
struct ReportShardNotReady {};

/// The report was sent in another view, or this host is not the home. The
/// holder repeats the report to the home in the current view.
struct ReportWrongView {
  std::uint64_t OwnVersion = 0;
};

/// Decision of the home on a report.
using ReportDecision =
    std::variant<ReportRecorded, ReportDuplicate, ReportTooLate,
                 ReportClaimMismatch, ReportShardNotReady, ReportWrongView>;

} // namespace jayramp
