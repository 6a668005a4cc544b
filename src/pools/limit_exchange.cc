#include "pools/limit_exchange.h"

#include <algorithm>
#include <utility>

#include "pools/pool_calls.h"
#include "pools/pool_events.h"

namespace apricotwheel {

namespace {

constexpr std::string_view kRecordsPrefix = "apricotwheel/limits/";
// How often the states of the owners here are compared with their shares.
constexpr auto kRoundInterval = milliseconds(100);
// The records are read at the shorter interval while a portion holds a step up
// or a limit has changed, and at the longer one otherwise.
constexpr auto kActiveReadInterval = milliseconds(200);
constexpr auto kCalmReadInterval = milliseconds(3000);
constexpr auto kReadRetryInterval = milliseconds(1000);
constexpr auto kStoreTimeout = milliseconds(500);
// An owner makes at most two writes in this time for each organisation. Short
// jobs have about 0.6 s of slack, so that an exchange that takes a second makes
// them late.
constexpr auto kWriteInterval = milliseconds(400);
constexpr auto kRequestInterval = milliseconds(200);
// The owner that is asked reads and writes the record.
constexpr auto kRequestTimeout = milliseconds(400);
constexpr auto kSilentMemberTime = milliseconds(2000);
// What is free is taken by an owner that does not need it once the record has
// not changed for this time. Until then an owner that asked for it takes it.
constexpr auto kCalmTime = milliseconds(3000);
// All owners that the store reaches know a configuration 3 s after its write.
constexpr auto kLimitApplyTime = milliseconds(4000);
// Longer than the runs of a lost owner can last: its authority and their leases
// end after 36.8 s at most.
constexpr auto kMissingPartitionTime = milliseconds(40'000);

const std::array<const char*, kResourceCount> kResourceNames{
    "cpu_milli", "memory_mib", "accelerators"};

}  // namespace

limit_exchange::limit_exchange(limit_exchange_options options)
    : options_(std::move(options)), signal_(options_.clock) {}

result<void> limit_exchange::Start() {
  return threads_.Spawn("pool-limits", [this] { Run(); });
}

void limit_exchange::Stop() {
  signal_.RequestStop();
  threads_.JoinAll();
}

std::string limit_exchange::KeyOf(const std::string& organisation) {
  return std::string(kRecordsPrefix) + organisation;
}

std::vector<limit_exchange::known_owner_state> limit_exchange::CollectOwners()
    const {
  std::vector<known_owner_state> owners;
  for (const auto& [partition, owner] : options_.owners()) {
    auto states = owner->LimitStates();
    if (!states || states->by_organisation.empty()) continue;
    owners.push_back({partition, owner, std::move(*states)});
  }
  return owners;
}

void limit_exchange::Run() {
  while (!signal_.WaitFor(kRoundInterval)) {
    const auto owners = CollectOwners();
    {
      const std::lock_guard lock(mutex_);
      std::erase_if(shares_, [&](const auto& row) {
        return std::none_of(owners.begin(), owners.end(),
                            [&](const known_owner_state& each) {
                              return each.partition == row.first &&
                                     each.owner->Epoch() == row.second.epoch;
                            });
      });
      if (owners.empty()) continue;
      for (const known_owner_state& each : owners) {
        owner_shares& shares = shares_[each.partition];
        shares.epoch = each.owner->Epoch();
        for (const auto& [organisation, state] : each.states.by_organisation) {
          owner_share& known = shares.by_organisation[organisation];
          if (known.limit == state.limit) continue;
          known.limit = state.limit;
          known.limit_changed_at = options_.clock->Now();
        }
      }
      NotePartitions();
      if (!ReadIfDue(owners)) continue;
      for (const known_owner_state& each : owners) {
        for (const auto& [organisation, state] : each.states.by_organisation) {
          if (signal_.StopRequested()) return;
          UpdateRow(each, organisation, state,
                    shares_[each.partition].by_organisation[organisation]);
        }
      }
    }
    for (const known_owner_state& each : owners) {
      for (const auto& [organisation, state] : each.states.by_organisation) {
        if (signal_.StopRequested()) return;
        RequestParts(each, organisation, state);
      }
    }
  }
}

void limit_exchange::NotePartitions() {
  const auto now = options_.clock->Now();
  partitions_ = options_.directory->Pools();
  const auto exists = [this](const std::string& partition) {
    return std::find(partitions_.begin(), partitions_.end(), partition) !=
           partitions_.end();
  };
  std::erase_if(missing_since_,
                [&](const auto& row) { return exists(row.first); });
  for (const auto& [partition, shares] : shares_) {
    for (const auto& [organisation, known] : shares.by_organisation) {
      for (const auto& [other, row] : known.share.Record().rows) {
        if (!exists(other)) missing_since_.try_emplace(other, now);
      }
    }
  }
}

void limit_exchange::RemoveOldRows(limit_record& record) {
  const auto now = options_.clock->Now();
  std::erase_if(record.rows, [&](const auto& row) {
    const auto missing = missing_since_.find(row.first);
    return missing != missing_since_.end() &&
           now - missing->second >= kMissingPartitionTime;
  });
}

bool limit_exchange::ReadIfDue(const std::vector<known_owner_state>& owners) {
  const auto now = options_.clock->Now();
  if (now < retry_at_) return false;
  bool is_active = false;
  bool is_unknown = false;
  for (const known_owner_state& each : owners) {
    for (const auto& [organisation, state] : each.states.by_organisation) {
      const owner_share& known =
          shares_[each.partition].by_organisation[organisation];
      const bool is_blocked = state.demand && state.demand->blocked_rank;
      is_unknown = is_unknown || !known.share.IsKnown();
      is_active = is_active || is_blocked ||
                  now - known.limit_changed_at < kLimitApplyTime;
    }
  }
  const duration interval = is_active ? kActiveReadInterval : kCalmReadInterval;
  if (!is_unknown && now - read_at_ < interval) return true;
  const auto listing =
      Attempt([&] { return options_.kv->ListWithRevision(kRecordsPrefix); });
  if (!listing) {
    retry_at_ = options_.clock->Now() + duration(kReadRetryInterval);
    return false;
  }
  read_at_ = options_.clock->Now();
  ApplyListing(*listing.value, owners);
  return true;
}

void limit_exchange::ApplyListing(
    const kv_listing& listing, const std::vector<known_owner_state>& owners) {
  std::map<std::string, std::pair<limit_record, std::uint64_t>> records;
  std::vector<std::string> corrupt;
  for (const kv_entry& entry : listing.entries) {
    const std::string organisation = entry.key.substr(kRecordsPrefix.size());
    auto record = Attempt([&] { return DecodeLimitRecord(entry.value); });
    if (record) {
      records[organisation] = {std::move(*record.value), entry.revision};
      continue;
    }
    corrupt.push_back(organisation);
    Emit(options_.log, pool_events::kRecordInvalid,
         {Field("key", entry.key), Field("reason", Describe(record.failure))});
  }
  for (const known_owner_state& each : owners) {
    for (auto& [organisation, known] :
         shares_[each.partition].by_organisation) {
      const auto found = records.find(organisation);
      if (found != records.end()) {
        ApplyRead(known, each.partition, found->second.first,
                  found->second.second);
      } else if (std::find(corrupt.begin(), corrupt.end(), organisation) ==
                 corrupt.end()) {
        // A record that was removed by hand is written anew.
        if (listing.revision > known.share.Revision()) {
          if (known.share.Revision() > 0) known.share = {};
          ApplyRead(known, each.partition, {}, 0);
        }
      }
    }
  }
}

void limit_exchange::ApplyRead(owner_share& known, const std::string& partition,
                               const limit_record& record,
                               std::uint64_t revision) {
  if (!known.share.OnRead(partition, record, revision)) return;
  if (known.revision == revision && known.changed_at != time_point{}) return;
  known.revision = revision;
  known.changed_at = options_.clock->Now();
}

bool limit_exchange::ReadRecordAgain(const std::string& organisation,
                                     const std::string& partition,
                                     owner_share& known) {
  const auto entry = Attempt([&] {
    return options_.kv->Get(KeyOf(organisation), duration(kStoreTimeout));
  });
  if (!entry || !*entry.value) return false;
  const auto record =
      Attempt([&] { return DecodeLimitRecord((*entry.value)->value); });
  if (!record) return false;
  ApplyRead(known, partition, *record.value, (*entry.value)->revision);
  return true;
}

limit_inputs limit_exchange::InputsOf(const known_owner_state& owner,
                                      const organisation_state& state,
                                      const owner_share& known) const {
  limit_inputs inputs;
  inputs.state = state;
  inputs.capacity = owner.states.capacity;
  inputs.partitions = partitions_;
  inputs.is_calm = known.share.Revision() > 0 &&
                   options_.clock->Now() - known.changed_at >= kCalmTime;
  return inputs;
}

limit_portion limit_exchange::PortionOf(const std::string& partition,
                                        const organisation_state& state,
                                        const owner_share& known) const {
  const bool may_be_outdated =
      options_.clock->Now() - known.limit_changed_at < kLimitApplyTime;
  return MakePortion(known.share, partition, state.limit, may_be_outdated);
}

void limit_exchange::PassPortion(const known_owner_state& owner,
                                 const std::string& organisation,
                                 const organisation_state& state,
                                 const owner_share& known) {
  const limit_portion portion = PortionOf(owner.partition, state, known);
  owner.owner->SetPortion(organisation, portion);
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (state.limit[i] == 0) continue;
    const prometheus::Labels labels{{"organisation", organisation},
                                    {"partition", owner.partition},
                                    {"resource", kResourceNames[i]}};
    options_.metrics->organisation_use.Add(labels).Set(
        static_cast<double>(state.use[i]));
    options_.metrics->organisation_portion.Add(labels).Set(
        static_cast<double>(AmountOfParts(state.limit[i], portion.parts[i])));
  }
}

bool limit_exchange::MayWrite(const owner_share& known) const {
  return options_.clock->Now() - known.written_at[0] >= kWriteInterval;
}

void limit_exchange::UpdateRow(const known_owner_state& owner,
                               const std::string& organisation,
                               const organisation_state& state,
                               owner_share& known) {
  if (known.share.IsKnown()) {
    limit_record record = known.share.Record();
    const limit_inputs inputs = InputsOf(owner, state, known);
    const bool is_new = !record.rows.contains(owner.partition);
    const bool has_workers = inputs.capacity != resource_amounts{};
    RemoveOldRows(record);
    record.rows[owner.partition] =
        PlanRow(record, owner.partition, known.share.Held(), inputs);
    // The first row shares the limit by the capacities of the partitions.
    if ((!is_new || has_workers) && record != known.share.Record() &&
        MayWrite(known)) {
      Write(owner, organisation, state, known, record);
    }
  }
  PassPortion(owner, organisation, state, known);
}

void limit_exchange::Write(const known_owner_state& owner,
                           const std::string& organisation,
                           const organisation_state& state, owner_share& known,
                           const limit_record& record) {
  known.written_at = {known.written_at[1], options_.clock->Now()};
  const resource_amounts before = known.share.Held();
  known.share.BeginWrite(owner.partition, record);
  // What is given up must not be used while the write may have effect.
  PassPortion(owner, organisation, state, known);
  kv_transaction writes;
  writes.conditions = {
      {KeyOf(organisation), known.share.Revision()},
      {pool_directory::OwnerKey(owner.partition), owner.owner->Epoch()}};
  writes.puts = {{KeyOf(organisation), EncodeLimitRecord(record), {}}};
  const auto written =
      Attempt([&] { return options_.kv->Commit(writes, kStoreTimeout); });
  options_.metrics->limit_writes.Increment();
  if (written) {
    known.share.OnWritten(*written.value);
    known.revision = *written.value;
    known.changed_at = options_.clock->Now();
  } else {
    options_.metrics->limit_write_failures.Increment();
    const bool has_no_effect = written.failure.kind == error_kind::kConflict ||
                               written.failure.kind == error_kind::kUnavailable;
    if (has_no_effect) {
      known.share.OnNotWritten();
    } else {
      known.share.OnUnknown();
    }
    Emit(options_.log, pool_events::kLimitNotDivided,
         {Field("organisation", organisation),
          Field("partition", owner.partition),
          Field("reason", Describe(written.failure))});
  }
  PassPortion(owner, organisation, state, known);
  const resource_amounts& after = known.share.Held();
  if (after == before) return;
  Emit(options_.log, pool_events::kLimitDivided,
       {Field("organisation", organisation),
        Field("partition", owner.partition), Field("cpu_parts", after[0]),
        Field("memory_parts", after[1]), Field("accelerator_parts", after[2])});
}

void limit_exchange::RequestParts(const known_owner_state& owner,
                                  const std::string& organisation,
                                  const organisation_state& state) {
  std::vector<std::pair<std::int64_t, std::string>> holders;
  std::optional<limit_request> request;
  const auto plan = [&](owner_share& known) {
    request = PlanRequest(known.share.Record(), owner.partition,
                          known.share.Held(), InputsOf(owner, state, known));
  };
  {
    const std::lock_guard lock(mutex_);
    owner_share& known = shares_[owner.partition].by_organisation[organisation];
    if (!known.share.IsKnown()) return;
    const auto now = options_.clock->Now();
    if (now - known.requested_at < kRequestInterval) return;
    plan(known);
    if (!request) return;
    known.requested_at = now;
    for (const auto& [partition, row] : known.share.Record().rows) {
      std::int64_t parts = 0;
      for (std::size_t i = 0; i < kResourceCount; ++i) {
        if (request->wanted[i] > 0) parts += row.parts[i];
      }
      if (partition == owner.partition || parts == 0) continue;
      holders.emplace_back(parts, partition);
    }
  }
  std::sort(holders.rbegin(), holders.rend());
  for (const auto& [parts, partition] : holders) {
    if (signal_.StopRequested()) return;
    request->organisation = organisation;
    request->target = partition;
    if (!SendRequest(*request)) continue;
    const std::lock_guard lock(mutex_);
    owner_share& known = shares_[owner.partition].by_organisation[organisation];
    if (!ReadRecordAgain(organisation, owner.partition, known)) return;
    plan(known);
    if (!request) break;
  }
  const std::lock_guard lock(mutex_);
  UpdateRow(owner, organisation, state,
            shares_[owner.partition].by_organisation[organisation]);
}

bool limit_exchange::SendRequest(const limit_request& request) {
  const auto owner = options_.directory->OwnerOf(request.target);
  if (!owner) return false;
  options_.metrics->limit_requests.Increment();
  Emit(options_.log, pool_events::kLimitRequested,
       {Field("organisation", request.organisation),
        Field("partition", request.rank.partition),
        Field("target", request.target), Field("cpu_parts", request.wanted[0]),
        Field("memory_parts", request.wanted[1]),
        Field("accelerator_parts", request.wanted[2])});
  if (owner->member_id == options_.directory->SelfId()) {
    HandleRequest(request);
    return true;
  }
  const auto now = options_.clock->Now();
  if (silent_until_[owner->member_id] > now) return false;
  wire_message message = MakePoolCall(kLimitTopic, EncodeLimitRequest(request));
  message.body.Aspool_call()->timeout_ms = ToMs(kRequestTimeout);
  const auto reply = Attempt([&] {
    return options_.peers->Call(owner->member_id, message,
                                duration(kRequestTimeout));
  });
  if (reply) return true;
  silent_until_[owner->member_id] =
      options_.clock->Now() + duration(kSilentMemberTime);
  return false;
}

void limit_exchange::HandleRequest(const limit_request& request) {
  // The request is repeated if a call to the store is under way.
  const std::unique_lock lock(mutex_, std::try_to_lock);
  if (!lock.owns_lock()) return;
  const auto shares = shares_.find(request.target);
  if (shares == shares_.end()) return;
  const auto found = shares->second.by_organisation.find(request.organisation);
  if (found == shares->second.by_organisation.end()) return;
  owner_share& known = found->second;
  const auto owners = options_.owners();
  const auto owner = owners.find(request.target);
  if (owner == owners.end() || owner->second->Epoch() != shares->second.epoch) {
    return;
  }
  if (!MayWrite(known) || options_.clock->Now() < retry_at_) return;
  if (!ReadRecordAgain(request.organisation, request.target, known)) return;
  auto states = owner->second->LimitStates();
  if (!states || !states->by_organisation.contains(request.organisation)) {
    return;
  }
  known_owner_state giver{request.target, owner->second, std::move(*states)};
  const organisation_state state =
      giver.states.by_organisation[request.organisation];
  const resource_amounts before = known.share.Held();
  resource_amounts kept = PlanRelease(request.target, before,
                                      InputsOf(giver, state, known), request);
  if (kept == before) return;
  // No further task may start on what is given up. One that has started since
  // the state was read keeps its parts.
  limit_portion portion = PortionOf(request.target, state, known);
  portion.parts = kept;
  owner->second->SetPortion(request.organisation, portion);
  states = owner->second->LimitStates();
  if (!states) return;
  const auto latest = states->by_organisation.find(request.organisation);
  if (latest != states->by_organisation.end()) {
    const resource_amounts use =
        Sum(latest->second.use, latest->second.unknown);
    for (std::size_t i = 0; i < kResourceCount; ++i) {
      const std::int64_t needed =
          PartsForAmount(latest->second.limit[i], use[i]);
      kept[i] = std::clamp(needed, kept[i], before[i]);
    }
  }
  limit_record record = known.share.Record();
  const auto row = record.rows.find(request.target);
  if (row == record.rows.end()) return;
  row->second.parts = kept;
  Write(giver, request.organisation, state, known, record);
}

}  // namespace apricotwheel
