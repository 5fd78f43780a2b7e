#pragma once

#include "bench/entry_node.h"

#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/**
 * Entry process with the naive policy, the baseline of experiments: it sends each part to a random
 * replica of its shard, over its own connections, without limits, retries, hedges or handling of
 * cold replicas. It implements the caller and the upstream protocol.
 */
class NaiveNode final : public EntryNode
{
public:
  /**
   * @param aPlace location and addresses of the process.
   * @param aDeclaration the upstreams; later changes are not followed.
   * @param aEntryPoints places of all naive nodes, returned to callers as entry points.
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
