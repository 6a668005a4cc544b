#include "pools/owner_ranking.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

#include "graph/record_reading.h"

namespace apricotwheel {

namespace {

// An owner that uses one thousandth of a core sends and receives this much:
// about 0.3 of a core and 8 Mbit/s for 800 starts a second.
constexpr std::int64_t kLinkKbpsPerProcessorMilli = 25;
// The part of its processor that a member counts for after it was overloaded.
// It loses its rank to members of its own size, and keeps it before members
// that are much smaller.
constexpr std::int64_t kOverloadedDivisor = 4;
// Delay between the candidates that usually decide an election, so that one
// transaction does.
constexpr auto kRankDelay = milliseconds(120);
constexpr std::size_t kSpacedRanks = 4;
// Later candidates act only if all of these fail, which is rare. A pool must
// not be vacant for seconds because there are many members.
constexpr auto kLateRankDelay = milliseconds(20);
constexpr auto kMaxElectionDelay = milliseconds(1500);
// Scheduling delays above this show that the owner lacks processor time; an
// owner that keeps up decides within milliseconds.
constexpr auto kOverloadDelay = milliseconds(40);
// One period may be slow for other reasons, such as loading the pool.
constexpr int kOverloadPeriods = 3;
// A move interrupts the pool for 0.1 to 0.2 s, and a new owner is busy for its
// first seconds.
constexpr auto kMinTenure = milliseconds(4000);
// Doublings of the minimum tenure, one for each member that was overloaded
// recently: if none can carry a pool, its moves become rare.
constexpr std::size_t kMaxTenureDoublings = 6;
// A pool moves without overload only if the processor is this many times as
// large, which equal members never fulfil.
constexpr std::int64_t kStrongerFactor = 2;
// An overloaded owner moves its pool only to a member of about its own size or
// more, in percent of its own size.
constexpr std::int64_t kEqualPercent = 75;
// An owner that is overloaded within this time after its takeover got the
// overload with the pool. A detector takes 3 s, and a queue that was short at
// the takeover needs some seconds to grow again.
constexpr auto kInheritedOverload = milliseconds(10'000);

std::uint64_t RendezvousScore(std::string_view pool,
                              std::string_view member_id) {
  const std::string text = std::string(pool) + "/" + std::string(member_id);
  return XXH3_64bits(text.data(), text.size());
}

std::int64_t NominalProcessorMilli(const owner_candidate& candidate) {
  const member_capacity& capacity = candidate.capacity;
  std::int64_t usable_milli = capacity.processor_milli;
  if (capacity.link_kbps > 0) {
    usable_milli =
        std::min(usable_milli, capacity.link_kbps / kLinkKbpsPerProcessorMilli);
  }
  return usable_milli / (static_cast<std::int64_t>(candidate.other_pools) + 1);
}

// Sorts by ascending `order_of`.
template <class Order>
std::vector<owner_candidate> SortBy(std::vector<owner_candidate> candidates,
                                    Order order_of) {
  std::sort(candidates.begin(), candidates.end(),
            [&](const owner_candidate& left, const owner_candidate& right) {
              return order_of(left) < order_of(right);
            });
  return candidates;
}

}  // namespace

std::string EncodeCapacity(const member_capacity& capacity) {
  return nlohmann::json{{"processor_milli", capacity.processor_milli},
                        {"overloaded", capacity.is_overloaded},
                        {"link_kbps", capacity.link_kbps},
                        {"partitions", capacity.knows_partitions},
                        {"loans", capacity.knows_loans},
                        {"confirmations", capacity.knows_confirmations},
                        {"job_memory_bytes", capacity.job_memory_bytes}}
      .dump();
}

result<member_capacity> DecodeCapacity(std::string_view text) {
  return ReadRecord(
      text, [](const nlohmann::json& in) -> result<member_capacity> {
        return member_capacity{in.at("processor_milli").get<std::int64_t>(),
                               in.value("overloaded", false),
                               in.value("link_kbps", std::int64_t{0}),
                               in.value("partitions", false),
                               in.value("loans", false),
                               in.value("confirmations", false),
                               in.value("job_memory_bytes", std::int64_t{0})};
      });
}

std::int64_t ExpectedProcessorMilli(const owner_candidate& candidate) {
  const std::int64_t nominal = NominalProcessorMilli(candidate);
  return candidate.capacity.is_overloaded ? nominal / kOverloadedDivisor
                                          : nominal;
}

std::vector<owner_candidate> RankForElection(
    std::string_view pool, std::vector<owner_candidate> candidates) {
  return SortBy(std::move(candidates), [&](const owner_candidate& one) {
    return std::tuple(-ExpectedProcessorMilli(one), one.other_pools,
                      RendezvousScore(pool, one.id));
  });
}

std::vector<owner_candidate> RankSuccessors(
    std::string_view pool, std::vector<owner_candidate> candidates) {
  // Planned restarts go from daemon to daemon, so the member that joined last
  // is the last to be restarted again.
  return SortBy(std::move(candidates), [&](const owner_candidate& one) {
    return std::tuple(-ExpectedProcessorMilli(one), one.other_pools,
                      -static_cast<std::int64_t>(one.joined_revision),
                      RendezvousScore(pool, one.id));
  });
}

std::size_t CountComparable(std::span<const owner_candidate> ranked) {
  if (ranked.empty()) return 0;
  const std::int64_t best = ExpectedProcessorMilli(ranked.front());
  return static_cast<std::size_t>(std::count_if(
      ranked.begin(), ranked.end(), [&](const owner_candidate& one) {
        return ExpectedProcessorMilli(one) * kStrongerFactor > best ||
               ExpectedProcessorMilli(one) == best;
      }));
}

duration ElectionDelay(std::size_t rank) {
  const std::size_t spaced = std::min(rank, kSpacedRanks);
  const duration delay = spaced * duration(kRankDelay) +
                         (rank - spaced) * duration(kLateRankDelay);
  return std::min<duration>(delay, kMaxElectionDelay);
}

bool overload_detector::AddPeriod(duration mean_delay) {
  slow_periods_ = mean_delay > kOverloadDelay ? slow_periods_ + 1 : 0;
  return slow_periods_ >= kOverloadPeriods;
}

bool IsOverloadedByLoad(const move_inputs& inputs) {
  return inputs.is_previous_owner_overloaded && inputs.first_overload_after &&
         *inputs.first_overload_after <= kInheritedOverload;
}

move_cause DecideMove(const move_inputs& inputs) {
  if (!inputs.best || !inputs.is_takeover_complete ||
      inputs.tenure < kMinTenure) {
    return move_cause::kNone;
  }
  const std::int64_t own = NominalProcessorMilli(inputs.owner);
  const std::int64_t offered = ExpectedProcessorMilli(*inputs.best);
  if (offered > 0 && offered >= kStrongerFactor * own) {
    return move_cause::kStrongerMember;
  }
  if (!inputs.is_overloaded) return move_cause::kNone;
  const duration min_tenure =
      duration(kMinTenure) *
      (1 << std::min(inputs.overloaded_members, kMaxTenureDoublings));
  if (offered <= 0 || inputs.tenure < min_tenure) return move_cause::kNone;
  const bool is_larger = offered * kEqualPercent > own * 100;
  const bool is_equal = offered * 100 >= own * kEqualPercent;
  return is_larger || (is_equal && !IsOverloadedByLoad(inputs))
             ? move_cause::kOverload
             : move_cause::kNone;
}

}  // namespace apricotwheel
