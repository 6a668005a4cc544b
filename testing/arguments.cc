#include "testing/arguments.h"

#include <signal.h>

#include <charconv>
#include <iostream>

namespace apricotwheel::standins {

arguments ParseArguments(int count, char** values) {
  arguments flags;
  for (int i = 0; i < count; ++i) {
    std::string name = values[i];
    if (name.compare(0, 2, "--") == 0) name.erase(0, 2);
    const bool has_value =
        i + 1 < count && std::string(values[i + 1]).compare(0, 2, "--") != 0;
    flags.emplace(name, has_value ? values[++i] : "");
  }
  return flags;
}

std::string FlagValueOr(const arguments& flags, const std::string& name,
                        const std::string& otherwise) {
  const auto it = flags.find(name);
  return it == flags.end() ? otherwise : it->second;
}

result<int> IntFlagOr(const arguments& flags, const std::string& name,
                      int otherwise) {
  const auto it = flags.find(name);
  if (it == flags.end()) return otherwise;
  const std::string& text = it->second;
  const char* end = text.data() + text.size();
  int number = 0;
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec == std::errc() && parsed.ptr == end) return number;
  return Fail(error_kind::kInvalidArgument, "--" + name + " takes a number",
              "give a whole number");
}

void ServeUntilSignal(const std::string& address) {
  std::cout << "ready " << address << std::endl;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace apricotwheel::standins
