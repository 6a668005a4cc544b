#include <map>

#include "ctl/daemon_client.h"
#include "ctl/files.h"
#include "ctl/status_report.h"

namespace apricotwheel::ctl {
namespace {

using nlohmann::json;
using row_list = std::vector<std::vector<std::string>>;

// Bounds the requests of --all; no supported cell has more members.
constexpr std::size_t kMaxMembers = 64;

void PrintList(const command_context& context, const json& status,
               const char* list, const std::vector<std::string>& columns) {
  row_list rows;
  const auto found = status.find(list);
  if (found != status.end()) {
    for (const auto& entry : *found) {
      std::vector<std::string> row;
      row.reserve(columns.size());
      for (const auto& key : columns) row.push_back(FieldText(entry, key));
      rows.push_back(std::move(row));
    }
  }
  context.out << "\n" << list << ": " << rows.size() << "\n";
  if (!rows.empty()) PrintTable(context.out, columns, rows);
}

// Prints one line for each owner instead of one for each of the 32 shards.
void PrintShards(const command_context& context, const json& status) {
  std::map<std::string, std::string> owners;
  const auto found = status.find("shards");
  if (found != status.end()) {
    for (const auto& entry : *found) {
      owners[FieldText(entry, "owner")] += " " + FieldText(entry, "shard");
    }
  }
  row_list rows;
  for (const auto& [owner, shards] : owners) rows.push_back({owner, shards});
  context.out << "\nshards\n";
  PrintTable(context.out, {"owner", "shards"}, rows);
}

std::string FormatResources(const json& worker, const char* key) {
  const auto found = worker.find(key);
  if (found == worker.end()) return "-";
  return FieldText(*found, "cpu_milli") + "/" +
         FieldText(*found, "memory_mib") + "/" +
         FieldText(*found, "accelerators");
}

void PrintWorkers(const command_context& context, const json& status) {
  row_list rows;
  const auto found = status.find("workers");
  if (found != status.end()) {
    for (const auto& worker : *found) {
      rows.push_back({FieldText(worker, "worker"),
                      FieldText(worker, "partition"),
                      FieldText(worker, "state"), FieldText(worker, "tasks"),
                      FormatResources(worker, "free"),
                      FormatResources(worker, "capacity")});
    }
  }
  context.out << "\nworkers (free and capacity: cpu_milli/memory_mib/"
                 "accelerators): "
              << rows.size() << "\n";
  if (rows.empty()) return;
  PrintTable(context.out,
             {"worker", "partition", "state", "tasks", "free", "capacity"},
             rows);
}

void PrintStatus(const command_context& context, const json& status) {
  const auto document = status.find("document");
  context.out << FieldText(status, "member_id") << " in "
              << FieldText(status, "failure_domain") << ", ready "
              << FieldText(status, "ready");
  if (document != status.end()) {
    context.out << ", document revision " << FieldText(*document, "revision")
                << " of cell " << FieldText(*document, "cell");
  }
  context.out << ", pending tasks " << FieldText(status, "pending_tasks")
              << ", in flight " << FieldText(status, "in_flight") << "\n";
  PrintList(
      context, status, "members",
      {"id", "failure_domain", "http_address", "peer_address", "leaving"});
  PrintList(context, status, "partitions", {"name", "owner", "epoch"});
  PrintShards(context, status);
  PrintWorkers(context, status);
  PrintList(context, status, "instances",
            {"task_id", "service", "worker", "address", "accepting"});
}

// Adds the workers and instances that the other members own. The status of a
// daemon lists only its own.
void AppendOtherMembersStatus(const command_context& context, json& status) {
  const json members = status.value("members", json::array());
  std::size_t queried = 0;
  for (const auto& member : members) {
    if (FieldText(member, "id") == FieldText(status, "member_id")) continue;
    if (++queried > kMaxMembers) break;
    const auto other = Attempt([&] {
      return SendRequest(context, FieldText(member, "http_address"),
                         {"GET", "/v1/status", "", false, {}});
    });
    if (!other || other->status != 200) {
      context.err << "warning: member " << FieldText(member, "id")
                  << " returned no status\n";
      continue;
    }
    for (const char* list : {"workers", "instances"}) {
      const auto found = other->body.find(list);
      if (found == other->body.end() || !status[list].is_array()) continue;
      for (const auto& entry : *found) status[list].push_back(entry);
    }
  }
}

}  // namespace

int RunStatus(const command_context& context, const argument_list& arguments) {
  if (!arguments.empty()) {
    return ReportUsageError(context, "status takes no argument", "remove it");
  }
  auto response = Attempt([&] {
    return SendCheckedRequest(context, {"GET", "/v1/status", "", false, {}});
  });
  if (!response) return ReportError(context, response.failure);
  if (context.all_members) AppendOtherMembersStatus(context, response->body);
  const auto warnings = FindWarnings(response->body);
  if (context.json) {
    json report = response->body;
    report["warnings"] = warnings;
    PrintJson(context, report);
    return kOk;
  }
  PrintStatus(context, response->body);
  for (const auto& warning : warnings) {
    context.err << "warning: " << warning << "\n";
  }
  return kOk;
}

}  // namespace apricotwheel::ctl
