#pragma once

#include "core/asio_timer_service.h"
#include "core/task.h"
#include "crowd/endless_replica.h"
#include "net/http_message.h"
#include "platform/tests/platform_fakes.h"
#include "soak/daemon_process.h"
#include "standin/store_standin.h"
#include "standin/vm_list_standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwing::crowd {

/** Resources of the process under test, as the platform states them in the settings. */
struct CrowdBounds
{
  std::size_t memoryMegabytes = 0;
  std::size_t descriptors = 0;
};

/** The ports of a daemon. */
enum class CrowdPort
{
  Callers,
  Directory,
  Readiness,
  Peers,
  Operators,
};

/** What the crowd's clients have in common. */
struct CrowdPlan
{
  std::size_t clients = 0;
  /** How many such groups connect, one after the other. */
  std::size_t groups = 1;
  /** Sent by each client, which then neither sends nor reads, and stays connected. */
  std::string bytes;
  /** Receive buffer of each client; 0 leaves the system's default. */
  int receiveBuffer = 0;
  CrowdPort port = CrowdPort::Callers;
  /** Whether a client that was refused, or whose connection has ended, connects and sends again. */
  bool isReturning = false;
};

/** How the clients of a crowd leave. */
enum class CrowdEnd
{
  Close,
  /** Their connections are reset. */
  Reset,
};

/**
 * One daemon as a process, with a store and replicas in this process, and a crowd of clients.
 *
 * The settings give the process its resources; the same number of descriptors is enforced by the
 * system. Memory isn't, so that a process that uses too much lives to be measured.
 */
class CrowdFixture
{
public:
  CrowdFixture();
  CrowdFixture(const CrowdFixture&) = delete;
  CrowdFixture& operator=(const CrowdFixture&) = delete;
  ~CrowdFixture();

  /** Starts the process and waits until it is ready. */
  void StartDaemon(const CrowdBounds& aBounds);

  /**
   * Makes a replica answer requests of the route "endless" until the connection is closed.
   *
   * @param aBegin first bytes of each answer.
   * @param aRepeated bytes that follow again and again.
   */
  void AddEndlessReplica(const std::string& aBegin, const std::string& aRepeated);

  /** @return the number of requests that this replica has begun to answer. */
  int EndlessRequests() const { return mEndlessReplica->Requests(); }

  /** Starts a daemon of the other kind, `serve`, and waits until it answers. */
  void StartServe(const CrowdBounds& aBounds);

  /**
   * Connects all clients, and waits until each has sent its bytes, lost its connection or can't
   * send more, and the process has read what it reads of them.
   */
  void StartCrowd(const CrowdPlan& aPlan);

  /** Ends the connections of the crowd. */
  void EndCrowd(CrowdEnd aEnd = CrowdEnd::Close);

  /**
   * Sends a request on a new connection, and repeats it a bounded number of times while it is
   * refused with 503.
   *
   * @return the last status, or 0 when no complete answer arrived.
   */
  unsigned Ask(const std::string& aMethod, const std::string& aTarget, const std::string& aBody);

  /** Makes the process read its settings again, and writes a configuration with a lower limit. */
  void ChangeLimits();

  /** Stops the process, and checks that it ends in order. */
  void Stop();

  /**
   * Checks that the process runs, and that its memory and its sockets stayed under the bounds from
   * its start until now. Bytes that the kernel holds for its sockets count as its memory: received
   * and not read yet, or written and not received by the client.
   */
  void CheckProcess();

private:
  boost::asio::io_context mLoop;
  core::AsioTimerService mTimers{ mLoop };
  platform::tests::FakePlatformStore mStore{ mLoop, mTimers };
  standin::StoreStandin mServeStore{ mLoop, mTimers };
  standin::VmListStandin mVmList{ mLoop, mTimers, core::Duration::zero() };
  /** By service. */
  std::map<std::string, std::unique_ptr<platform::tests::FakePlatformReplica>> mReplicas;
  /** Null unless the test needs it. */
  std::unique_ptr<EndlessReplica> mEndlessReplica;
  std::string mFolder;
  CrowdBounds mBounds;
  /** By port. */
  std::map<CrowdPort, std::string> mAddresses;
  std::unique_ptr<soak::DaemonProcess> mProcess;
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> mClients;
  std::size_t mBusyClients = 0;
  std::size_t mSentBytes = 0;
  /** Whether clients that return do so. */
  bool mIsCrowdRunning = false;
  std::size_t mPeakSockets = 0;
  std::size_t mPeakKernelBytes = 0;
  /** Of the process and the kernel together. */
  std::size_t mPeakBytes = 0;
  std::size_t mIdleKilobytes = 0;

  /** Runs the event loop until a condition holds. @return false when the test's time has ended. */
  bool RunUntil(const std::function<bool()>& aCondition);
  platform::tests::FakePlatformReplica& AddReplica(const std::string& aService);
  core::Task<void> RunClient(std::size_t aIndex, std::shared_ptr<const CrowdPlan> aPlan);
  core::Task<void> Send(std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
                        std::shared_ptr<const CrowdPlan> aPlan);
  core::Task<void> AskTask(std::string aAddress,
                           net::HttpRequest aRequest,
                           std::shared_ptr<std::optional<unsigned>> aStatus);
  unsigned AskOnce(const std::string& aAddress, const net::HttpRequest& aRequest);
  /** @param aDescriptors limit that the system enforces. */
  void StartProcess(const std::string& aCommand,
                    const std::string& aSettings,
                    std::size_t aDescriptors);
  void SampleResources();
  /** Runs the event loop until a value doesn't change any more. */
  void AwaitSteady(const std::function<std::size_t()>& aValue);
};

} // namespace skylarkwing::crowd
