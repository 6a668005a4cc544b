// Tasks that one partition of the pool runs for another.
#include "pools/pool_owner.h"

namespace apricotwheel {

void pool_owner::LendTasks(std::span<const std::string> partitions) {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_ || is_stopped_ || is_quiesced_) return;
  // The owner thread stores the progress, and only then the tasks may run
  // elsewhere.
  if (scheduler_->LendTasks(partitions, options_.clock->Now()) > 0) {
    RequestDecision();
  }
}

std::vector<task_loan> pool_owner::Loans() const {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_ || is_stopped_) return {};
  return scheduler_->Loans();
}

void pool_owner::OnLoanStarted(std::string_view job_id) {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_ || is_stopped_) return;
  scheduler_->OnLoanStarted(job_id);
  RequestDecision();
}

void pool_owner::OnLoanFailed(std::string_view job_id) {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_ || is_stopped_) return;
  scheduler_->OnLoanFailed(job_id, options_.clock->Now());
  RequestDecision();
}

std::vector<guest_job> pool_owner::GuestJobs() const {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_ || is_stopped_) return {};
  return scheduler_->GuestJobs();
}

job_call_response pool_owner::Host(const job_submission& job,
                                   time_point deadline) {
  {
    const std::lock_guard lock(mutex_);
    job_call_response response;
    if (!is_loaded_ || is_stopped_ || is_quiesced_) {
      response.reason = "this owner cannot run tasks of other partitions now";
      return response;
    }
    if (scheduler_->ExtendGuest(job)) {
      RequestDecision();
      response.status = job_call_status::kState;
      response.state = *scheduler_->FindStoredJobState(job.id);
      return response;
    }
  }
  // The call may be late, and the job cancelled meanwhile.
  const auto state = Attempt([&] {
    return ReadStoredJobState(*options_.kv, job.guest->home, job.id);
  });
  if (!state || !*state.value || IsFinal(**state.value)) {
    job_call_response response;
    response.reason = state ? "the job has ended" : Describe(state.failure);
    return response;
  }
  return Submit(job, deadline);
}

void pool_owner::EndGuest(std::string_view job_id) {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_ || is_stopped_) return;
  if (scheduler_->CancelJob(job_id, options_.clock->Now())) RequestDecision();
}

}  // namespace apricotwheel
