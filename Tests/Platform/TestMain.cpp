// Entry point of the tests that use the stand-ins of review/.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

auto main(int ArgumentCount, char **Arguments) -> int {
  testing::InitGoogleTest(&ArgumentCount, Arguments);
  const auto Result = RUN_ALL_TESTS();
  std::cout.flush();
  // The threads of the stand-ins still use objects of static lifetime.
  std::_Exit(Result);
}
