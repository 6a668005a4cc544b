#include "pools/limit_record.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "graph/record_reading.h"

namespace apricotwheel {

namespace {

using nlohmann::json;

resource_amounts Least(const resource_amounts& left,
                       const resource_amounts& right) {
  resource_amounts least{};
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    least[i] = std::min(left[i], right[i]);
  }
  return least;
}

// Returns the lower limit of each resource.
resource_amounts LowerLimit(const resource_amounts& left,
                            const resource_amounts& right) {
  resource_amounts lower = left;
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (IsLowered(left[i], right[i])) lower[i] = right[i];
  }
  return lower;
}

limit_record::row RowOf(const limit_record& record,
                        std::string_view partition) {
  const auto row = record.rows.find(partition);
  return row == record.rows.end() ? limit_record::row{} : row->second;
}

// Returns the parts that the partition gets of an undivided limit: its share of
// the capacity. Partitions without a row are assumed to be as large.
std::int64_t FirstParts(const limit_record& record, std::string_view partition,
                        const limit_inputs& inputs, std::size_t resource) {
  const std::int64_t own = inputs.capacity[resource];
  if (own <= 0) return 0;
  std::int64_t all = 0;
  for (const std::string& other : inputs.partitions) {
    const auto row = record.rows.find(other);
    const bool is_known = other != partition && row != record.rows.end();
    all += is_known ? row->second.capacity[resource] : own;
  }
  return own * kAllParts / std::max(all, own);
}

// Returns the parts that the owner needs for its use and for what waits.
std::int64_t NeededParts(const limit_inputs& inputs, std::size_t resource) {
  std::int64_t amount = inputs.state.use[resource];
  if (inputs.state.demand && inputs.state.demand->blocked_rank) {
    amount += inputs.state.unknown[resource] +
              inputs.state.demand->all_need[resource];
  }
  return std::min(kAllParts,
                  PartsForAmount(inputs.state.limit[resource], amount));
}

}  // namespace

std::int64_t FreeParts(const limit_record& record, std::size_t resource) {
  std::int64_t free = kAllParts;
  for (const auto& [partition, row] : record.rows) free -= row.parts[resource];
  return free;
}

std::string EncodeLimitRecord(const limit_record& record) {
  json rows = json::object();
  for (const auto& [partition, row] : record.rows) {
    rows[partition] = {{"parts", row.parts},
                       {"capacity", row.capacity},
                       {"limit", row.limit},
                       {"over", row.is_over}};
  }
  return json{{"partitions", std::move(rows)}}.dump();
}

result<limit_record> DecodeLimitRecord(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<limit_record> {
    limit_record record;
    bool is_valid = true;
    for (const auto& [partition, value] :
         in.at("partitions").get_ref<const json::object_t&>()) {
      limit_record::row& row = record.rows[partition];
      value.at("parts").get_to(row.parts);
      value.at("capacity").get_to(row.capacity);
      value.at("limit").get_to(row.limit);
      value.at("over").get_to(row.is_over);
      for (const std::int64_t parts : row.parts) {
        is_valid = is_valid && parts >= 0 && parts <= kAllParts;
      }
    }
    for (std::size_t i = 0; i < kResourceCount; ++i) {
      is_valid = is_valid && FreeParts(record, i) >= 0;
    }
    if (!is_valid) {
      return CorruptRecord("the parts of a limit are out of range");
    }
    return record;
  });
}

std::string EncodeLimitRequest(const limit_request& request) {
  return json{{"organisation", request.organisation},
              {"target", request.target},
              {"priority", request.rank.priority},
              {"submitted_at_ms", request.rank.submitted_at_ms},
              {"partition", request.rank.partition},
              {"least", request.least},
              {"wanted", request.wanted}}
      .dump();
}

result<limit_request> DecodeLimitRequest(std::string_view text) {
  return ReadRecord(text, [](const json& in) -> result<limit_request> {
    limit_request request;
    in.at("organisation").get_to(request.organisation);
    in.at("target").get_to(request.target);
    in.at("priority").get_to(request.rank.priority);
    in.at("submitted_at_ms").get_to(request.rank.submitted_at_ms);
    in.at("partition").get_to(request.rank.partition);
    in.at("least").get_to(request.least);
    in.at("wanted").get_to(request.wanted);
    for (std::size_t i = 0; i < kResourceCount; ++i) {
      if (request.least[i] < 0 || request.wanted[i] < 0) {
        return CorruptRecord("a negative part of a limit is requested");
      }
    }
    return request;
  });
}

limit_record::row PlanRow(const limit_record& record,
                          std::string_view partition,
                          const resource_amounts& held,
                          const limit_inputs& inputs) {
  const auto found = record.rows.find(partition);
  const bool is_first = found == record.rows.end();
  limit_record::row row = is_first ? limit_record::row{} : found->second;
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    const std::int64_t free = FreeParts(record, i);
    std::int64_t taken = 0;
    if (is_first) taken = FirstParts(record, partition, inputs, i);
    taken = std::max(taken, NeededParts(inputs, i) - held[i]);
    if (inputs.is_calm && inputs.capacity[i] > 0) taken = free;
    // What an open write may have released is not relied on, and not written
    // again.
    row.parts[i] = held[i] + std::clamp<std::int64_t>(taken, 0, free);
    const bool is_over = inputs.state.limit[i] > 0 &&
                         inputs.state.use[i] >
                             AmountOfParts(inputs.state.limit[i], row.parts[i]);
    // Unknown runs may be above the limit as they were before the takeover.
    if (is_over || inputs.state.is_takeover_complete) row.is_over[i] = is_over;
    // Until these are known, others must not rely on the use under a lowered
    // limit.
    if (is_first || inputs.state.is_takeover_complete ||
        !IsLowered(row.limit[i], inputs.state.limit[i])) {
      row.limit[i] = inputs.state.limit[i];
    }
  }
  if (is_first || row.parts != found->second.parts) {
    row.capacity = inputs.capacity;
  }
  return row;
}

