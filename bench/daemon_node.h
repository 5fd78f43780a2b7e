#pragma once

#include "bench/entry_node.h"

#include <memory>

namespace skylarkwing::bench {

/** A daemon of this project as an entry process of an experiment. */
class DaemonNode final : public EntryNode
{
public:
  explicit DaemonNode(NodePlace aPlace);
  ~DaemonNode() override;

  bool Start() override;
  std::uint64_t Generation() override;
  void BeginStop() override;
  bool IsStopped() override;
  void Kill() override;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace skylarkwing::bench
