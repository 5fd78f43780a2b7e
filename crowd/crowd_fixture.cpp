#include "crowd/crowd_fixture.h"

#include "net/endpoint.h"
#include "net/http_client.h"

#include <nlohmann/json.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/test/unit_test.hpp>

#include <poll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <optional>
#include <set>
#include <sstream>
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
constexpr std::size_t kMediumAnswerBytes = std::size_t{ 130 } * 1000;
constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr std::size_t kKilobytesPerMegabyte = 1024;
constexpr auto kMemorySampleInterval = std::chrono::milliseconds{ 100 };
constexpr auto kReturnPause = std::chrono::milliseconds{ 20 };
constexpr std::size_t kMaxBodyBytes = std::size_t{ 256 } * 1024;
constexpr int kShards = 24;
constexpr int kConnections = 20;
constexpr int kShardConnections = 60;
/** Longer than a test, where a request has to be held. */
constexpr int kLongTimeoutMs = 120000;
constexpr int kShortTimeoutMs = 10000;
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

std::string
ShardName(int aIndex)
{
  return "shard-" + std::to_string(aIndex);
}

json
RouteJson(const std::string& aName, int aTimeoutMs)
{
  return json{ { "name", aName },
               { "host", "shop.example" },
               { "prefix", "/" + aName + "/" },
               { "route_type", "idempotent" },
               { "timeout_ms", aTimeoutMs },
               { "objective_ms", 2000 },
               { "priority", 1 },
               { "max_attempts", 2 },
               { "allowed_regions", json::array() } };
}

/** The times are long, so that no client of a crowd is closed just because the machine is slow. */
json
Configuration(int aVersion, std::size_t aMaxBodyBytes)
{
  json services = json::array();
  json routes = json::array();
  const auto addService = [&services](const std::string& aName, int aConnections) {
    services.push_back({ { "name", aName }, { "max_connections", aConnections } });
  };
  for (const char* name : { "short", "medium", "long", "held", "endless" }) {
    addService(name, kConnections);
    const bool isHeld = std::string(name) == "held";
    json route = RouteJson(name, isHeld ? kLongTimeoutMs : kShortTimeoutMs);
    route["service"] = name;
    routes.push_back(route);
  }
  json sharded = RouteJson("sharded", kLongTimeoutMs);
  sharded["top_k"] = 3;
  sharded["min_shard_ratio"] = 1.0;
  for (int n = 0; n < kShards; ++n) {
    addService(ShardName(n), kShardConnections);
    sharded["fanout_services"].push_back(ShardName(n));
  }
  routes.push_back(sharded);
  return json{ { "version", aVersion },
               { "routes", routes },
               { "services", services },
               { "limits",
                 { { "max_header_bytes", 16384 },
                   { "max_body_bytes", aMaxBodyBytes },
                   { "header_timeout_ms", 30000 },
                   { "idle_timeout_ms", 60000 } } } };
}

/** @return the inodes of the sockets that a process has open. */
std::set<std::string>
ListSockets(pid_t aProcess)
{
  const std::string prefix = "socket:[";
  std::set<std::string> inodes;
  std::error_code ec;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(aProcess) + "/fd", ec)) {
    // A descriptor may be closed while they are listed.
    std::error_code ignored;
    const std::string target = std::filesystem::read_symlink(entry, ignored).string();
    if (target.rfind(prefix, 0) == 0) {
      inodes.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
    }
  }
  return inodes;
}

/** @return an IPv4 address as the kernel lists it. */
std::string
ToListedAddress(const std::string& aAddress)
{
  const auto bytes = net::ParseEndpoint(aAddress)->address().to_v4().to_bytes();
  std::uint32_t word = 0;
  std::memcpy(&word, bytes.data(), sizeof(word));
  std::ostringstream out;
  out << std::hex << std::uppercase << std::setfill('0') << std::setw(8) << word;
  return out.str();
}

/**
 * @param aHost address of the process, as the kernel lists it; closed connections, which belong to
 *        no process, are found by it.
 * @param aInodes the sockets that the process has open.
 * @return the bytes in the queues of the process's connections.
 */
