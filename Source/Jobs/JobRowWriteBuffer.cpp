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
  Row.Stored = Stored;
  Row.Wanted.Version = Stored.Version;
  Row.Wanted.CancelRequested |= Stored.CancelRequested;
  if (Row.Wanted != Row.Stored)
    enqueue(Id, Row);
}

auto JobRowWriteBuffer::clear() -> void {
  Rows.clear();
  Changed.clear();
  InFlight = {};
}

auto JobRowWriteBuffer::find(const std::string &Id) const -> const JobRow * {
  auto Found = Rows.find(Id);
  return Found == Rows.end() ? nullptr : &Found->second.Wanted;
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
  Edit(Found->second.Wanted);
  enqueue(Id, Found->second);
}

auto JobRowWriteBuffer::isStored(const std::string &Id, JobRowState State,
                                 std::uint32_t Attempt) const -> bool {
  auto Found = Rows.find(Id);
  return Found != Rows.end() && Found->second.Stored.State == State &&
         Found->second.Stored.Attempt == Attempt;
}

auto JobRowWriteBuffer::inBatch(const std::string &Id) const -> bool {
  return std::any_of(
      InFlight.Rows.begin(), InFlight.Rows.end(),
      [&Id](const JobRow &Row) { return Row.Specification.Id == Id; });
}

auto JobRowWriteBuffer::storedVersion(const std::string &Id) const
    -> std::uint64_t {
  auto Found = Rows.find(Id);
  return Found == Rows.end() ? 0 : Found->second.Stored.Version;
}

auto JobRowWriteBuffer::nextBatch(std::uint64_t ViewVersion) -> Batch {
  if (!InFlight.Rows.empty())
    return {};
  while (!Changed.empty() && InFlight.Rows.size() < LargestBatch) {
    auto Found = Rows.find(Changed.front());
    Changed.pop_front();
    if (Found == Rows.end())
      continue;
    Found->second.Queued = false;
    if (Found->second.Wanted != Found->second.Stored)
      InFlight.Rows.push_back(Found->second.Wanted);
  }
  InFlight.WriteId = makeIdentifier();
  InFlight.ViewVersion = ViewVersion;
  return InFlight;
}

auto JobRowWriteBuffer::batchWritten(const std::vector<std::uint64_t> &Versions)
    -> void {
  auto Written = std::exchange(InFlight, {});
  for (std::size_t Index = 0; Index < Written.Rows.size(); ++Index) {
    auto &Done = Written.Rows[Index];
    auto Id = Done.Specification.Id;
    auto Found = Rows.find(Id);
    if (Found == Rows.end())
      continue;
    Done.Version = Index < Versions.size() ? Versions[Index] : Done.Version + 1;
    if (Done.isFinal())
      Rows.erase(Found);
    else
      adopt(Done);
  }
}

auto JobRowWriteBuffer::batchLost() -> void {
  auto Lost = std::exchange(InFlight, {});
  for (auto Row = Lost.Rows.rbegin(); Row != Lost.Rows.rend(); ++Row) {
    const auto &Id = Row->Specification.Id;
    auto Found = Rows.find(Id);
    if (Found == Rows.end())
      continue;
    // These changes are older than those that wait.
    if (Found->second.Queued)
      std::erase(Changed, Id);
    Found->second.Queued = true;
    Changed.push_front(Id);
  }
}

auto JobRowWriteBuffer::forget(const std::string &Id) -> void {
  Rows.erase(Id);
}

auto JobRowWriteBuffer::enqueue(const std::string &Id, Entry &Row) -> void {
  if (std::exchange(Row.Queued, true))
    return;
  Changed.push_back(Id);
}

} // namespace jayramp
