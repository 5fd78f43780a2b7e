#include "standin/property_counts.h"

namespace skylarkwing::standin {

PropertyCounts&
PropertyCounts::operator+=(const PropertyCounts& aOther)
{
  coldOverfull += aOther.coldOverfull;
  connectionsOverLimit += aOther.connectionsOverLimit;
  workWhileOut += aOther.workWhileOut;
  workWhileDraining += aOther.workWhileDraining;
  runTwice += aOther.runTwice;
  crashedTooMany += aOther.crashedTooMany;
  return *this;
}

std::uint64_t
PropertyCounts::Total() const
{
  return coldOverfull + connectionsOverLimit + workWhileOut + workWhileDraining + runTwice +
         crashedTooMany;
}

UpstreamLoad&
UpstreamLoad::operator+=(const UpstreamLoad& aOther)
{
  received += aOther.received;
  started += aOther.started;
  shed += aOther.shed;
  cancelled += aOther.cancelled;
  connections += aOther.connections;
  crashes += aOther.crashes;
  return *this;
}

} // namespace skylarkwing::standin
