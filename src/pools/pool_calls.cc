#include "pools/pool_calls.h"

#include "graph/record_reading.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

}  // namespace

std::string_view ToString(job_answer answer) {
  switch (answer) {
    case job_answer::kAccepted:
      return "accepted";
    case job_answer::kRefused:
      return "refused";
    case job_answer::kUnavailable:
      return "unavailable";
    case job_answer::kNotStored:
      return "not_stored";
    case job_answer::kUnknown:
      return "unknown";
    case job_answer::kState:
      return "state";
    case job_answer::kCancelled:
      return "cancelled";
    case job_answer::kAbsent:
      return "absent";
    case job_answer::kCount:
      return "count";
    case job_answer::kNoQueue:
      return "no_queue";
    case job_answer::kInvalid:
      return "invalid";
  }
  return "unknown";
}

wire_message MakePoolReply(std::string body) {
  wire::pool_replyT reply;
  reply.body = std::move(body);
  return MakeMessage(std::move(reply));
}

std::string EncodeReply(const gate_reply& reply) {
  return json{{"answer", static_cast<int>(reply.answer)},
              {"state", ToString(reply.state)},
              {"count", reply.count},
              {"retry_after_ms", reply.retry_after_ms},
              {"reason", reply.reason}}
      .dump();
}

result<gate_reply> DecodeReply(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<gate_reply> {
    gate_reply reply;
    const int answer = in.at("answer").get<int>();
    if (answer < 0 || answer > static_cast<int>(job_answer::kInvalid)) {
      return CorruptRecord("the reply has an unknown answer");
    }
    reply.answer = static_cast<job_answer>(answer);
    BOOST_LEAF_ASSIGN(
        reply.state,
        ParseJobState(in.at("state").get_ref<const std::string&>()));
    in.at("count").get_to(reply.count);
    in.at("retry_after_ms").get_to(reply.retry_after_ms);
    in.at("reason").get_to(reply.reason);
    return reply;
  });
}

std::string EncodeReference(const job_reference& reference) {
  return json{{"pool", reference.pool}, {"name", reference.name}}.dump();
}

result<job_reference> DecodeReference(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<job_reference> {
    return job_reference{in.at("pool").get<std::string>(),
                         in.at("name").get<std::string>()};
  });
}

std::string EncodeTake(const take_call& call) {
  return json{{"pool", call.pool},
              {"epoch", call.epoch},
              {"only_if_quick", call.only_if_quick}}
      .dump();
}

result<take_call> DecodeTake(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<take_call> {
    return take_call{in.at("pool").get<std::string>(),
                     in.at("epoch").get<std::uint64_t>(),
                     in.at("only_if_quick").get<bool>()};
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
