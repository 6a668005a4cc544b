#include "pools/guest_exchange.h"

#include <utility>

#include "pools/partition_table.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

// A cancelled job has to end within 3 s in all partitions.
constexpr auto kExchangeInterval = milliseconds(500);
// A commit of the host, which the store delays.
constexpr auto kCallTimeout = milliseconds(1000);

}  // namespace

guest_exchange::guest_exchange(guest_exchange_options options)
    : options_(std::move(options)), signal_(options_.clock) {}

result<void> guest_exchange::Start() {
  return threads_.Spawn("pool-guests", [this] { Run(); });
}

void guest_exchange::Stop() {
  signal_.RequestStop();
  threads_.JoinAll();
}

void guest_exchange::Run() {
  while (!signal_.WaitFor(kExchangeInterval)) {
    for (const auto& [partition, owner] : options_.owners()) {
      auto others = options_.directory->Partitions().PartitionsOf(
          PoolOfPartition(partition));
      std::erase(others, partition);
      if (others.empty()) continue;
      EndGuests(*owner);
      RequestHosts(partition, *owner, others);
    }
  }
}

void guest_exchange::RequestHosts(const std::string& partition,
                                  pool_owner& owner,
                                  std::span<const std::string> others) {
  if (options_.directory->LoanSupport() == member_support::kAll) {
    owner.LendTasks(WithWorkers(others));
  }
  for (const task_loan& loan : owner.Loans()) {
    if (signal_.StopRequested()) return;
    const job_submission& job = loan.job;
    const job_call_response response =
        Call(loan.partition, kHostTopic, EncodeSubmission(job));
    if (response.status == job_call_status::kAccepted) continue;
    if (response.status == job_call_status::kState) {
      if (response.state == job_state::kActive) owner.OnLoanStarted(job.id);
      if (response.state == job_state::kFailed) owner.OnLoanFailed(job.id);
      continue;
    }
    Emit(options_.log, pool_events::kHostRefused,
         {Field("partition", partition), Field("target", loan.partition),
          Field("job", job.id), Field("tasks", job.guest->tasks.size()),
          Field("reason", response.reason)});
  }
}

std::vector<std::string> guest_exchange::WithWorkers(
    std::span<const std::string> partitions) const {
  std::vector<std::string> found;
  for (const std::string& partition : partitions) {
    if (options_.has_workers(partition)) found.push_back(partition);
  }
  return found;
}

void guest_exchange::EndGuests(pool_owner& owner) {
  for (const guest_job& guest : owner.GuestJobs()) {
    if (signal_.StopRequested()) return;
    if (HasEnded(guest.id, guest.home)) owner.EndGuest(guest.id);
  }
}

bool guest_exchange::HasEnded(const std::string& job_id,
                              const std::string& home) {
  const job_call_response response =
      Call(home, kStateTopic, EncodeReference({home, job_id}));
  if (response.status == job_call_status::kState) {
    return IsFinal(response.state);
  }
  // An owner that has been superseded may not know the job. A job without a
  // record has ended, and its state was deleted.
  const auto stored =
      Attempt([&] { return ReadStoredJobState(*options_.kv, home, job_id); });
  if (!stored) return false;
  return !*stored.value || IsFinal(**stored.value);
}

job_call_response guest_exchange::Call(const std::string& partition,
                                       std::string_view topic,
                                       std::string body) {
  job_call_response response;
  const auto owner = options_.directory->OwnerOf(partition);
  if (!owner) {
    response.reason = "the partition has no owner";
    return response;
  }
  wire_message message = MakePoolCall(topic, std::move(body));
  message.body.Aspool_call()->timeout_ms = ToMs(kCallTimeout);
  if (owner->member_id == options_.directory->SelfId()) {
    return options_.call_self(*message.body.Aspool_call());
  }
  const auto reply = Attempt([&] {
    return options_.peers->Call(owner->member_id, message,
                                duration(kCallTimeout));
  });
  if (!reply) {
    response.reason = Describe(reply.failure);
    return response;
  }
  const wire::pool_replyT* text = reply->body.Aspool_reply();
  const auto decoded = Attempt(
      [&] { return DecodeResponse(text == nullptr ? "" : text->body); });
  if (decoded) return *decoded;
  response.reason = Describe(decoded.failure);
  return response;
}

}  // namespace apricotwheel
