#include "declaration/configuration_keeper.h"

#include "core/log.h"
#include "core/name_table.h"

#include <utility>

namespace skylarkwing::declaration {

namespace {

constexpr core::NameTable<OfferOutcome, 4> kOutcomeNames{
  { "taken", "known", "older", "foreign" }
};

} // namespace

std::string_view
NameOf(OfferOutcome aOutcome)
{
  return kOutcomeNames.NameOf(aOutcome);
}

OfferOutcome
ConfigurationKeeper::Offer(Configuration aConfiguration, std::string_view aSource)
{
  if (aConfiguration.generation < Generation()) {
    return OfferOutcome::Outdated;
  }
  if (aConfiguration.generation == Generation()) {
    const bool isSame = !mInForce || mInForce->writeId == aConfiguration.writeId;
    return isSame ? OfferOutcome::Unchanged : OfferOutcome::Conflicting;
  }
  core::LogEvent(core::LogLevel::Info,
                 "declaration",
                 "configuration_in_force",
                 { { "from", std::to_string(Generation()) },
                   { "to", std::to_string(aConfiguration.generation) },
                   { "source", std::string(aSource) } });
  mInForce = std::make_shared<const Configuration>(std::move(aConfiguration));
  const auto inForce = mInForce;
  for (const Listener& listener : mListeners) {
    listener(*inForce);
  }
  return OfferOutcome::Accepted;
}

std::uint64_t
ConfigurationKeeper::Generation() const
{
  return mInForce ? mInForce->generation : 0;
}

void
ConfigurationKeeper::Subscribe(Listener aListener)
{
  mListeners.push_back(std::move(aListener));
}

} // namespace skylarkwing::declaration
