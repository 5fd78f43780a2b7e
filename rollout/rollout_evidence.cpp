#include "rollout/rollout_evidence.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>

namespace skylarkwing::rollout {

namespace {

constexpr double kBucketRatio = 1.25;
/** Upper end of the first bucket; shorter times differ by the scheduling of this process. */
constexpr double kFirstBucketMs = 0.3;

/** An answer this many buckets above the median is bad: 2.4 to 3 times as long. */
constexpr std::uint32_t kSlowBuckets = 4;

/** Answers of the old version that give a median. */
constexpr std::uint32_t kMinBaseAnswers = 10;

/** Least bad answers for a verdict. */
constexpr double kMinBadAnswers = 5.0;

/** Standard deviations above the expected number; the test runs a few times per second. */
constexpr double kMinScore = 4.0;

/** Least ratio of the two versions' shares of bad answers. */
constexpr double kMinRatio = 2.5;

/**
 * Without the answers of any one failure domain, the rest must agree to this degree: otherwise one
 * slow new replica would condemn its version.
 */
constexpr double kMinScoreOfRest = 2.0;

/**
 * Least share of the new version's answers that have some of the old one in their stratum. Below it
 * the domains are compared together: the versions run in different ones, or answers are few.
 */
constexpr double kMinComparable = 0.9;

struct Stratum
{
  double targetBad = 0.0;
  double target = 0.0;
  double baseBad = 0.0;
  double base = 0.0;
};

/** Which cells are compared, and how they are grouped. */
struct Selection
{
  std::optional<std::string> route;
  /** Failure domain whose answers of the new version are left out. */
  std::optional<std::string> leftOut;
  /** Whether the domains are compared one by one. */
  bool byDomain = true;
};

struct Score
{
  double bad = 0.0;
  double expected = 0.0;
  double variance = 0.0;
  /** Mantel-Haenszel estimate of the ratio of bad answers: numerator and denominator. */
  double targetWeight = 0.0;
  double baseWeight = 0.0;
  /** Answers of the new version that have some of the old one in their stratum. */
  double comparable = 0.0;
  double total = 0.0;

