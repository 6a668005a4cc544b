#include "placement/team_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace apricotwheel {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1)};

queue_entry Entry(const std::string& id, const std::string& team,
                  std::int64_t cpu, time_point enqueued,
                  priority_class priority = priority_class::kBatch) {
  return {id, team, priority, {cpu, 0, 0}, 1, "", enqueued};
}

team_queue Queue() {
  team_queue queue;
  queue.cell_capacity = {10'000, 10'000, 10};
  SetTeam(queue, "a", {4000, 4000, 4}, 1);
  SetTeam(queue, "b", {8000, 8000, 8}, 2);
  return queue;
}

std::string Next(team_queue& queue, time_point now) {
  const auto entry = TakeNext(queue, now);
  return entry ? entry->id : "";
}

// Guards against an order other than class, weighted dominant share, age.
BOOST_AUTO_TEST_CASE(order_is_class_then_share_then_age) {
  team_queue queue = Queue();
  Enqueue(queue, Entry("a-old", "a", 100, kStart));
  Enqueue(queue, Entry("b-new", "b", 100, kStart + seconds(1)));
  Enqueue(queue, Entry("a-urgent", "a", 100, kStart + seconds(2),
                       priority_class::kUrgent));
  Charge(queue, "a", {0, 0, 1});     // 10% of accelerators, weight 1.
  Charge(queue, "b", {1500, 0, 0});  // 15% of processors, weight 2.
  BOOST_TEST(!Enqueue(queue, Entry("a-old", "a", 1, kStart)));
  BOOST_TEST(Next(queue, kStart + seconds(3)) == "a-urgent");
  BOOST_TEST(Next(queue, kStart + seconds(3)) == "b-new");
  BOOST_TEST(Next(queue, kStart + seconds(3)) == "a-old");
  BOOST_TEST(Next(queue, kStart + seconds(3)).empty());
}

// Guards against a team over its quota, and against an entry over quota that
// blocks smaller ones or other teams. Compares random sequences of operations
// with the sum of the running entries.
BOOST_AUTO_TEST_CASE(quotas_are_exact) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    team_queue queue = Queue();
    random_source random{seed};
    time_point now = kStart;
    std::map<std::string, queue_entry> pending;
    std::map<std::string, queue_entry> running;
    const auto used = [&](const std::string& team) {
      resource_vector sum;
      for (const auto& [id, entry] : running) {
        if (entry.team == team) sum = sum + TotalNeed(entry);
      }
      return sum;
    };
    for (int step = 0; step < 500; ++step) {
      now += milliseconds(NextBelow(random, 2000));
      queue_entry entry =
          Entry("e" + std::to_string(step), NextBelow(random, 2) ? "a" : "b",
                static_cast<std::int64_t>(NextBelow(random, 1500)), now,
                static_cast<priority_class>(NextBelow(random, 3)));
      entry.parts = 1 + static_cast<std::uint32_t>(NextBelow(random, 3));
      pending[entry.id] = entry;
      Enqueue(queue, entry);
      while (NextBelow(random, 4) != 0) {
        const auto taken = TakeNext(queue, now);
        if (!taken) {
          for (const auto& [id, each] : pending) {
            BOOST_REQUIRE(!Fits(TotalNeed(each), queue.teams[each.team].quota -
                                                     used(each.team)));
          }
          break;
        }
        pending.erase(taken->id);
        running[taken->id] = *taken;
        ConfirmStarted(queue, taken->id);
        for (const auto& [name, team] : queue.teams) {
          BOOST_REQUIRE(Fits(used(name), team.quota));
          BOOST_REQUIRE((used(name) == team.used));
        }
      }
      if (!running.empty() && NextBelow(random, 2) == 0) {
        const queue_entry ended = running.begin()->second;
        running.erase(running.begin());
        Refund(queue, ended.team, TotalNeed(ended));
      }
    }
    BOOST_TEST(QueuedEntries(queue) == pending.size());
  }
}

