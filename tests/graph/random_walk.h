#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/graph/scheduler_rig.h"

namespace apricotwheel::testing {

// Which kinds of jobs and calls a walk has.
struct walk_options {
  bool has_advisor = false;
  bool has_gangs = false;
  int events = 150;
};

// A scheduler, simulated workers and a store, driven by random events: late and
// lost answers, ends, refused starts, expired leases, restarts of workers,
// failed writes, and successors of the owner. Everything follows from the seed.
class random_walk {
 public:
  random_walk(std::uint64_t seed, walk_options options)
      : options_(options), random_(seed) {
    for (int i = 1; i <= kWorkers; ++i) {
      const std::string id = "w" + std::to_string(i);
      rig_.AddWorker(id, kCapacity, Chance(80));
    }
  }

  // Returns what is wrong, or an empty text.
  std::string Run() {
    for (int i = 0; i < options_.events; ++i) {
      rig_.AdvanceClock(milliseconds(Below(8) == 0 ? Below(2000) : Below(120)));
      const std::string event = DoRandomEvent();
      const scheduler_audit audit = rig_.scheduler.Audit();
      if (!audit.findings.empty()) {
        return "event " + std::to_string(i) + ", " + event + ": " +
               audit.findings.front();
      }
    }
    return RunCalmMinute();
  }

