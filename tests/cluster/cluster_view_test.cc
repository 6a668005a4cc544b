#include "cluster/cluster_view.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "kernel/random.h"

namespace apricotwheel {
namespace {

std::vector<member> Members(int count) {
  std::vector<member> all;
  for (int i = 0; i < count; ++i) {
    const auto name = "d" + std::to_string(i);
    all.push_back({name + ".0", name, "fd", "h", "p", false});
  }
  return all;
}

std::vector<std::string> Partitions(int count) {
  std::vector<std::string> all;
  for (int i = 0; i < count; ++i) all.push_back("fd/r" + std::to_string(i));
  return all;
}

// Removes one of 9 members. Only its partitions may change owner, and their
// number must be near an even share.
BOOST_AUTO_TEST_CASE(a_lost_member_moves_only_its_own_share) {
  const auto partitions = Partitions(900);
  auto members = Members(9);
  const auto before = PlanAssignment({}, members, partitions);
  members.erase(members.begin() + 4);
  const auto after = PlanAssignment(before, members, partitions);
  int moved = 0;
  for (const auto& [name, entry] : before.partitions) {
    const auto& next = after.partitions.at(name);
    if (entry.owner == next.owner) {
      BOOST_TEST(entry.epoch == next.epoch);
      continue;
    }
    ++moved;
    BOOST_TEST(entry.owner == "d4.0");
    BOOST_TEST(next.epoch == entry.epoch + 1);
  }
  BOOST_TEST(moved > 50);
  BOOST_TEST(moved < 150);
}

// A leaving member must keep its ownership until it hands it over, and must not
// gain any.
BOOST_AUTO_TEST_CASE(a_leaving_member_keeps_but_never_gains_ownership) {
  const auto partitions = Partitions(50);
  auto members = Members(3);
  const auto before = PlanAssignment({}, members, partitions);
  members[1].leaving = true;
  BOOST_TEST((PlanAssignment(before, members, partitions) == before));
  const auto fresh = PlanAssignment({}, members, partitions);
  for (const auto& [name, entry] : fresh.partitions) {
    BOOST_TEST(entry.owner != members[1].id);
  }
}

// Members join, leave and are marked as leaving at random, and the partition
// list changes. No epoch may decrease, and each change of owner must raise it.
BOOST_AUTO_TEST_CASE(epochs_never_decrease) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      random_source random{seed};
      assignment current;
      std::map<std::string, ownership> last_owned;
      for (int step = 0; step < 60; ++step) {
        auto members = Members(9);
        std::erase_if(members,
                      [&](auto&) { return NextBelow(random, 3) == 0; });
        for (auto& entry : members) entry.leaving = NextBelow(random, 6) == 0;
        auto partitions = Partitions(20);
        std::erase_if(partitions,
                      [&](auto&) { return NextBelow(random, 4) == 0; });
        const auto next = PlanAssignment(current, members, partitions);
        BOOST_TEST((PlanAssignment(next, members, partitions) == next));
        for (const auto& [name, entry] : current.partitions) {
          BOOST_REQUIRE(next.partitions.contains(name));
          BOOST_TEST(next.partitions.at(name).epoch >= entry.epoch);
        }
        for (const auto& [name, entry] : next.partitions) {
          if (entry.owner.empty()) continue;
          auto& last = last_owned[name];
          if (last.epoch == entry.epoch) BOOST_TEST(last.owner == entry.owner);
          BOOST_TEST(entry.epoch >= last.epoch);
          last = entry;
        }
        for (std::uint32_t i = 0; i < kShardCount; ++i) {
          const auto& old = current.shards[i];
          const auto& now = next.shards[i];
          BOOST_TEST(now.epoch >= old.epoch);
          if (!now.owner.empty() && now.owner != old.owner) {
            BOOST_TEST(now.epoch > old.epoch);
          }
        }
        current = next;
      }
    }
  }
}

// Records must be equal after encoding and decoding.
BOOST_AUTO_TEST_CASE(records_survive_a_round_trip) {
  const auto owners = PlanAssignment({}, Members(3), Partitions(10));
  BOOST_TEST((DecodeAssignment(EncodeAssignment(owners)).value() == owners));
  const member record{"a.1", "a", "fd\"1", "h:1", "p:2", true};
  BOOST_TEST((DecodeMember(EncodeMember(record)).value() == record));
}

// Truncated, extended or otherwise malformed records must be rejected, not read
// as empty or partial ones.
BOOST_AUTO_TEST_CASE(malformed_records_are_refused) {
  const auto fails = [](std::string_view text) {
    const auto owners = Attempt([&] { return DecodeAssignment(text); });
    const auto record = Attempt([&] { return DecodeMember(text); });
    return !owners && owners.failure.kind == error_kind::kCorrupt && !record &&
           record.failure.kind == error_kind::kCorrupt;
  };
  const auto good = nlohmann::json::parse(
      EncodeAssignment(PlanAssignment({}, Members(2), Partitions(2))));
  const auto text = good.dump();
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    BOOST_TEST(fails(text.substr(0, cut)), "cut at " << cut);
  }
  for (const auto* bad : {"[]", "null", "{}", "{\"partitions\":{}}", "\xff"}) {
    BOOST_TEST(fails(bad), bad);
  }
  BOOST_TEST(fails(text + "x"));
  BOOST_TEST(fails(R"({"partitions":{},"partitions":{},"shards":[]})"));
  const auto changed = [&](auto change) {
    auto copy = good;
    change(copy);
    return fails(copy.dump());
  };
  BOOST_TEST(changed([](auto& j) { j["extra"] = 1; }));
  BOOST_TEST(changed([](auto& j) { j["shards"].erase(0); }));
  BOOST_TEST(changed([](auto& j) { j["shards"][0]["epoch"] = -1; }));
  BOOST_TEST(changed([](auto& j) { j["shards"][0]["epoch"] = 1.5; }));
  BOOST_TEST(changed([](auto& j) { j["shards"][0]["epoch"] = 0; }));
  BOOST_TEST(changed([](auto& j) { j["shards"][0]["owner"] = 7; }));
  BOOST_TEST(changed([](auto& j) { j["partitions"]["fd/r0"] = "d0.0"; }));
}

// Keys must be spread evenly over all shards. The shard function must not
// change, because records of all daemons and of earlier releases depend on it.
BOOST_AUTO_TEST_CASE(shards_are_in_range_and_spread) {
  std::array<int, kShardCount> hits{};
  for (int i = 0; i < 3200; ++i) ++hits.at(ShardOf("key" + std::to_string(i)));
  BOOST_TEST(*std::min_element(hits.begin(), hits.end()) > 50);
  BOOST_TEST(*std::max_element(hits.begin(), hits.end()) < 150);
}

}  // namespace
}  // namespace apricotwheel
