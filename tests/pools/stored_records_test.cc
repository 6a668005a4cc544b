#include <boost/test/unit_test.hpp>

#include "pools/job_journal.h"
#include "pools/pool_calls.h"
#include "tests/graph/scheduler_rig.h"
#include "tests/pools/fake_store.h"

// Pins the records and requests of version 0.1.0 at commit 7d31ab4. Daemons of
// one cell may run different builds, and the next owner of a pool reads the
// records of the previous one, so each text must decode and encode to the same
// bytes.

namespace apricotwheel {
namespace {

using testing::fake_store;
using testing::MakeJob;
using testing::MakeStep;
using testing::RunsAt;

const std::string kOwnerKey = "owners/pool";

const std::string kSubmission =
    R"~({"accepted_at_ms":1700000000123,"id":"job","payload":"payload of job","queue":{"advisor":{"decision_us":4000,"per_worker_us":250,"ticket_lifetime_ms":1500},"max_attempts":3,"name":"queue","pool":"pool","priority":1,"slowdown_limit":2.0,"target_ms":1000},"schedule":{"first_run_ms":1700000001000,"interval_ms":60000,"repetitions":2},"steps":[{"checkpoints":true,"cpu_milli":1000,"data_rack":"rack-1","estimate_ms":1000,"image":"image","max_per_worker":3,"may_duplicate":true,"memory_mib":1024,"required_label":"label","tasks":2,"uses_leftover":true},{"accelerators":2,"after":[0],"cpu_milli":2000,"disruption_budget":1,"estimate_ms":1000,"gang":true,"latency_target_ms":250,"memory_mib":2048,"one_rack":true,"service":true,"tasks":3}]})~";
const std::string kProgress =
    R"~({"occurrences":[[{"done":"01","failed_runs":[[0,[4294967297,4294967299]]]},{"done":"000"}],[{"done":"00"},{"done":"000","failed_runs":[[0,[7]]]}]],"started":true,"state":"active"})~";
const std::string kFinalProgress =
    R"~({"occurrences":[],"started":true,"state":"cancelled"})~";
const std::string kJournal =
    R"~({"number":41,"tenure":7,"writer":"previous"})~";
const std::string kWorkers =
    R"~({"worker-1":"127.0.0.1:7001","worker-2":"127.0.0.1:7002"})~";
const std::string kResponse =
    R"~({"answer":5,"count":3,"reason":"reason","retry_after_ms":1000,"state":"active"})~";
const std::string kReference = R"~({"name":"job","pool":"pool"})~";
const std::string kTake =
    R"~({"epoch":12,"only_if_quick":true,"pool":"pool"})~";
const std::string kOwner =
    R"~({"address":"127.0.0.1:7003","epoch":12,"member":"member"})~";

// A job with all fields set.
job_submission FullJob() {
  graph_step first = MakeStep(2, {1000, 1024, 0});
  first.required_label = "label";
  first.data_rack = "rack-1";
  first.max_per_worker = 3;
  first.image = "image";
  first.checkpoints = true;
  first.may_duplicate = true;
  first.uses_leftover = true;
  graph_step second = MakeStep(3, {2000, 2048, 2}, {0});
  second.is_gang = true;
  second.one_rack = true;
  second.is_service = true;
  second.latency_target_ms = 250;
  second.has_disruption_budget = true;
  second.disruption_budget = 1;
  job_submission job = MakeJob("job", {first, second});
  job.accepted_at_ms = 1700000000123;
  job.queue.advisor = advisor_settings{4000, 250, milliseconds(1500)};
  job.graph.schedule = {2, 1700000001000, 60000};
  return job;
}

job_progress FullProgress() {
  job_progress progress = InitialProgress(FullJob().graph);
  progress.state = job_state::kActive;
  progress.has_started = true;
  progress.occurrences[0][0].done[1] = true;
  progress.occurrences[0][0].failed_runs[0] = {4294967297, 4294967299};
  progress.occurrences[1][1].failed_runs[0] = {7};
  return progress;
}

job_progress FinalProgress() {
  job_progress progress = FullProgress();
  progress.state = job_state::kCancelled;
  return progress;
}

// The journal of an owner, with a store that holds the records above.
struct rig {
  fake_store store;
  std::unique_ptr<kv_client> kv = store.Client();
  pool_metrics metrics{std::make_shared<prometheus::Registry>()};
  std::unique_ptr<job_journal> journal;

