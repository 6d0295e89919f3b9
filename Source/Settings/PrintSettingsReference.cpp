#include "Settings/SettingsReference.h"

#include <iostream>

auto main() -> int {
  std::cout << jayramp::renderSettingsReference();
  return std::cout.flush() ? 0 : 1;
}
