#pragma once

#include "net/peer_bus.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace skylarkwing::net::test {

/** In-process bus that delivers messages synchronously, except to unreachable VMs. */
class FakePeerBus : public PeerBus
{
public:
  /** The connected buses, by VM. */
  using Network = std::map<std::string, FakePeerBus*>;

  FakePeerBus(Network& aNetwork, std::string aVm)
    : mNetwork(aNetwork)
    , mVm(std::move(aVm))
  {
    mNetwork[mVm] = this;
  }

  void Connect(const std::string&, const std::string&) override {}
  void Disconnect(const std::string&) override {}

  bool Send(const std::string& aVm, std::string_view aKind, const nlohmann::json& aBody) override
  {
    const auto it = mNetwork.find(aVm);
    if (it == mNetwork.end() || unreachableVms.contains(aVm)) {
      return false;
    }
    ++sent;
    PeerMessageOrigin origin;
    origin.vm = mVm;
    origin.age = age;
    it->second->mHandlers.at(std::string(aKind))(origin, aBody);
    return true;
  }

  void OnMessage(const std::string& aKind, PeerMessageHandler aHandler) override
  {
    mHandlers[aKind] = std::move(aHandler);
  }

  std::set<std::string> unreachableVms;
  core::Duration age{};
  int sent = 0;

private:
  Network& mNetwork;
  std::string mVm;
  std::map<std::string, PeerMessageHandler> mHandlers;
};

} // namespace skylarkwing::net::test