std::size_t
ReadKernelBytes(const std::string& aHost, const std::set<std::string>& aInodes)
{
  constexpr int kHexadecimal = 16;
  const std::string listening = "0A";
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);
  std::size_t bytes = 0;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    std::string skipped;
    std::string inode;
    words >> slot >> local >> remote >> state >> queues;
    for (int n = 0; n < 4; ++n) {
      words >> skipped;
    }
    words >> inode;
    if (state != listening &&
        (local.compare(0, aHost.size(), aHost) == 0 || aInodes.count(inode) > 0)) {
      const std::size_t colon = queues.find(':');
      bytes += std::stoul(queues.substr(0, colon), nullptr, kHexadecimal) +
               std::stoul(queues.substr(colon + 1), nullptr, kHexadecimal);
    }
  }
  return bytes;
}

/** @return whether a client that doesn't read has been refused, or has lost its connection. */
bool
IsRefusedOrClosed(tcp::socket& aSocket)
{
  pollfd descriptor{ aSocket.native_handle(), POLLRDHUP, 0 };
  if (poll(&descriptor, 1, 0) > 0) {
    return true;
  }
  const std::string served = "HTTP/1.1 200";
  std::string begin(served.size(), '\0');
  boost::system::error_code ec;
  aSocket.non_blocking(true, ec);
  const std::size_t n = aSocket.receive(asio::buffer(begin), asio::socket_base::message_peek, ec);
  return n == served.size() && begin != served;
}

} // namespace

CrowdFixture::CrowdFixture()
  : mFolder(std::filesystem::temp_directory_path() /
            ("skylarkwing-crowd-" + std::to_string(getpid())))
{
  std::filesystem::create_directories(mFolder);
  for (const CrowdPort port : { CrowdPort::Callers,
                                CrowdPort::Directory,
                                CrowdPort::Readiness,
                                CrowdPort::Peers,
                                CrowdPort::Operators }) {
    mAddresses[port] = FreeAddress(mLoop);
  }
  mStore.Write("op/config", Configuration(1, kMaxBodyBytes).dump());
  AddReplica("short").body = "short answer";
  AddReplica("medium").body.assign(kMediumAnswerBytes, 'x');
  AddReplica("long").body.assign(kLongAnswerBytes, 'x');
  AddReplica("held").behavior = platform::tests::FakeReplicaBehavior::Mute;
  for (int n = 0; n < kShards; ++n) {
    AddReplica(ShardName(n)).behavior = platform::tests::FakeReplicaBehavior::Mute;
  }
}

platform::tests::FakePlatformReplica&
CrowdFixture::AddReplica(const std::string& aService)
{
  auto& replica = mReplicas[aService];
  replica = std::make_unique<platform::tests::FakePlatformReplica>(mLoop, mTimers, "i-" + aService);
  mStore.Write("servers/" + replica->Id(), replica->Announcement(aService, "gent"));
  return *replica;
}

void
CrowdFixture::AddEndlessReplica(const std::string& aBegin, const std::string& aRepeated)
{
  mEndlessReplica = std::make_unique<EndlessReplica>(mLoop, aBegin, aRepeated);
  const json entry{ { "service", "endless" },   { "address", mEndlessReplica->Address() },
                    { "zone", "gent" },         { "version", "v1" },
                    { "slots", kConnections },  { "state", "ready" },
                    { "cold_remaining_ms", 0 }, { "sequence", 1 } };
  mStore.Write("servers/i-endless", entry.dump());
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
  const json settings{ { "vm", "crowd-vm" },
                       { "failureDomain", "gent" },
                       { "region", "vlaanderen" },
                       { "regions", { { "gent", "vlaanderen" } } },
                       { "listen",
                         { { "callers", mAddresses[CrowdPort::Callers] },
                           { "readiness", mAddresses[CrowdPort::Readiness] },
                           { "directory", mAddresses[CrowdPort::Directory] },
                           { "peers", mAddresses[CrowdPort::Peers] } } },
                       { "store", { { "address", mStore.Address() } } },
                       { "capacity", { { "share", 1.0 } } },
                       { "resources",
                         { { "memoryMegabytes", aBounds.memoryMegabytes },
                           { "descriptors", aBounds.descriptors } } },
                       { "extraAttempts", { { "ratio", 0.2 }, { "slack", 60 } } },
                       { "stopGraceSeconds", 3 } };
  StartProcess("platform", settings.dump(2), aBounds.descriptors);
  net::HttpRequest request;
  request.target = "/readiness";
  BOOST_REQUIRE(
    RunUntil([&] { return AskOnce(mAddresses[CrowdPort::Readiness], request) == kOk; }));
  BOOST_REQUIRE(Ask("GET", "/short/first", "") == kOk);
  mIdleKilobytes = mProcess->ReadStatus("VmHWM");
}

