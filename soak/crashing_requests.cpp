#include "soak/crashing_requests.h"

#include "core/parse_unsigned.h"
#include "net/http_client.h"

#include <memory>
#include <optional>
#include <utility>

namespace skylarkwing::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kEndsBeforeRefusal = 3;
constexpr std::uint64_t kMaxLateRuns = 3;
constexpr core::Duration kTimeout = std::chrono::seconds{ 4 };
constexpr core::Duration kConnectTimeout = milliseconds{ 500 };
/** Ids begin with the number of the daemon, so that a run can be attributed to it. */
constexpr std::string_view kIdPrefix = "fatal";
constexpr unsigned kUnavailable = 503;

std::optional<std::uint64_t>
DaemonOf(const std::string& aId)
{
  return core::ParseLeadingUnsigned(std::string_view(aId).substr(kIdPrefix.size()));
}

} // namespace

CrashingRequests::CrashingRequests(boost::asio::io_context& aLoop,
                                   core::TimerService& aTimers,
                                   std::uint64_t aSeed,
                                   CrashingRequestHooks aHooks)
  : mLoop(aLoop)
  , mTimers(aTimers)
  , mRandom(aSeed)
  , mHooks(std::move(aHooks))
  , mCallers{ { { "/lookup/fatal" }, { "/order/fatal" }, { "/search/fatal" } } }
{
}

void
CrashingRequests::Start()
{
  for (Caller& caller : mCallers) {
    core::Start(mLoop.get_executor(), Run(caller));
  }
}

core::Task<void>
CrashingRequests::Run(Caller& aCaller)
{
  while (!mIsStopped) {
    co_await core::Sleep(mTimers, milliseconds(200 + mRandom.Below(400)));
    const std::size_t daemon = mRandom.Below(mHooks.daemonCount());
    const auto connection = std::make_shared<net::TcpHttpConnection>(mLoop.get_executor());
    if (!co_await connection->Connect(mHooks.addressOf(daemon), kConnectTimeout)) {
      continue;
    }
    std::string id(kIdPrefix);
    id.append(std::to_string(daemon)).append("-").append(std::to_string(++mLastId)).append("-end");
    net::HttpRequest request;
    request.target = aCaller.target;
    request.headers = { { "Host", "soak" }, { "Request-Id", id }, { "Request-Deadline", "1500" } };
    const net::HttpResult reply = co_await connection->Exchange(std::move(request), kTimeout);
    if (reply.error == net::HttpClientError::None && reply.response.status == kUnavailable) {
      mHooks.onRefused(id);
    }
  }
}

bool
CrashingRequests::OnRun(const net::HttpRequest& aRequest)
{
  for (Caller& caller : mCallers) {
    if (caller.target != aRequest.target) {
      continue;
    }
    const core::TimePoint now = mTimers.Now();
    const auto daemon = DaemonOf(aRequest.Header("Request-Id").value_or(std::string(kIdPrefix)));
    const bool isLate = caller.ends >= kEndsBeforeRefusal && now > caller.thirdEndAt + kContactTime;
    if (isLate && daemon && mHooks.isInTouch(*daemon)) {
      ++caller.lateRuns;
    }
    if (++caller.ends == kEndsBeforeRefusal) {
      caller.thirdEndAt = now;
    }
    return true;
  }
  return false;
}

std::vector<std::string>
CrashingRequests::Check() const
{
  std::vector<std::string> violations;
  for (const Caller& caller : mCallers) {
    if (caller.lateRuns > kMaxLateRuns) {
      violations.push_back(caller.target + ": " + std::to_string(caller.lateRuns) +
                           " runs by daemons in touch long after it had ended three replicas, " +
                           std::to_string(caller.ends) + " in all");
    }
  }
  return violations;
}

std::uint64_t
CrashingRequests::Ends() const
{
  std::uint64_t n = 0;
  for (const Caller& caller : mCallers) {
    n += caller.ends;
  }
  return n;
}

} // namespace skylarkwing::soak
