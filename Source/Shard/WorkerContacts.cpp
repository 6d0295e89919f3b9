#include "Shard/WorkerContacts.h"

#include "Base/EventLog.h"

namespace jayramp::shard {

auto WorkerContactLog::report(const WorkerContacts &Known, TimePoint Now)
    -> void {
  NextLook = Now + LongestPause;
  if (Known.NotAsked == 0)
    return;
  logEvent(LogLevel::Warning, "workers-not-asked",
           {{"shard", Shard},
            {"workers", std::to_string(Known.NotAsked)},
            {"worker", Known.FirstNotAsked},
            {"not-answering", std::to_string(Known.NotAnswering)}});
}

} // namespace jayramp::shard
