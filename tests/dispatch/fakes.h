#pragma once

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "dispatch/dispatch_outcome.h"
#include "dispatch/request_flow.h"
#include "dispatch/service_executor.h"

namespace apricotwheel {

template <class Value>
outcome<Value> MakeFailedOutcome(error_kind kind) {
  outcome<Value> failed;
  failed.failure = {kind, "fake failure", ""};
  return failed;
}

// An instance that counts its slots in use by all daemons of a test.
struct fake_instance {
  std::atomic<int> slots = 0;
  std::atomic<int> max_slots = 0;
  std::atomic<int> runs = 0;
  std::atomic<int> opened = 0;
  std::atomic<std::uint32_t> reported_slots = 0;
  std::function<outcome<instance_response>(const instance_request&)> respond =
      [](const instance_request& request) {
        outcome<instance_response> answered;
        answered.value = instance_response{200, {}, request.body};
        return answered;
      };

  outcome<instance_response> Send(const instance_request& request) {
    const int now = ++slots;
    for (int seen = max_slots; now > seen;) {
      if (max_slots.compare_exchange_weak(seen, now)) break;
    }
    ++runs;
    auto answered = respond(request);
    --slots;
    return answered;
  }

  connection_opener Opener() {
    return [this](const std::string&) {
      ++opened;
      const auto open = std::make_shared<bool>(true);
      outcome<connection_ptr> made;
      made.value = std::make_shared<instance_connection>(instance_connection{
          [this, open](const instance_request& request, duration) {
            auto answered = Send(request);
            *open = bool(answered);
            return answered;
          },
          [this] {
            outcome<instance_usage> usage;
            usage.value = instance_usage{reported_slots + slots, 0};
            return usage;
          },
          [open] { return *open; }});
      return made;
    };
  }
};

inline instance_record MakeRecord(const std::string& task_id) {
  instance_record record;
  record.task_id = task_id;
  record.service = "listings";
  record.address = "127.0.0.1:1";
  record.worker = "vm-" + task_id;
  record.epoch = 1;
  record.slots = 8;
  record.connections = 64;
  record.accepting = true;
  record.predecessor_authority_ended = true;
  return record;
}

// A service executor with one fake instance.
struct executor_fixture {
  clock_ptr clock = runtime_clock::Paused();
  fake_instance upstream;
  std::atomic<bool> has_authority = true;

  service_executor_options Options() {
    service_executor_options options;
    options.service = "listings";
    options.pool.authority_expiry =
        [this](std::string_view) -> std::optional<time_point> {
      if (!has_authority) return std::nullopt;
      return clock->Now() + std::chrono::hours(1);
    };
    options.open_connection = upstream.Opener();
    options.clock = clock;
    options.metrics = std::make_shared<dispatch_metrics>(nullptr);
    return options;
  }
  service_executor executor{Options()};

  admitted_request Request(duration span = std::chrono::seconds(1)) {
    admitted_request admitted;
    admitted.request.service = "listings";
    admitted.request.method = "POST";
    admitted.request.path = "/";
    admitted.deadline = clock->Now() + span;
    return admitted;
  }
  void SetRecord(const instance_record& record) {
    executor.SetInstances({&record, 1});
  }
  void ReadUsage() {
    while (auto read = executor.StartUsageRead()) executor.RunUsageRead(*read);
  }
};

// A request flow with a fake instance owner stage and fake peers.
struct flow_fixture {
  clock_ptr clock = runtime_clock::Paused();
  std::shared_ptr<cell_document> document = std::make_shared<cell_document>();
  ownership shard{"self.1", 1};
  std::vector<peer_summary> summaries;
  std::atomic<bool> holds_lease = true;
  service_capacity local_capacity{1, 8, 0};
  std::function<service_response()> run_locally = [] {
    service_response response;
    response.outcome = request_outcome::kCompleted;
    response.status = 200;
    return response;
  };
  std::function<outcome<wire_message>(const std::string&)> call_peer =
      [](const std::string&) {
        return MakeFailedOutcome<wire_message>(error_kind::kUnavailable);
      };
  std::atomic<int> runs = 0;
  // The last request passed to `run_locally`. Not for concurrent requests.
  admitted_request last_request;

  flow_fixture() {
    workload_config workload;
    workload.name = "listings";
    workload.kind = workload_kind::kService;
    document->workloads.push_back(workload);
  }

  request_flow_options Options() {
    request_flow_options options;
    options.member_id = "self.1";
    options.clock = clock;
    options.metrics = std::make_shared<dispatch_metrics>(nullptr);
    options.document = [this] { return document; };
    options.shard_owner = [this](std::uint32_t) { return shard; };
    options.peer_summaries = [this] { return summaries; };
    options.holds_lease = [this] { return holds_lease.load(); };
    options.local_capacity = [this](const std::string&) {
      return local_capacity;
    };
    options.run_locally = [this](const admitted_request& admitted) {
      ++runs;
      last_request = admitted;
      return run_locally();
    };
    options.call_peer = [this](const std::string& owner, const wire_message&,
                               duration) { return call_peer(owner); };
    return options;
  }
  request_flow flow{Options()};

  void AddPeer(const std::string& member_id, std::uint32_t free_slots) {
    peer_summary summary;
    summary.member_id = member_id;
    summary.received_at = clock->Now();
    auto offer = std::make_unique<wire::service_summaryT>();
    offer->service = "listings";
    offer->instances = 1;
    offer->free_slots = free_slots;
    summary.gossip.services.push_back(std::move(offer));
    summaries.push_back(std::move(summary));
  }
  service_request Request(const std::string& method) {
    service_request request;
    request.service = "listings";
    request.method = method;
    request.path = "/";
    return request;
  }
};

}  // namespace apricotwheel
