#include "Settings/SocketAddress.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jayramp {
namespace {

// Guards against invalid addresses that are accepted and fail only when the
// first connection is made.
TEST(SocketAddressTest, rejectsTextThatIsNotAnIpAddressWithPort) {
  for (const auto *Text : {"",
                           ":",
                           "1.2.3.4",
                           "1.2.3.4:",
                           ":80",
                           "1.2.3.4:0",
                           "1.2.3.4:65536",
                           "1.2.3.4:080",
                           "1.2.3.4:80x",
                           "1.2.3.4:-1",
                           "1.2.3:80",
                           "host:80",
                           "localhost:80",
                           "256.0.0.1:80",
                           "::1:80",
                           "[1.2.3.4]:80",
                           "[::1]",
                           "[]:80",
                           " 1.2.3.4:80",
                           "1.2.3.4 :80",
                           "1.2.3.4:+80"})
    EXPECT_FALSE(SocketAddress::parse(Text).has_value()) << Text;
}

// Guards against limits of the port range that are off by one.
TEST(SocketAddressTest, acceptsTheLowestAndTheHighestPort) {
  EXPECT_EQ(SocketAddress::parse("1.2.3.4:1").value().port(), 1);
  EXPECT_EQ(SocketAddress::parse("1.2.3.4:65535").value().port(), 65535);
}

// Guards against two spellings of one IPv6 address that compare as different
// and so are not detected as overlapping.
TEST(SocketAddressTest, convertsIpv6ToCanonicalForm) {
  auto Address = SocketAddress::parse("[2001:DB8:0:0::1]:8080");
  ASSERT_TRUE(Address.has_value());
  EXPECT_EQ(Address->text(), "[2001:db8::1]:8080");
  EXPECT_EQ(*Address, SocketAddress::parse("[2001:db8::1]:8080").value());
}

// Guards against a wildcard listener whose overlap with another listener of the
// same port is not detected.
TEST(SocketAddressTest, wildcardOverlapsEveryAddressOfItsPort) {
  auto Wildcard = SocketAddress::parse("0.0.0.0:80").value();
  auto Specific = SocketAddress::parse("10.0.0.1:80").value();
  auto OtherPort = SocketAddress::parse("10.0.0.1:81").value();
  EXPECT_TRUE(Wildcard.isWildcard());
  EXPECT_TRUE(Wildcard.overlaps(Specific));
  EXPECT_TRUE(Specific.overlaps(Wildcard));
  EXPECT_TRUE(Specific.overlaps(Specific));
  EXPECT_FALSE(Wildcard.overlaps(OtherPort));
  EXPECT_FALSE(Specific.overlaps(SocketAddress::parse("10.0.0.2:80").value()));
}

// Guards against text() returning something else than the address that was
// parsed.
RC_GTEST_PROP(SocketAddressTest, textEqualsTheParsedText, ()) {
  auto Octet = [] { return std::to_string(*rc::gen::inRange(0, 256)); };
  auto Text = Octet() + "." + Octet() + "." + Octet() + "." + Octet() + ":" +
              std::to_string(*rc::gen::inRange(1, 65536));
  auto Address = SocketAddress::parse(Text);
  RC_ASSERT(Address.has_value());
  RC_ASSERT(Address->text() == Text);
}

} // namespace
} // namespace jayramp
