#include "standin/store_standin.h"

#include "standin/tests/loopback.h"
#include "standin/vm_list_standin.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace skylarkwing::standin {

namespace {

using nlohmann::json;

// "a" and "1" in base64.
constexpr const char* kKey = "YQ==";
constexpr const char* kOne = "MQ==";

struct StoreFixture : Loopback
{
  StoreStandin store{ loop, timers };

  StoreFixture() { BOOST_REQUIRE(store.Start()); }

  /** Opens a watch on the key. @return the text that collects its lines. */
  std::shared_ptr<std::string> Watch(const char* aStartRevision)
  {
    auto text = std::make_shared<std::string>();
    core::Start(loop.get_executor(), RunWatch(NewConnection(), aStartRevision, text));
    return text;
  }

  json Ask(const std::string& aTarget, const json& aBody)
  {
    const net::HttpResult reply = Call(store.Address(), aTarget, aBody);
    return json::parse(reply.response.body, nullptr, false);
  }

  /** Writes the key if its modification revision is the expected one. */
  json PutIf(const std::string& aRevision, const std::string& aLease = "0")
  {
    const json compare = {
      { "key", kKey }, { "target", "MOD" }, { "result", "EQUAL" }, { "mod_revision", aRevision }
    };
    const json put = { { "key", kKey }, { "value", kOne }, { "lease", aLease } };
    return Ask("/v3/kv/txn",
               { { "compare", json::array({ compare }) },
                 { "success", json::array({ { { "request_put", put } } }) },
                 { "failure", json::array({ { { "request_range", { { "key", kKey } } } } }) } });
  }

private:
  core::Task<void> RunWatch(std::shared_ptr<net::TcpHttpConnection> aConnection,
                            const char* aStartRevision,
                            std::shared_ptr<std::string> aText)
  {
    constexpr core::Duration kTimeout = std::chrono::seconds{ 20 };
    const json create = { { "key", kKey }, { "start_revision", aStartRevision } };
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v3/watch";
    request.body = json{ { "create_request", create } }.dump();
    const bool isConnected = co_await aConnection->Connect(store.Address(), kTimeout);
    if (!isConnected) {
      co_return;
    }
    const net::HttpResult head = co_await aConnection->OpenStream(std::move(request), kTimeout);
    while (head.error == net::HttpClientError::None) {
      const std::optional<std::string> piece = co_await aConnection->ReadSome(kTimeout);
      if (!piece) {
        co_return;
      }
      *aText += *piece;
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreStandinTest, StoreFixture)

BOOST_AUTO_TEST_CASE(ComparesAndSwaps)
{
  BOOST_TEST(PutIf("0")["succeeded"] == true);
  const json second = PutIf("0");
  BOOST_TEST(!second.contains("succeeded"));
  const json& found = second["responses"][0]["response_range"]["kvs"][0];
  BOOST_TEST(found["mod_revision"] == "2");
  BOOST_TEST(PutIf("2")["succeeded"] == true);
  const json range = Ask("/v3/kv/range", { { "key", kKey } });
  BOOST_TEST(range["kvs"][0]["version"] == "2");
  BOOST_TEST(range["kvs"][0]["create_revision"] == "2");
  BOOST_TEST(range["header"]["revision"] == "3");
}

BOOST_AUTO_TEST_CASE(DeletesTheKeysOfARevokedLease)
{
  const json lease = Ask("/v3/lease/grant", { { "TTL", "60" }, { "ID", "0" } });
  PutIf("0", lease["ID"].get<std::string>());
  const json alive = Ask("/v3/lease/keepalive", { { "ID", lease["ID"] } });
  BOOST_TEST(alive["result"]["TTL"] == "60");
  Ask("/v3/lease/revoke", { { "ID", lease["ID"] } });
  BOOST_TEST(!Ask("/v3/kv/range", { { "key", kKey } }).contains("kvs"));
  const json dead = Ask("/v3/lease/keepalive", { { "ID", lease["ID"] } });
  BOOST_TEST(!dead["result"].contains("TTL"));
}

BOOST_AUTO_TEST_CASE(ExpiresALease)
{
  const json lease = Ask("/v3/lease/grant", { { "TTL", "1" }, { "ID", "0" } });
  PutIf("0", lease["ID"].get<std::string>());
  while (Ask("/v3/kv/range", { { "key", kKey } }).contains("kvs")) {
  }
  BOOST_TEST(Ask("/v3/lease/timetolive", { { "ID", lease["ID"] } })["TTL"] == "-1");
}

BOOST_AUTO_TEST_CASE(AppliesAWriteWhoseResponseIsDropped)
{
  store.DropResponses(1);
  BOOST_TEST(!PutIf("0").contains("succeeded"));
  BOOST_TEST(Ask("/v3/kv/range", { { "key", kKey } })["kvs"][0]["mod_revision"] == "2");
}

BOOST_AUTO_TEST_CASE(KeepsItsKeysAcrossAnOutage)
{
  PutIf("0");
  store.SetDown(true);
  const net::HttpResult reply = Call(store.Address(), "/v3/kv/range", { { "key", kKey } });
  BOOST_TEST((reply.error == net::HttpClientError::ConnectFailed));
  store.SetDown(false);
  BOOST_TEST(Ask("/v3/kv/range", { { "key", kKey } })["count"] == "1");
}

BOOST_AUTO_TEST_CASE(DeliversEventsToAWatch)
{
  PutIf("0");
  const auto text = Watch("2");
  while (std::count(text->begin(), text->end(), '\n') < 2) {
    loop.run_one();
  }
  BOOST_TEST(store.OpenWatches() == 1U);
  PutIf("2");
  while (std::count(text->begin(), text->end(), '\n') < 3) {
    loop.run_one();
  }
  BOOST_TEST(text->find(R"("created":true)") != std::string::npos);
  BOOST_TEST(text->find(R"("mod_revision":"3")") != std::string::npos);
  BOOST_TEST(store.Calls().watchEvents == 2U);
}

BOOST_AUTO_TEST_CASE(EndsAWatchOfACompactedRevision)
{
  PutIf("0");
  PutIf("2");
  store.Compact();
  const auto text = Watch("2");
  while (text->find("compact_revision") == std::string::npos) {
    loop.run_one();
  }
  BOOST_TEST(text->find(R"("canceled":true)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReportsVmListChangesAfterTheLag)
{
  VmListStandin list(loop, timers, std::chrono::hours{ 1 });
  BOOST_REQUIRE(list.Start());
  list.Set({ { "vm-1", "Ikeja", "Lagos", "127.0.0.1:1", "127.0.0.1:2", false } });
  list.Set({});
  const net::HttpResult reply = Call(list.Address(), "/vms");
  const json vms = json::parse(reply.response.body)["vms"];
  BOOST_REQUIRE(vms.size() == 1U);
  BOOST_TEST(vms[0]["state"] == "live");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::standin
