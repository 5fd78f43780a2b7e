#pragma once

#include "declaration/declaration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/** Location, addresses and credentials of one entry process. */
struct NodePlace
{
  std::string vm;
  std::string failureDomain;
  std::string region;
  std::string callerAddress;
  std::string peerAddress;
  std::string operatorAddress;
  std::string storeAddress;
  std::string vmListAddress;
  std::string readTokenFile;
  std::string changeTokenFile;
  std::uint64_t seed = 1;
};

/**
 * One entry process of an experiment, on its own thread. All methods are called on the thread that
 * runs the experiment.
 */
class EntryNode
{
public:
  EntryNode() = default;
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;
  virtual ~EntryNode() = default;

  /** @return false when it cannot start; the reason is logged. */
  virtual bool Start() = 0;

  /** @return the generation of its configuration in force; 0 for none. */
  virtual std::uint64_t Generation() = 0;

  /** Begins a graceful shutdown. */
  virtual void BeginStop() = 0;

  /** @return whether it has shut down. */
  virtual bool IsStopped() = 0;

  /** Ends the process abruptly, as the loss of its VM does. */
  virtual void Kill() = 0;
};

} // namespace skylarkwing::bench
