#pragma once

#include "core/task.h"
#include "membership/vm_list.h"

#include <boost/asio/any_io_executor.hpp>

#include <optional>
#include <string>
#include <vector>

namespace skylarkwing::daemon {

/** @return the platform's VM list, or nothing when it could not be fetched completely. */
core::Task<std::optional<std::vector<membership::VmRecord>>>
FetchVmList(boost::asio::any_io_executor aExecutor, std::string aAddress);

} // namespace skylarkwing::daemon
