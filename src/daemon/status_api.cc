#include "daemon/status_api.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/http_reply.h"
#include "daemon/process_metrics.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

json ToJson(const resource_vector& amounts) {
  return {{"cpu_milli", amounts.cpu_milli},
          {"memory_mib", amounts.memory_mib},
          {"accelerators", amounts.accelerators}};
}

json MembersJson(const cluster_view& view) {
  json all = json::array();
  for (const member& entry : view.members) {
    all.push_back({{"id", entry.id},
                   {"name", entry.name},
                   {"failure_domain", entry.failure_domain},
                   {"http_address", entry.http_address},
                   {"peer_address", entry.peer_address},
                   {"leaving", entry.leaving}});
  }
  return all;
}

json PartitionsJson(const cluster_view& view) {
  json all = json::array();
  for (const auto& [name, owner] : view.owners.partitions) {
    all.push_back(
        {{"name", name}, {"owner", owner.owner}, {"epoch", owner.epoch}});
  }
  return all;
}

json ShardsJson(const cluster_view& view) {
  json all = json::array();
  for (std::size_t shard = 0; shard < view.owners.shards.size(); ++shard) {
    const ownership& owner = view.owners.shards[shard];
    all.push_back(
        {{"shard", shard}, {"owner", owner.owner}, {"epoch", owner.epoch}});
  }
  return all;
}

json WorkersJson(const worker_manager& workers) {
  json all = json::array();
  for (const worker_status& line : workers.Workers()) {
    all.push_back({{"worker", line.worker},
                   {"partition", line.partition},
                   {"epoch", line.epoch},
                   {"state", line.state},
                   {"tasks", line.tasks},
                   {"capacity", ToJson(line.capacity)},
                   {"free", ToJson(line.free)}});
  }
  return all;
}

json InstancesJson(const worker_manager& workers) {
  json all = json::array();
  for (const instance_record& instance : workers.Instances()) {
    all.push_back({{"task_id", instance.task_id},
                   {"service", instance.service},
                   {"worker", instance.worker},
                   {"address", instance.address},
                   {"accepting", instance.accepting}});
  }
  return all;
}

json DocumentJson(const cluster_manager& cluster, const cluster_status& now) {
  json body = {{"revision", now.document_revision},
               {"cell", ""},
               {"fault", now.document_error}};
  if (const auto active = cluster.Document()) {
    body["cell"] = active->document->cell;
  }
  return body;
}

json StatusJson(const status_sources& sources) {
  const cluster_status now = sources.cluster->Status();
  const std::string not_ready = NotReadyReason(sources);
  json body = {
      {"member_id", sources.member_id},
      {"name", sources.settings->name},
      {"failure_domain", sources.settings->failure_domain},
      {"ready", not_ready.empty()},
      {"not_ready_reason", not_ready},
      {"leaving", sources.stopping->load()},
      {"holds_lease", now.holds_lease},
      {"kv_reachable", now.kv_reachable},
      {"document", DocumentJson(*sources.cluster, now)},
      {"vm_list",
       {{"version", now.vm_list_version}, {"age_ms", now.vm_list_age_ms}}},
      {"workers", WorkersJson(*sources.workers)},
      {"instances", InstancesJson(*sources.workers)},
      {"pending_tasks", sources.jobs->PendingTaskCount()},
      {"in_flight", sources.requests->InFlightRequests()}};
  if (const auto view = sources.cluster->View()) {
    body["members"] = MembersJson(*view);
    body["partitions"] = PartitionsJson(*view);
    body["shards"] = ShardsJson(*view);
  }
  return body;
}

void ServeMetrics(const status_sources& sources, process_metrics& process,
                  httplib::Response& response) {
  process.Update({sources.peers->BytesSent(), sources.peers->BytesReceived(),
                  sources.peers->MessagesSent(), sources.kv->CallCount()});
  ReplyMetrics(response, *sources.metrics);
}

}  // namespace

std::string NotReadyReason(const status_sources& sources) {
  if (sources.stopping->load()) return "shutting_down";
  if (!sources.cluster->Document()) return "no_document";
  const auto view = sources.cluster->View();
  if (!view || view->FindMember(sources.member_id) == nullptr) {
    return "not_a_member";
  }
  return "";
}

void AddStatusRoutes(httplib::Server& server, status_sources sources) {
  const auto shared = std::make_shared<status_sources>(std::move(sources));
  const auto process = std::make_shared<process_metrics>(*shared->metrics);
  server.Get("/healthz", [](const httplib::Request&, httplib::Response& reply) {
    ReplyJson(reply, 200, {{"healthy", true}});
  });
  server.Get("/readyz", [shared](const httplib::Request&,
                                 httplib::Response& reply) {
    const std::string reason = NotReadyReason(*shared);
    ReplyJson(reply, reason.empty() ? 200 : 503,
              {{"ready", reason.empty()},
               {"reason", reason},
               {"detail", shared->cluster->Status().document_missing_reason}});
  });
  server.Get("/metrics", [shared, process](const httplib::Request&,
                                           httplib::Response& reply) {
    ServeMetrics(*shared, *process, reply);
  });
  server.Get("/v1/status",
             [shared](const httplib::Request&, httplib::Response& reply) {
               ReplyJson(reply, 200, StatusJson(*shared));
             });
}

}  // namespace apricotwheel
