#include "Benchmark/ProcessUsage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace jayramp {

namespace {

constexpr double BytesPerMebibyte = 1024.0 * 1024.0;
// Number of fields in /proc/<pid>/stat between the program name and utime.
constexpr int FieldsBeforeUserTime = 11;

} // namespace

auto ProcessUsage::read(pid_t Process) -> ProcessUsage {
  std::string ProcessFolder = "/proc/" + std::to_string(Process);
  ProcessUsage Usage;
  std::string Line;
  std::ifstream Stat(ProcessFolder + "/stat");
  if (!std::getline(Stat, Line))
    return Usage;
  std::istringstream Fields(Line.substr(Line.rfind(')') + 1));
  std::string Skipped;
  for (int Index = 0; Index < FieldsBeforeUserTime; ++Index)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  Usage.CpuSeconds =
      (User + System) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream MemoryStat(ProcessFolder + "/statm");
  double Total = 0;
  double Resident = 0;
  MemoryStat >> Total >> Resident;
  Usage.ResidentMebibytes = Resident *
                            static_cast<double>(::sysconf(_SC_PAGESIZE)) /
                            BytesPerMebibyte;
  return Usage;
}

auto readLoopbackBytes() -> std::uint64_t {
  std::ifstream Devices("/proc/net/dev");
  std::string Line;
  while (std::getline(Devices, Line)) {
    auto Colon = Line.find(':');
    if (Colon == std::string::npos ||
        Line.substr(0, Colon).find("lo") == std::string::npos)
      continue;
    std::istringstream Fields(Line.substr(Colon + 1));
    std::uint64_t Received = 0;
    Fields >> Received;
    return Received;
  }
  return 0;
}

} // namespace jayramp
