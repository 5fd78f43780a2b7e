#pragma once

#include "bench/entry_node.h"

#include <string>

namespace skylarkwing::bench {

/**
 * An entry process that somebody else starts and ends: this one only writes its settings.
 *
 * For proofs with real processes, which can be killed and frozen one by one.
 */
class ExternalNode : public EntryNode
{
public:
  /** @param aFolder where the settings go, as `<vm>.json`. */
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
