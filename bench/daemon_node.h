#pragma once

#include "bench/entry_node.h"

#include <memory>

namespace skylarkwing::bench {

/** Entry process that runs a skylarkwing daemon. */
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
