// Which member gets a pool, and when a pool moves.
#include "pools/owner_ranking.h"

#include <boost/test/unit_test.hpp>

namespace apricotwheel {
namespace {

using std::chrono::seconds;

owner_candidate MakeCandidate(const std::string& id, std::int64_t milli,
                              std::size_t other_pools = 0) {
  owner_candidate candidate;
  candidate.id = id;
  candidate.capacity.processor_milli = milli;
  candidate.other_pools = other_pools;
  return candidate;
}

std::vector<std::string> IdsOf(const std::vector<owner_candidate>& ranked) {
  std::vector<std::string> ids;
  for (const auto& candidate : ranked) ids.push_back(candidate.id);
  return ids;
}

// Guards against a pool on a VM that cannot carry it: the order of the members
// was a hash of their ids.
BOOST_AUTO_TEST_CASE(the_largest_member_ranks_first_for_every_pool) {
  std::vector<owner_candidate> members;
  for (int i = 0; i < 40; ++i) {
    members.push_back(MakeCandidate("small-" + std::to_string(i), 120));
  }
  members.push_back(MakeCandidate("large", 500));
  for (int i = 0; i < 50; ++i) {
    const std::string pool = "pool-" + std::to_string(i);
    BOOST_TEST(RankForElection(pool, members).front().id == "large");
    BOOST_TEST(RankSuccessors(pool, members).front().id == "large");
  }
}

// Guards against two pools on one VM while another is as good, and against a
// pool on a small VM because a much larger one has a pool already.
BOOST_AUTO_TEST_CASE(pools_spread_over_members_of_one_size) {
  const std::vector<owner_candidate> members = {
      MakeCandidate("large-1", 500, 1), MakeCandidate("small", 120),
      MakeCandidate("large-2", 500)};
  const std::vector<std::string> expected = {"large-2", "large-1", "small"};
  BOOST_TEST(IdsOf(RankForElection("pool", members)) == expected);
  BOOST_TEST(IdsOf(RankSuccessors("pool", members)) == expected);
}

// Guards against a rolling restart that meets a pool again and again: among
// equal members the one that joined last is restarted last.
BOOST_AUTO_TEST_CASE(equal_successors_are_ordered_by_their_time_of_joining) {
  std::vector<owner_candidate> members;
  for (const std::uint64_t revision : {3, 9, 5}) {
    members.push_back(MakeCandidate("m" + std::to_string(revision), 250));
    members.back().joined_revision = revision;
  }
  const std::vector<std::string> expected = {"m9", "m5", "m3"};
  BOOST_TEST(IdsOf(RankSuccessors("pool", members)) == expected);
}

// Guards against an overloaded VM that gets the pool back at once.
BOOST_AUTO_TEST_CASE(an_overloaded_member_ranks_after_those_of_its_size) {
  auto slow = MakeCandidate("slow", 500);
  slow.capacity.is_overloaded = true;
  const std::vector<owner_candidate> members = {
      slow, MakeCandidate("equal", 500), MakeCandidate("tiny", 50)};
  const std::vector<std::string> expected = {"equal", "slow", "tiny"};
  BOOST_TEST(IdsOf(RankForElection("pool", members)) == expected);
}

// Guards against a failover that asks small members while large ones are there,
// and one that always asks the same of several equal ones.
BOOST_AUTO_TEST_CASE(comparable_members_have_more_than_half_the_processor) {
  const std::vector<owner_candidate> ranked = {
      MakeCandidate("a", 500), MakeCandidate("b", 400), MakeCandidate("c", 250),
      MakeCandidate("d", 120)};
  BOOST_TEST(CountComparable(ranked) == 2U);
  BOOST_TEST(CountComparable({}) == 0U);
  const std::vector<owner_candidate> unknown(3, MakeCandidate("old", 0));
  BOOST_TEST(CountComparable(unknown) == 3U);
}

// Guards against a pool that stays vacant for seconds because there are many
// members: with 42 the last waited 4.9 s.
BOOST_AUTO_TEST_CASE(election_delays_rise_and_are_bounded) {
  BOOST_TEST((ElectionDelay(0) == duration::zero()));
  BOOST_TEST((ElectionDelay(1) >= milliseconds(100)));
  for (std::size_t rank = 1; rank < 42; ++rank) {
    BOOST_TEST((ElectionDelay(rank) > ElectionDelay(rank - 1)));
  }
  BOOST_TEST((ElectionDelay(1000) <= milliseconds(1500)));
}

// Guards against members that reject the records of other versions in a rolling
// change.
BOOST_AUTO_TEST_CASE(capacities_of_other_versions_are_accepted) {
  const member_capacity capacity{120, true};
  const auto copy =
      Attempt([&] { return DecodeCapacity(EncodeCapacity(capacity)); });
  BOOST_TEST((copy && *copy == capacity));
  const auto later = Attempt([] {
    return DecodeCapacity(R"({"processor_milli": 500, "memory_mib": 160})");
  });
  BOOST_TEST((later && *later == member_capacity{500, false}));
  BOOST_TEST(!Attempt([] { return DecodeCapacity("{}"); }));
  BOOST_TEST(!Attempt([] { return DecodeCapacity("500"); }));
}

}  // namespace
}  // namespace apricotwheel
