#include <boost/test/unit_test.hpp>

#include "tests/cluster/test_cell.h"

namespace apricotwheel {
namespace {

duration MeasureTime(const std::function<void()>& work) {
  const auto clock = runtime_clock::Running();
  const auto start = clock->Now();
  work();
  return clock->Now() - start;
}

time_point DeadlineIn(duration span) {
  return runtime_clock::Running()->Now() + span;
}

// The responses to writes are lost. The daemon must find out that its
// assignment was written: writing it again would raise the epochs twice.
BOOST_FIXTURE_TEST_CASE(a_lost_reply_does_not_repeat_the_assignment,
                        cell_fixture) {
  const auto before = daemons[0]->manager->View()->owners;
  daemons.pop_back();
  kv->SetFaults({kv_outage::kNone, 0, 6});
  BOOST_REQUIRE(Eventually([&] { return HasConverged(); }));
  kv->SetFaults({});
  const auto after = daemons[0]->manager->View()->owners;
  for (const auto& [name, entry] : before.partitions) {
    const auto moved = entry.owner == "d2.1" ? 1U : 0U;
    BOOST_TEST(after.partitions.at(name).epoch == entry.epoch + moved, name);
  }
  const auto stored = writer->Get("apricotwheel/cluster/assignment").value();
  BOOST_TEST((DecodeAssignment(stored->value).value() == after));
}

// Every call to the key-value service takes 100 ms. No lease may be lost and no
// ownership may move.
BOOST_FIXTURE_TEST_CASE(a_slow_service_moves_no_ownership, cell_fixture) {
  const auto before = daemons[0]->manager->View()->owners;
  kv->SetFaults({kv_outage::kNone, 100, 0});
  for (int i = 0; i < 30; ++i) {
    std::this_thread::sleep_for(milliseconds(50));
    for (const auto& daemon : daemons) {
      BOOST_REQUIRE(daemon->manager->HoldsLease());
    }
  }
  BOOST_TEST((daemons[0]->manager->View()->owners == before));
  kv->SetFaults({});
}

// The key-value service accepts calls and does not respond. The daemons must
// notice that their leases expired, no ownership may move afterwards, and
// `Stop` must not wait for the hanging calls.
BOOST_FIXTURE_TEST_CASE(a_hanging_service_moves_no_ownership, cell_fixture) {
  const auto before = daemons[0]->manager->View()->owners;
  kv->SetFaults({kv_outage::kHang, 0, 0});
  BOOST_TEST(Eventually([&] { return !daemons[0]->manager->HoldsLease(); }));
  BOOST_TEST(
      Eventually([&] { return !daemons[0]->manager->Status().kv_reachable; }));
  BOOST_TEST((daemons[0]->manager->View()->owners == before));
  kv->SetFaults({});
  BOOST_REQUIRE(Eventually([&] { return HasConverged(); }));
  BOOST_TEST((daemons[0]->manager->View()->owners == before));
  kv->SetFaults({kv_outage::kHang, 0, 0});
  std::this_thread::sleep_for(milliseconds(300));
  BOOST_TEST(
      (MeasureTime([&] { daemons[1]->manager->Stop(); }) < milliseconds(1500)));
  kv->SetFaults({});
}

// `Stop` must not wait until the long poll of the watch returns.
BOOST_FIXTURE_TEST_CASE(a_stop_interrupts_the_watch, cell_fixture) {
  for (const auto& daemon : daemons) {
    BOOST_TEST(
        (MeasureTime([&] { daemon->manager->Stop(); }) < milliseconds(1000)));
  }
}

// The member record is deleted while the lease is valid. The daemon must write
// it again and rejoin the cell.
BOOST_FIXTURE_TEST_CASE(a_deleted_record_is_written_again, cell_fixture) {
  const std::string key = "apricotwheel/cluster/members/d1.1";
  for (int round = 0; round < 3; ++round) {
    const auto before = writer->Get(key).value()->revision;
    writer->Remove(key).value();
    BOOST_TEST(Eventually([&] {
      const auto record = writer->Get(key).value();
      return record && record->revision > before;
    }));
  }
  BOOST_TEST(Eventually([&] { return HasConverged(); }));
}

// A planned stop during an outage must fail by its deadline and end the lease,
// instead of hanging or reporting success.
BOOST_AUTO_TEST_CASE(hand_over_in_an_outage_ends_by_its_deadline) {
  for (const auto outage :
       {kv_outage::kRefuse, kv_outage::kClose, kv_outage::kHang}) {
    cell_fixture cell(2);
    auto& leaving = *cell.daemons[1]->manager;
    cell.kv->SetFaults({outage, 0, 0});
    const auto spent = MeasureTime([&] {
      const auto done = Attempt([&] {
        return leaving.HandOverOwnership(DeadlineIn(milliseconds(700)),
                                         nullptr);
      });
      BOOST_TEST(!done);
      BOOST_TEST((done.failure.kind == error_kind::kTimeout));
    });
    BOOST_TEST((spent < milliseconds(1200)));
    BOOST_TEST(!leaving.HoldsLease());
    cell.kv->SetFaults({});
    cell.daemons.pop_back();
    BOOST_TEST(Eventually([&] { return cell.HasConverged(); }));
  }
}

// Another writer changes the assignment while a hand-over is planned. The
// hand-over must not overwrite that change, and must plan again after the
// conflict.
BOOST_FIXTURE_TEST_CASE(hand_over_plans_again_after_a_conflict, cell_fixture) {
  auto& leaving = *daemons[2]->manager;
  const std::string key = "apricotwheel/cluster/assignment";
  int steps = 0;
  std::uint64_t raised = 0;
  const auto done = Attempt([&] {
    return leaving.HandOverOwnership(
        DeadlineIn(milliseconds(5000)), [&](const assignment&) {
          if (++steps > 1) return;
          auto stored =
              DecodeAssignment(writer->Get(key).value()->value).value();
          raised = stored.shards[0].epoch += 100;
          writer->Put(key, EncodeAssignment(stored)).value();
        });
  });
  BOOST_TEST(static_cast<bool>(done));
  BOOST_TEST(steps >= 2);
  const auto stored = DecodeAssignment(writer->Get(key).value()->value).value();
  BOOST_TEST(stored.shards[0].epoch >= raised);
  for (const auto& entry : stored.shards) BOOST_TEST(entry.owner != "d2.1");
  for (const auto& [name, entry] : stored.partitions) {
    BOOST_TEST(entry.owner != "d2.1");
  }
}

}  // namespace
}  // namespace apricotwheel
