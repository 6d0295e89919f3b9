#include "MemoryWatch.h"

#include <algorithm>
#include <sstream>

namespace jayramp::review {

namespace {

constexpr long MemoryKb = 260L * 1024; ///< limits.memory-mb
constexpr int RestartDelayMs = 1000;
constexpr int WatchIntervalMs = 50;
constexpr int EndsEach = 3;
constexpr int HostsWithEnds = 2;

} // namespace

MemoryWatch::MemoryWatch(Stage &Scene)
    : Scene(Scene), Ends(Scene.hosts().size()), Peak(Scene.hosts().size()),
      Watcher([this] {
        while (!Stopped) {
          for (std::size_t Host = 0; Host < Ends.size(); ++Host)
            check(Host);
          Stage::pause(WatchIntervalMs);
        }
      }) {}

MemoryWatch::~MemoryWatch() { stop(); }

auto MemoryWatch::stop() -> void {
  Stopped = true;
  if (Watcher.joinable())
    Watcher.join();
}

auto MemoryWatch::isFault() const -> bool {
  return FaultyHosts >= HostsWithEnds;
}

auto MemoryWatch::summary() const -> std::string {
  std::ostringstream Text;
  for (std::size_t Host = 0; Host < Ends.size(); ++Host)
    Text << (Host > 0 ? ", " : "") << Ends[Host] << " (peak " << Peak[Host]
         << " KB)";
  return Text.str();
}

auto MemoryWatch::check(std::size_t Number) -> void {
  auto &Host = *Scene.hosts()[Number];
  const auto Used = Host.residentKb();
  Peak[Number] = std::max(Peak[Number], Used);
  if (Used <= MemoryKb)
    return;
  Scene.record().add("BROKEN Fault: " + Host.name() + " uses " +
                     std::to_string(Used) + " KB and is killed");
  Host.kill();
  if (++Ends[Number] == EndsEach)
    ++FaultyHosts;
  Stage::pause(RestartDelayMs);
  Host.start();
}

} // namespace jayramp::review
