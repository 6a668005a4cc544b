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

struct scripted_answer {
  int status = 200;
  nlohmann::json body = nlohmann::json::object();
  bool is_lost = false;  // The connection ends in place of an answer.
  milliseconds delay{};
};

struct seen_request {
  std::string method;
  std::string target;
  std::string expected_instance;
  nlohmann::json body;
};

// Stand-in of a service of the users' platform: answers each request with the
// next scripted answer and remembers what was asked.
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
  void Answer(scripted_answer answer) {
    const std::lock_guard lock(mutex_);
    answers_.push_back(std::move(answer));
  }
  void Answer(int status, nlohmann::json body = nlohmann::json::object()) {
    Answer(scripted_answer{status, std::move(body)});
  }
  seen_request Last() const {
    const std::lock_guard lock(mutex_);
    return seen_.empty() ? seen_request{} : seen_.back();
  }
  std::size_t Requests() const {
    const std::lock_guard lock(mutex_);
    return seen_.size();
  }

 private:
  void Serve(const httplib::Request& request, httplib::Response& response) {
    scripted_answer answer;
    {
      const std::lock_guard lock(mutex_);
      seen_.push_back({request.method, request.target,
                       request.get_header_value("X-Expected-Instance"),
                       nlohmann::json::parse(request.body, nullptr, false)});
      if (!answers_.empty()) {
        answer = std::move(answers_.front());
        answers_.pop_front();
      }
    }
    if (answer.delay.count() > 0) clock_->SleepFor(answer.delay);
    if (answer.is_lost) {
      shutdown(http_listener::CurrentSocket(), SHUT_RDWR);
    }
    response.status = answer.status;
    response.set_content(answer.body.dump(), "application/json");
  }

  clock_ptr clock_ = runtime_clock::Running();
  mutable std::mutex mutex_;
  std::deque<scripted_answer> answers_;
  std::vector<seen_request> seen_;
  std::unique_ptr<http_listener> listener_;
};

}  // namespace apricotwheel::testing
