#include "PlatformStandIn.h"
#include "StandInProcess.h"

#include <cxxopts.hpp>

#include <exception>
#include <iostream>

auto main(int ArgumentCount, char **Arguments) -> int {
  try {
    cxxopts::Options Options("platform-stand-in",
                             "Test server for the table service, the host list "
                             "and the object store");
    Options.add_options()(
        "listen", "IP:port to listen on; port 0 selects a free port",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "seed", "seed for the random faults",
        cxxopts::value<std::uint32_t>()->default_value("1"))(
        "exit-with-parent",
        "exit when the parent process has ended")("help", "print this text");
    auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    boost::asio::io_context Context(1);
    jayramp::PlatformStandIn StandIn(
        Context, jayramp::parseEndpoint(Parsed["listen"].as<std::string>()),
        Parsed["seed"].as<std::uint32_t>());
    jayramp::runStandIn(Context, StandIn.endpoint(),
                        Parsed.count("exit-with-parent") != 0);
    return 0;
  } catch (const std::exception &Failure) {
    std::cerr << "platform-stand-in: " << Failure.what() << std::endl;
    return 1;
  }
}
