#pragma once

#include "Cluster.h"

#include <string>

namespace review {

/// Result of a scenario, which is the exit code of the program.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Returns whether two runs of one task overlapped, and writes them to the
/// record.
auto reportOverlap(Cluster &Stage) -> bool;

/// The store goes down while a worker drains, and comes back.
auto runDrainAndStoreOutage(Cluster &Stage, const std::string &SettingsPath,
                            bool Trouble) -> Verdict;
/// The store goes down while jobs are between their steps, and comes back; some
/// seconds later, workers drain.
auto runStoreOutageBetweenSteps(Cluster &Stage, const std::string &SettingsPath,
                                bool Trouble) -> Verdict;
/// A worker that was idle for long is cut off right after its first start.
auto runIdleWorkerCut(Cluster &Stage, const std::string &SettingsPath,
                      bool Trouble) -> Verdict;
/// A gang that should stay in one rack is wider than any rack allows.
auto runWideRackGang(Cluster &Stage, const std::string &SettingsPath,
                     bool Trouble) -> Verdict;

} // namespace review
