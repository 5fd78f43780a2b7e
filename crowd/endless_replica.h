#pragma once

#include "core/task.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace skylarkwing::crowd {

/** A faulty replica whose answers go on until the caller closes the connection. */
class EndlessReplica
{
public:
  /**
   * @param aBegin first bytes of each answer.
   * @param aRepeated bytes that follow again and again.
   */
  EndlessReplica(boost::asio::io_context& aLoop, std::string aBegin, std::string aRepeated);

  /** @return "IP:port" on which it accepts connections. */
  std::string Address() const;

  /** @return the number of requests that it has begun to answer. */
  int Requests() const { return mRequests; }

private:
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::string mBegin;
  std::string mRepeated;
  int mRequests = 0;

  core::Task<void> Accept();
  core::Task<void> Serve(boost::asio::ip::tcp::socket aSocket);
};

} // namespace skylarkwing::crowd
