// The workers of a pool, listed by discovery or left by earlier owners, and the
// sessions with them.
#include <algorithm>
#include <utility>

#include "peer/peer_connection.h"
#include "pools/pool_events.h"
#include "pools/pool_owner.h"

namespace apricotwheel {

namespace {

// A machine that is up rejects a connection within milliseconds.
constexpr auto kProbeTimeout = milliseconds(300);
constexpr auto kWorkerListTimeout = milliseconds(3000);

}  // namespace

void pool_owner::SetWorkers(std::map<std::string, pool_worker> workers) {
  const std::lock_guard lock(mutex_);
  listed_workers_ = std::move(workers);
  workers_changed_ = true;
  owner_changed_.notify_one();
}

std::optional<std::set<std::string>> pool_owner::KnownWorkers() const {
  const std::lock_guard lock(mutex_);
  if (!is_loaded_) return std::nullopt;
  std::set<std::string> ids;
  for (const auto& [id, address] : worker_list_) ids.insert(id);
  for (const auto& [id, worker] : listed_workers_) ids.insert(id);
  return ids;
}

void pool_owner::UpdateWorkers() {
  std::map<std::string, pool_worker> listed;
  std::map<std::string, std::string> worker_list;
  bool has_new = false;
  {
    const std::lock_guard lock(mutex_);
    if (!std::exchange(workers_changed_, false)) return;
    listed = listed_workers_;
    ApplyListedChanges(options_.clock->Now());
    for (const auto& [id, worker] : listed) {
      worker_list[id] = worker.address;
      has_new = has_new || !worker_list_.contains(id);
    }
    is_storing_workers_ = true;
    // Workers of earlier owners stay on the list until their runs are known.
    for (const auto& [id, address] : worker_list_) {
      const bool may_run =
          !scheduler_->IsTakeoverComplete(options_.clock->Now()) ||
          scheduler_->CountRuns(id) > 0;
      if (may_run) worker_list.try_emplace(id, address);
    }
  }
  // A worker is on the stored list before it gets work, so that the next owner
  // knows where tasks may run.
  const bool is_stored =
      !has_new || journal_->StoreWorkerList(
                      worker_list, options_.clock->Now() + kWorkerListTimeout);
  if (!is_stored) {
    const std::lock_guard lock(mutex_);
    workers_changed_ = true;
    return;
  }
  // A list that only shrinks is stored without waiting. It has to be stored,
  // because the next owner waits for the leases of each unreachable worker on
  // it.
  if (!has_new && worker_list != worker_list_) {
    journal_->StoreWorkerList(worker_list, options_.clock->Now());
  }
  std::vector<std::pair<std::string, std::shared_ptr<agent_session>>> closed;
  std::vector<pool_worker> added;
  {
    const std::lock_guard lock(mutex_);
    worker_list_ = worker_list;
    const auto now = options_.clock->Now();
    for (const auto& [id, worker] : listed) {
      const auto known = scheduled_workers_.find(id);
      const bool is_same_agent =
          known != scheduled_workers_.end() &&
          known->second.address == worker.address &&
          known->second.incarnation == worker.incarnation;
      if (known == scheduled_workers_.end() || !(known->second == worker)) {
        scheduler_->SetWorker(worker, now);
        RequestDecision();
      }
      if (is_same_agent) continue;
      const auto session = sessions_.find(id);
      if (session != sessions_.end()) {
        closed.emplace_back(*session);
        sessions_.erase(session);
      }
      added.push_back(worker);
    }
    for (const auto& [id, worker] : scheduled_workers_) {
      if (listed.contains(id)) continue;
      // The entry may have expired while the worker runs on, also while it
      // drains. Its session detects when its leases have expired.
      scheduler_->RemoveWorker(id);
      RequestDecision();
    }
    scheduled_workers_ = listed;
    for (pool_worker& worker : AddUnlistedWorkers(now)) {
      added.push_back(std::move(worker));
    }
    for (auto it = sessions_.begin(); it != sessions_.end();) {
      const bool is_idle = !listed.contains(it->first) &&
                           !scheduler_->MayHaveRuns(it->first, now);
      if (is_idle) {
        closed.emplace_back(*it);
        scheduler_->RemoveWorker(it->first);
      }
      it = is_idle ? sessions_.erase(it) : std::next(it);
    }
  }
  for (const auto& [id, session] : closed) {
    session->Stop();
    KeepLeasesOf(id, *session);
  }
  for (const auto& worker : added) AddSession(worker);
}

void pool_owner::ApplyListedChanges(time_point now) {
  for (auto& [id, known] : scheduled_workers_) {
    const auto found = listed_workers_.find(id);
    if (found == listed_workers_.end() || found->second == known ||
        found->second.address != known.address ||
        found->second.incarnation != known.incarnation) {
      continue;
    }
    known = found->second;
    scheduler_->SetWorker(known, now);
    RequestDecision();
  }
}

std::vector<pool_worker> pool_owner::AddUnlistedWorkers(time_point now) {
  std::vector<pool_worker> unlisted;
  for (const auto& [id, address] : worker_list_) {
    if (scheduled_workers_.contains(id) || sessions_.contains(id) ||
        address.empty() || !scheduler_->MayHaveRuns(id, now)) {
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
  options.link = options_.platform->connect_agent(worker);
  options.has_exited = [this, worker] {
    return IsAddressReused(worker) || options_.has_left(worker);
  };
  options.authority_end = [this] { return authority_.EndsAt(); };
  options.was_owner_at = [this](time_point since) {
    return authority_.ConfirmSince(since);
  };
  options.earlier_leases_end = [this] { return authority_.EarlierLeasesEnd(); };
  options.released_leases_end = [this, id = worker.id] {
    return ReleasedLeasesEnd(id);
  };
  options.earlier_calls = LateCallsOfStoppedSessions(worker.id);
  options.lease_duration = options_.task_lease;
  options.clock = options_.clock;
  options.log = options_.log;
  const auto session =
      std::make_shared<agent_session>(std::move(options), CallbacksFor(worker));
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

bool pool_owner::IsRefused(const std::string& address) const {
  return ProbeListener(address, *options_.clock,
                       options_.clock->Now() + duration(kProbeTimeout)) ==
         listener_state::kNotListening;
}

bool pool_owner::IsListed(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  return listed_workers_.contains(id);
}

bool pool_owner::IsAddressReused(const pool_worker& worker) const {
  const std::lock_guard lock(mutex_);
  return std::any_of(
      listed_workers_.begin(), listed_workers_.end(), [&](const auto& row) {
        const pool_worker& other = row.second;
        return other.id != worker.id && other.address == worker.address &&
               other.incarnation > worker.incarnation;
      });
}

void pool_owner::ReportLeasesEnded(const std::string& worker,
                                   const lease_expiry& expiry) {
  const auto now = options_.clock->Now();
  const duration age = now - authority_.ConfirmedAt();
  options_.metrics->confirmation_age_seconds.Observe(
      std::chrono::duration<double>(age).count());
  Emit(options_.log, pool_events::kLeasesEnded,
       {Field("pool", options_.pool), Field("epoch", options_.epoch),
        Field("worker", worker), Field("exited", expiry.has_exited ? 1 : 0),
        Field("late_starts", expiry.may_start_late ? 1 : 0),
        Field("unverified", scheduler_->IsUnverified(worker) ? 1 : 0),
        Field("runs", scheduler_->CountRuns(worker)),
        Field("confirmed_ms", ToMs(age))});
}

agent_session::callbacks pool_owner::CallbacksFor(const pool_worker& worker) {
  const std::string& id = worker.id;
  agent_session::callbacks callbacks;
  callbacks.on_report = [this, id](const worker_report& report,
                                   time_point sent_at) {
    options_.metrics->worker_reports.Increment();
    // A report that is not applied is not acknowledged, so it comes again.
    if (!LoadReported(report)) return;
    const std::lock_guard lock(mutex_);
    ++activity_.reports;
    scheduler_->ApplyReport(id, report, sent_at, options_.clock->Now());
    if (!listed_workers_.contains(id)) workers_changed_ = true;
    RequestDecision();
  };
  callbacks.on_leases_expired =
      [this, id, address = worker.address](const lease_expiry& expiry) {
        // What looks like an exit counts as a crash until the same agent
        // reports again.
        const bool has_exited =
            expiry.has_exited || (!IsListed(id) && IsRefused(address));
        const std::lock_guard lock(mutex_);
        ReportLeasesEnded(id, expiry);
        scheduler_->ExpireWorkerLeases(id, has_exited, options_.clock->Now(),
                                       expiry.may_start_late);
        if (!listed_workers_.contains(id)) workers_changed_ = true;
        RequestDecision();
      };
  callbacks.on_start_result = [this](const start_order& order,
                                     start_result result) {
    options_.metrics->CountStart(std::string(ToString(result)));
    const std::lock_guard lock(mutex_);
    scheduler_->OnStartResult(order, result, options_.clock->Now());
    if (result != start_result::kStarted) RequestDecision();
  };
  callbacks.on_stop_result = [this](const stop_order& order, bool is_accepted) {
    const std::lock_guard lock(mutex_);
    scheduler_->OnStopResult(order, is_accepted, options_.clock->Now());
    if (!is_accepted) RequestDecision();
  };
  callbacks.on_epoch_rejected = [this, id] {
    Emit(options_.log, pool_events::kEpochRefused,
         {Field("pool", options_.pool), Field("worker", id),
          Field("epoch", options_.epoch)});
    options_.on_superseded();
  };
  callbacks.progress = [this, id] {
    const std::lock_guard lock(mutex_);
    return worker_progress{
        scheduler_->LastStoredEnd(id), scheduler_->CountRuns(id) > 0,
        scheduler_->HasUnstoredEnds(id),
        scheduler_->MustWithholdLeases(id, options_.clock->Now()),
        scheduler_->IncarnationOf(id)};
  };
  return callbacks;
}

}  // namespace apricotwheel
