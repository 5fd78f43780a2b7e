#include "bench/naive_reference.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace skylarkwing::bench {

namespace {

using nlohmann::json;

const json kSearch = { { "kind", "kind-1" } };

/** A reference with two snapshots and its correct answers. */
struct ReferenceFixture
{
  NaiveReference reference;

  ReferenceFixture()
  {
    reference.AddSnapshot("catalogue", 1, 4);
    reference.AddSnapshot("catalogue", 2, 8);
  }

  /** @return the correct answer of a snapshot without the missing shards. */
  json Answer(std::uint64_t aSnapshot, const std::vector<std::uint32_t>& aMissing = {}) const
  {
    const std::vector<json> shards = reference.Answer("catalogue", aSnapshot, kSearch);
    json hits = json::array();
    for (std::uint32_t shard = 0; shard < shards.size(); ++shard) {
      if (std::find(aMissing.begin(), aMissing.end(), shard) == aMissing.end()) {
        hits.insert(hits.end(), shards[shard].begin(), shards[shard].end());
      }
    }
    return { { "hits", hits },
             { "snapshot", aSnapshot },
             { "coverage",
               { { "answered", shards.size() - aMissing.size() },
                 { "total", shards.size() },
                 { "missing", aMissing } } },
             { "complete", aMissing.empty() } };
  }

  AnswerFault Check(const json& aAnswer) const
  {
    return reference.Check("catalogue", kSearch, aAnswer);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(NaiveReferenceTest, ReferenceFixture)

BOOST_AUTO_TEST_CASE(AcceptsCompleteAndPartialAnswers)
{
  BOOST_TEST(!Answer(1)["hits"].empty());
  BOOST_TEST((Check(Answer(1)) == AnswerFault::None));
  BOOST_TEST((Check(Answer(2, { 3, 5 })) == AnswerFault::None));
}

BOOST_AUTO_TEST_CASE(DetectsHitsOfAnotherSnapshot)
{
  json answer = Answer(1);
  answer["hits"].push_back(Answer(2)["hits"][0]);
  BOOST_TEST((Check(answer) == AnswerFault::MixedSnapshots));
}

BOOST_AUTO_TEST_CASE(DetectsAnUnknownSnapshot)
{
  json answer = Answer(1);
  answer["snapshot"] = 3;
  BOOST_TEST((Check(answer) == AnswerFault::MixedSnapshots));
}

BOOST_AUTO_TEST_CASE(DetectsCoverageThatCountsAnIncompleteShard)
{
  json answer = Answer(1);
  const json expected = reference.Answer("catalogue", 1, kSearch);
  answer["hits"].erase(0);
  BOOST_TEST((Check(answer) == AnswerFault::FalseCoverage));
}

BOOST_AUTO_TEST_CASE(DetectsContradictoryCoverage)
{
  json answer = Answer(1, { 2 });
  answer["complete"] = true;
  BOOST_TEST((Check(answer) == AnswerFault::FalseCoverage));
  answer = Answer(1, { 2 });
  answer["coverage"]["total"] = 3;
  BOOST_TEST((Check(answer) == AnswerFault::FalseCoverage));
}

BOOST_AUTO_TEST_CASE(DetectsDuplicateAndUnknownHits)
{
  json answer = Answer(1);
  answer["hits"].push_back(answer["hits"][0]);
  BOOST_TEST((Check(answer) == AnswerFault::WrongHits));
  answer = Answer(1);
  answer["hits"].push_back({ { "id", "catalogue/1/0/999" } });
  BOOST_TEST((Check(answer) == AnswerFault::WrongHits));
  answer = Answer(1);
  answer["hits"][0]["score"] = 2.0;
  BOOST_TEST((Check(answer) == AnswerFault::WrongHits));
}

BOOST_AUTO_TEST_CASE(DetectsMalformedAnswers)
{
  BOOST_TEST((Check(json::object()) == AnswerFault::Malformed));
  BOOST_TEST((Check(json(nullptr)) == AnswerFault::Malformed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::bench