void
CrowdFixture::StartServe(const CrowdBounds& aBounds)
{
  mBounds = aBounds;
  BOOST_REQUIRE(mServeStore.Start());
  BOOST_REQUIRE(mVmList.Start());
  mVmList.Set({ { "crowd-vm",
                  "gent",
                  "vlaanderen",
                  mAddresses[CrowdPort::Callers],
                  mAddresses[CrowdPort::Peers],
                  false } });
  const std::string token = mFolder + "/token";
  std::ofstream(token) << "token-of-the-crowd-tests\n";
  const json settings{
    { "vm", "crowd-vm" },
    { "failureDomain", "gent" },
    { "region", "vlaanderen" },
    { "clusterName", "crowd" },
    { "listen",
      { { "caller", mAddresses[CrowdPort::Callers] },
        { "peer", mAddresses[CrowdPort::Peers] },
        { "operator", mAddresses[CrowdPort::Operators] } } },
    { "store", { { "endpoints", { mServeStore.Address() } } } },
    { "vmList", { { "address", mVmList.Address() } } },
    { "operators", { { "readTokenFile", token }, { "changeTokenFile", token } } },
    { "resources",
      { { "memoryMegabytes", aBounds.memoryMegabytes }, { "descriptors", aBounds.descriptors } } }
  };
  StartProcess("serve", settings.dump(2), aBounds.descriptors);
  net::HttpRequest request;
  request.target = "/v1/entry-points";
  BOOST_REQUIRE(RunUntil([&] {
    return !mProcess->IsRunning() || AskOnce(mAddresses[CrowdPort::Callers], request) == kOk;
  }));
  BOOST_REQUIRE(mProcess->IsRunning());
  mIdleKilobytes = mProcess->ReadStatus("VmHWM");
}

void
CrowdFixture::StartProcess(const std::string& aCommand,
                           const std::string& aSettings,
                           std::size_t aDescriptors)
{
  const std::string file = mFolder + "/settings.json";
  std::ofstream(file) << aSettings;
  mProcess = std::make_unique<soak::DaemonProcess>(CROWD_PROGRAM, file, mFolder + "/log", aCommand);
  mProcess->Start();
  const rlimit limit{ aDescriptors, aDescriptors };
  BOOST_REQUIRE(prlimit(mProcess->Pid(), RLIMIT_NOFILE, &limit, nullptr) == 0);
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
      sampleAt = now + kMemorySampleInterval;
      SampleResources();
    }
  }
  SampleResources();
  return true;
}

void
CrowdFixture::SampleResources()
{
  if (!mProcess || !mProcess->IsRunning()) {
    return;
  }
  const std::set<std::string> sockets = ListSockets(mProcess->Pid());
  mPeakSockets = std::max(mPeakSockets, sockets.size());
  const std::size_t kernelBytes =
    ReadKernelBytes(ToListedAddress(mAddresses[CrowdPort::Callers]), sockets);
  mPeakKernelBytes = std::max(mPeakKernelBytes, kernelBytes);
  mPeakBytes =
    std::max(mPeakBytes, kernelBytes + mProcess->ReadStatus("VmRSS") * kBytesPerKilobyte);
}

core::Task<void>
CrowdFixture::RunClient(std::size_t aIndex, std::shared_ptr<const CrowdPlan> aPlan)
{
  bool isFirst = true;
  do {
    const auto socket = std::make_shared<tcp::socket>(mLoop);
    mClients[aIndex] = socket;
    co_await Send(socket, aPlan);
    mBusyClients -= isFirst ? 1 : 0;
    isFirst = false;
    if (!aPlan->isReturning) {
      co_return;
    }
    while (mIsCrowdRunning && socket->is_open() && !IsRefusedOrClosed(*socket)) {
      co_await core::Sleep(mTimers, kReturnPause);
    }
    boost::system::error_code ignored;
    socket->close(ignored);
  } while (mIsCrowdRunning);
}

