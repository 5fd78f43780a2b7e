#pragma once

#include "core/timer_service.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace skylarkwing::rollout {

/** The two versions of a rollout. */
enum class VersionSide
{
  Base,
  Target,
};

/** What the answers of one cell have in common. */
struct EvidenceKey
{
  std::string route;
  /** Failure domain of the replicas. */
  std::string domain;
  /** Number of the time slice since the start of the rollout. */
  std::uint32_t slice = 0;
  VersionSide side = VersionSide::Base;

  auto operator<=>(const EvidenceKey&) const = default;
};

/** Counts of answers. */
struct EvidenceCell
{
  std::uint32_t failures = 0;
  /** Successes by the bucket of their work time; see TimeBucket(). */
  std::map<std::uint32_t, std::uint32_t> times;

  void Add(const EvidenceCell& aOther);
  void Subtract(const EvidenceCell& aOther);
  std::uint32_t Count() const;
};

using EvidenceCells = std::map<EvidenceKey, EvidenceCell>;

/** Greatest bucket of times, about 30 s. */
constexpr std::uint32_t kMaxTimeBucket = 52;

/** @return the bucket of a work time; each is 1.25 times the one before. */
std::uint32_t
TimeBucket(core::Duration aTime);

/** Answers of both versions, by daemon; a later report of a daemon replaces its earlier ones. */
class RolloutEvidence
{
public:
  /** Counts an answer that this daemon got. */
  void Add(const std::string& aVm, const EvidenceKey& aKey, bool aHasFailed, core::Duration aTime);

  /** Replaces those cells of a daemon that a report contains. */
  void Replace(const std::string& aVm, const EvidenceCells& aCells);

  /** @return a daemon's cells of a slice and all later ones. */
  EvidenceCells CellsSince(const std::string& aVm, std::uint32_t aSlice) const;

  /** @return the sum over all daemons. */
  const EvidenceCells& Totals() const { return mTotals; }

  /** @return the answers of a version. */
  std::uint64_t Answers(VersionSide aSide) const
  {
    return aSide == VersionSide::Target ? mTargetAnswers : mBaseAnswers;
  }

private:
  std::map<std::string, EvidenceCells> mByVm;
  EvidenceCells mTotals;
  std::uint64_t mBaseAnswers = 0;
  std::uint64_t mTargetAnswers = 0;
};

/** Least number of the new version's answers for a verdict. */
constexpr std::uint64_t kMinTargetAnswers = 5;

/** The comparison of two versions. */
struct RolloutVerdict
{
  bool isBad = false;
  /** The route that shows it; empty for all routes together. */
  std::string route;
  /** Bad answers of the new version, their number if it were like the old one, and the score. */
  double badAnswers = 0.0;
  double expected = 0.0;
  double score = 0.0;
};

/**
 * Compares the versions with a Cochran-Mantel-Haenszel test: within each route, failure domain and
 * time slice, how many of the new version's answers are bad, against the same share of bad answers
 * in both versions. A fault of the whole fleet, of a domain or of a moment is in both versions of
 * its stratum and has no effect. An answer is bad if it failed or took several times the old
 * version's median.
 */
RolloutVerdict
CompareVersions(const EvidenceCells& aCells);

} // namespace skylarkwing::rollout
