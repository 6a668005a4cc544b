#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "ctl/command.h"
#include "ctl/document_store.h"
#include "testing/kv_standin.h"

namespace apricotwheel::ctl {
namespace {

using standins::kv_outage;

std::string DocumentWith(const std::string& weight) {
  return "# kept\nversion: 1\ncell: c\nteams:\n  - name: t\n    weight: " +
         weight + "\n    quota: {cpu_milli: 1, memory_mib: 1}\nworkloads: []\n";
}

struct run_output {
  int code = 0;
  std::string out;
  std::string err;
};

// Runs commands against a key-value stand-in, with a document file to apply.
struct fixture {
  std::unique_ptr<standins::kv_standin> kv;
  std::string file;

  fixture() {
    auto started = Attempt([] { return standins::kv_standin::Start({}); });
    BOOST_REQUIRE_MESSAGE(bool(started), Describe(started.failure));
    kv = std::move(*started);
    file = "ctl_test_" + std::to_string(getpid()) + ".yaml";
  }
  ~fixture() { std::remove(file.c_str()); }

  template <class Change>
  run_output Run(const argument_list& arguments, Change change) const {
    std::ostringstream out;
    std::ostringstream err;
    command_context context{out, err};
    context.kv_address = kv->Address();
    context.author = "ann";
    context.timeout = milliseconds(4000);
    change(context);
    const int code = RunCommand(context, arguments);
    return {code, out.str(), err.str()};
  }
  run_output Run(const argument_list& arguments) const {
    return Run(arguments, [](command_context&) {});
  }
  run_output Apply(const std::string& text) const {
    Write(text);
    return Run({"apply", file});
  }
  void Write(const std::string& text) const { std::ofstream(file) << text; }