std::optional<limit_request> PlanRequest(const limit_record& record,
                                         std::string_view partition,
                                         const resource_amounts& held,
                                         const limit_inputs& inputs) {
  limit_request request;
  request.rank = {std::numeric_limits<int>::min(), 0, std::string(partition)};
  const auto& demand = inputs.state.demand;
  const bool is_blocked = demand && demand->blocked_rank;
  if (is_blocked) {
    request.rank = *demand->blocked_rank;
    request.rank.partition = partition;
  }
  bool is_needed = false;
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (inputs.state.limit[i] == 0) continue;
    const std::int64_t have = held[i] + FreeParts(record, i);
    std::int64_t least = inputs.state.use[i];
    if (is_blocked) {
      least += inputs.state.unknown[i] + demand->blocked_need[i];
    }
    const auto missing = [&](std::int64_t needed) {
      return std::max<std::int64_t>(0, std::min(kAllParts, needed) - have);
    };
    request.least[i] = missing(PartsForAmount(inputs.state.limit[i], least));
    request.wanted[i] = missing(NeededParts(inputs, i));
    is_needed = is_needed || request.least[i] > 0 || request.wanted[i] > 0;
  }
  if (!is_needed) return std::nullopt;
  return request;
}

resource_amounts PlanRelease(std::string_view partition,
                             const resource_amounts& held,
                             const limit_inputs& inputs,
                             const limit_request& request) {
  resource_amounts kept = held;
  const auto& demand = inputs.state.demand;
  limit_rank first;
  if (demand) {
    first = demand->first_rank;
    first.partition = partition;
  }
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    const std::int64_t use = inputs.state.use[i] + inputs.state.unknown[i];
    const auto spare = [&](std::int64_t amount) {
      return std::max<std::int64_t>(
          0, held[i] - PartsForAmount(inputs.state.limit[i], amount));
    };
    const bool is_earlier = demand && first < request.rank;
    const std::int64_t for_first =
        spare(use + (is_earlier ? demand->first_need[i] : 0));
    const std::int64_t idle = spare(use + (demand ? demand->all_need[i] : 0));
    kept[i] -= std::max(std::min(request.least[i], for_first),
                        std::min(request.wanted[i], idle));
  }
  return kept;
}

bool limit_share::OnRead(std::string_view partition, const limit_record& record,
                         std::uint64_t revision) {
  if (revision < revision_) return false;
  is_known_ = true;
  revision_ = revision;
  record_ = record;
  // The write cannot take effect any more.
  if (open_ && revision > open_->condition) open_.reset();
  const limit_record::row row = RowOf(record, partition);
  held_ = open_ ? Least(row.parts, open_->parts) : row.parts;
  known_limit_ = open_ ? LowerLimit(row.limit, open_->limit) : row.limit;
  return true;
}

void limit_share::Lower(const resource_amounts& parts) {
  held_ = Least(held_, parts);
}

void limit_share::BeginWrite(std::string_view partition,
                             const limit_record& record) {
  written_row_ = RowOf(record, partition);
  written_record_ = record;
  Lower(written_row_.parts);
  known_limit_ = LowerLimit(known_limit_, written_row_.limit);
}

void limit_share::OnWritten(std::uint64_t revision) {
  open_.reset();
  revision_ = revision;
  record_ = written_record_;
  held_ = written_row_.parts;
  known_limit_ = written_row_.limit;
}

void limit_share::OnNotWritten() { is_known_ = false; }

void limit_share::OnUnknown() {
  open_write write{revision_, written_row_.parts, written_row_.limit};
  if (open_) {
    write.condition = std::max(write.condition, open_->condition);
    write.parts = Least(write.parts, open_->parts);
    write.limit = LowerLimit(write.limit, open_->limit);
  }
  open_ = write;
  is_known_ = false;
}

limit_portion MakePortion(const limit_share& share, std::string_view partition,
                          const resource_amounts& limit, bool may_be_outdated) {
  limit_portion portion;
  portion.parts = share.Held();
  // A raised limit counts once the others know that this owner may use it.
  portion.limit = LowerLimit(limit, share.KnownLimit());
  for (const auto& [other, row] : share.Record().rows) {
    if (other == partition) continue;
    for (std::size_t i = 0; i < kResourceCount; ++i) {
      const bool is_outdated =
          may_be_outdated && IsLowered(row.limit[i], limit[i]);
      portion.is_closed[i] =
          portion.is_closed[i] || row.is_over[i] || is_outdated;
    }
  }
  return portion;
}

}  // namespace apricotwheel
