#pragma once

#include "declaration/declaration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::declaration {

/** Result of ConfigurationKeeper::Offer(). */
enum class OfferOutcome
{
  Accepted,
  /** It is already in force. */
  Unchanged,
  /** The configuration in force has a higher generation. */
  Outdated,
  /** Same generation but a different write: it comes from another history of the store. */
  Conflicting,
};

/** @return the name of an outcome, for logs and metric labels. */
std::string_view
NameOf(OfferOutcome aOutcome);

/**
 * Holds the configuration in force in this daemon. Its generation never decreases.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class ConfigurationKeeper
{
public:
  /** Called after a new configuration has come into force. */
  using Listener = std::function<void(const Configuration&)>;

  /**
   * Puts a configuration into force if it is newer than the current one.
   *
   * @param aConfiguration a validated configuration.
   * @param aSource origin of the configuration, for the log.
   */
  OfferOutcome Offer(Configuration aConfiguration, std::string_view aSource);

  /** @return the configuration in force, null if there is none yet. */
  std::shared_ptr<const Configuration> InForce() const { return mInForce; }

  /** @return the generation in force, 0 if there is none yet. */
  std::uint64_t Generation() const;

  /** Adds a listener; listeners cannot be removed. */
  void Subscribe(Listener aListener);

private:
  std::shared_ptr<const Configuration> mInForce;
  std::vector<Listener> mListeners;
};

} // namespace skylarkwing::declaration
