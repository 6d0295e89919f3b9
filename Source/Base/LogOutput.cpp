#include "Base/LogOutput.h"

#include <poll.h>
#include <unistd.h>

#include <string>

namespace jayramp {

auto LogOutput::write(std::string_view Line) -> bool {
  pollfd PollState{Descriptor, POLLOUT, 0};
  if (::poll(&PollState, 1, 0) == 1 && (PollState.revents & POLLOUT) != 0) {
    std::string TruncatedLine;
    if (Line.size() > MaxLineBytes) {
      TruncatedLine = Line.substr(0, MaxLineBytes - 1);
      Line = TruncatedLine += '\n';
    }
    if (::write(Descriptor, Line.data(), Line.size()) ==
        static_cast<ssize_t>(Line.size())) {
      LastLineWasLost = false;
      return true;
    }
  }
  LastLineWasLost = true;
  ++LostLines;
  return false;
}

} // namespace jayramp
