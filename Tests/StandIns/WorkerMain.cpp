#include "StandInProcess.h"
#include "WorkerStandIn.h"

#include <boost/system/system_error.hpp>
#include <cxxopts.hpp>

#include <exception>
#include <iostream>
#include <memory>
#include <vector>

namespace {

using Workers = std::vector<std::unique_ptr<jayramp::WorkerStandIn>>;

auto startWorkers(boost::asio::io_context &Context,
                  const cxxopts::ParseResult &Given) -> Workers {
  Workers Started;
  auto Endpoint = jayramp::parseEndpoint(Given["listen"].as<std::string>());
  auto Count = Given["workers"].as<unsigned>();
  for (unsigned Index = 0; Index < Count; ++Index) {
    if (Index > 0)
      Endpoint.port(Started.front()->endpoint().port() + Index);
    Started.push_back(std::make_unique<jayramp::WorkerStandIn>(
        Context, jayramp::WorkerStandIn::Settings{
                     .Endpoint = Endpoint,
                     .Name = Given["name-prefix"].as<std::string>() +
                             std::to_string(Index),
                     .Slots = Given["slots"].as<std::uint32_t>(),
                     .Connections = Given["connections"].as<std::size_t>(),
                     .Accelerators = Given["accelerators"].as<std::uint32_t>(),
                     .Seed = Given["seed"].as<std::uint32_t>() + Index}));
  }
  return Started;
}

/// With port 0 the ports after the picked one may be taken; then another start
/// is picked.
auto startWorkersWithRetry(boost::asio::io_context &Context,
                           const cxxopts::ParseResult &Given) -> Workers {
  constexpr int MostTries = 50;
  for (int Try = 1;; ++Try) {
    try {
      return startWorkers(Context, Given);
    } catch (const boost::system::system_error &) {
      if (Try == MostTries)
        throw;
    }
  }
}

auto options() -> cxxopts::Options {
  cxxopts::Options Options("worker-stand-in", "Workers on consecutive ports");
  Options.add_options()(
      "listen", "IP:port of the first worker, port 0 picks one",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "workers", "number of workers",
      cxxopts::value<unsigned>()->default_value("1"))(
      "accelerators", "accelerators of each worker",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "slots", "slots of each worker",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "connections", "connection limit of each worker",
      cxxopts::value<std::size_t>()->default_value("64"))(
      "name-prefix", "names are this and the index",
      cxxopts::value<std::string>()->default_value("worker-"))(
      "seed", "seed of random faults",
      cxxopts::value<std::uint32_t>()->default_value("1"))(
      "exit-with-parent",
      "end when the parent process ends")("help", "print this text");
  return Options;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  try {
    cxxopts::Options Options = options();
    auto Given = Options.parse(ArgumentCount, Arguments);
    if (Given.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    boost::asio::io_context Context(1);
    auto Started = startWorkersWithRetry(Context, Given);
    jayramp::runStandIn(Context, Started.front()->endpoint(),
                        Given.count("exit-with-parent") != 0);
    return 0;
  } catch (const std::exception &Failure) {
    std::cerr << "worker-stand-in: " << Failure.what() << std::endl;
    return 1;
  }
}
