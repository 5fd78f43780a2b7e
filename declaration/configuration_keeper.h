#pragma once

#include "declaration/declaration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwing::declaration {

/** What became of a configuration that was offered. */
enum class OfferOutcome
{
  Taken,
  /** The one in force is the same. */
  Known,
  /** The one in force has a higher generation. */
  Older,
  /** Same generation, written by someone else: the store's history is not the one known here. */
  Foreign,
};

/** @return the name of an outcome, for logs and metric labels. */
std::string_view
NameOf(OfferOutcome aOutcome);

/**
 * Holds the configuration in force in this daemon. It only ever moves to a higher generation.
 *
 * Not thread-safe: one instance belongs to one event loop.
 */
class ConfigurationKeeper
{
public:
  /** Called after a configuration came into force. */
  using Listener = std::function<void(const Configuration&)>;

  /**
   * Takes a configuration if it is newer than the one in force.
   *
   * @param aConfiguration a configuration that was checked whole.
   * @param aSource where it came from, for the log.
   */
  OfferOutcome Offer(Configuration aConfiguration, std::string_view aSource);

  /** @return the configuration in force, null before the first. */
  std::shared_ptr<const Configuration> InForce() const { return mInForce; }

  /** @return the generation in force, 0 before the first. */
  std::uint64_t Generation() const;

  /** Adds a listener; it is never removed. */
  void Subscribe(Listener aListener);

private:
  std::shared_ptr<const Configuration> mInForce;
  std::vector<Listener> mListeners;
};

} // namespace skylarkwing::declaration
