#pragma once

#include "bench/cluster_fixture.h"

#include <string>

namespace skylarkwing::bench {

/** @return the sum of one metric over its series and all entry processes. */
double
SumMetric(const ClusterFixture& aCluster, const std::string& aName);

} // namespace skylarkwing::bench
