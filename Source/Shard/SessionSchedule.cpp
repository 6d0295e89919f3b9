#include "Shard/SessionSchedule.h"

namespace jayramp::shard {

auto SessionSchedule::setDue(const std::string &Worker, TimePoint Due) -> void {
  const auto [Known, IsNew] = DueByWorker.try_emplace(Worker, Due);
  if (!IsNew) {
    if (Known->second == Due)
      return;
    Order.erase({Known->second, Worker});
    Known->second = Due;
  }
  Order.emplace(Due, Worker);
}

auto SessionSchedule::awaitCommit(const std::string &Worker,
                                  const std::string &Job) -> void {
  WorkersByJob[Job].insert(Worker);
}

auto SessionSchedule::remove(const std::string &Worker) -> void {
  const auto Known = DueByWorker.find(Worker);
  if (Known == DueByWorker.end())
    return;
  Order.erase({Known->second, Worker});
  DueByWorker.erase(Known);
}

auto SessionSchedule::takeDue(TimePoint Now) -> std::vector<std::string> {
  std::vector<std::string> Workers;
  while (!Order.empty() && Order.begin()->first <= Now) {
    Workers.push_back(Order.begin()->second);
    DueByWorker.erase(Workers.back());
    Order.erase(Order.begin());
  }
  return Workers;
}

auto SessionSchedule::takeAwaiting(const std::vector<std::string> &Jobs)
    -> std::set<std::string> {
  std::set<std::string> Workers;
  for (const auto &Job : Jobs)
    if (auto Found = WorkersByJob.extract(Job))
      Workers.merge(Found.mapped());
  return Workers;
}

auto SessionSchedule::earliestDue() const -> TimePoint {
  return Order.empty() ? TimePoint::max() : Order.begin()->first;
}

} // namespace jayramp::shard
