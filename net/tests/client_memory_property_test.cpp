// Random crowds at the budget and the queue of clients, under virtual time: what is reserved is
// what is held, and an ordinary request gets a place however the others behave.

#include "net/client_queue.h"
#include "net/memory_budget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <vector>

namespace skylarkwing::net {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kTotalBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr std::size_t kConnectionBytes = std::size_t{ 12 } * 1024;
constexpr std::size_t kOrdinaryBytes = std::size_t{ 200 } * 1000;
constexpr std::size_t kMaxMessageBytes = std::size_t{ 600 } * 1000;
constexpr int kSteps = 300;

struct Client
{
  Client(const std::shared_ptr<MemoryBudget>& aBudget, ClientQueue::Handle aHandle)
    : request(aBudget, MemoryUse::Request)
    , answer(aBudget, MemoryUse::Answer)
    , handle(aHandle)
  {
  }

  MemoryReservation request;
  MemoryReservation answer;
  ClientQueue::Handle handle;
  std::unique_ptr<MemoryWait> wait;
};

/** Clients of one server, which closes those that the queue names when there is no memory. */
struct Crowd
{
  std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(kTotalBytes);
  ClientQueue queue;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients;
  /** Closed ones whose task has not ended yet. */
  std::vector<std::unique_ptr<Client>> closed;
  core::TimePoint now{};
  std::uint64_t lastId = 0;

  Crowd()
  {
    budget->AddReclaimer([this](MemoryUse aUse) {
      const auto id = aUse == MemoryUse::Request ? queue.Next(now) : queue.NextWithMemory(now);
      if (id) {
        Close(*id);
      }
      return id.has_value();
    });
  }

  Client& Connect()
  {
    const std::uint64_t id = ++lastId;
    auto& client = clients[id];
    client = std::make_unique<Client>(budget, queue.Add(id, now));
    client->request.ForceResize(kConnectionBytes);
    return *client;
  }

  void Close(std::uint64_t aId)
  {
    const auto it = clients.find(aId);
    it->second->request.ForceResize(0);
    it->second->answer.ForceResize(0);
    it->second->wait.reset();
    queue.Remove(it->second->handle);
    closed.push_back(std::move(it->second));
    clients.erase(it);
  }

  /** @return whether the client is still connected. */
  bool Has(std::uint64_t aId) const { return clients.count(aId) > 0; }

  void Act(std::uint64_t aId, int aAction, std::size_t aBytes)
  {
    Client& client = *clients.at(aId);
    const auto setPhase = [&](ClientPhase aPhase) {
      if (Has(aId)) {
        queue.SetPhase(client.handle, aPhase, now);
      }
    };
    switch (aAction) {
      case 0:
        queue.SetPhase(client.handle, ClientPhase::Transfer, now);
        queue.AddBytes(client.handle, aBytes, now);
        if (!client.request.Resize(kConnectionBytes + aBytes) && Has(aId)) {
          Close(aId);
        }
        break;
      case 1:
        setPhase(ClientPhase::Handling);
        break;
      case 2:
        setPhase(ClientPhase::Pipelining);
        client.request.ForceResize(kConnectionBytes + aBytes);
        break;
      case 3:
        client.wait.reset();
        if (client.answer.Resize(aBytes)) {
          setPhase(ClientPhase::Transfer);
        } else if (Has(aId)) {
          client.wait = std::make_unique<MemoryWait>(*budget, nullptr);
        }
        break;
      case 4:
        queue.AddBytes(client.handle, aBytes, now);
        break;
      case 5:
        client.wait.reset();
        client.answer.ForceResize(0);
        client.request.ForceResize(kConnectionBytes);
        setPhase(ClientPhase::Idle);
        break;
      default:
        Close(aId);
        break;
    }
  }

  void Check() const
  {
    std::size_t held = 0;
    std::size_t waiting = 0;
    std::size_t queued = 0;
    for (const auto& [id, client] : clients) {
      held += client->request.Bytes() + client->answer.Bytes();
      waiting += client->wait && client->wait->IsAllowed() ? 1 : 0;
    }
    for (const auto& client : closed) {
      held += client->request.Bytes() + client->answer.Bytes();
    }
    for (int n = 0; n <= static_cast<int>(ClientPhase::Refused); ++n) {
      queued += queue.Count(static_cast<ClientPhase>(n));
    }
    RC_ASSERT(held == budget->UsedBytes());
    RC_ASSERT(waiting == budget->Waiting());
    RC_ASSERT(queued == clients.size());
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(client_memory)

BOOST_AUTO_TEST_CASE(an_ordinary_request_gets_memory_beside_any_crowd)
{
  BOOST_TEST(rc::check([] {
    Crowd crowd;
    for (int n = 0; n < kSteps; ++n) {
      crowd.now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
      if (crowd.clients.empty() || *rc::gen::inRange(0, 4) == 0) {
        crowd.Connect();
      } else {
        auto it = crowd.clients.begin();
        std::advance(it, *rc::gen::inRange<std::size_t>(0, crowd.clients.size()));
        crowd.Act(
          it->first, *rc::gen::inRange(0, 7), *rc::gen::inRange<std::size_t>(0, kMaxMessageBytes));
      }
      crowd.closed.clear();
      crowd.Check();
    }
    // Requests that run end; their clients stop reading.
    for (const auto& [id, client] : crowd.clients) {
      if (client->handle->phase == ClientPhase::Handling) {
        crowd.queue.SetPhase(client->handle, ClientPhase::Transfer, crowd.now);
      }
    }
    crowd.now += 600ms;
    Client& ordinary = crowd.Connect();
    RC_ASSERT(ordinary.request.Resize(kConnectionBytes + kOrdinaryBytes));
    crowd.queue.SetPhase(ordinary.handle, ClientPhase::Handling, crowd.now);
    RC_ASSERT(ordinary.answer.Resize(kOrdinaryBytes));
    crowd.Check();
    RC_ASSERT(crowd.budget->UsedBytes() <= kTotalBytes);
    while (!crowd.clients.empty()) {
      crowd.Close(crowd.clients.begin()->first);
    }
    RC_ASSERT(crowd.budget->UsedBytes() == 0U);
    RC_ASSERT(crowd.budget->Waiting() == 0U);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::net