 private:
  static constexpr int kWorkers = 5;
  static constexpr resource_vector kCapacity{4000, 16'384, 0};
  static constexpr std::uint64_t kRunsPerTenure = 1000;
  static constexpr auto kLeaseTime = std::chrono::seconds(6);
  static constexpr auto kTicketLifetime = milliseconds(1500);
  static constexpr auto kGangTimeout = milliseconds(3000);
  static constexpr auto kTaskTime = milliseconds(500);
  static constexpr auto kCalmTime = std::chrono::seconds(90);

  struct sent_start {
    start_order order;
    std::uint64_t epoch = 0;
  };
  struct sent_stop {
    stop_order order;
    std::uint64_t epoch = 0;
  };
  struct sent_call {
    approval_request request;
    time_point sent_at{};
  };
  struct late_report {
    std::string worker;
    worker_report report;
    time_point sent_at{};
  };
  // What the store holds of a job.
  struct stored_job {
    job_submission submission;
    job_progress progress;
    time_point submitted_at{};
  };

  std::uint64_t Below(std::uint64_t limit) { return random_() % limit; }
  bool Chance(std::uint64_t percent) { return Below(100) < percent; }
  template <typename T>
  T Take(std::deque<T>& queue) {
    const auto position =
        queue.begin() + static_cast<std::ptrdiff_t>(Below(queue.size()));
    T taken = std::move(*position);
    queue.erase(position);
    return taken;
  }
  std::string RandomWorker() {
    return "w" + std::to_string(1 + Below(kWorkers));
  }

  std::string DoRandomEvent() {
    switch (Below(24)) {
      case 0:
      case 1:
        AdmitJob();
        return "job";
      case 2:
      case 3:
      case 4:
      case 5:
      case 6:
        Decide();
        return "pass";
      case 7:
      case 8:
      case 9:
      case 10:
        if (!starts_.empty()) AnswerStart(Take(starts_));
        return "start result";
      case 11:
      case 12:
        if (!stops_.empty()) AnswerStop(Take(stops_));
        return "stop result";
      case 13:
      case 14:
        if (!calls_.empty()) AnswerCall(Take(calls_), !Chance(20));
        return "approval result";
      case 15:
      case 16:
      case 17:
        Report(RandomWorker());
        return "report";
      case 18:
        EndSomeRun(RandomWorker());
        return "end";
      case 19:
        ExpireLeases(RandomWorker());
        return "expired leases";
      case 20:
        StoreProgress(!Chance(25));
        return "write";
      case 21:
        if (Chance(30)) RestartWorker(RandomWorker());
        return "worker restart";
      case 22:
        ChangeListing(RandomWorker());
        return "listing";
      default:
        if (Chance(20)) Succeed();
        if (Chance(20)) CancelSomeJob();
        return "successor or cancel";
    }
  }

  void AdmitJob() {
    std::vector<graph_step> steps;
    const std::uint64_t count = 1 + Below(2);
    for (std::uint32_t i = 0; i < count; ++i) {
      graph_step step =
          MakeStep(1 + static_cast<std::uint32_t>(Below(4)),
                   {static_cast<std::int64_t>(1 + Below(3)) * 1000, 1024, 0});
      step.is_gang = options_.has_gangs && Chance(40);
      step.is_service =
          !step.is_gang && count == 1 && service_count_ < 3 && Chance(30);
      // Lasting tasks leave room for each other task.
      if (step.is_service) {
        ++service_count_;
        step.need.cpu_milli = 50;
      }
      step.checkpoints = Chance(30);
      if (!step.is_gang && Chance(20)) step.max_per_worker = 1;
      if (i > 0) step.after = {0};
      steps.push_back(step);
    }
    job_submission job = MakeJob("job" + std::to_string(++job_count_), steps,
                                 static_cast<int>(Below(2)));
    job.queue.max_attempts = 50;
    if (options_.has_advisor) {
      job.queue.advisor = advisor_settings{50'000, 1000, kTicketLifetime};
    }
    stored_[job.id] = {job, InitialProgress(job.graph), rig_.now};
    rig_.scheduler.AdmitJob(std::move(job), rig_.now);
  }

  void CancelSomeJob() {
    if (stored_.empty()) return;
    auto job = stored_.begin();
    std::advance(job, static_cast<std::ptrdiff_t>(Below(stored_.size())));
    rig_.scheduler.CancelJob(job->first, rig_.now);
  }

  void Decide() {
    const pool_decisions decisions = rig_.Decide();
    for (const auto& order : decisions.stops) stops_.push_back({order, epoch_});
    for (const auto& order : decisions.starts)
      starts_.push_back({order, epoch_});
    for (const auto& request : decisions.approvals)
      calls_.push_back({request, rig_.now});
  }

  // Carries out the order as a worker does that obeys the epochs.
  start_result StartAt(const sent_start& sent) {
    const start_order& order = sent.order;
    auto& agent = rig_.agents[order.worker];
    if (sent.epoch < epochs_[order.worker]) return start_result::kStaleEpoch;
    const auto running = agent.running.find(order.task);
    if (running != agent.running.end()) {
      return running->second.run == order.run ? start_result::kStarted
                                              : start_result::kOutdatedRun;
    }
    if (order.run <= ended_[order.worker][order.task])
      return start_result::kOutdatedRun;
    reported_run run;
    run.task = order.task;
    run.run = order.run;
    agent.running[order.task] = run;
    began_[{order.worker, order.task}] = rig_.now;
    return start_result::kStarted;
  }

  void AnswerStart(const sent_start& sent) {
    constexpr start_result kRefusals[] = {
        start_result::kExpired,    start_result::kNoRoom,
        start_result::kNoTicket,   start_result::kUnhealthy,
        start_result::kWithdrawn,  start_result::kUnreachable,
        start_result::kOutdatedRun};
    start_result result = start_result::kUnknown;
    const std::uint64_t kind = Below(10);
    if (kind < 5) result = StartAt(sent);
    if (kind == 5) StartAt(sent);  // The answer is lost.
    if (kind == 6) {
      late_.push_back(sent);  // Is carried out later.
    }
    if (kind > 6) result = kRefusals[Below(std::size(kRefusals))];
    if (sent.epoch == epoch_)
      rig_.scheduler.OnStartResult(sent.order, result, rig_.now);
    if (!late_.empty() && Chance(50)) StartAt(Take(late_));
  }

  void StopAt(const sent_stop& sent) {
    const stop_order& order = sent.order;
    if (sent.epoch < epochs_[order.worker]) return;
    auto& agent = rig_.agents[order.worker];
    const auto running = agent.running.find(order.task);
    if (running != agent.running.end() && running->second.run <= order.run)
      EndRun(order.worker, order.task, run_outcome::kStopped);
    auto& ended = ended_[order.worker][order.task];
    ended = std::max(ended, order.run);
  }

  void AnswerStop(const sent_stop& sent) {
    const std::uint64_t kind = Below(4);
    if (kind < 3) StopAt(sent);
    if (sent.epoch != epoch_) return;
    rig_.scheduler.OnStopResult(sent.order, kind < 2, rig_.now);
  }

  void AnswerCall(const sent_call& sent, bool has_response) {
    std::vector<approved_worker> approved;
    for (const pool_worker& worker : sent.request.workers)
      approved.push_back({worker.id, "ticket"});
    rig_.scheduler.OnApprovalResult(sent.request, approved, has_response,
                                    sent.sent_at, rig_.now);
  }

  // The report of a worker may be delivered after later events.
  void Report(const std::string& id) {
    const auto waiting = reports_.find(id);
    if (waiting != reports_.end()) {
      const late_report report = std::move(waiting->second);
      reports_.erase(waiting);
      rig_.scheduler.ApplyReport(id, report.report, report.sent_at, rig_.now);
      return;
    }
    epochs_[id] = epoch_;
    const time_point sent_at = rig_.now;
    rig_.AdvanceClock(milliseconds(1));
    late_report report{id, rig_.MakeReport(id), sent_at};
    rig_.AdvanceClock(milliseconds(1));
    if (Chance(30)) {
      reports_[id] = std::move(report);
      return;
    }
    rig_.scheduler.ApplyReport(id, report.report, sent_at, rig_.now);
  }

  void EndRun(const std::string& worker, const task_key& task,
              run_outcome outcome) {
    auto& ended = ended_[worker][task];
    ended = std::max(ended, rig_.agents[worker].running.at(task).run);
    began_.erase({worker, task});
    rig_.EndRun(worker, task, outcome, Chance(30) ? "saved" : "");
  }

  void EndSomeRun(const std::string& id) {
    const auto& running = rig_.agents[id].running;
    if (running.empty()) return;
    auto run = running.begin();
    std::advance(run, static_cast<std::ptrdiff_t>(Below(running.size())));
    const task_key task = run->first;
    constexpr run_outcome kOutcomes[] = {
        run_outcome::kFailed, run_outcome::kStopped, run_outcome::kLeaseExpired,
        run_outcome::kDone};
    run_outcome outcome = kOutcomes[Below(std::size(kOutcomes))];
    if (IsGang(task) && outcome == run_outcome::kDone)
      outcome = run_outcome::kGangMemberEnded;
    EndRun(id, task, outcome);
  }

  // The worker may go on: a late order may have extended its lease.
  void ExpireLeases(const std::string& id) {
    if (Chance(50)) EndAllRuns(id, run_outcome::kLeaseExpired);
    reports_.erase(id);
    rig_.scheduler.ExpireWorkerLeases(id, Chance(15), rig_.now);
  }

  void EndAllRuns(const std::string& id, run_outcome outcome) {
    const auto running = rig_.agents[id].running;
    for (const auto& [task, run] : running) EndRun(id, task, outcome);
  }

  void RestartWorker(const std::string& id) {
    auto& agent = rig_.agents[id];
    agent.running.clear();
    agent.ended.clear();
    agent.last_end_sequence = 0;
    ended_[id].clear();
    epochs_[id] = 0;
    ++agent.info.incarnation;
    if (Chance(50)) rig_.scheduler.SetWorker(agent.info, rig_.now);
  }

  void ChangeListing(const std::string& id) {
    auto& agent = rig_.agents[id];
    if (Chance(30)) {
      rig_.scheduler.RemoveWorker(id);
      return;
    }
    agent.info.is_draining = Chance(20);
    rig_.scheduler.SetWorker(agent.info, rig_.now);
  }

  void StoreProgress(bool is_stored) {
    const progress_batch batch = rig_.scheduler.TakeProgress();
    if (!is_stored) {
      rig_.scheduler.OnProgressNotStored(batch);
      return;
    }
    for (const auto& entry : batch.jobs)
      stored_.at(entry.job_id).progress = entry.progress;
    rig_.scheduler.OnProgressStored(batch);
  }

  // Another owner takes the pool over with what is stored.
  void Succeed() {
    ++epoch_;
    pool_scheduler_options options;
    options.run_number_base = (epoch_ - 1) * kRunsPerTenure;
    options.earlier_leases_expire_at = rig_.now + kLeaseTime;
    for (const auto& [id, agent] : rig_.agents)
      options.earlier_workers.insert(id);
    rig_.scheduler = pool_scheduler(std::move(options));
    calls_.clear();
    reports_.clear();
    for (const auto& [id, agent] : rig_.agents)
      rig_.scheduler.SetWorker(agent.info, rig_.now);
    for (const auto& [id, job] : stored_) {
      rig_.scheduler.RestoreJob(job.submission, job.progress, job.submitted_at);
    }
  }

  bool IsGang(const task_key& task) const {
    return stored_.at(task.job_id).submission.graph.steps[task.step].is_gang;
  }
  bool IsService(const task_key& task) const {
    return stored_.at(task.job_id).submission.graph.steps[task.step].is_service;
  }

  // Counts the members of the gang that run under the number.
  std::size_t CountMembers(const task_key& task, std::uint64_t number) const {
    std::size_t count = 0;
    for (const auto& [id, agent] : rig_.agents) {
      for (const auto& [other, run] : agent.running) {
        count += run.run == number && other.job_id == task.job_id &&
                 other.step == task.step;
      }
    }
    return count;
  }

  // Ends the runs whose time is over, as sound workers do.
  void EndRunsInTime() {
    const auto began = began_;
    for (const auto& [where, at] : began) {
      const auto& [id, task] = where;
      const auto& running = rig_.agents[id].running;
      const auto run = running.find(task);
      if (run == running.end()) {
        began_.erase(where);
        continue;
      }
      if (IsService(task) || rig_.now - at < kTaskTime) continue;
      if (!IsGang(task)) {
        EndRun(id, task, run_outcome::kDone);
        continue;
      }
      const std::size_t members =
          stored_.at(task.job_id).submission.graph.steps[task.step].task_count;
      if (CountMembers(task, run->second.run) == members) {
        EndGang(task, run->second.run, run_outcome::kDone);
      } else if (rig_.now - at >= kGangTimeout) {
        EndRun(id, task, run_outcome::kGangIncomplete);
      }
    }
  }

  void EndGang(const task_key& member, std::uint64_t number,
               run_outcome outcome) {
    for (auto& [id, agent] : rig_.agents) {
      const auto running = agent.running;
      for (const auto& [task, run] : running) {
        if (run.run == number && task.job_id == member.job_id &&
            task.step == member.step)
          EndRun(id, task, outcome);
      }
    }
  }

  // Everything works again; all jobs must complete, and lasting tasks run.
  std::string RunCalmMinute() {
    while (!late_.empty()) StartAt(Take(late_));
    for (auto& [id, agent] : rig_.agents) {
      agent.info.is_draining = false;
      rig_.scheduler.SetWorker(agent.info, rig_.now);
    }
    while (!reports_.empty()) Report(reports_.begin()->first);
    const time_point end = rig_.now + kCalmTime;
    while (rig_.now < end) {
      EndRunsInTime();
      for (const auto& [id, agent] : rig_.agents) {
        epochs_[id] = epoch_;
        rig_.ReportWorker(id);
      }
      StoreProgress(true);
      Decide();
      while (!stops_.empty()) {
        const sent_stop sent = Take(stops_);
        StopAt(sent);
        if (sent.epoch == epoch_)
          rig_.scheduler.OnStopResult(sent.order, true, rig_.now);
      }
      while (!starts_.empty()) {
        const sent_start sent = Take(starts_);
        const start_result result = StartAt(sent);
        if (sent.epoch == epoch_)
          rig_.scheduler.OnStartResult(sent.order, result, rig_.now);
      }
      while (!calls_.empty()) AnswerCall(Take(calls_), true);
      const scheduler_audit audit = rig_.scheduler.Audit();
      if (!audit.findings.empty()) return "calm: " + audit.findings.front();
      rig_.AdvanceClock(milliseconds(80));
    }
    return FindLostTask();
  }

  std::string FindLostTask() const {
    for (const auto& [id, job] : stored_) {
      const auto state = rig_.scheduler.FindJobState(id);
      if (!state) return id + " is unknown";
      if (IsFinal(*state)) continue;
      const graph_step& step = job.submission.graph.steps.front();
      if (!step.is_service) return id + " has not ended" + Describe(id);
      for (std::uint32_t i = 0; i < step.task_count; ++i) {
        const task_key task{id, 0, 0, i};
        std::size_t runs = 0;
        for (const auto& [worker, agent] : rig_.agents)
          runs += agent.running.count(task);
        if (runs != 1) {
          return FormatTask(task) + " has " + std::to_string(runs) + " runs";
        }
      }
    }
    return {};
  }

  // Lists the runs of the job.
  std::string Describe(const std::string& id) const {
    std::string text;
    for (const auto& [worker, agent] : rig_.agents) {
      for (const auto& [task, run] : agent.running) {
        if (task.job_id == id) {
          text += ", " + FormatTask(task) + " run " + std::to_string(run.run) +
                  " on " + worker;
        }
      }
    }
    return text;
  }

  const walk_options options_;
  std::mt19937_64 random_;
  scheduler_rig rig_;
  std::uint64_t epoch_ = 1;
  int job_count_ = 0;
  int service_count_ = 0;
  std::map<std::string, stored_job> stored_;
  std::map<std::string, std::uint64_t> epochs_;  // Highest one seen by worker.
  // By worker, the highest number of a run of the task that ended there.
  std::map<std::string, std::map<task_key, std::uint64_t>> ended_;
  std::map<std::pair<std::string, task_key>, time_point> began_;
  std::deque<sent_start> starts_;
  std::deque<sent_start> late_;
  std::deque<sent_stop> stops_;
  std::deque<sent_call> calls_;
  std::map<std::string, late_report> reports_;  // Not delivered yet.
};

}  // namespace apricotwheel::testing
