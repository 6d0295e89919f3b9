#include "Jobs/GuaranteeCheck.h"

#include <gtest/gtest.h>

#include <set>

namespace jayramp {
namespace {

auto twoWorkers() -> Topology {
  return Topology::make({{"a", "r", "z", "k", 4}, {"b", "r", "z", "k", 4}})
      .value();
}

// Guards against a check that compares sums: 4 free accelerators spread over
// two workers do not hold a shape of 4 adjacent ones.
TEST(GuaranteeCheckTest, requiresAdjacentAcceleratorsForEachShape) {
  const std::vector<std::uint8_t> TwoFreeOnEachWorker{1, 1, 0, 0, 1, 1, 0, 0};
  EXPECT_FALSE(
      GuaranteeCheck::pack(twoWorkers(), TwoFreeOnEachWorker, {{4, {}}})
          .isComplete());
  EXPECT_TRUE(GuaranteeCheck::pack(twoWorkers(), TwoFreeOnEachWorker,
                                   {{2, {}}, {2, {}}})
                  .isComplete());
}

// Guards against a block that leaves out accelerators that a gang of the shape
// already uses.
TEST(GuaranteeCheckTest, keepsAcceleratorsInUseInTheBlock) {
  const std::vector<std::uint8_t> Available{0, 1, 1, 1, 1, 1, 1, 1};
  const auto Packing =
      GuaranteeCheck::pack(twoWorkers(), Available, {{4, {0}}, {4, {}}});
  ASSERT_TRUE(Packing.isComplete());
  EXPECT_EQ(Packing.Blocks[0], (std::vector<std::uint32_t>{0, 1, 2, 3}));
  EXPECT_EQ(Packing.Blocks[1], (std::vector<std::uint32_t>{4, 5, 6, 7}));
}

// Guards against accepting a configuration whose guarantees cannot be met, or
// an error that names the wrong account.
TEST(GuaranteeCheckTest, namesTheAccountWhoseGuaranteeDoesNotFit) {
  EXPECT_TRUE(GuaranteeCheck::checkAccounts(
      twoWorkers(), {{"x", {{4, 1}}, 0}, {"y", {{3, 1}, {1, 1}}, 0}}));
  const auto Result = GuaranteeCheck::checkAccounts(
      twoWorkers(), {{"x", {{3, 2}}, 0}, {"y", {{2, 1}}, 0}});
  ASSERT_FALSE(Result);
  EXPECT_NE(Result.error().message().find("accounts[y]"), std::string::npos);
  EXPECT_FALSE(
      GuaranteeCheck::checkAccounts(twoWorkers(), {{"x", {{4, 1}}, 3}}));
}

} // namespace
} // namespace jayramp