core::Task<void>
CrowdFixture::Send(std::shared_ptr<tcp::socket> aSocket, std::shared_ptr<const CrowdPlan> aPlan)
{
  const auto endpoint = net::ParseEndpoint(mAddresses[aPlan->port]);
  boost::system::error_code ec;
  aSocket->open(endpoint->protocol(), ec);
  if (aPlan->receiveBuffer > 0) {
    // Only a buffer that is set before the connection limits the window from its start.
    aSocket->set_option(asio::socket_base::receive_buffer_size(aPlan->receiveBuffer), ec);
  }
  const auto [connectError] = co_await aSocket->async_connect(*endpoint, kAsTuple);
  ec = connectError;
  std::size_t sent = 0;
  while (!ec && sent < aPlan->bytes.size()) {
    const auto [writeError, n] =
      co_await aSocket->async_write_some(asio::buffer(aPlan->bytes) + sent, kAsTuple);
    ec = writeError;
    sent += n;
    mSentBytes += n;
  }
}

void
CrowdFixture::StartCrowd(const CrowdPlan& aPlan)
{
  const auto plan = std::make_shared<const CrowdPlan>(aPlan);
  mIsCrowdRunning = true;
  for (std::size_t group = 0; group < plan->groups; ++group) {
    const std::size_t first = mClients.size();
    mClients.resize(first + plan->clients);
    mBusyClients += plan->clients;
    for (std::size_t n = first; n < mClients.size(); ++n) {
      core::Start(mLoop.get_executor(), RunClient(n, plan));
    }
    if (plan->isReturning) {
      BOOST_REQUIRE(RunUntil([this] { return mBusyClients == 0; }));
      continue;
    }
    // A client that the process doesn't read from stays busy.
    AwaitSteady([this] { return mBusyClients == 0 ? 0 : mSentBytes; });
    // What the clients have sent may still be in the kernel's buffers.
    AwaitSteady([this] { return mProcess->ReadStatus("VmRSS"); });
  }
}

void
CrowdFixture::AwaitSteady(const std::function<std::size_t()>& aValue)
{
  std::optional<std::size_t> last;
  auto changedAt = std::chrono::steady_clock::now();
  RunUntil([&] {
    const auto now = std::chrono::steady_clock::now();
    const std::size_t value = aValue();
    if (value != last) {
      last = value;
      changedAt = now;
    }
    return now - changedAt >= kSteadyTime;
  });
}

void
CrowdFixture::EndCrowd(CrowdEnd aEnd)
{
  mIsCrowdRunning = false;
  for (const auto& client : mClients) {
    boost::system::error_code ignored;
    if (aEnd == CrowdEnd::Reset) {
      client->set_option(asio::socket_base::linger(true, 0), ignored);
    }
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
    status = AskOnce(mAddresses[CrowdPort::Callers], request);
  }
  return status;
}

void
CrowdFixture::ChangeLimits()
{
  mProcess->Signal(SIGHUP);
  mStore.Write("op/config", Configuration(2, kMaxBodyBytes / 2).dump());
}

void
CrowdFixture::Stop()
{
  mProcess->Signal(SIGTERM);
  BOOST_TEST(RunUntil([this] { return !mProcess->IsRunning(); }));
  BOOST_TEST(mProcess->DescribeUnexpectedExit() == "");
}

void
CrowdFixture::CheckProcess()
{
  BOOST_TEST_REQUIRE(mProcess->IsRunning(), mProcess->DescribeUnexpectedExit());
  SampleResources();
  const std::size_t bound = mBounds.memoryMegabytes * kKilobytesPerMegabyte;
  const std::size_t peak = mProcess->ReadStatus("VmHWM");
  const std::size_t peakWithKernel = mPeakBytes / kBytesPerKilobyte;
  BOOST_TEST_MESSAGE("memory: " << mIdleKilobytes << " kB idle, " << peak << " kB at most, "
                                << peakWithKernel << " kB with the kernel's "
                                << mPeakKernelBytes / kBytesPerKilobyte << " kB, bound " << bound
                                << " kB; sockets: " << mPeakSockets << " at most, bound "
                                << mBounds.descriptors - kFileDescriptors);
  BOOST_TEST(peak <= bound);
  BOOST_TEST(peakWithKernel <= bound);
  BOOST_TEST(mPeakSockets <= mBounds.descriptors - kFileDescriptors);
}

} // namespace skylarkwing::crowd
