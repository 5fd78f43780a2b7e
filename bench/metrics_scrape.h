#pragma once

#include "bench/cluster_fixture.h"

#include <string>

namespace skylarkwing::bench {

/** @return the sum of one metric, by its name without labels, over all entry processes. */
double
SumMetric(const ClusterFixture& aCluster, const std::string& aName);

} // namespace skylarkwing::bench
