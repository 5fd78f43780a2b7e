#pragma once

#include "bench/entry_node.h"

#include <string>

namespace skylarkwing::bench {

/**
 * Entry process that is started and stopped externally; this class only writes its settings file.
 *
 * For tests with real processes, which can be killed and suspended one by one.
 */
class ExternalNode : public EntryNode
{
public:
  /** @param aFolder directory for the settings file, which is named `<vm>.json`. */
  ExternalNode(NodePlace aPlace, std::string aFolder);

  bool Start() override;
  std::uint64_t Generation() override { return 0; }
  void BeginStop() override {}
  bool IsStopped() override { return false; }
  void Kill() override {}

private:
  NodePlace mPlace;
  std::string mFolder;
};

} // namespace skylarkwing::bench
