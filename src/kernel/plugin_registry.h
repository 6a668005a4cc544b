#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/error.h"

namespace apricotwheel {

// The plug-ins of one kind, by name. `Plugin` is a plain struct of free
// functions. A plug-in registers itself with a namespace-scope `registration`
// in its own source file, so the registry is filled before main and read-only
// afterwards.
template <class Plugin>
class plugin_registry {
 public:
  static plugin_registry& Instance() {
    static plugin_registry registry;
    return registry;
  }

  bool Add(std::string_view name, Plugin plugin) {
    return plugins_.emplace(std::string(name), std::move(plugin)).second;
  }

  result<const Plugin*> Find(std::string_view name) const {
    const auto found = plugins_.find(name);
    if (found != plugins_.end()) return &found->second;
    std::string known_names;
    for (const auto& [key, plugin] : plugins_) {
      known_names += known_names.empty() ? "" : ", ";
      known_names += key;
    }
    return Fail(error_kind::kNotFound,
                "no plug-in is named '" + std::string(name) + "'",
                "use one of: " + known_names);
  }

  std::vector<std::string> PluginNames() const {
    std::vector<std::string> names;
    for (const auto& [key, plugin] : plugins_) names.push_back(key);
    return names;
  }

  struct registration {
    registration(std::string_view name, Plugin plugin) {
      Instance().Add(name, std::move(plugin));
    }
  };

 private:
  std::map<std::string, Plugin, std::less<>> plugins_;
};

}  // namespace apricotwheel
