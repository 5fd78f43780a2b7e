#pragma once

#include "bench/entry_node.h"

#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/**
 * The naive policy that experiments compare with: every entry process sends each part to any
 * replica of its shard, over connections of its own, with no limit, no second attempt and no regard
 * to cold starts. It speaks the callers' and the upstreams' protocols.
 */
class NaiveNode final : public EntryNode
{
public:
  /**
   * @param aPlace where it is.
   * @param aDeclaration the upstreams, fixed.
   * @param aEntryPoints addresses of all naive nodes, to be handed out.
   */
  NaiveNode(NodePlace aPlace,
            const declaration::Declaration& aDeclaration,
            std::vector<NodePlace> aEntryPoints);
  ~NaiveNode() override;

  bool Start() override;
  std::uint64_t Generation() override;
  void BeginStop() override;
  bool IsStopped() override;
  void Kill() override;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace skylarkwing::bench
