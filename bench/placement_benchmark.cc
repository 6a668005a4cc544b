#include <benchmark/benchmark.h>

#include <array>

#include "placement/cell_state.h"
#include "placement/team_queue.h"

namespace apricotwheel {
namespace {

constexpr std::array<const char*, 4> kPolicies = {
    "waiting-first", "packing-first", "first-fit", "random"};

std::unique_ptr<cell_state> MakeHalfFullCell(std::size_t workers) {
  auto cell = cell_state::Create();
  random_source random{1};
  for (std::size_t i = 0; i < workers; ++i) {
    const auto worker = cell->UpsertWorker({"vm-" + std::to_string(i),
                                            "d" + std::to_string(i / 5 % 13),
                                            "r" + std::to_string(i / 5),
                                            {16'000, 65'536, 0}});
    const std::string id = std::to_string(i);
    placement_request task;
    task.task_id = id;
    task.workload = "w";
    task.need = {static_cast<std::int64_t>(NextBelow(random, 16'000)),
                 static_cast<std::int64_t>(NextBelow(random, 65'536)), 0};
    cell->AdoptTask(worker, task);
  }
  return cell;
}

void Decide(benchmark::State& state) {
  const auto cell = MakeHalfFullCell(static_cast<std::size_t>(state.range(1)));
  random_source random{2};
  placement_request request;
  request.task_id = "t";
  request.workload = "w";
  request.need = {4000, 16'384, 0};
  request.policy = kPolicies[static_cast<std::size_t>(state.range(0))];
  state.SetLabel(std::string(request.policy));
  for (auto _ : state) {
    benchmark::DoNotOptimize(cell->Decide(request, random));
  }
}
BENCHMARK(Decide)->ArgsProduct({{0, 1, 2, 3}, {9000, 18'000, 36'000}});

void AllocateAndRelease(benchmark::State& state) {
  const auto cell = MakeHalfFullCell(static_cast<std::size_t>(state.range(0)));
  placement_request request;
  request.task_id = "t";
  request.workload = "w";
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        Attempt([&] { return cell->Allocate(17, request); }));
    cell->ReleaseTask("t");
  }
}
BENCHMARK(AllocateAndRelease)->Arg(18'000);

void TakeAndReturn(benchmark::State& state) {
  team_queue queue;
  for (int i = 0; i < state.range(0); ++i) {
    const std::string team = "team" + std::to_string(i % 250);
    SetTeam(queue, team, {1'000'000, 1'000'000, 0}, 1);
    Enqueue(queue, {std::to_string(i),
                    team,
                    priority_class::kBatch,
                    {1000 + i % 3, 1, 0},
                    1,
                    "",
                    time_point(duration(i))});
  }
  for (auto _ : state) {
    auto entry = TakeNext(queue, time_point(std::chrono::hours(1)));
    RemoveEntry(queue, entry->id);
    Enqueue(queue, std::move(*entry));
  }
}
BENCHMARK(TakeAndReturn)->Arg(1000)->Arg(100'000);

}  // namespace
}  // namespace apricotwheel
