#include "testing/vmlist_standin.h"

#include <algorithm>
#include <deque>
#include <mutex>

#include "clients/wire_format.h"
#include "testing/json_route.h"

namespace apricotwheel::standins {

namespace {

using nlohmann::json;

struct vm_list_version {
  time_point changed_at;
  vm_list list;
};

}  // namespace

struct vmlist_standin::state {
  vmlist_standin_options options;
  std::mutex mutex;
  // Oldest first. Has more than one element while changes are hidden by `lag`.
  std::deque<vm_list_version> versions;
  duration lag{};
  bool frozen = false;
  bool malformed = false;
  vm_list served_list;
  std::unique_ptr<http_listener> listener;

  // Returns the list that clients see: the newest version that is older than
  // `lag`, or the last one served while the list is frozen.
  const vm_list& UpdateServedList() {
    if (frozen) return served_list;
    const auto visible = options.clock->Now() - lag;
    while (versions.size() > 1 && versions[1].changed_at <= visible)
      versions.pop_front();
    served_list = versions.front().list;
    return served_list;
  }

  // Stores an edited copy as the next version. Responds with 404 if `edit`
  // returns false.
  template <class Edit>
  json_response EditList(Edit edit) {
    const std::lock_guard lock(mutex);
    UpdateServedList();
    vm_list next = versions.back().list;
    if (!edit(next.vms)) return {404};
    ++next.version;
    versions.push_back({options.clock->Now(), std::move(next)});
    return {};
  }

  void AddRoutes() {
    auto& server = listener->Server();
    server.Get("/v1/vms", [this](const httplib::Request&,
                                 httplib::Response& response) {
      const std::lock_guard lock(mutex);
      if (malformed) {
        response.set_content("{\"version\": 1, \"vms\": [{}", "");
      } else {
        WriteJsonResponse(response, {200, ToJson(UpdateServedList())});
      }
    });
    RouteJson(server, "/admin/leaving", [this](const json& call) {
      return EditList([id = call.at("id").get<std::string>()](auto& vms) {
        const auto vm = std::find_if(vms.begin(), vms.end(),
                                     [&](const auto& v) { return v.id == id; });
        if (vm == vms.end()) return false;
        vm->state = vm_state::kLeaving;
        return true;
      });
    });
    RouteJson(server, "/admin/remove", [this](const json& call) {
      return EditList([id = call.at("id").get<std::string>()](auto& vms) {
        return std::erase_if(vms, [&](const auto& vm) { return vm.id == id; }) >
               0;
      });
    });
    RouteJson(server, "/admin/add", [this](const json& call) {
      const auto added = VmListFromJson(
          {{"version", 1}, {"vms", json::array({call.at("vm")})}});
      return EditList([&](auto& vms) {
        vms.push_back(added.vms.front());
        return true;
      });
    });
    RouteJson(server, "/admin/faults", [this](const json& call) {
      const std::lock_guard lock(mutex);
      UpdateServedList();
      lag = milliseconds(call.value("lag_ms", std::int64_t{0}));
      frozen = call.value("frozen", false);
      malformed = call.value("malformed", false);
      return json_response{};
    });
  }
};

vmlist_standin::vmlist_standin(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}
vmlist_standin::~vmlist_standin() { state_->listener->Stop(); }

result<std::unique_ptr<vmlist_standin>> vmlist_standin::Start(
    vmlist_standin_options options) {
  auto initial = std::make_unique<state>();
  initial->options = std::move(options);
  initial->versions.push_back(
      {initial->options.clock->Now(), initial->options.cell});
  http_listener_options listen;
  listen.address = initial->options.listen;
  BOOST_LEAF_ASSIGN(initial->listener, http_listener::Bind(listen));
  initial->AddRoutes();
  BOOST_LEAF_CHECK(initial->listener->Start());
  return std::unique_ptr<vmlist_standin>(
      new vmlist_standin(std::move(initial)));
}

const std::string& vmlist_standin::Address() const {
  return state_->listener->Address();
}

}  // namespace apricotwheel::standins
