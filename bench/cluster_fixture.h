#pragma once

#include "bench/entry_node.h"
#include "bench/load_result.h"
#include "bench/loop_thread.h"
#include "bench/naive_reference.h"
#include "declaration/declaration.h"
#include "standin/store_standin.h"
#include "standin/upstream_standin.h"
#include "standin/vm_list_standin.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::bench {

/** Options of a cluster. */
struct ClusterOptions
{
  /** The fixture replaces the addresses of its replicas by those of the stand-ins. */
  declaration::Declaration declaration;
  /** Number of entry processes. */
  std::uint32_t nodes = 8;
  /** Options common to all upstreams; names, addresses and limits come from the declaration. */
  standin::UpstreamStandinOptions upstream;
  /** Delay until a change of the VM list becomes visible. */
  core::Duration vmListLag = std::chrono::seconds{ 2 };
  std::uint64_t seed = 1;
};

/** Creates one entry process; `aAll` holds the places of the running ones. */
using ClusterNodeFactory =
  std::function<std::unique_ptr<EntryNode>(const NodePlace& aPlace,
                                           const declaration::Declaration& aDeclaration,
                                           const std::vector<NodePlace>& aAll)>;

/**
 * Entry processes and the stand-ins around them, on loopback in this process: one thread per
 * entry process and a few for the stand-ins. Not thread-safe: to be called on the thread that runs
 * the experiment.
 */
class ClusterFixture
{
public:
  ClusterFixture(ClusterOptions aOptions, ClusterNodeFactory aFactory);
  ClusterFixture(const ClusterFixture&) = delete;
  ClusterFixture& operator=(const ClusterFixture&) = delete;
  ~ClusterFixture();

  /** Starts all processes. @return false on failure; LastError() then has the reason. */
  bool Start();

  /** @return the reason why Start() failed. */
  const std::string& LastError() const { return mLastError; }

  /** Ends all processes and stand-ins. */
  void Stop();

  /** @return the declaration, with the addresses of the stand-ins. */
  const declaration::Declaration& Declaration() const { return mOptions.declaration; }

  /** @return the caller addresses of the running entry processes. */
  std::vector<std::string> CallerAddresses() const;

  /** @return the places of the running entry processes. */
  const std::vector<NodePlace>& Places() const { return mPlaces; }

  /** @return the reference, which has every snapshot of this cluster. */
  std::shared_ptr<const NaiveReference> Reference() const { return mReference; }

  /** @return the ledger of requests that were executed. */
  std::shared_ptr<const standin::ExecutionCounter> Runs() const { return mLedgers.runs; }

  /** Takes a failure domain out of service, or back, through a configuration change in the store.
   */
  void SetDomainOut(const std::string& aDomain, bool aIsOut, const std::string& aReason);

  /** Applies an action to every upstream that matches a filter, on the upstream's own thread. */
  void ForEachUpstream(const std::function<bool(const standin::UpstreamStandinOptions&)>& aFilter,
                       const std::function<void(standin::UpstreamStandin&)>& aAction);

  /** Adds a snapshot to the reference and loads its shards on one replica of each service. */
  void AddVersion(const std::string& aIndex,
                  std::uint64_t aSnapshot,
                  std::uint32_t aShardCount,
                  std::size_t aReplicaNumber);

  /** Applies an action to the store, on its own thread. */
  void RunOnStore(const std::function<void(standin::StoreStandin&)>& aAction);

  /** Kills one entry process and removes its VM from the VM list. */
  void KillNode(std::size_t aNumber);

  /** Starts an entry process on a new VM and begins a graceful shutdown of an old one. */
  bool ReplaceNode(std::size_t aNumber);

  /** Removes VMs whose entry process has shut down from the VM list. */
  void RemoveStoppedNodes();

  /** @return the CPU time of the stand-ins' threads. */
  std::chrono::nanoseconds StandinCpuTime();

  /** @return the token that authorises operators to read and to change. */
  static std::string OperatorToken();

  /** @return the lowest configuration generation in force at any entry process. */
  std::uint64_t LowestGeneration();

  /** @return the counts of calls that the store has received. */
  standin::StoreCalls StoreCalls();

  /** Adds the counts of the stand-ins to a result. */
  void Collect(LoadResult& aResult);

private:
  struct Upstream
  {
    /** Index into mThreads. */
    std::size_t thread = 0;
    /** Number of the replica within its service. */
    std::size_t replicaNumber = 0;
    std::uint32_t service = 0;
    /** Number of services of the index. */
    std::uint32_t services = 1;
    std::unique_ptr<standin::UpstreamStandin> standin;
  };

  struct Node
  {
    NodePlace place;
    std::unique_ptr<EntryNode> process;
    bool isLeaving = false;
  };

  ClusterOptions mOptions;
  ClusterNodeFactory mFactory;
  std::string mLastError;
  std::shared_ptr<NaiveReference> mReference;
  standin::UpstreamLedgers mLedgers;
  std::vector<std::unique_ptr<LoopThread>> mThreads;
  std::vector<Upstream> mUpstreams;
  std::unique_ptr<standin::StoreStandin> mStore;
  std::unique_ptr<standin::VmListStandin> mVmList;
  std::vector<Node> mNodes;
  std::vector<NodePlace> mPlaces;
  std::uint32_t mVmsCreated = 0;
  std::uint32_t mNextPort;
  std::string mTokenFile;

  bool StartUpstreams();
  bool StartUpstream(declaration::ReplicaDeclaration& aReplica,
                     const declaration::IndexDeclaration& aIndex,
                     Upstream aUpstream);
  bool StartPlatform();
  bool StartNodes();
  bool WriteToken();
  bool WriteConfiguration();
  NodePlace MakePlace();
  std::string FindFreeAddress();
  void PublishVms();
  LoopThread& PlatformThread() { return *mThreads.front(); }
};

} // namespace skylarkwing::bench
