#include <boost/asio/signal_set.hpp>

#include <malloc.h>  // for mallopt

#include <csignal>   // for SIGTERM
#include <cstdlib>   // for std::getenv
#include <iostream>  // for std::cout

#include <docopt/docopt.h>  // for docopt::docopt_parse

#include "celerykeel/node/caller_server.h"  // for StopGracefully
#include "celerykeel/node/start.h"          // for StartNode

namespace celerykeel {

namespace {

constexpr char kUsage[] = R"(Serves callers of agent programs on one instance.

Usage:
  celerykeel-edge [--settings=FILE]
  celerykeel-edge --help

Options:
  --settings=FILE  JSON settings; else $CELERYKEEL_NODE_FILE.
  --help           This text.
)";

constexpr int kExitUsage = 2;

Task<> WaitForStop(Node& node) {
  asio::signal_set signals(node.io, SIGTERM, SIGINT);
  ErrorCode error;
  co_await signals.async_wait(Into(error));
  co_await StopGracefully(node);
}

// Logs each SIGHUP and does nothing else: all settings that can change at run
// time are read from the store.
Task<> LogReload(Node& node) {
  asio::signal_set signals(node.io, SIGHUP);
  while (true) {
    ErrorCode error;
    co_await signals.async_wait(Into(error));
    WriteLog(node.log, LogLevel::kUnusual, "reload: nothing to change");
  }
}

// Returns the memory of large bodies to the machine when they end. By default
// the allocator raises these limits with the sizes that it sees, up to 32 MiB.
void LimitRetainedMemory() {
  constexpr int kMmapThreshold = 512 * 1024;
  constexpr int kTrimThreshold = 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

int Run(NodeOptions options) {
  LimitRetainedMemory();
  std::signal(SIGPIPE, SIG_IGN);
  Node node(std::move(options));
  OpenLog(node.log, node.options.instance);
  Spawn(node.io, WaitForStop(node));
  Spawn(node.io, LogReload(node));
  StartNode(node);
  node.io.run();
  FlushLog(node.log);
  return 0;
}

int Main(int argc, char** argv) {
  std::string path;
  const std::vector<std::string> words(argv + 1, argv + argc);
  try {
    const auto arguments = docopt::docopt_parse(kUsage, words, true, false);
    if (const auto& given = arguments.at("--settings"); given.isString()) {
      path = given.asString();
    }
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const std::exception&) {
    std::cerr << kUsage;
    return kExitUsage;
  }
  if (const char* from_environment = std::getenv("CELERYKEEL_NODE_FILE");
      path.empty() && from_environment != nullptr) {
    path = from_environment;
  }
  auto options = LoadNodeOptions(path);
  if (!options) {
    for (const std::string& error : options.error().errors) {
      WriteFatal("settings: " + error);
    }
    return kExitUsage;
  }
  return Run(std::move(*options));
}

}  // namespace

}  // namespace celerykeel

int main(int argc, char** argv) {
  return celerykeel::Main(argc, argv);
}
