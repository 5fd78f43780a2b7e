#include "bench/external_node.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <utility>

namespace skylarkwing::bench {

ExternalNode::ExternalNode(NodePlace aPlace, std::string aFolder)
  : mPlace(std::move(aPlace))
  , mFolder(std::move(aFolder))
{
}

bool
ExternalNode::Start()
{
  const nlohmann::json settings{ { "vm", mPlace.vm },
                                 { "failureDomain", mPlace.failureDomain },
                                 { "region", mPlace.region },
                                 { "clusterName", "experiment" },
                                 { "listen",
                                   { { "caller", mPlace.callerAddress },
                                     { "peer", mPlace.peerAddress },
                                     { "operator", mPlace.operatorAddress } } },
                                 { "store", { { "endpoints", { mPlace.storeAddress } } } },
                                 { "vmList", { { "address", mPlace.vmListAddress } } },
                                 { "operators",
                                   { { "readTokenFile", mPlace.readTokenFile },
                                     { "changeTokenFile", mPlace.changeTokenFile } } },
                                 { "log", { { "level", "info" }, { "format", "json" } } },
                                 { "randomSeed", mPlace.seed } };
  constexpr int kIndent = 2;
  const std::filesystem::path file = std::filesystem::path(mFolder) / (mPlace.vm + ".json");
  // Written aside and renamed, so that a process that waits for the file never reads a part of it.
  const std::filesystem::path temporary = file.string() + ".new";
  std::ofstream out(temporary);
  out << settings.dump(kIndent) << '\n';
  out.close();
  if (!out) {
    return false;
  }
  std::error_code ec;
  std::filesystem::rename(temporary, file, ec);
  return !ec;
}

} // namespace skylarkwing::bench