  double Value() const { return variance > 0.0 ? (bad - expected) / std::sqrt(variance) : 0.0; }
};

using GroupKey = std::pair<std::string, std::string>;

GroupKey
GroupOf(const EvidenceKey& aKey, const Selection& aSelection)
{
  return { aKey.route, aSelection.byDomain ? aKey.domain : std::string() };
}

/** @return by group, the bucket above which an answer is bad. */
std::map<GroupKey, std::uint32_t>
SlowFrom(const EvidenceCells& aCells, const Selection& aSelection)
{
  std::map<GroupKey, EvidenceCell> base;
  for (const auto& [key, cell] : aCells) {
    if (key.side == VersionSide::Base) {
      base[GroupOf(key, aSelection)].Add(cell);
    }
  }
  std::map<GroupKey, std::uint32_t> slow;
  for (auto& [group, cell] : base) {
    cell.failures = 0;
    const std::uint32_t count = cell.Count();
    std::uint32_t seen = 0;
    for (const auto& [bucket, n] : cell.times) {
      seen += n;
      if (count >= kMinBaseAnswers && 2 * seen >= count) {
        slow[group] = bucket + kSlowBuckets;
        break;
      }
    }
  }
  return slow;
}

double
CountBad(const EvidenceCell& aCell, std::optional<std::uint32_t> aSlowFrom)
{
  double bad = aCell.failures;
  for (const auto& [bucket, n] : aCell.times) {
    bad += aSlowFrom && bucket > *aSlowFrom ? n : 0;
  }
  return bad;
}

Score
ScoreOf(const EvidenceCells& aCells, const Selection& aSelection)
{
  const auto slowFrom = SlowFrom(aCells, aSelection);
  std::map<std::tuple<std::string, std::string, std::uint32_t>, Stratum> strata;
  for (const auto& [key, cell] : aCells) {
    const bool isTarget = key.side == VersionSide::Target;
    if ((aSelection.route && key.route != *aSelection.route) ||
        (isTarget && aSelection.leftOut && key.domain == *aSelection.leftOut)) {
      continue;
    }
    const GroupKey group = GroupOf(key, aSelection);
    const auto slow = slowFrom.find(group);
    const double bad =
      CountBad(cell, slow == slowFrom.end() ? std::nullopt : std::optional(slow->second));
    Stratum& stratum = strata[{ group.first, group.second, key.slice }];
    (isTarget ? stratum.targetBad : stratum.baseBad) += bad;
    (isTarget ? stratum.target : stratum.base) += cell.Count();
  }
  Score score;
  for (const auto& [key, stratum] : strata) {
    const double n = stratum.target + stratum.base;
    score.total += stratum.target;
    if (stratum.target == 0.0 || stratum.base == 0.0) {
      continue;
    }
    const double bad = stratum.targetBad + stratum.baseBad;
    score.comparable += stratum.target;
    score.bad += stratum.targetBad;
    score.expected += bad * stratum.target / n;
    score.variance +=
      stratum.target * stratum.base * bad * (n - bad) / (n * n * std::max(1.0, n - 1.0));
    score.targetWeight += stratum.targetBad * stratum.base / n;
    score.baseWeight += stratum.baseBad * stratum.target / n;
  }
  return score;
}

bool
IsBad(const Score& aScore)
{
  return aScore.bad >= kMinBadAnswers && aScore.Value() >= kMinScore &&
         aScore.targetWeight >= kMinRatio * aScore.baseWeight;
}

/** @return whether the new version is also worse without each one of its failure domains. */
bool
IsWorseWithoutAnyDomain(const EvidenceCells& aCells, Selection aSelection)
{
  std::set<std::string> domains;
  for (const auto& [key, cell] : aCells) {
    if (key.side == VersionSide::Target && (!aSelection.route || key.route == *aSelection.route)) {
      domains.insert(key.domain);
    }
  }
  return domains.size() < 2 ||
         std::all_of(domains.begin(), domains.end(), [&](const std::string& aDomain) {
           aSelection.leftOut = aDomain;
           return ScoreOf(aCells, aSelection).Value() >= kMinScoreOfRest;
         });
}

} // namespace

void
EvidenceCell::Add(const EvidenceCell& aOther)
{
  failures += aOther.failures;
  for (const auto& [bucket, n] : aOther.times) {
    times[bucket] += n;
  }
}

void
EvidenceCell::Subtract(const EvidenceCell& aOther)
{
  failures -= std::min(failures, aOther.failures);
  for (const auto& [bucket, n] : aOther.times) {
    std::uint32_t& own = times[bucket];
    own -= std::min(own, n);
  }
}

std::uint32_t
EvidenceCell::Count() const
{
  std::uint32_t count = failures;
  for (const auto& [bucket, n] : times) {
    count += n;
  }
  return count;
}

std::uint32_t
TimeBucket(core::Duration aTime)
{
  const double ms = std::chrono::duration<double, std::milli>(aTime).count();
  if (ms <= kFirstBucketMs) {
    return 0;
  }
  const double bucket = std::ceil(std::log(ms / kFirstBucketMs) / std::log(kBucketRatio));
  return static_cast<std::uint32_t>(std::min<double>(bucket, kMaxTimeBucket));
}

void
RolloutEvidence::Add(const std::string& aVm,
                     const EvidenceKey& aKey,
                     bool aHasFailed,
                     core::Duration aTime)
{
  for (EvidenceCell* cell : { &mByVm[aVm][aKey], &mTotals[aKey] }) {
    if (aHasFailed) {
      ++cell->failures;
    } else {
      ++cell->times[TimeBucket(aTime)];
    }
  }
  ++(aKey.side == VersionSide::Target ? mTargetAnswers : mBaseAnswers);
}

void
RolloutEvidence::Replace(const std::string& aVm, const EvidenceCells& aCells)
{
  EvidenceCells& known = mByVm[aVm];
  for (const auto& [key, cell] : aCells) {
    EvidenceCell& previous = known[key];
    EvidenceCell& total = mTotals[key];
    total.Subtract(previous);
    total.Add(cell);
    std::uint64_t& answers = key.side == VersionSide::Target ? mTargetAnswers : mBaseAnswers;
    answers += cell.Count();
    answers -= previous.Count();
    previous = cell;
  }
}

EvidenceCells
RolloutEvidence::CellsSince(const std::string& aVm, std::uint32_t aSlice) const
{
  EvidenceCells cells;
  const auto known = mByVm.find(aVm);
  if (known != mByVm.end()) {
    std::copy_if(known->second.begin(),
                 known->second.end(),
                 std::inserter(cells, cells.end()),
                 [aSlice](const auto& aEntry) { return aEntry.first.slice >= aSlice; });
  }
  return cells;
}

RolloutVerdict
CompareVersions(const EvidenceCells& aCells)
{
  std::set<std::optional<std::string>> routes{ std::nullopt };
  for (const auto& [key, cell] : aCells) {
    routes.insert(key.route);
  }
  RolloutVerdict verdict;
  for (const auto& route : routes) {
    Selection selection{ route, std::nullopt, true };
    Score score = ScoreOf(aCells, selection);
    if (score.comparable < kMinComparable * score.total) {
      selection.byDomain = false;
      score = ScoreOf(aCells, selection);
    }
    if (IsBad(score) && IsWorseWithoutAnyDomain(aCells, selection)) {
      return { true, route.value_or(""), score.bad, score.expected, score.Value() };
    }
    if (score.Value() > verdict.score) {
      verdict = { false, route.value_or(""), score.bad, score.expected, score.Value() };
    }
  }
  return verdict;
}

} // namespace skylarkwing::rollout