  rig() {
    store.Put("apricotwheel/jobs/pool/job", kSubmission);
    store.Put("apricotwheel/progress/pool/job", kProgress);
    store.Put("apricotwheel/progress/pool/ended", kFinalProgress);
    store.Put("apricotwheel/journals/pool", kJournal);
    store.Put("apricotwheel/rosters/pool", kWorkers);
    job_journal_options options;
    options.pool = "pool";
    options.owner_key = kOwnerKey;
    options.epoch = store.Put(kOwnerKey, "member");
    options.writer = "member";
    options.kv = kv.get();
    options.metrics = &metrics;
    options.clock = runtime_clock::Running();
    job_journal::callbacks callbacks;
    callbacks.take_progress = [] { return progress_batch(); };
    callbacks.on_progress_stored = [](const progress_batch&) {};
    callbacks.on_progress_failed = [](const progress_batch&) {};
    callbacks.on_job_accepted = [](const job_submission&) {};
    callbacks.on_superseded = [] {};
    journal = std::make_unique<job_journal>(options, callbacks);
  }
  ~rig() { journal->Stop(); }
};

BOOST_AUTO_TEST_CASE(job_records_encode_as_before) {
  BOOST_TEST(EncodeSubmission(FullJob()) == kSubmission);
  BOOST_TEST(EncodeProgress(FullProgress()) == kProgress);
  BOOST_TEST(EncodeProgress(FinalProgress()) == kFinalProgress);
}

BOOST_AUTO_TEST_CASE(job_records_decode_without_loss) {
  const auto job = Attempt([] { return DecodeSubmission(kSubmission); });
  BOOST_REQUIRE(job);
  BOOST_TEST(EncodeSubmission(*job) == kSubmission);
  const auto progress =
      Attempt([&] { return DecodeProgress(kProgress, job->graph); });
  BOOST_REQUIRE(progress);
  BOOST_TEST(EncodeProgress(*progress) == kProgress);
  BOOST_TEST(RunsAt(progress->occurrences[0][0].crashed_runs, 0).empty());
  BOOST_TEST(RunsAt(progress->occurrences[0][0].excused_runs, 0).empty());
  const auto state =
      Attempt([] { return DecodeProgressState(kFinalProgress); });
  BOOST_REQUIRE(state);
  BOOST_TEST((*state == job_state::kCancelled));
}

BOOST_AUTO_TEST_CASE(a_successor_reads_the_records_of_a_pool) {
  rig successor;
  const auto contents = Attempt([&] { return successor.journal->Load(); });
  BOOST_REQUIRE(contents);
  BOOST_TEST(contents->tenure == 8);
  BOOST_REQUIRE_EQUAL(contents->jobs.size(), 1);
  BOOST_TEST(EncodeSubmission(contents->jobs[0].submission) == kSubmission);
  BOOST_TEST(EncodeProgress(contents->jobs[0].progress) == kProgress);
  BOOST_REQUIRE_EQUAL(contents->finished.size(), 1);
  BOOST_TEST(contents->finished[0].first == "ended");
  BOOST_TEST((contents->finished[0].second == job_state::kCancelled));
  BOOST_REQUIRE_EQUAL(contents->workers.size(), 2);
  BOOST_TEST(contents->workers.at("worker-1") == "127.0.0.1:7001");
  BOOST_TEST(contents->workers.at("worker-2") == "127.0.0.1:7002");
}

BOOST_AUTO_TEST_CASE(an_owner_stores_its_records_as_before) {
  rig owner;
  BOOST_REQUIRE(Attempt([&] { return owner.journal->Load(); }));
  BOOST_TEST(owner.store.Value("apricotwheel/journals/pool") ==
             R"({"number":0,"tenure":8,"writer":"member"})");
  BOOST_REQUIRE(Attempt([&] { return owner.journal->Start(); }));
  const auto deadline =
      runtime_clock::Running()->Now() + duration(std::chrono::seconds(5));
  BOOST_TEST(owner.journal->StoreWorkerList(
      {{"worker-1", "127.0.0.1:7001"}, {"worker-2", "127.0.0.1:7002"}},
      deadline));
  BOOST_TEST(owner.store.Value("apricotwheel/rosters/pool") == kWorkers);
  job_submission job = FullJob();
  job.id = "next";
  BOOST_TEST((owner.journal->Submit(job, deadline) == submit_outcome::kStored));
  BOOST_TEST(owner.store.Value("apricotwheel/jobs/pool/next") ==
             EncodeSubmission(job));
}

BOOST_AUTO_TEST_CASE(calls_between_daemons_encode_as_before) {
  job_call_response response;
  response.status = job_call_status::kState;
  response.state = job_state::kActive;
  response.count = 3;
  response.retry_after_ms = 1000;
  response.reason = "reason";
  BOOST_TEST(EncodeResponse(response) == kResponse);
  BOOST_TEST(EncodeReference({"pool", "job"}) == kReference);
  BOOST_TEST(EncodeTakeover({"pool", 12, true}) == kTake);
  BOOST_TEST(EncodeOwner({"member", 12, "127.0.0.1:7003"}) == kOwner);
  BOOST_TEST(kSubmitTopic == "submit");
  BOOST_TEST(kStateTopic == "state");
  BOOST_TEST(kCancelTopic == "cancel");
  BOOST_TEST(kPendingTopic == "pending");
  BOOST_TEST(kApprovalTopic == "advise");
  BOOST_TEST(kTakeoverTopic == "take");
  BOOST_TEST(kOwnerTopic == "owner");
}

BOOST_AUTO_TEST_CASE(calls_between_daemons_decode_without_loss) {
  const auto response = Attempt([] { return DecodeResponse(kResponse); });
  BOOST_REQUIRE(response);
  BOOST_TEST(EncodeResponse(*response) == kResponse);
  const auto reference = Attempt([] { return DecodeReference(kReference); });
  BOOST_REQUIRE(reference);
  BOOST_TEST(EncodeReference(*reference) == kReference);
  const auto take = Attempt([] { return DecodeTakeover(kTake); });
  BOOST_REQUIRE(take);
  BOOST_TEST(EncodeTakeover(*take) == kTake);
  const auto owner = Attempt([] { return DecodeOwner(kOwner); });
  BOOST_REQUIRE(owner);
  BOOST_TEST(EncodeOwner(*owner) == kOwner);
}

}  // namespace
}  // namespace apricotwheel
