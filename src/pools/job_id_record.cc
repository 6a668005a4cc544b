#include "pools/job_id_record.h"

#include <algorithm>

#include "graph/record_reading.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

}  // namespace

std::string JobIdKey(std::string_view job_id) {
  return std::string(kJobIdPrefix) + std::string(job_id);
}

std::string EncodeJobId(const job_id_record& record) {
  json out = json::object();
  if (record.IsAccepted()) {
    out["partition"] = record.partition;
    if (!record.organisation.empty()) {
      out["organisation"] = record.organisation;
    }
    return out.dump();
  }
  json callers = json::array();
  for (const caller_identity& caller : record.cancelled_by) {
    json row = json::object();
    if (!caller.organisation.empty()) row["organisation"] = caller.organisation;
    if (!caller.keyless_queue.empty()) row["queue"] = caller.keyless_queue;
    callers.push_back(std::move(row));
  }
  out["cancelled_by"] = std::move(callers);
  return out.dump();
}

result<job_id_record> DecodeJobId(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<job_id_record> {
    job_id_record record;
    record.partition = in.value("partition", "");
    record.organisation = in.value("organisation", "");
    if (record.IsAccepted()) return record;
    for (const json& row : in.at("cancelled_by")) {
      record.cancelled_by.push_back(
          {row.value("organisation", ""), row.value("queue", "")});
    }
    return record;
  });
}

result<std::optional<stored_job_id>> ReadJobId(kv_client& kv,
                                               std::string_view job_id) {
  BOOST_LEAF_AUTO(entry, kv.Get(JobIdKey(job_id)));
  if (!entry) return std::optional<stored_job_id>();
  BOOST_LEAF_AUTO(record, DecodeJobId(entry->value));
  return std::optional(stored_job_id{std::move(record), entry->revision});
}

bool IsCancelledFor(const job_id_record& record, const job_origin& job) {
  return std::any_of(
      record.cancelled_by.begin(), record.cancelled_by.end(),
      [&](const caller_identity& caller) { return MayAccess(caller, job); });
}

bool AddCanceller(job_id_record& record, const caller_identity& caller) {
  const bool is_known =
      std::any_of(record.cancelled_by.begin(), record.cancelled_by.end(),
                  [&](const caller_identity& each) {
                    return each.organisation == caller.organisation &&
                           each.keyless_queue == caller.keyless_queue;
                  });
  if (is_known) return true;
  if (record.cancelled_by.size() >= kMaxCancellersOfId) return false;
  record.cancelled_by.push_back(caller);
  return true;
}

}  // namespace apricotwheel
