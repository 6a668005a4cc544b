#include "daemon/status_api.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/http_responses.h"
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
  json list = json::array();
  for (const member& entry : view.members) {
    list.push_back({{"id", entry.id},
                    {"name", entry.name},
                    {"failure_domain", entry.failure_domain},
                    {"http_address", entry.http_address},
                    {"peer_address", entry.peer_address},
                    {"leaving", entry.leaving}});
  }
  return list;
}

json PartitionsJson(const cluster_view& view) {
  json list = json::array();
  for (const auto& [name, owner] : view.owners.partitions) {
    list.push_back(
        {{"name", name}, {"owner", owner.owner}, {"epoch", owner.epoch}});
  }
  return list;
}

json ShardsJson(const cluster_view& view) {
  json list = json::array();
  for (std::size_t shard = 0; shard < view.owners.shards.size(); ++shard) {
    const ownership& owner = view.owners.shards[shard];
    list.push_back(
        {{"shard", shard}, {"owner", owner.owner}, {"epoch", owner.epoch}});
  }
  return list;
}

json WorkersJson(const worker_manager& workers) {
  json list = json::array();
  for (const worker_status& line : workers.Workers()) {
    list.push_back({{"worker", line.worker},
                    {"partition", line.partition},
                    {"epoch", line.epoch},
                    {"state", line.state},
                    {"tasks", line.tasks},
                    {"capacity", ToJson(line.capacity)},
                    {"free", ToJson(line.free)}});
  }
  return list;
}

json InstancesJson(const worker_manager& workers) {
  json list = json::array();
  for (const instance_record& instance : workers.Instances()) {
    list.push_back({{"task_id", instance.task_id},
                    {"service", instance.service},
                    {"worker", instance.worker},
                    {"address", instance.address},
                    {"accepting", instance.accepting}});
  }
  return list;
}

json DocumentJson(const cluster_manager& cluster,
                  const cluster_status& status) {
  json body = {{"revision", status.document_revision},
               {"cell", ""},
               {"fault", status.document_error}};
  if (const auto active = cluster.Document()) {
    body["cell"] = active->document->cell;
  }
  return body;
}

json StatusJson(const status_sources& sources) {
  const cluster_status status = sources.cluster->Status();
  const std::string not_ready = NotReadyReason(sources);
  json body = {{"member_id", sources.member_id},
               {"name", sources.settings->name},
               {"failure_domain", sources.settings->failure_domain},
               {"ready", not_ready.empty()},
               {"not_ready_reason", not_ready},
               {"leaving", sources.stopping->load()},
               {"holds_lease", status.holds_lease},
               {"kv_reachable", status.kv_reachable},
               {"document", DocumentJson(*sources.cluster, status)},
               {"vm_list",
                {{"version", status.vm_list_version},
                 {"age_ms", status.vm_list_age_ms}}},
               {"workers", WorkersJson(*sources.workers)},
               {"instances", InstancesJson(*sources.workers)},
               {"pending_tasks", sources.jobs->PendingTaskCount()},
               {"in_flight", sources.request_dispatcher->InFlightRequests()}};
  if (const auto view = sources.cluster->View()) {
    body["members"] = MembersJson(*view);
    body["partitions"] = PartitionsJson(*view);
    body["shards"] = ShardsJson(*view);
  }
  return body;
}

void WriteProcessMetrics(const status_sources& sources,
                         process_metrics& process,
                         httplib::Response& response) {
  process.Update({sources.peers->BytesSent(), sources.peers->BytesReceived(),
                  sources.peers->MessagesSent(), sources.kv->CallCount()});
  WriteMetricsResponse(response, *sources.metrics);
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
  server.Get("/healthz",
             [](const httplib::Request&, httplib::Response& response) {
               WriteJsonResponse(response, 200, {{"healthy", true}});
             });
  server.Get("/readyz", [shared](const httplib::Request&,
                                 httplib::Response& response) {
    const std::string reason = NotReadyReason(*shared);
    WriteJsonResponse(
        response, reason.empty() ? 200 : 503,
        {{"ready", reason.empty()},
         {"reason", reason},
         {"detail", shared->cluster->Status().document_missing_reason}});
  });
  server.Get("/metrics", [shared, process](const httplib::Request&,
                                           httplib::Response& response) {
    WriteProcessMetrics(*shared, *process, response);
  });
  server.Get("/v1/status",
             [shared](const httplib::Request&, httplib::Response& response) {
               WriteJsonResponse(response, 200, StatusJson(*shared));
             });
}

}  // namespace apricotwheel
