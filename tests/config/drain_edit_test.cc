#include "config/drain_edit.h"

#include <boost/test/unit_test.hpp>

#include "config/document.h"

namespace apricotwheel {
namespace {

const std::string kHead =
    "# cell\nversion: 1\ncell: c  # name\nteams: []\nworkloads: []\n";

struct edit_case {
  std::string before;
  std::vector<std::string> add;
  std::vector<std::string> remove;
  std::string after;
};

// Guards against an edit that drops the operators' comments or changes lines
// outside of the drain list.
BOOST_AUTO_TEST_CASE(edits_only_the_list) {
  const std::vector<edit_case> cases = {
      {"", {"a"}, {}, "drain:\n  - \"a\"\n"},
      {"drain: []  # none\n", {"a"}, {}, "drain: [\"a\"]  # none\n"},
      {"drain: [a, b] # x\n", {}, {"a"}, "drain: [\"b\"] # x\n"},
      {"drain:\n  # disks\n  - a  # rack 1\n  - b\n# end\n",
       {"c", "c", "a"},
       {},
       "drain:\n  # disks\n  - a  # rack 1\n  - b\n  - \"c\"\n# end\n"},
      {"drain:  # why\n  - a\n  - b\n", {}, {"a"}, "drain:  # why\n  - b\n"},
      {"drain:  # why\n- a\n- b\n", {}, {"a", "b"}, "drain: []  # why\n"},
      {"drain:\n- a\n", {"b"}, {"a"}, "drain:\n- \"b\"\n"},
      {"drain:\n  - a\n", {"a"}, {"z"}, "drain:\n  - a\n"},
  };
  for (const auto& input : cases) {
    const auto edited = Attempt([&] {
      return EditDrainList(kHead + input.before, input.add, input.remove);
    });
    BOOST_TEST(bool(edited), input.before << Describe(edited.failure));
    if (edited) BOOST_TEST(*edited == kHead + input.after);
  }
}

// Guards against an edit of a list whose layout it cannot keep, and against ids
// that would add YAML syntax.
BOOST_AUTO_TEST_CASE(unusual_layouts_and_ids_are_rejected) {
  const std::vector<std::string> layouts = {
      "drain: [a,\n  b]\n", "drain:\n  [a]\n",
      "drain:\n  - a\n  - \"b\n    c\"\n"};
  for (const auto& layout : layouts) {
    const auto edited =
        Attempt([&] { return EditDrainList(kHead + layout, {"z"}, {}); });
    BOOST_TEST(!edited, layout);
  }
  BOOST_TEST(!Attempt([] { return EditDrainList(kHead, {"a\n- b"}, {}); }));
}

}  // namespace
}  // namespace apricotwheel