// Guards against an entry that does not fit and blocks others, and against its
// starvation by a stream of small entries of a higher class.
BOOST_AUTO_TEST_CASE(blocked_entries_neither_block_nor_starve) {
  team_queue queue = Queue();
  random_source random{1};
  time_point now = kStart;
  Enqueue(queue, Entry("large", "b", 7000, now));
  int started = 0;
  int attempts = 0;
  bool reserved = false;
  for (int second = 1; second <= 3600 && !reserved; ++second) {
    now = kStart + seconds(second);
    Enqueue(queue, Entry("s" + std::to_string(second), "a", 10, now,
                         priority_class::kService));
    while (const auto taken = TakeNext(queue, now)) {
      if (taken->id == "large") {
        ++attempts;
        ReturnUnplaced(queue, taken->id, now, random);
      } else {
        ++started;
        ConfirmStarted(queue, taken->id);
        Refund(queue, taken->team, TotalNeed(*taken));
      }
    }
    const auto candidate = ReservationCandidate(queue, now);
    if (!candidate) continue;
    BOOST_TEST(candidate->id == "large");
    Reserve(queue, "large", {"vm-1"}, now);
    reserved = true;
    BOOST_TEST(started == second);
  }
  BOOST_TEST(reserved);
  BOOST_TEST(attempts > 5);
  BOOST_TEST(attempts < 30);
  const auto other = Entry("x", "a", 1, now);
  const auto urgent = Entry("y", "a", 1, now, priority_class::kUrgent);
  BOOST_TEST(ReservedForOthers(queue, other, now).size() == 1U);
  BOOST_TEST(ReservedForOthers(queue, urgent, now).empty());
  BOOST_TEST(
      ReservedForOthers(queue, Entry("large", "b", 7000, kStart), now).empty());
  BOOST_TEST(Next(queue, now) == "large");
  ConfirmStarted(queue, "large");
  BOOST_TEST(ReservedForOthers(queue, other, now).empty());
}

// Guards against an entry that stays in back-off although enough resources were
// released, and against the end of the back-off of entries that still do not
// fit.
BOOST_AUTO_TEST_CASE(released_resources_end_the_backoff_of_entries_that_fit) {
  team_queue queue = Queue();
  random_source random{1};
  Enqueue(queue, Entry("small", "a", 1000, kStart));
  Enqueue(queue, Entry("large", "b", 3000, kStart));
  for (int i = 0; i < 2; ++i) {
    ReturnUnplaced(queue, Next(queue, kStart), kStart, random);
  }
  BOOST_TEST(Next(queue, kStart).empty());
  EndBackoff(queue, {2000, 0, 0}, kStart);
  BOOST_TEST(Next(queue, kStart) == "small");
  BOOST_TEST(Next(queue, kStart).empty());
}

// Guards against starvation of a batch entry by a steady stream of urgent
// entries. Ageing must raise it above them.
BOOST_AUTO_TEST_CASE(old_batch_work_passes_young_urgent_work) {
  team_queue queue = Queue();
  Enqueue(queue, Entry("old", "a", 100, kStart));
  const time_point later = kStart + minutes(31);
  Enqueue(queue, Entry("urgent", "b", 100, later, priority_class::kUrgent));
  BOOST_TEST(Next(queue, later) == "old");
}

// Guards against a reservation that never expires, and against one entry that
// always gets it again while another one waits.
BOOST_AUTO_TEST_CASE(reservations_expire_and_take_turns) {
  team_queue queue = Queue();
  random_source random{1};
  Enqueue(queue, Entry("gang", "a", 1000, kStart));
  Enqueue(queue, Entry("single", "b", 3000, kStart + seconds(1)));
  time_point now = kStart + seconds(2);
  for (int i = 0; i < 2; ++i)
    ReturnUnplaced(queue, Next(queue, now), now, random);
  now += minutes(1);
  BOOST_TEST(ReservationCandidate(queue, now)->id == "gang");
  Reserve(queue, "gang", {"vm-1", "vm-2"}, now);
  BOOST_TEST(!ReservationCandidate(queue, now));
  now += minutes(3);
  BOOST_TEST(ReservedForOthers(queue, Entry("x", "a", 1, now), now).empty());
  BOOST_TEST(ReservationCandidate(queue, now)->id == "single");
  Reserve(queue, "single", {"vm-1"}, now);
  BOOST_TEST(RemoveEntry(queue, "single"));
  BOOST_TEST(!RemoveEntry(queue, "single"));
  BOOST_TEST(ReservationCandidate(queue, now)->id == "gang");
}

}  // namespace
}  // namespace apricotwheel
