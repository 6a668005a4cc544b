#include "pools/pool_calls.h"

#include "graph/record_reading.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

}  // namespace

std::string_view ToString(job_call_status status) {
  switch (status) {
    case job_call_status::kAccepted:
      return "accepted";
    case job_call_status::kRefused:
      return "refused";
    case job_call_status::kUnavailable:
      return "unavailable";
    case job_call_status::kNotStored:
      return "not_stored";
    case job_call_status::kUnknown:
      return "unknown";
    case job_call_status::kState:
      return "state";
    case job_call_status::kCancelled:
      return "cancelled";
    case job_call_status::kAbsent:
      return "absent";
    case job_call_status::kCount:
      return "count";
    case job_call_status::kNoQueue:
      return "no_queue";
    case job_call_status::kInvalid:
      return "invalid";
    case job_call_status::kMoved:
      return "moved";
    case job_call_status::kForbidden:
      return "forbidden";
    case job_call_status::kRejected:
      return "rejected";
  }
  return "unknown";
}

wire_message MakePoolCall(std::string_view topic, std::string body) {
  wire::pool_callT call;
  call.topic = topic;
  call.body = std::move(body);
  return MakeMessage(std::move(call));
}

wire_message MakePoolReply(std::string body) {
  wire::pool_replyT reply;
  reply.body = std::move(body);
  return MakeMessage(std::move(reply));
}

std::string EncodeResponse(const job_call_response& response) {
  json out = {{"answer", static_cast<int>(response.status)},
              {"state", ToString(response.state)},
              {"count", response.count},
              {"retry_after_ms", response.retry_after_ms},
              {"reason", response.reason}};
  if (!response.moved_to.empty()) out["moved_to"] = response.moved_to;
  return out.dump();
}

result<job_call_response> DecodeResponse(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<job_call_response> {
    job_call_response response;
    const int status = in.at("answer").get<int>();
    if (status < 0 || status > static_cast<int>(job_call_status::kRejected)) {
      return CorruptRecord("the response has an unknown status");
    }
    response.status = static_cast<job_call_status>(status);
    BOOST_LEAF_ASSIGN(
        response.state,
        ParseJobState(in.at("state").get_ref<const std::string&>()));
    in.at("count").get_to(response.count);
    in.at("retry_after_ms").get_to(response.retry_after_ms);
    in.at("reason").get_to(response.reason);
    response.moved_to = in.value("moved_to", std::string());
    return response;
  });
}

std::string EncodeReport(const partition_report& report) {
  return json{{"partition", report.partition},
              {"backlog_s", report.load.backlog_seconds},
              {"busy", report.load.busy_share},
              {"workers", report.load.has_workers}}
      .dump();
}

result<partition_report> DecodeReport(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<partition_report> {
    partition_report report;
    in.at("partition").get_to(report.partition);
    in.at("backlog_s").get_to(report.load.backlog_seconds);
    in.at("busy").get_to(report.load.busy_share);
    in.at("workers").get_to(report.load.has_workers);
    if (!(report.load.backlog_seconds >= 0) || !(report.load.busy_share >= 0)) {
      return CorruptRecord("the load of a partition is negative");
    }
    return report;
  });
}

std::string EncodeJobList(const job_list& list) {
  return json{{"partition", list.partition}, {"jobs", list.jobs}}.dump();
}

result<job_list> DecodeJobList(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<job_list> {
    return job_list{in.at("partition").get<std::string>(),
                    in.at("jobs").get<std::vector<std::string>>()};
  });
}

std::string EncodeReference(const job_reference& reference) {
  json out = {{"pool", reference.pool}, {"name", reference.name}};
  const caller_identity& caller = reference.caller;
  if (!caller.organisation.empty()) out["organisation"] = caller.organisation;
  if (!caller.keyless_queue.empty()) {
    out["keyless_queue"] = caller.keyless_queue;
  }
  return out.dump();
}

result<job_reference> DecodeReference(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<job_reference> {
    job_reference reference;
    in.at("pool").get_to(reference.pool);
    in.at("name").get_to(reference.name);
    reference.caller.organisation = in.value("organisation", "");
    reference.caller.keyless_queue = in.value("keyless_queue", "");
    return reference;
  });
}

std::string EncodeTakeover(const takeover_request& call) {
  return json{{"pool", call.pool},
              {"epoch", call.epoch},
              {"only_if_quick", call.only_if_quick}}
      .dump();
}

result<takeover_request> DecodeTakeover(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<takeover_request> {
    return takeover_request{in.at("pool").get<std::string>(),
                            in.at("epoch").get<std::uint64_t>(),
                            in.at("only_if_quick").get<bool>()};
  });
}

std::string EncodeNotice(const ownership_notice& notice) {
  return json{{"pool", notice.pool},
              {"epoch", notice.epoch},
              {"question", notice.question},
              {"members", notice.members}}
      .dump();
}

result<ownership_notice> DecodeNotice(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<ownership_notice> {
    return ownership_notice{in.at("pool").get<std::string>(),
                            in.at("epoch").get<std::uint64_t>(),
                            in.at("question").get<std::uint64_t>(),
                            in.at("members").get<std::uint64_t>()};
  });
}

std::string EncodeRelease(const lease_release& release) {
  return json{{"pool", release.pool},
              {"epoch", release.epoch},
              {"remaining_ms", release.remaining_ms},
              {"others_remaining_ms", release.others_remaining_ms}}
      .dump();
}

result<lease_release> DecodeRelease(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<lease_release> {
    lease_release release;
    in.at("pool").get_to(release.pool);
    in.at("epoch").get_to(release.epoch);
    in.at("others_remaining_ms").get_to(release.others_remaining_ms);
    bool is_valid = release.others_remaining_ms >= 0;
    for (const auto& [worker, value] :
         in.at("remaining_ms").get_ref<const json::object_t&>()) {
      const auto remaining_ms = value.get<std::int64_t>();
      is_valid = is_valid && remaining_ms >= 0;
      release.remaining_ms[worker] = remaining_ms;
    }
    if (!is_valid) return CorruptRecord("the rest of a lease is negative");
    return release;
  });
}

std::string EncodeOwner(const known_owner& owner) {
  return json{{"member", owner.member_id},
              {"epoch", owner.epoch},
              {"address", owner.peer_address}}
      .dump();
}

result<known_owner> DecodeOwner(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<known_owner> {
    return known_owner{in.at("member").get<std::string>(),
                       in.at("epoch").get<std::uint64_t>(),
                       in.at("address").get<std::string>()};
  });
}

}  // namespace apricotwheel
