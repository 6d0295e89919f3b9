#include "Jobs/JobRowWriteBuffer.h"

#include "Base/Identifier.h"

#include <algorithm>
#include <utility>

namespace jayramp {

auto JobRowWriteBuffer::adopt(const JobRow &Stored) -> void {
  const auto &Id = Stored.Specification.Id;
  auto Found = Rows.find(Id);
  if (Found == Rows.end()) {
    Rows.emplace(Id, Entry{Stored, Stored});
    return;
  }
  auto &Row = Found->second;
  Row.StoredRow = Stored;
  Row.DesiredRow.Version = Stored.Version;
  Row.DesiredRow.CancelRequested |= Stored.CancelRequested;
  if (Row.DesiredRow != Row.StoredRow)
    enqueue(Id, Row);
}

auto JobRowWriteBuffer::clear() -> void {
  Rows.clear();
  ChangeQueue.clear();
  BatchInFlight = {};
}

auto JobRowWriteBuffer::find(const std::string &Id) const -> const JobRow * {
  auto Found = Rows.find(Id);
  return Found == Rows.end() ? nullptr : &Found->second.DesiredRow;
}

auto JobRowWriteBuffer::ids() const -> std::vector<std::string> {
  std::vector<std::string> All;
  for (const auto &[Id, Row] : Rows)
    All.push_back(Id);
  return All;
}

auto JobRowWriteBuffer::change(const std::string &Id,
                               const std::function<void(JobRow &)> &Edit)
    -> void {
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return;
  Edit(Found->second.DesiredRow);
  enqueue(Id, Found->second);
}

auto JobRowWriteBuffer::isStored(const std::string &Id, JobRowState State,
                                 std::uint32_t Attempt) const -> bool {
  auto Found = Rows.find(Id);
  return Found != Rows.end() && Found->second.StoredRow.State == State &&
         Found->second.StoredRow.Attempt == Attempt;
}

auto JobRowWriteBuffer::isInFlight(const std::string &Id) const -> bool {
  return std::any_of(
      BatchInFlight.Rows.begin(), BatchInFlight.Rows.end(),
      [&Id](const JobRow &Row) { return Row.Specification.Id == Id; });
}

auto JobRowWriteBuffer::storedVersion(const std::string &Id) const
    -> std::uint64_t {
  auto Found = Rows.find(Id);
  return Found == Rows.end() ? 0 : Found->second.StoredRow.Version;
}

auto JobRowWriteBuffer::nextBatch(std::uint64_t ViewVersion) -> Batch {
  if (!BatchInFlight.Rows.empty())
    return {};
  while (!ChangeQueue.empty() && BatchInFlight.Rows.size() < MaxBatchRows) {
    auto Found = Rows.find(ChangeQueue.front());
    ChangeQueue.pop_front();
    if (Found == Rows.end())
      continue;
    Found->second.IsQueued = false;
    if (Found->second.DesiredRow != Found->second.StoredRow)
      BatchInFlight.Rows.push_back(Found->second.DesiredRow);
  }
  BatchInFlight.WriteId = makeIdentifier();
  BatchInFlight.ViewVersion = ViewVersion;
  return BatchInFlight;
}

auto JobRowWriteBuffer::batchWritten(const std::vector<std::uint64_t> &Versions)
    -> void {
  auto Written = std::exchange(BatchInFlight, {});
  for (std::size_t Index = 0; Index < Written.Rows.size(); ++Index) {
    auto &WrittenRow = Written.Rows[Index];
    auto Id = WrittenRow.Specification.Id;
    auto Found = Rows.find(Id);
    if (Found == Rows.end())
      continue;
    WrittenRow.Version =
        Index < Versions.size() ? Versions[Index] : WrittenRow.Version + 1;
    if (WrittenRow.isFinal())
      Rows.erase(Found);
    else
      adopt(WrittenRow);
  }
}

auto JobRowWriteBuffer::batchRejected() -> void {
  auto Rejected = std::exchange(BatchInFlight, {});
  for (auto Row = Rejected.Rows.rbegin(); Row != Rejected.Rows.rend(); ++Row) {
    const auto &Id = Row->Specification.Id;
    auto Found = Rows.find(Id);
    if (Found == Rows.end())
      continue;
    // These changes are older than the queued ones, so they go to the front.
    if (Found->second.IsQueued)
      std::erase(ChangeQueue, Id);
    Found->second.IsQueued = true;
    ChangeQueue.push_front(Id);
  }
}

auto JobRowWriteBuffer::remove(const std::string &Id) -> void {
  Rows.erase(Id);
}

auto JobRowWriteBuffer::enqueue(const std::string &Id, Entry &Row) -> void {
  if (std::exchange(Row.IsQueued, true))
    return;
  ChangeQueue.push_back(Id);
}

} // namespace jayramp
