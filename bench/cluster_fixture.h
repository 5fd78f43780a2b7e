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

/** How a cluster is made up. */
struct ClusterOptions
{
  /** The addresses of its replicas are replaced by those of the stand-ins. */
  declaration::Declaration declaration;
  std::uint32_t nodes = 8;
  /** What all upstreams have in common; names, addresses and limits come from the declaration. */
  standin::UpstreamStandinOptions upstream;
  core::Duration vmListLag = std::chrono::seconds{ 2 };
  std::uint64_t seed = 1;
};

/** Makes one entry process, given where all of the first ones are. */
using ClusterNodeFactory =
  std::function<std::unique_ptr<EntryNode>(const NodePlace& aPlace,
                                           const declaration::Declaration& aDeclaration,
                                           const std::vector<NodePlace>& aAll)>;

/**
 * Entry processes and the stand-ins around them, on loopback in this process: a thread for each
 * entry process, a few for the stand-ins. Calls from the thread that runs the experiment.
 */
class ClusterFixture
{
public:
  ClusterFixture(ClusterOptions aOptions, ClusterNodeFactory aFactory);
  ClusterFixture(const ClusterFixture&) = delete;
  ClusterFixture& operator=(const ClusterFixture&) = delete;
  ~ClusterFixture();

  /** Starts everything. @return false when something cannot; LastError() then says what. */
  bool Start();

  /** @return why Start() failed. */
  const std::string& LastError() const { return mLastError; }

  /** Ends everything. */
  void Stop();

  /** @return the declaration with the addresses of the stand-ins. */
  const declaration::Declaration& Declaration() const { return mOptions.declaration; }

  /** @return the addresses for callers of the entry processes that run. */
  std::vector<std::string> CallerAddresses() const;

  /** @return where the entry processes are that run. */
  const std::vector<NodePlace>& Places() const { return mPlaces; }

  /** @return the reference that knows every snapshot of this cluster. */
  std::shared_ptr<const NaiveReference> Reference() const { return mReference; }

  /** @return the record of requests that ran. */
  std::shared_ptr<const standin::RunLedger> Runs() const { return mLedgers.runs; }

  /** Takes a failure domain out, or back, as an operator's change in the store. */
  void SetDomainOut(const std::string& aDomain, bool aIsOut, const std::string& aReason);

  /** Does something with every upstream that a filter takes, on the upstream's own thread. */
  void ForEachUpstream(const std::function<bool(const standin::UpstreamStandinOptions&)>& aFilter,
                       const std::function<void(standin::UpstreamStandin&)>& aAction);

  /** Makes a version of an index known and puts its shards on one replica of each service. */
  void AddVersion(const std::string& aIndex,
                  std::uint64_t aSnapshot,
                  std::uint32_t aShardCount,
                  std::size_t aReplicaNumber);

  /** Does something with the store, on its own thread. */
  void WithStore(const std::function<void(standin::StoreStandin&)>& aAction);

  /** Ends one entry process at once and takes its VM off the list. */
  void KillNode(std::size_t aNumber);

  /** Starts a new entry process on a new VM, and shuts an old one down gracefully. */
  bool ReplaceNode(std::size_t aNumber);

  /** Takes VMs off the list whose entry process has shut down. */
  void RemoveStoppedNodes();

  /** @return the processor time that the stand-ins have used. */
  std::chrono::nanoseconds StandinCpuTime();

  /** @return the token that lets operators read and change. */
  static std::string OperatorToken();

  /** @return the lowest generation of the configuration that any entry process has in force. */
  std::uint64_t LeastGeneration();

  /** @return the calls that the store took so far. */
  standin::StoreCalls StoreCalls();

  /** Adds what the stand-ins saw to a result. */
  void Collect(LoadResult& aResult);

private:
  struct Upstream
  {
    std::size_t thread = 0;
    /** Which replica of its service it is. */
    std::size_t replicaNumber = 0;
    std::uint32_t service = 0;
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
  std::uint32_t mVmsMade = 0;
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
  NodePlace NewPlace();
  std::string FreeAddress();
  void PublishVms();
  LoopThread& PlatformThread() { return *mThreads.front(); }
};

} // namespace skylarkwing::bench