  std::unique_ptr<kv_client> Client() const {
    kv_client_options options;
    options.address = kv->Address();
    auto client = Attempt([&] { return kv_client::Create(options); });
    BOOST_REQUIRE(bool(client));
    return std::move(*client);
  }
  bool HasAudit(std::uint64_t revision) const {
    const auto client = Client();
    const auto entry = Attempt([&] { return client->Get(AuditKey(revision)); });
    return entry && entry->has_value();
  }
};

BOOST_FIXTURE_TEST_CASE(apply_show_diff_audit, fixture) {
  BOOST_TEST(Run({"show"}).code == kFailed);
  BOOST_TEST(Apply(DocumentWith("1")).code == kOk);
  BOOST_TEST(Apply(DocumentWith("2")).code == kOk);
  BOOST_TEST(Apply(DocumentWith("2")).out.find("already") != std::string::npos);
  BOOST_TEST(Run({"show"}).out == DocumentWith("2"));
  Write(DocumentWith("3"));
  BOOST_TEST(Run({"diff", file}).out == "team t: weight 2 -> 3\n");
  const auto audit =
      Run({"audit"}, [](command_context& context) { context.json = true; });
  const auto entries = nlohmann::json::parse(audit.out);
  BOOST_REQUIRE(entries.size() == 2);
  BOOST_TEST(entries[1]["revision"] == 2);
  BOOST_TEST(entries[1]["author"] == "ann");
  BOOST_TEST(AuditKey(2) == "apricotwheel/audit/000000000002");
}

// Guards against an invalid document or command line that is not rejected
// before the key-value service is called.
BOOST_FIXTURE_TEST_CASE(invalid_input_has_its_exit_code, fixture) {
  BOOST_TEST(Apply("version: 1\n").code == kInvalidInput);
  BOOST_TEST(Run({"check", file}).code == kInvalidInput);
  BOOST_TEST(Run({"apply", "/nonexistent"}).code == kInvalidInput);
  BOOST_TEST(Run({"drain"}).code == kInvalidInput);
  BOOST_TEST(Run({"explode"}).code == kInvalidInput);
  BOOST_TEST(Run({"job", "../x"}).code == kInvalidInput);
  BOOST_TEST(Run({"show"}, [](command_context& context) {
               context.kv_address = "x";
             }).code == kInvalidInput);
}

// Guards against a lost update when another operator has written a newer
// revision, and against a conflict message without that operator's changes.
BOOST_FIXTURE_TEST_CASE(conflict_shows_the_diff, fixture) {
  Apply(DocumentWith("1"));
  Apply(DocumentWith("2"));
  const std::string base = file + ".base";
  std::ofstream(base) << DocumentWith("1");
  Write(DocumentWith("3"));
  const auto rejected = Run({"apply", file}, [&](command_context& context) {
    context.expect_revision = 1;
    context.base_file = base;
  });
  std::remove(base.c_str());
  BOOST_TEST(rejected.code == kConflict);
  BOOST_TEST(rejected.err.find("weight 1 -> 2") != std::string::npos);
  BOOST_TEST(Run({"apply", file}, [](command_context& context) {
               context.expect_revision = 2;
             }).code == kOk);
}

// Guards against concurrent applies of which two report success for the same
// revision.
BOOST_FIXTURE_TEST_CASE(concurrent_applies_take_one_revision_each, fixture) {
  Apply(DocumentWith("1"));
  constexpr int kWriters = 6;
  std::vector<run_output> results(kWriters);
  std::vector<std::thread> threads;
  for (int index = 0; index < kWriters; ++index) {
    const std::string name = file + std::to_string(index);
    std::ofstream(name) << DocumentWith(std::to_string(10 + index));
  }
  for (int index = 0; index < kWriters; ++index) {
    threads.emplace_back([&, index] {
      results[index] = Run({"apply", file + std::to_string(index)});
    });
  }
  for (auto& thread : threads) thread.join();
  std::uint64_t succeeded = 0;
  for (int index = 0; index < kWriters; ++index) {
    std::remove((file + std::to_string(index)).c_str());
    if (results[index].code == kOk) {
      ++succeeded;
    } else {
      BOOST_TEST(results[index].code == kConflict, results[index].err);
      BOOST_TEST(results[index].err.find("is stored") != std::string::npos);
    }
  }
  BOOST_TEST(succeeded >= 1);
  for (std::uint64_t revision = 1; revision <= 1 + succeeded; ++revision) {
    BOOST_TEST(HasAudit(revision));
  }
  BOOST_TEST(!HasAudit(2 + succeeded));
}

// Guards against a second write or a false conflict when the response to a
// successful write is lost.
BOOST_FIXTURE_TEST_CASE(lost_response_is_recovered, fixture) {
  Apply(DocumentWith("1"));
  kv->SetFaults({.outage = kv_outage::kNone, .slow_ms = 0, .lose_replies = 2});
  const auto applied = Apply(DocumentWith("2"));
  BOOST_TEST(applied.code == kOk, applied.err);
  BOOST_TEST(applied.out.find("revision 2 ") != std::string::npos);
  BOOST_TEST(HasAudit(2));
}

// Guards against a command that hangs or reports success while the key-value
// service is unreachable.
BOOST_FIXTURE_TEST_CASE(outage_has_its_exit_code, fixture) {
  Apply(DocumentWith("1"));
  kv->SetFaults(
      {.outage = kv_outage::kRefuse, .slow_ms = 0, .lose_replies = 0});
  BOOST_TEST(Apply(DocumentWith("2")).code == kUnavailable);
  BOOST_TEST(Run({"show"}).code == kUnavailable);
  BOOST_TEST(Run({"drain", "vm-1"}).code == kUnavailable);
  kv->SetFaults({});
  const auto closed = [](command_context& context) {
    context.kv_address = "127.0.0.1:1";
  };
  BOOST_TEST(Run({"show"}, closed).code == kUnavailable);
  BOOST_TEST(Run({"show"}).out == DocumentWith("1"));
}

// Guards against a revision that never gets an audit entry because its writer
// died between writing the document and the entry.
BOOST_FIXTURE_TEST_CASE(missing_audit_entry_is_written_first, fixture) {
  Apply(DocumentWith("1"));
  const auto client = Client();
  BOOST_TEST(bool(Attempt([&] { return client->Remove(AuditKey(1)); })));
  const auto listed = Run({"audit"});
  BOOST_TEST(listed.out.find("first document") != std::string::npos);
  BOOST_TEST(!HasAudit(1));
  BOOST_TEST(Apply(DocumentWith("2")).code == kOk);
  BOOST_TEST(HasAudit(1));
}

// Guards against concurrent drains that overwrite each other or remove the
// comments of the document.
BOOST_FIXTURE_TEST_CASE(concurrent_drains_all_take_effect, fixture) {
  Apply(DocumentWith("1"));
  std::vector<std::thread> threads;
  std::vector<int> codes(4, -1);
  for (std::size_t index = 0; index < codes.size(); ++index) {
    threads.emplace_back([&, index] {
      codes[index] = Run({"drain", "vm-" + std::to_string(index)}).code;
    });
  }
  for (auto& thread : threads) thread.join();
  const std::string text = Run({"show"}).out;
  BOOST_TEST(text.find("# kept") == 0);
  for (std::size_t index = 0; index < codes.size(); ++index) {
    BOOST_TEST(codes[index] == kOk);
    BOOST_TEST(text.find("\"vm-" + std::to_string(index) + "\"") !=
               std::string::npos);
  }
  const auto undone =
      Run({"drain", "vm-1", "vm-3"},
          [](command_context& context) { context.undo = true; });
  BOOST_TEST(undone.code == kOk);
  BOOST_TEST(Run({"show"}).out.find("vm-1") == std::string::npos);
}

// Guards against an apply that silently overwrites a corrupt stored document.
BOOST_FIXTURE_TEST_CASE(damaged_document_is_not_overwritten, fixture) {
  const auto client = Client();
  Attempt([&] { return client->Put(kDocumentKey, "garbage"); });
  BOOST_TEST(Apply(DocumentWith("1")).code == kFailed);
}

}  // namespace
}  // namespace apricotwheel::ctl
