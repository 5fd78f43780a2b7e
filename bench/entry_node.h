#pragma once

#include "declaration/declaration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/** Where one entry process of an experiment is and whom it can ask. */
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
 * One entry process of an experiment, on a thread of its own. All calls from the thread that runs
 * the experiment.
 */
class EntryNode
{
public:
  EntryNode() = default;
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;
  virtual ~EntryNode() = default;

  /** @return false when it cannot start; the reason is on the log. */
  virtual bool Start() = 0;

  /** @return the generation of the configuration in force there; 0 for none. */
  virtual std::uint64_t Generation() = 0;

  /** Begins a graceful shutdown. */
  virtual void BeginStop() = 0;

  /** @return whether it has shut down. */
  virtual bool IsStopped() = 0;

  /** Ends it at once, as the loss of its VM does. */
  virtual void Kill() = 0;
};

} // namespace skylarkwing::bench
