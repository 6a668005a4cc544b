#include "cluster/cluster_view.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace apricotwheel {

namespace {

using nlohmann::json;

boost::leaf::error_id MakeDecodeError(const std::string& what) {
  return Fail(error_kind::kCorrupt, what,
              "check who else writes under apricotwheel/cluster/");
}

// Parses one JSON object. Rejects duplicate keys, because parsers differ in
// which of the values they keep.
result<json> ParseObject(std::string_view text) {
  std::vector<std::set<std::string>> open_objects;
  bool has_duplicate = false;
  const auto check = [&](int, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start) open_objects.emplace_back();
    if (event == json::parse_event_t::object_end) open_objects.pop_back();
    if (event == json::parse_event_t::key &&
        !open_objects.back().insert(parsed.get<std::string>()).second) {
      has_duplicate = true;
    }
    return true;
  };
  auto parsed = json::parse(text, check, false);
  if (parsed.is_discarded() || !parsed.is_object()) {
    return MakeDecodeError("the value is not a JSON object");
  }
  if (has_duplicate) return MakeDecodeError("an object has a duplicate key");
  return parsed;
}

result<void> CheckKeys(const json& object,
                       std::initializer_list<const char*> keys) {
  if (!object.is_object() || object.size() != keys.size()) {
    return MakeDecodeError("an object has missing or unknown fields");
  }
  for (const char* key : keys) {
    if (!object.contains(key)) {
      return MakeDecodeError(std::string("the field '") + key + "' is missing");
    }
  }
  return {};
}

json ToJson(const ownership& entry) {
  return {{"owner", entry.owner}, {"epoch", entry.epoch}};
}

result<ownership> DecodeOwnership(const json& object) {
  BOOST_LEAF_CHECK(CheckKeys(object, {"owner", "epoch"}));
  if (!object["owner"].is_string() || !object["epoch"].is_number_unsigned()) {
    return MakeDecodeError("an ownership entry has a field of the wrong type");
  }
  ownership entry{object["owner"].get<std::string>(),
                  object["epoch"].get<std::uint64_t>()};
  if (!entry.owner.empty() && entry.epoch == 0) {
    return MakeDecodeError("an ownership entry with an owner has epoch 0");
  }
  return entry;
}

std::string ShardKey(std::uint32_t shard) {
  return "shard/" + std::to_string(shard);
}

std::string ChooseOwner(std::span<const member> members, std::string_view key) {
  const member* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& candidate : members) {
    if (candidate.leaving) continue;
    // DecodeMember rejects ids that contain the separator.
    std::string text = candidate.id;
    text += '\0';
    text += key;
    const auto score = XXH3_64bits(text.data(), text.size());
    if (best == nullptr || score > best_score ||
        (score == best_score && candidate.id < best->id)) {
      best = &candidate;
      best_score = score;
    }
  }
  return best == nullptr ? std::string() : best->id;
}

ownership PlanOwner(const ownership& current, std::span<const member> members,
                    std::string_view key) {
  // A leaving member keeps its ownership until it hands it over or its record
  // is deleted. An earlier change of owner would interrupt its requests.
  const bool hands_over =
      std::any_of(members.begin(), members.end(), [&](const member& candidate) {
        return candidate.leaving && candidate.id == current.owner;
      });
  if (hands_over) return current;
  auto owner = ChooseOwner(members, key);
  if (owner == current.owner) return current;
  const auto epoch = owner.empty() ? current.epoch : current.epoch + 1;
  return {std::move(owner), epoch};
}

}  // namespace

const member* cluster_view::FindMember(std::string_view id) const {
  const auto found =
      std::lower_bound(members.begin(), members.end(), id,
                       [](const member& left, std::string_view right) {
                         return left.id < right;
                       });
  return found != members.end() && found->id == id ? &*found : nullptr;
}

assignment PlanAssignment(const assignment& current,
                          std::span<const member> members,
                          std::span<const std::string> partitions) {
  assignment next = current;
  const std::set<std::string_view> listed(partitions.begin(), partitions.end());
  for (auto& [name, entry] : next.partitions) {
    if (!listed.contains(name)) entry.owner.clear();
  }
  for (const auto& name : partitions) {
    auto& entry = next.partitions[name];
    entry = PlanOwner(entry, members, name);
  }
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    auto& entry = next.shards[shard];
    entry = PlanOwner(entry, members, ShardKey(shard));
  }
  return next;
}

std::string EncodeAssignment(const assignment& owners) {
  json partitions = json::object();
  for (const auto& [name, entry] : owners.partitions) {
    partitions[name] = ToJson(entry);
  }
  json shards = json::array();
  for (const auto& entry : owners.shards) shards.push_back(ToJson(entry));
  return json{{"partitions", partitions}, {"shards", shards}}.dump();
}

result<assignment> DecodeAssignment(std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  BOOST_LEAF_CHECK(CheckKeys(object, {"partitions", "shards"}));
  const auto& shards = object["shards"];
  if (!object["partitions"].is_object() || !shards.is_array() ||
      shards.size() != kShardCount) {
    return MakeDecodeError(
        "the assignment has no partitions or does not have 32 shards");
  }
  assignment owners;
  for (const auto& [name, value] : object["partitions"].items()) {
    BOOST_LEAF_ASSIGN(owners.partitions[name], DecodeOwnership(value));
  }
  for (std::uint32_t shard = 0; shard < kShardCount; ++shard) {
    BOOST_LEAF_ASSIGN(owners.shards[shard], DecodeOwnership(shards[shard]));
  }
  return owners;
}

std::string EncodeMember(const member& record) {
  return json{{"id", record.id},
              {"name", record.name},
              {"failure_domain", record.failure_domain},
              {"http_address", record.http_address},
              {"peer_address", record.peer_address},
              {"leaving", record.leaving}}
      .dump();
}

result<member> DecodeMember(std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  BOOST_LEAF_CHECK(
      CheckKeys(object, {"id", "name", "failure_domain", "http_address",
                         "peer_address", "leaving"}));
  for (const auto& [name, value] : object.items()) {
    if (name == "leaving" ? !value.is_boolean() : !value.is_string()) {
      return MakeDecodeError("the member field '" + name +
                             "' has the wrong type");
    }
  }
  member record{object["id"].get<std::string>(),
                object["name"].get<std::string>(),
                object["failure_domain"].get<std::string>(),
                object["http_address"].get<std::string>(),
                object["peer_address"].get<std::string>(),
                object["leaving"].get<bool>()};
  if (record.id.empty() || record.id.find('\0') != std::string::npos) {
    return MakeDecodeError(
        "the id of a member is empty or contains a NUL byte");
  }
  return record;
}

std::uint32_t ShardOf(std::string_view key) {
  return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) %
                                    kShardCount);
}

}  // namespace apricotwheel
