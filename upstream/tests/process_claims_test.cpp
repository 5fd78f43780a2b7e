// Several entries that name one process: which of them gets the requests.

#include "upstream/process_claims.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace skylarkwing::upstream {

namespace {

constexpr std::uint64_t kStart = 1700000000000;

AnnouncedReplica
MakeReplica(const std::string& aId, const std::string& aAddress, std::uint64_t aStart = kStart)
{
  AnnouncedReplica replica;
  replica.id = aId;
  replica.address = aAddress;
  replica.startedAt = aStart;
  return replica;
}

} // namespace

BOOST_AUTO_TEST_SUITE(process_claims)

BOOST_AUTO_TEST_CASE(a_copied_entry_is_used_after_the_one_that_is_kept_up_to_date)
{
  const ProcessClaim own{ "i-1", 7, false, false };
  const ProcessClaim copy{ "a", 6, false, false };
  BOOST_TEST(IsLikelier(own, copy));
  BOOST_TEST(!IsLikelier(copy, own));
}

BOOST_AUTO_TEST_CASE(what_the_process_has_answered_goes_before_what_entries_say)
{
  const ProcessClaim confirmed{ "i-1", 1, true, false };
  const ProcessClaim newer{ "z", 9, false, false };
  const ProcessClaim refuted{ "z", 9, false, true };
  const ProcessClaim unknown{ "i-1", 1, false, false };
  BOOST_TEST(IsLikelier(confirmed, newer));
  BOOST_TEST(IsLikelier(unknown, refuted));
  BOOST_TEST(!IsLikelier(refuted, unknown));
}

BOOST_AUTO_TEST_CASE(exactly_one_of_several_equal_claims_is_used)
{
  const std::vector<ProcessClaim> claims{ { "b", 1, false, false },
                                          { "a", 1, false, false },
                                          { "c", 1, false, false } };
  const auto isFirst = [&claims](const ProcessClaim& aClaim) {
    return std::none_of(claims.begin(), claims.end(), [&aClaim](const ProcessClaim& aOther) {
      return IsLikelier(aOther, aClaim);
    });
  };
  BOOST_TEST(std::count_if(claims.begin(), claims.end(), isFirst) == 1);
}

BOOST_AUTO_TEST_CASE(only_entries_of_one_process_are_compared)
{
  ProcessClaims claims;
  const AnnouncedReplica own = MakeReplica("own", "10.0.0.1:80");
  const AnnouncedReplica copy = MakeReplica("copy", "10.0.0.1:80");
  const AnnouncedReplica later = MakeReplica("later", "10.0.0.1:80", kStart + 1);
  const AnnouncedReplica elsewhere = MakeReplica("elsewhere", "10.0.0.2:80");
  for (const AnnouncedReplica& replica : { copy, own, later, elsewhere }) {
    claims.Add(replica);
  }
  const auto claimOf = [](const std::string& aId) {
    return ProcessClaim{ aId, 1, aId == "own", false };
  };
  // Repeated, because a check may change the order of the entries.
  for (int n = 0; n < 2; ++n) {
    BOOST_TEST(claims.IsLikelyCopy(copy, claimOf));
    BOOST_TEST(!claims.IsLikelyCopy(own, claimOf));
    BOOST_TEST(!claims.IsLikelyCopy(later, claimOf));
    BOOST_TEST(!claims.IsLikelyCopy(elsewhere, claimOf));
  }
  claims.Remove(own);
  claims.Remove(MakeReplica("unknown", "10.0.0.1:80"));
  BOOST_TEST(!claims.IsLikelyCopy(copy, claimOf));
}

BOOST_AUTO_TEST_CASE(an_address_that_is_used_again_does_not_keep_its_new_replica_from_requests)
{
  // Without a start, an entry that has not been removed yet looks like a copy.
  ProcessClaims claims;
  const AnnouncedReplica gone = MakeReplica("gone", "10.0.0.1:80", 0);
  const AnnouncedReplica added = MakeReplica("added", "10.0.0.1:80", 0);
  claims.Add(gone);
  claims.Add(added);
  const auto claimOf = [](const std::string& aId) {
    return ProcessClaim{ aId, 1, aId == "gone", false };
  };
  BOOST_TEST(!claims.IsLikelyCopy(added, claimOf));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace skylarkwing::upstream
