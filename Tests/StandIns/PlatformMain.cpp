#include "PlatformStandIn.h"
#include "StandInProcess.h"

#include <cxxopts.hpp>

#include <exception>
#include <iostream>

auto main(int ArgumentCount, char **Arguments) -> int {
  try {
    cxxopts::Options Options("platform-stand-in",
                             "Table service, host list and object store");
    Options.add_options()(
        "listen", "IP:port, port 0 picks one",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "seed", "seed of random faults",
        cxxopts::value<std::uint32_t>()->default_value("1"))(
        "exit-with-parent",
        "end when the parent process ends")("help", "print this text");
    auto Given = Options.parse(ArgumentCount, Arguments);
    if (Given.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    boost::asio::io_context Context(1);
    jayramp::PlatformStandIn StandIn(
        Context, jayramp::parseEndpoint(Given["listen"].as<std::string>()),
        Given["seed"].as<std::uint32_t>());
    jayramp::runStandIn(Context, StandIn.endpoint(),
                        Given.count("exit-with-parent") != 0);
    return 0;
  } catch (const std::exception &Failure) {
    std::cerr << "platform-stand-in: " << Failure.what() << std::endl;
    return 1;
  }
}
