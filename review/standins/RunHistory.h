#pragma once

#include "Record.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// What ran on all workers: the truth that the rules are checked against. It
/// also brings the members of a gang together.
class RunHistory {
public:
  /// One run of a task on one worker.
  struct Entry {
    std::string Task; ///< "JOB.OCCURRENCE.STEP.INDEX".
    std::uint32_t Run = 0;
    std::string Worker;
    std::int64_t StartMs = 0;
    std::optional<std::int64_t> EndMs;
    std::string How;
    /// When the worker was told that its end is known.
    std::optional<std::int64_t> AcknowledgedMs;
    /// When the worker's lease first lapsed after the end, if it did before the
    /// worker was told.
    std::optional<std::int64_t> LeaseLapsedMs;
  };

  explicit RunHistory(Record &Output) : Output(Output) {}

  /// Returns the position of the new entry.
  auto start(const std::string &Task, std::uint32_t Run,
             const std::string &Worker) -> std::size_t {
    std::lock_guard Lock(Mutex);
    Entries.push_back({Task, Run, Worker, Output.elapsedMs(), {}, {}, {}, {}});
    Output.write("run starts: " + describe(Entries.back()));
    return Entries.size() - 1;
  }

  auto end(std::size_t Position, const std::string &How) -> void {
    std::lock_guard Lock(Mutex);
    auto &Ended = Entries.at(Position);
    Ended.EndMs = Output.elapsedMs();
    Ended.How = How;
    Output.write("run ends: " + describe(Ended) + ", " + How);
  }

  auto acknowledge(std::size_t Position) -> void {
    std::lock_guard Lock(Mutex);
    Entries.at(Position).AcknowledgedMs = Output.elapsedMs();
  }

  auto recordLapse(std::size_t Position) -> void {
    std::lock_guard Lock(Mutex);
    Entries.at(Position).LeaseLapsedMs = Output.elapsedMs();
  }

  auto entries() const -> std::vector<Entry> {
    std::lock_guard Lock(Mutex);
    return Entries;
  }

  /// Returns the runs of one task that overlapped; none if no two did.
  auto findOverlap() const -> std::optional<std::pair<Entry, Entry>> {
    const auto Now = Output.elapsedMs();
    const auto All = entries();
    for (std::size_t Later = 0; Later < All.size(); ++Later)
      for (std::size_t Earlier = 0; Earlier < Later; ++Earlier)
        if (All[Earlier].Task == All[Later].Task &&
            All[Later].StartMs < All[Earlier].EndMs.value_or(Now))
          return std::pair(All[Earlier], All[Later]);
    return std::nullopt;
  }

  static auto describe(const Entry &Each) -> std::string {
    return Each.Task + " run " + std::to_string(Each.Run) + " on " +
           Each.Worker;
  }

private:
  Record &Output;
  mutable std::mutex Mutex; ///< Guards Entries.
  std::vector<Entry> Entries;
};

} // namespace review
