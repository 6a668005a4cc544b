#pragma once

#include <sys/socket.h>

#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "clients/http_listener.h"

namespace apricotwheel::testing {

struct scripted_response {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
  bool is_lost = false;  // The connection is closed without a response.
  milliseconds delay{};
};

struct seen_request {
  std::string method;
  std::string target;
  std::string expected_instance;
  nlohmann::json body;
};

// A fake service of the users' platform: responds to each request with the next
// scripted response and records the requests.
class scripted_peer {
 public:
  scripted_peer() {
    auto bound = Attempt([&] { return http_listener::Bind({"127.0.0.1:0"}); });
    listener_ = std::move(*bound);
    const auto serve = [this](const httplib::Request& request,
                              httplib::Response& response) {
      Serve(request, response);
    };
    listener_->Server().Get("/.*", serve);
    listener_->Server().Post("/.*", serve);
    listener_->Server().Delete("/.*", serve);
    Attempt([&] { return listener_->Start(); });
  }

  const std::string& Address() const { return listener_->Address(); }
  void EnqueueResponse(scripted_response response) {
    const std::lock_guard lock(mutex_);
    responses_.push_back(std::move(response));
  }
  void EnqueueResponse(int status,
                       nlohmann::json body = nlohmann::json::object()) {
    EnqueueResponse(scripted_response{status, std::move(body)});
  }
  seen_request LastRequest() const {
    const std::lock_guard lock(mutex_);
    return seen_.empty() ? seen_request{} : seen_.back();
  }
  std::size_t RequestCount() const {
    const std::lock_guard lock(mutex_);
    return seen_.size();
  }

 private:
  void Serve(const httplib::Request& request, httplib::Response& response) {
    scripted_response scripted;
    {
      const std::lock_guard lock(mutex_);
      seen_.push_back({request.method, request.target,
                       request.get_header_value("X-Expected-Instance"),
                       nlohmann::json::parse(request.body, nullptr, false)});
      if (!responses_.empty()) {
        scripted = std::move(responses_.front());
        responses_.pop_front();
      }
    }
    if (scripted.delay.count() > 0) clock_->SleepFor(scripted.delay);
    if (scripted.is_lost) {
      shutdown(http_listener::CurrentSocket(), SHUT_RDWR);
    }
    response.status = scripted.status;
    response.set_content(scripted.body.dump(), "application/json");
  }

  clock_ptr clock_ = runtime_clock::Running();
  mutable std::mutex mutex_;
  std::deque<scripted_response> responses_;
  std::vector<seen_request> seen_;
  std::unique_ptr<http_listener> listener_;
};

}  // namespace apricotwheel::testing
