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

/// Starts the workers on consecutive ports. Throws boost::system::system_error
/// if a port is in use.
auto startWorkers(boost::asio::io_context &Context,
                  const cxxopts::ParseResult &Parsed) -> Workers {
  Workers Started;
  auto Endpoint = jayramp::parseEndpoint(Parsed["listen"].as<std::string>());
  auto Count = Parsed["workers"].as<unsigned>();
  for (unsigned Index = 0; Index < Count; ++Index) {
    if (Index > 0)
      Endpoint.port(Started.front()->endpoint().port() + Index);
    Started.push_back(std::make_unique<jayramp::WorkerStandIn>(
        Context, jayramp::WorkerStandIn::Settings{
                     .Endpoint = Endpoint,
                     .Name = Parsed["name-prefix"].as<std::string>() +
                             std::to_string(Index),
                     .Slots = Parsed["slots"].as<std::uint32_t>(),
                     .Connections = Parsed["connections"].as<std::size_t>(),
                     .Accelerators = Parsed["accelerators"].as<std::uint32_t>(),
                     .Seed = Parsed["seed"].as<std::uint32_t>() + Index}));
  }
  return Started;
}

/// Retries the start, because with port 0 the ports after the one that the
/// system selects may be in use; each attempt gets another first port.
auto startWorkersWithRetry(boost::asio::io_context &Context,
                           const cxxopts::ParseResult &Parsed) -> Workers {
  constexpr int MaxAttempts = 50;
  for (int Attempt = 1;; ++Attempt) {
    try {
      return startWorkers(Context, Parsed);
    } catch (const boost::system::system_error &) {
      if (Attempt == MaxAttempts)
        throw;
    }
  }
}

auto makeOptions() -> cxxopts::Options {
  cxxopts::Options Options("worker-stand-in",
                           "Test servers for workers, on consecutive ports");
  Options.add_options()(
      "listen", "IP:port of the first worker; port 0 selects free ports",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "workers", "number of workers",
      cxxopts::value<unsigned>()->default_value("1"))(
      "accelerators", "accelerators of each worker",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "slots", "slots of each worker",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "connections", "connection limit of each worker",
      cxxopts::value<std::size_t>()->default_value("64"))(
      "name-prefix", "prefix of worker names; the index of the worker follows",
      cxxopts::value<std::string>()->default_value("worker-"))(
      "seed", "seed for the random faults; worker i uses seed + i",
      cxxopts::value<std::uint32_t>()->default_value("1"))(
      "exit-with-parent",
      "exit when the parent process has ended")("help", "print this text");
  return Options;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  try {
    cxxopts::Options Options = makeOptions();
    auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return 0;
    }
    boost::asio::io_context Context(1);
    auto Started = startWorkersWithRetry(Context, Parsed);
    jayramp::runStandIn(Context, Started.front()->endpoint(),
                        Parsed.count("exit-with-parent") != 0);
    return 0;
  } catch (const std::exception &Failure) {
    std::cerr << "worker-stand-in: " << Failure.what() << std::endl;
    return 1;
  }
}
