#include "Control/ControlProgram.h"

#include <iostream>

auto main(int Count, char **Arguments) -> int {
  auto Code = jayramp::runControlProgram({Arguments + 1, Arguments + Count},
                                         std::cout, std::cerr);
  return static_cast<int>(Code);
}
