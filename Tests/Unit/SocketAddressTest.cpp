#include "Settings/SocketAddress.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jayramp {
namespace {

// Guards against addresses that only fail when the first connection is made.
TEST(SocketAddressTest, refusesWhatIsNotAnIpAddressWithPort) {
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

// Guards against edges of the port range that are off by one.
TEST(SocketAddressTest, acceptsBothEdgesOfThePortRange) {
  EXPECT_EQ(SocketAddress::parse("1.2.3.4:1").value().port(), 1);
  EXPECT_EQ(SocketAddress::parse("1.2.3.4:65535").value().port(), 65535);
}

// Guards against two spellings of one address that pass the clash check.
TEST(SocketAddressTest, normalizesIpv6) {
  auto Address = SocketAddress::parse("[2001:DB8:0:0::1]:8080");
  ASSERT_TRUE(Address.has_value());
  EXPECT_EQ(Address->text(), "[2001:db8::1]:8080");
  EXPECT_EQ(*Address, SocketAddress::parse("[2001:db8::1]:8080").value());
}

// Guards against a wildcard listener that hides a clash.
TEST(SocketAddressTest, wildcardOverlapsEveryAddressOfItsPort) {
  auto All = SocketAddress::parse("0.0.0.0:80").value();
  auto One = SocketAddress::parse("10.0.0.1:80").value();
  auto Other = SocketAddress::parse("10.0.0.1:81").value();
  EXPECT_TRUE(All.isWildcard());
  EXPECT_TRUE(All.overlaps(One));
  EXPECT_TRUE(One.overlaps(All));
  EXPECT_TRUE(One.overlaps(One));
  EXPECT_FALSE(All.overlaps(Other));
  EXPECT_FALSE(One.overlaps(SocketAddress::parse("10.0.0.2:80").value()));
}

// Guards against an accepted address whose text is not accepted again.
RC_GTEST_PROP(SocketAddressTest, textReadsBackAsTheSameAddress, ()) {
  auto Octet = [] { return std::to_string(*rc::gen::inRange(0, 256)); };
  auto Text = Octet() + "." + Octet() + "." + Octet() + "." + Octet() + ":" +
              std::to_string(*rc::gen::inRange(1, 65536));
  auto Address = SocketAddress::parse(Text);
  RC_ASSERT(Address.has_value());
  RC_ASSERT(Address->text() == Text);
}

} // namespace
} // namespace jayramp
