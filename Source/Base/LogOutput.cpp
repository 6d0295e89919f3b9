#include "Base/LogOutput.h"

#include <poll.h>
#include <unistd.h>

#include <string>

namespace jayramp {

auto LogOutput::write(std::string_view Line) -> bool {
  pollfd Ready{Descriptor, POLLOUT, 0};
  if (::poll(&Ready, 1, 0) == 1 && (Ready.revents & POLLOUT) != 0) {
    std::string Cut;
    if (Line.size() > MaxLineBytes) {
      Cut = Line.substr(0, MaxLineBytes - 1);
      Line = Cut += '\n';
    }
    if (::write(Descriptor, Line.data(), Line.size()) ==
        static_cast<ssize_t>(Line.size())) {
      LastWasLost = false;
      return true;
    }
  }
  LastWasLost = true;
  ++Lost;
  return false;
}

} // namespace jayramp
