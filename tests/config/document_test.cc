#include "config/document.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace apricotwheel {
namespace {

const std::vector<std::string> kPolicies = {"packing-first", "waiting-first"};

std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

const std::string kHead =
    "version: 1\ncell: c\nteams:\n"
    "  - {name: t, quota: {cpu_milli: 10000, memory_mib: 4096}}\n"
    "workloads:\n";  // 5 lines

std::string Service(const std::string& more, const std::string& name = "s") {
  return "  - {name: " + name +
         ", kind: service, team: t, instances: 2, resources: {cpu_milli: "
         "4000, memory_mib: 512}" +
         more + "}\n";
}

std::string Repeat(const std::string& text, int count) {
  std::string all;
  for (int i = 0; i < count; ++i) all += text;
  return all;
}

struct fault_case {
  std::string text;
  int line;
  std::string key;
};

// Guards against an invalid document that is accepted, and would be stored and
// put in force, and against faults without the line and key to correct.
BOOST_AUTO_TEST_CASE(each_fault_names_line_and_key) {
  const std::vector<fault_case> cases = {
      {"version: 2\ncell: c\nteams: []\nworkloads: []\n", 1, "version"},
      {"version: 1\ncell: C_1\nteams: []\nworkloads: []\n", 2, "cell"},
      {"version: 1\ncell: c\nworkloads: []\n", 1, "teams"},
      {kHead + Service(", slot: 8"), 6, "workloads[0].slot"},
      {kHead + Service(", slots: 8, slots: 9"), 6, "workloads[0].slots"},
      {kHead + Service(", slots: 0"), 6, "workloads[0].slots"},
      {kHead + Service(", slots: 65"), 6, "workloads[0].slots"},
      {kHead + Service(", slots: 8, connections: 7"), 6,
       "workloads[0].connections"},
      {kHead + Service(", connections: 4097"), 6, "workloads[0].connections"},
      {kHead + Service(", class: high"), 6, "workloads[0].class"},
      {kHead + Service(", policy: best"), 6, "workloads[0].policy"},
      {kHead + Service(", run_ms: 5"), 6, "workloads[0].run_ms"},
      {kHead + Service(", spread: maybe"), 6, "workloads[0].spread"},
      {kHead + Service("") + Service(""), 7, "workloads[1].name"},
      {kHead + Service("") + Service("", "s2"), 7, "workloads[1].resources"},
      {kHead + "  - {name: b, kind: batch, team: u, resources: {cpu_milli: 1, "
               "memory_mib: 1}}\n",
       6, "workloads[0].team"},
      {kHead + "  - {name: b, kind: gang, team: t, instances: 3, resources: "
               "{cpu_milli: 1, memory_mib: 1, accelerators: 1}}\n",
       6, "workloads[0].resources"},
      {kHead + "  - {name: b, kind: batch, team: t, slots: 4, resources: "
               "{cpu_milli: 1, memory_mib: 1}}\n",
       6, "workloads[0].slots"},
      {kHead + "  []\ndrain: [a, b, a]\n", 7, "drain[2]"},
      {kHead + "  []\ndrain: ['../x']\n", 7, "drain[0]"},
      {kHead + "  []\ndrain: vm-1\n", 7, "drain"},
  };
  for (const auto& input : cases) {
    const auto check = CheckDocument("d.yaml", input.text, kPolicies);
    BOOST_TEST(!check.document);
    bool is_found = false;
    std::string all;
    for (const auto& fault : check.faults) {
      all += Describe(fault) + "\n";
      if (fault.line == input.line && fault.key == input.key) is_found = true;
    }
    BOOST_TEST(is_found, input.text << "has the faults:\n" << all);
  }
}

// Guards against a quota fault that does not name the resource that exceeds the
// quota.
BOOST_AUTO_TEST_CASE(quota_fault_names_the_resource) {
  const auto check =
      CheckDocument("d", kHead + Service("") + Service("", "s2"), kPolicies);
  BOOST_REQUIRE(check.faults.size() == 1);
  BOOST_TEST(check.faults[0].message.find("16000 cpu_milli") !=
             std::string::npos);
}

// Guards against texts that exhaust memory or the stack, or that other programs
// would read differently.
BOOST_AUTO_TEST_CASE(hostile_texts_are_rejected) {
  const std::vector<std::string> texts = {
      "a: &x [1]\nb: [*x, *x]\n",
      Repeat("[", 20'000),
      Repeat("- ", 20'000),
      Repeat("{a: ", 50),
      std::string(901 * 1024, '#'),
      "cell: \xC0\xAF\n",
      "cell: \xED\xA0\x80\n",
      "cell: \xFF\xFE\n",
      std::string("cell: a\0b\n", 10),
      "cell: !!binary aGk=\n",
      "version: 1\n---\nversion: 1\n",
      "? [a, b]\n: c\n",
  };
  for (const auto& text : texts) {
    const auto check = CheckDocument("d", text, {});
    BOOST_TEST(!check.document);
    BOOST_TEST(!check.faults.empty());
  }
}

// Guards against example documents that fail validation.
BOOST_AUTO_TEST_CASE(examples_are_valid) {
  for (const std::string name : {"offcut", "haddad"}) {
    const auto check = CheckDocument(
        name, ReadAll(SOURCE_FOLDER "/examples/" + name + ".yaml"), kPolicies);
    for (const auto& fault : check.faults) BOOST_ERROR(Describe(fault));
    BOOST_REQUIRE(check.document);
    BOOST_TEST(check.document->cell == name);
    BOOST_TEST(check.document->workloads.size() == 5);
    BOOST_TEST(check.document->workloads[0].instances == 35);
    BOOST_TEST(check.document->workloads[1].instances == 13);
    BOOST_TEST(check.document->workloads[1].slots == 8);
    BOOST_TEST(check.document->workloads[1].connections == 64);
  }
}

// Guards against a service that gets the priority class of batch work when its
// document names no class.
BOOST_AUTO_TEST_CASE(defaults_follow_the_kind) {
  const auto check = CheckDocument("d", kHead + Service(""), {});
  BOOST_REQUIRE(check.document);
  BOOST_TEST(
      (check.document->workloads[0].priority == priority_class::kService));
  BOOST_TEST(check.document->workloads[0].policy == "waiting-first");
}

BOOST_AUTO_TEST_CASE(diff_names_each_change) {
  const auto before = CheckDocument("d", kHead + Service(""), {}).document;
  auto after = *before;
  after.workloads[0].instances = 3;
  after.teams[0].quota.cpu_milli = 20'000;
  after.drain = {"vm-1"};
  const std::vector<std::string> expected = {
      "team t: quota.cpu_milli 10000 -> 20000", "workload s: instances 2 -> 3",
      "drain vm-1: added"};
  BOOST_TEST(DiffDocuments(*before, after) == expected,
             boost::test_tools::per_element());
  BOOST_TEST(DiffDocuments(*before, *before).empty());
}

// Guards against an envelope whose encoding alters the text, and against
// damaged stored values that crash a daemon.
BOOST_AUTO_TEST_CASE(envelope_round_trip_and_hostile_inputs) {
  const document_envelope envelope{7,
                                   6,
                                   "ann",
                                   1234,
                                   "c0ffee",
                                   "one \"line\"",
                                   "cell: \"\u00e9\"\n# note\n"};
  const std::string json = EncodeEnvelope(envelope);
  const auto decoded = Attempt([&] { return DecodeEnvelope(json); });
  BOOST_REQUIRE(bool(decoded));
  BOOST_TEST(decoded->revision == 7);
  BOOST_TEST(decoded->text == envelope.text);
  BOOST_TEST(decoded->change_id == envelope.change_id);
  const auto audit = EncodeAuditEntry(envelope);
  BOOST_TEST(audit.find("note") == std::string::npos);
  BOOST_TEST(audit.find("c0ffee") != std::string::npos);
  for (const std::string& damaged :
       {std::string(), std::string("[]"), std::string("{}"),
        json.substr(0, json.size() / 2), Repeat("[", 500'000),
        Repeat("{\"a\":", 200'000), std::string("{\"revision\":-1}"),
        std::string("{\"revision\":1e400}")}) {
    const auto refused = Attempt([&] { return DecodeEnvelope(damaged); });
    BOOST_TEST(!refused);
    BOOST_TEST((refused.failure.kind == error_kind::kCorrupt));
  }
}

}  // namespace
}  // namespace apricotwheel
