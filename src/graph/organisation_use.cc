#include "graph/organisation_use.h"

#include <algorithm>

namespace apricotwheel {

namespace {

// Larger limits count as this one, so that products with parts do not overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;

}  // namespace

resource_amounts AmountsOf(const resource_vector& resources) {
  return {resources.cpu_milli, resources.memory_mib, resources.accelerators};
}

std::int64_t AmountOfParts(std::int64_t limit, std::int64_t parts) {
  return std::min(limit, kMaxAmount) * parts / kAllParts;
}

std::int64_t PartsForAmount(std::int64_t limit, std::int64_t amount) {
  if (amount <= 0 || limit <= 0) return 0;
  const std::int64_t bounded = std::min(limit, kMaxAmount);
  return (std::min(amount, kMaxAmount) * kAllParts + bounded - 1) / bounded;
}

bool IsLowered(std::int64_t before, std::int64_t after) {
  return after > 0 && (before == 0 || after < before);
}

std::uint32_t CountTasksWithin(const resource_amounts& limit,
                               const limit_portion& portion,
                               const resource_amounts& use,
                               const resource_amounts& need,
                               std::uint32_t count) {
  for (std::size_t i = 0; i < kResourceCount; ++i) {
    if (limit[i] == 0 || need[i] <= 0) continue;
    if (portion.is_closed[i] || IsLowered(portion.limit[i], limit[i])) return 0;
    const std::int64_t room =
        AmountOfParts(portion.limit[i], portion.parts[i]) - use[i];
    const std::int64_t fitting = std::max<std::int64_t>(0, room / need[i]);
    // A task that is larger than the limit could never start otherwise.
    const bool may_exceed = portion.parts[i] == kAllParts && use[i] == 0;
    count = static_cast<std::uint32_t>(std::min<std::int64_t>(
        count, std::max<std::int64_t>(fitting, may_exceed ? 1 : 0)));
  }
  return count;
}

resource_amounts Sum(const resource_amounts& left,
                     const resource_amounts& right) {
  resource_amounts sum = left;
  AddAmounts(sum, right, 1);
  return sum;
}

void AddAmounts(resource_amounts& sum, const resource_amounts& amounts,
                std::int64_t count) {
  for (std::size_t i = 0; i < kResourceCount; ++i) sum[i] += amounts[i] * count;
}

void organisation_use::Add(const std::string& organisation,
                           const resource_vector& need, std::int64_t count) {
  if (organisation.empty()) return;
  AddAmounts(amounts_[organisation], AmountsOf(need), count);
}

resource_amounts organisation_use::Of(const std::string& organisation) const {
  const auto found = amounts_.find(organisation);
  return found == amounts_.end() ? resource_amounts{} : found->second;
}

}  // namespace apricotwheel
