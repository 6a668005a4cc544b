// The workers of a pool: those that discovery names, those that earlier owners
// may have left running, and the sessions with them.
#include <utility>

#include "peer/connection.h"
#include "pools/pool_events.h"
#include "pools/pool_owner.h"

namespace apricotwheel {

namespace {

// A machine that is up refuses a connection in milliseconds.
constexpr auto kProbeTimeout = milliseconds(300);
constexpr auto kRosterTimeout = milliseconds(3000);

}  // namespace

void pool_owner::SetWorkers(std::map<std::string, pool_worker> workers) {
  const std::lock_guard lock(mutex_);
  listed_ = std::move(workers);
  workers_changed_ = true;
  changed_.notify_all();
}

void pool_owner::FollowWorkers() {
  std::map<std::string, pool_worker> next;
  std::map<std::string, std::string> roster;
  bool has_new = false;
  {
    const std::lock_guard lock(mutex_);
    if (!std::exchange(workers_changed_, false)) return;
    next = listed_;
    for (const auto& [id, worker] : next) {
      roster[id] = worker.address;
      has_new = has_new || !roster_.contains(id);
    }
    // Workers of earlier owners stay on the list until their runs are known.
    for (const auto& [id, address] : roster_) {
      const bool may_run =
          !scheduler_->IsTakeoverComplete(options_.clock->Now()) ||
          scheduler_->CountRuns(id) > 0;
      if (may_run) roster.try_emplace(id, address);
    }
  }
  // A worker is named in the store before it gets work, so that a successor
  // knows where runs may be.
  const bool is_stored =
      !has_new ||
      journal_->StoreWorkers(roster, options_.clock->Now() + kRosterTimeout);
  if (!is_stored) {
    const std::lock_guard lock(mutex_);
    workers_changed_ = true;
    return;
  }
  // A list that only shrinks need not be waited for. A successor would wait for
  // the leases of a worker that is named and does not answer.
  if (!has_new && roster != roster_) {
    journal_->StoreWorkers(roster, options_.clock->Now());
  }
  std::vector<std::shared_ptr<agent_session>> ended;
  std::vector<pool_worker> added;
  {
    const std::lock_guard lock(mutex_);
    roster_ = roster;
    const auto now = options_.clock->Now();
    for (const auto& [id, worker] : next) {
      const auto known = followed_.find(id);
      const bool same_agent = known != followed_.end() &&
                              known->second.address == worker.address &&
                              known->second.incarnation == worker.incarnation;
      if (known == followed_.end() || !(known->second == worker)) {
        scheduler_->SetWorker(worker, now);
        needs_decision_ = true;
      }
      if (same_agent) continue;
      const auto session = sessions_.find(id);
      if (session != sessions_.end()) {
        ended.push_back(session->second);
        sessions_.erase(session);
      }
      added.push_back(worker);
    }
    for (const auto& [id, worker] : followed_) {
      if (next.contains(id)) continue;
      // A drained worker that is gone has exited; any other may still run its
      // tasks until their leases lapse, which its session finds out.
      if (worker.is_draining) scheduler_->ExpireWorkerLeases(id, now);
      scheduler_->RemoveWorker(id);
      needs_decision_ = true;
    }
    followed_ = next;
    for (pool_worker& worker : TakeUnlisted(now)) {
      added.push_back(std::move(worker));
    }
    for (auto at = sessions_.begin(); at != sessions_.end();) {
      const bool is_idle =
          !next.contains(at->first) && !scheduler_->MayHaveRuns(at->first, now);
      if (is_idle) {
        ended.push_back(at->second);
        scheduler_->RemoveWorker(at->first);
      }
      at = is_idle ? sessions_.erase(at) : std::next(at);
    }
  }
  for (const auto& session : ended) session->Stop();
  for (const auto& worker : added) AddSession(worker);
}

std::vector<pool_worker> pool_owner::TakeUnlisted(time_point now) {
  std::vector<pool_worker> unlisted;
  for (const auto& [id, address] : roster_) {
    if (followed_.contains(id) || sessions_.contains(id) || address.empty() ||
        !scheduler_->MayHaveRuns(id, now)) {
      continue;
    }
    pool_worker worker;
    worker.id = id;
    worker.pool = options_.pool;
    worker.address = address;
    scheduler_->SetWorker(worker, now);
    scheduler_->RemoveWorker(id);
    unlisted.push_back(std::move(worker));
  }
  return unlisted;
}

void pool_owner::AddSession(const pool_worker& worker) {
  agent_session_options options;
  options.worker = worker;
  options.epoch = options_.epoch;
  options.link = options_.ports->connect_agent(worker);
  options.has_exited = [address = worker.address, clock = options_.clock] {
    return ProbeListener(address, *clock,
                         clock->Now() + duration(kProbeTimeout)) ==
           listener_state::kAbsent;
  };
  options.longest_lease = options_.task_lease;
  options.clock = options_.clock;
  options.log = options_.log;
  const auto session = std::make_shared<agent_session>(std::move(options),
                                                       CallbacksFor(worker.id));
  {
    const std::lock_guard lock(mutex_);
    sessions_[worker.id] = session;
  }
  const auto started = Attempt([&] { return session->Start(); });
  if (!started) {
    Emit(options_.log, pool_events::kThreadFailed,
         {Field("reason", Describe(started.failure))});
  }
}

agent_session::callbacks pool_owner::CallbacksFor(const std::string& id) {
  agent_session::callbacks calls;
  calls.reported = [this, id](const worker_report& report, time_point sent_at) {
    options_.metrics->worker_reports.Increment();
    const std::lock_guard lock(mutex_);
    scheduler_->ApplyReport(id, report, sent_at, options_.clock->Now());
    if (!listed_.contains(id)) workers_changed_ = true;
    WakeLoop();
  };
  calls.lapsed = [this, id] {
    const std::lock_guard lock(mutex_);
    scheduler_->ExpireWorkerLeases(id, options_.clock->Now());
    if (!listed_.contains(id)) workers_changed_ = true;
    WakeLoop();
  };
  calls.start_answered = [this](const start_order& order, start_result answer) {
    options_.metrics->Started(std::string(ToString(answer)));
    const std::lock_guard lock(mutex_);
    scheduler_->OnStartResult(order, answer, options_.clock->Now());
    if (answer != start_result::kStarted) WakeLoop();
  };
  calls.stop_answered = [this](const stop_order& order, bool is_obeyed) {
    const std::lock_guard lock(mutex_);
    scheduler_->OnStopResult(order, is_obeyed, options_.clock->Now());
    if (!is_obeyed) WakeLoop();
  };
  calls.epoch_refused = [this, id] {
    Emit(options_.log, pool_events::kEpochRefused,
         {Field("pool", options_.pool), Field("worker", id),
          Field("epoch", options_.epoch)});
    options_.succeeded();
  };
  calls.stored_end = [this, id] {
    const std::lock_guard lock(mutex_);
    return scheduler_->LastStoredEnd(id);
  };
  calls.has_runs = [this, id] {
    const std::lock_guard lock(mutex_);
    return scheduler_->CountRuns(id) > 0;
  };
  calls.has_unstored_ends = [this, id] {
    const std::lock_guard lock(mutex_);
    return scheduler_->HasUnstoredEnds(id);
  };
  return calls;
}

}  // namespace apricotwheel
