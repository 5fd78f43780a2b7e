#include "crowd/crowd_fixture.h"

#include "net/endpoint.h"
#include "net/http_client.h"

#include <nlohmann/json.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

namespace skylarkwing::crowd {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

/** Ends a test that hangs; no test's result depends on how long it takes. */
constexpr auto kTestTimeout = std::chrono::seconds{ 60 };
constexpr auto kLoopStep = std::chrono::milliseconds{ 20 };
constexpr auto kAskTimeout = std::chrono::seconds{ 20 };
constexpr auto kRepeatPause = std::chrono::milliseconds{ 500 };
constexpr auto kSteadyTime = std::chrono::milliseconds{ 700 };
/** Attempts of an ordinary caller whose request is refused as not run. */
constexpr int kMaxAttempts = 20;
/** Descriptors of the process that are no sockets of clients: files, and what libraries open. */
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kLongAnswerBytes = std::size_t{ 3 } * 1024 * 1024;
constexpr std::size_t kKilobytesPerMegabyte = 1024;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

const auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/** An address of this test's own, so that ports don't meet those of clients on 127.0.0.1. */
std::string
FreeAddress(asio::io_context& aLoop)
{
  constexpr int kAddresses = 250;
  const std::string host = "127.0.20." + std::to_string(1 + getpid() % kAddresses);
  const tcp::acceptor acceptor(aLoop, tcp::endpoint(asio::ip::make_address(host), 0));
  return net::ToString(acceptor.local_endpoint());
}

json
RouteJson(const std::string& aName, const std::string& aService)
{
  return json{ { "name", aName },
               { "host", "shop.example" },
               { "prefix", "/" + aName + "/" },
               { "route_type", "idempotent" },
               { "timeout_ms", 10000 },
               { "objective_ms", 2000 },
               { "priority", 1 },
               { "max_attempts", 2 },
               { "allowed_regions", json::array() },
               { "service", aService } };
}

/** The times are long, so that no client of a crowd is closed just because the machine is slow. */
json
Configuration()
{
  json services = json::array();
  for (const char* name : { "short", "long" }) {
    services.push_back({ { "name", name }, { "max_connections", 20 } });
  }
  return json{ { "version", 1 },
               { "routes", { RouteJson("short", "short"), RouteJson("long", "long") } },
               { "services", services },
               { "limits",
                 { { "max_header_bytes", 16384 },
                   { "max_body_bytes", 262144 },
                   { "header_timeout_ms", 30000 },
                   { "idle_timeout_ms", 60000 } } } };
}

/** @return a value in kilobytes from the status that the kernel shows of a process. */
std::size_t
ReadStatus(pid_t aProcess, const std::string& aName)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  std::string word;
  std::size_t value = 0;
  while (file >> word) {
    if (word == aName + ":") {
      file >> value;
      break;
    }
  }
  return value;
}

std::size_t
CountSockets(pid_t aProcess)
{
  std::size_t count = 0;
  std::error_code ec;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(aProcess) + "/fd", ec)) {
    // A descriptor may be closed while they are listed.
    std::error_code ignored;
    count += std::filesystem::read_symlink(entry, ignored).string().rfind("socket:", 0) == 0;
  }
  return count;
}

} // namespace

CrowdFixture::CrowdFixture()
  : mFolder(std::filesystem::temp_directory_path() /
            ("skylarkwing-crowd-" + std::to_string(getpid())))
{
  std::filesystem::create_directories(mFolder);
  mShort.body = "short answer";
  mLong.body.assign(kLongAnswerBytes, 'x');
  mStore.Write("op/config", Configuration().dump());
  mStore.Write("servers/" + mShort.Id(), mShort.Announcement("short", "gent"));
  mStore.Write("servers/" + mLong.Id(), mLong.Announcement("long", "gent"));
}

CrowdFixture::~CrowdFixture()
{
  EndCrowd();
  mProcess.reset();
  mLoop.stop();
  std::filesystem::remove_all(mFolder);
}

void
CrowdFixture::StartDaemon(const CrowdBounds& aBounds)
{
  mBounds = aBounds;
  mCallerAddress = FreeAddress(mLoop);
  mReadinessAddress = FreeAddress(mLoop);
  const json settings{ { "vm", "crowd-vm" },
                       { "failureDomain", "gent" },
                       { "region", "vlaanderen" },
                       { "regions", { { "gent", "vlaanderen" } } },
                       { "listen",
                         { { "callers", mCallerAddress },
                           { "readiness", mReadinessAddress },
                           { "directory", FreeAddress(mLoop) },
                           { "peers", FreeAddress(mLoop) } } },
                       { "store", { { "address", mStore.Address() } } },
                       { "capacity", { { "share", 1.0 } } },
                       { "resources",
                         { { "memoryMegabytes", aBounds.memoryMegabytes },
                           { "descriptors", aBounds.descriptors } } },
                       { "extraAttempts", { { "ratio", 0.2 }, { "slack", 60 } } },
                       { "stopGraceSeconds", 3 } };
  const std::string file = mFolder + "/settings.json";
  std::ofstream(file) << settings.dump(2);
  mProcess = std::make_unique<soak::DaemonProcess>(CROWD_PROGRAM, file, mFolder + "/log");
  mProcess->Start();
  const rlimit limit{ aBounds.descriptors, aBounds.descriptors };
  BOOST_REQUIRE(prlimit(mProcess->Pid(), RLIMIT_NOFILE, &limit, nullptr) == 0);
  net::HttpRequest request;
  request.target = "/readiness";
  BOOST_REQUIRE(RunUntil([&] { return AskOnce(mReadinessAddress, request) == kOk; }));
  BOOST_REQUIRE(Ask("GET", "/short/first", "") == kOk);
  mIdleKilobytes = ReadStatus(mProcess->Pid(), "VmHWM");
}

