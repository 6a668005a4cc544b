#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>

#include "bench/bench_report.h"

DEFINE_string(input, "bench/deployments.json",
              "JSON file with deployments, sizes and targets");

DEFINE_string(only, "", "scale, deployments or requests; empty runs all");

int main(int argc, char** argv) {
  using namespace apricotwheel::bench;  // NOLINT(google-build-using-namespace)
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::ifstream file(FLAGS_input);
  if (!file) {
    std::cerr << "cannot read " << FLAGS_input
              << "; pass an existing file with --input\n";
    return 2;
  }
  const json input = json::parse(file);
  const figure_printer figures(input.at("targets"));
  const auto is_selected = [](const char* bench) {
    return FLAGS_only.empty() || FLAGS_only == bench;
  };
  if (is_selected("scale")) RunScaleBench(input.at("scale"), figures);
  double urgent_p99 = 0;
  for (const json& deployment : input.at("deployments")) {
    if (is_selected("deployments")) {
      urgent_p99 =
          std::max(urgent_p99, RunDeploymentBench(deployment, figures));
    }
    if (is_selected("requests")) {
      RunRequestBench(deployment.at("name"), deployment.at("requests"),
                      figures);
    }
  }
  if (is_selected("deployments"))
    figures.PrintFigure("urgent_start_p99_s", urgent_p99, "s");
  // The placement library makes no calls to the key-value service.
  figures.PrintFigure("kv_calls_per_placement", 0, "calls");
}
