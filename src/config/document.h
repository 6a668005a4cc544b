#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"
#include "kernel/resources.h"

namespace apricotwheel {

enum class workload_kind { kService, kBatch, kGang };

std::string_view ToString(workload_kind kind);
std::string_view ToString(priority_class priority);

struct team_config {
  std::string name;
  resource_vector quota;    // Upper bound of the resources in use at once.
  std::int64_t weight = 1;  // Share relative to other teams, 1 to 1000.
};

struct workload_config {
  std::string name;
  workload_kind kind = workload_kind::kBatch;
  std::string team;
  priority_class priority = priority_class::kBatch;  // Key `class`.
  std::string policy;           // Name of a placement policy plug-in.
  std::uint32_t instances = 1;  // Instances of a service or tasks of a job.
  resource_vector resources;    // Of one instance or task.
  std::int64_t run_ms = 0;      // Declared run time of a batch or gang task.
  std::uint32_t slots = 8;      // Concurrent requests of one instance.
  std::uint32_t connections = 64;
  std::uint32_t queue_limit = 512;    // Longest request queue of one owner.
  std::int64_t deadline_ms = 10'000;  // Default deadline of a request.
  bool spread = true;  // Spread over failure domains, then racks.
};

// The configuration of one cell, as its operators write it.
struct cell_document {
  std::string cell;
  std::vector<team_config> teams;
  std::vector<workload_config> workloads;
  std::vector<std::string> drain;  // Ids of VMs that receive no new work.

  const workload_config* FindWorkload(std::string_view name) const;
  const team_config* FindTeam(std::string_view name) const;
};

// One error in a YAML text.
struct config_fault {
  std::string file;
  int line = 0;  // 1-based; 0 for the whole file.
  std::string key;
  std::string message;
  std::string remedy;
};

// Formats a fault as "file:line: key: message; remedy".
std::string Describe(const config_fault& fault);

// Result of a check: the parsed document, or all of its faults.
struct document_check {
  std::shared_ptr<const cell_document> document;  // Null if there are faults.
  std::vector<config_fault> faults;
};

// Parses and validates a document. `file` appears only in the faults. The
// policy of each workload must be in `policy_names`; an empty list skips this
// check.
document_check CheckDocument(std::string_view file, std::string_view text,
                             const std::vector<std::string>& policy_names);

// The document as the key-value service stores it: its text and revision, and
// the audit record of the change that wrote it.
struct document_envelope {
  std::uint64_t revision = 0;  // Starts at 1 and increases by 1.
  std::uint64_t previous_revision = 0;
  std::string author;
  std::int64_t written_at_ms = 0;  // Wall clock, only shown to people.
  std::string change_id;           // Random, to distinguish equal texts.
  std::string summary;             // One line about the change.
  std::string text;                // YAML.
};

std::string EncodeEnvelope(const document_envelope& envelope);
result<document_envelope> DecodeEnvelope(std::string_view json);

// Returns the audit entry of a revision as JSON: the envelope without the text.
std::string EncodeAuditEntry(const document_envelope& envelope);

// Returns one line for each difference, for example "workload listings:
// instances 35 -> 36".
std::vector<std::string> DiffDocuments(const cell_document& before,
                                       const cell_document& after);

// Keys in the key-value service.
inline constexpr std::string_view kClusterPrefix = "apricotwheel/cluster/";
inline constexpr std::string_view kDocumentKey =
    "apricotwheel/cluster/document";
inline constexpr std::string_view kAuditPrefix = "apricotwheel/audit/";

}  // namespace apricotwheel
