#include "pools/partition_balancer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "pools/partition_table.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

constexpr auto kReportInterval = milliseconds(100);
// An adoption reads each job, and the owner key, from the store.
constexpr auto kAdoptionTimeout = milliseconds(600);
constexpr std::size_t kMaxJobsPerAdoption = 32;

}  // namespace

partition_balancer::partition_balancer(partition_balancer_options options)
    : options_(std::move(options)), signal_(options_.clock) {}

result<void> partition_balancer::Start() {
  return threads_.Spawn("pool-balance", [this] { Run(); });
}

void partition_balancer::Stop() {
  signal_.RequestStop();
  threads_.JoinAll();
}

void partition_balancer::Run() {
  time_point report_at{};
  while (!signal_.StopRequested()) {
    const bool is_report_due = options_.clock->Now() >= report_at;
    if (is_report_due) report_at = options_.clock->Now() + kReportInterval;
    for (const auto& [partition, owner] : options_.owners()) {
      // The table never becomes undivided again, and an undivided pool has
      // nobody to share its work with.
      if (OtherPartitions(partition).empty()) continue;
      RequestAdoptions(*owner);
      if (!is_report_due) continue;
      const pool_load load = owner->Load();
      ReportLoad(partition, load);
      MoveJobs(partition, *owner, load);
    }
    const auto wait = report_at - options_.clock->Now();
    if (wait > duration::zero() && signal_.WaitFor(wait)) return;
  }
}

std::vector<std::string> partition_balancer::OtherPartitions(
    const std::string& partition) const {
  auto partitions =
      options_.directory->Partitions().PartitionsOf(PoolOfPartition(partition));
  std::erase(partitions, partition);
  return partitions;
}

void partition_balancer::ReportLoad(const std::string& partition,
                                    const pool_load& load) {
  const partition_report report{partition, load};
  std::set<std::string> receivers;
  for (const std::string& other : OtherPartitions(partition)) {
    if (const auto owner = options_.directory->OwnerOf(other)) {
      receivers.insert(owner->member_id);
    }
  }
  const wire_message message = MakePoolCall(kLoadTopic, EncodeReport(report));
  for (const std::string& member : receivers) {
    if (member == options_.directory->SelfId()) {
      HandleReport(report);
    } else {
      options_.peers->Post(member, message);
    }
  }
}

void partition_balancer::HandleReport(const partition_report& report) {
  const auto pools = options_.directory->Pools();
  if (std::find(pools.begin(), pools.end(), report.partition) == pools.end()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  reports_[report.partition] = {report.load, options_.clock->Now()};
}

bool partition_balancer::MayHaveWorkers(const std::string& partition) {
  const std::lock_guard lock(mutex_);
  const auto found = reports_.find(partition);
  return found == reports_.end() || found->second.load.has_workers;
}

void partition_balancer::MoveJobs(const std::string& partition,
                                  pool_owner& owner, const pool_load& load) {
  const std::string pool(PoolOfPartition(partition));
  std::map<std::string, reported_load> others;
  {
    const std::lock_guard lock(mutex_);
    for (const std::string& other : OtherPartitions(partition)) {
      const auto found = reports_.find(other);
      if (found != reports_.end()) others.insert(*found);
    }
  }
  const auto plan = PlanMoves(load, others, options_.clock->Now());
  if (!plan) return;
  // The next report may not count these jobs yet.
  if (load.has_workers) {
    const std::lock_guard lock(mutex_);
    reports_[plan->target].load.backlog_seconds += plan->pool_seconds;
  }
  // Jobs of the time before the division are looked up only here and at home.
  owner.MoveJobs(plan->target, plan->pool_seconds, [&](std::string_view id) {
    return options_.directory->Partitions().HomeOf(pool, id) == partition;
  });
}

void partition_balancer::RequestAdoptions(pool_owner& owner) {
  for (auto& [target, jobs] : owner.UnadoptedJobs()) {
    if (jobs.size() > kMaxJobsPerAdoption) jobs.resize(kMaxJobsPerAdoption);
    const job_list list{target, jobs};
    const auto target_owner = options_.directory->OwnerOf(target);
    if (!target_owner) continue;
    const auto adopted = Attempt([&]() -> result<void> {
      if (target_owner->member_id == options_.directory->SelfId()) {
        return HandleAdoption(list);
      }
      BOOST_LEAF_CHECK(
          options_.peers->Call(target_owner->member_id,
                               MakePoolCall(kAdoptTopic, EncodeJobList(list)),
                               duration(kAdoptionTimeout)));
      return {};
    });
    if (adopted) {
      owner.OnAdopted(target, list.jobs);
      continue;
    }
    Emit(options_.log, pool_events::kAdoptionFailed,
         {Field("partition", target), Field("jobs", list.jobs.size()),
          Field("member", target_owner->member_id),
          Field("reason", Describe(adopted.failure))});
  }
}

result<void> partition_balancer::HandleAdoption(const job_list& list) {
  const auto owners = options_.owners();
  const auto found = owners.find(list.partition);
  if (found == owners.end()) {
    return Fail(error_kind::kUnavailable,
                "this daemon does not own partition " + list.partition,
                "query the owner of the partition");
  }
  return found->second->Adopt(list.jobs);
}

}  // namespace apricotwheel