bool
CrowdFixture::RunUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  auto sampleAt = std::chrono::steady_clock::now();
  while (!aCondition()) {
    const auto now = std::chrono::steady_clock::now();
    if (now > end) {
      return false;
    }
    mLoop.run_one_for(kLoopStep);
    if (now >= sampleAt) {
      sampleAt = now + kLoopStep;
      SampleSockets();
    }
  }
  SampleSockets();
  return true;
}

void
CrowdFixture::SampleSockets()
{
  if (mProcess && mProcess->IsRunning()) {
    mPeakSockets = std::max(mPeakSockets, CountSockets(mProcess->Pid()));
  }
}

core::Task<void>
CrowdFixture::RunClient(std::shared_ptr<tcp::socket> aSocket,
                        std::shared_ptr<const CrowdPlan> aPlan)
{
  const auto endpoint = net::ParseEndpoint(mCallerAddress);
  boost::system::error_code ec;
  aSocket->open(endpoint->protocol(), ec);
  if (aPlan->receiveBuffer > 0) {
    // Only a buffer that is set before the connection limits the window from its start.
    aSocket->set_option(asio::socket_base::receive_buffer_size(aPlan->receiveBuffer), ec);
  }
  const auto [connectError] = co_await aSocket->async_connect(*endpoint, kAsTuple);
  if (!connectError && !aPlan->bytes.empty()) {
    co_await asio::async_write(*aSocket, asio::buffer(aPlan->bytes), kAsTuple);
  }
  --mBusyClients;
}

void
CrowdFixture::StartCrowd(const CrowdPlan& aPlan)
{
  const auto plan = std::make_shared<const CrowdPlan>(aPlan);
  mBusyClients += plan->clients;
  for (std::size_t n = 0; n < plan->clients; ++n) {
    mClients.push_back(std::make_shared<tcp::socket>(mLoop));
    core::Start(mLoop.get_executor(), RunClient(mClients.back(), plan));
  }
  BOOST_REQUIRE(RunUntil([this] { return mBusyClients == 0; }));
  AwaitSteadyMemory();
}

void
CrowdFixture::AwaitSteadyMemory()
{
  // What the clients have sent may still be in the kernel's buffers.
  std::size_t last = 0;
  auto changedAt = std::chrono::steady_clock::now();
  RunUntil([&] {
    const auto now = std::chrono::steady_clock::now();
    const std::size_t size = ReadStatus(mProcess->Pid(), "VmRSS");
    if (size != last) {
      last = size;
      changedAt = now;
    }
    return now - changedAt >= kSteadyTime;
  });
}

void
CrowdFixture::EndCrowd()
{
  for (const auto& client : mClients) {
    boost::system::error_code ignored;
    client->close(ignored);
  }
  mClients.clear();
}

core::Task<void>
CrowdFixture::AskTask(std::string aAddress,
                      net::HttpRequest aRequest,
                      std::shared_ptr<std::optional<unsigned>> aStatus)
{
  net::TcpHttpConnection connection(mLoop.get_executor());
  unsigned status = 0;
  if (co_await connection.Connect(std::move(aAddress), kAskTimeout)) {
    const net::HttpResult result = co_await connection.Exchange(std::move(aRequest), kAskTimeout);
    status = result.error == net::HttpClientError::None ? result.response.status : 0;
  }
  *aStatus = status;
}

unsigned
CrowdFixture::AskOnce(const std::string& aAddress, const net::HttpRequest& aRequest)
{
  const auto status = std::make_shared<std::optional<unsigned>>();
  core::Start(mLoop.get_executor(), AskTask(aAddress, aRequest, status));
  RunUntil([&] { return status->has_value(); });
  return status->value_or(0);
}

unsigned
CrowdFixture::Ask(const std::string& aMethod, const std::string& aTarget, const std::string& aBody)
{
  net::HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  request.headers = { { "Host", "shop.example" }, { "Request-Id", "ordinary" } };
  unsigned status = kUnavailable;
  for (int n = 0; n < kMaxAttempts && status == kUnavailable; ++n) {
    if (n > 0) {
      const auto next = std::chrono::steady_clock::now() + kRepeatPause;
      RunUntil([&] { return std::chrono::steady_clock::now() >= next; });
    }
    status = AskOnce(mCallerAddress, request);
  }
  return status;
}

void
CrowdFixture::CheckProcess()
{
  BOOST_TEST_REQUIRE(mProcess->IsRunning(), mProcess->DescribeUnexpectedExit());
  SampleSockets();
  const std::size_t peak = ReadStatus(mProcess->Pid(), "VmHWM");
  BOOST_TEST_MESSAGE("memory: " << mIdleKilobytes << " kB idle, " << peak << " kB at most, bound "
                                << mBounds.memoryMegabytes * kKilobytesPerMegabyte
                                << " kB; sockets: " << mPeakSockets << " at most, bound "
                                << mBounds.descriptors - kFileDescriptors);
  BOOST_TEST(peak <= mBounds.memoryMegabytes * kKilobytesPerMegabyte);
  BOOST_TEST(mPeakSockets <= mBounds.descriptors - kFileDescriptors);
}

} // namespace skylarkwing::crowd
