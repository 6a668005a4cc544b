// Example of an application that embeds the libraries: parses a document and
// prints its workloads.
#include <fstream>
#include <iostream>
#include <sstream>

#include "config/document.h"
#ifdef APRICOTWHEEL_HAS_POLICIES
#include "placement/cell_state.h"
#endif

namespace {

namespace aw = apricotwheel;

std::vector<std::string> KnownPolicies() {
#ifdef APRICOTWHEEL_HAS_POLICIES
  return aw::PolicyNames();
#else
  return {};
#endif
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: apricotwheel_embed DOCUMENT\n";
    return 2;
  }
  std::ostringstream text;
  text << std::ifstream(argv[1], std::ios::binary).rdbuf();
  const auto check = aw::CheckDocument(argv[1], text.str(), KnownPolicies());
  for (const auto& fault : check.faults)
    std::cerr << aw::Describe(fault) << "\n";
  if (!check.document) return 2;
  std::cout << "cell " << check.document->cell << ": "
            << check.document->workloads.size() << " workloads\n";
  for (const auto& workload : check.document->workloads) {
    std::cout << "  " << workload.name << ": " << aw::ToString(workload.kind)
              << ", " << workload.instances << " x "
              << workload.resources.cpu_milli << " cpu_milli, "
              << workload.resources.memory_mib << " memory_mib, "
              << workload.resources.accelerators << " accelerators\n";
  }
  return 0;
}
