#include "peer/peer_link.h"

#include <algorithm>

#include "peer/envelope.h"
#include "peer/handshake.h"
#include "peer/peer_events.h"

namespace apricotwheel {

namespace {

constexpr auto kBackoffBase = milliseconds(50);
constexpr auto kBackoffLimit = milliseconds(1000);
// Timeout for writing a one-way message. The senders repeat such messages, so
// one is dropped rather than delay the sending thread while the socket buffer
// is full.
constexpr auto kPostTimeout = milliseconds(50);
// A call that has received nothing for this long requests an echo. Most
// responses take less.
constexpr auto kEchoDelay = milliseconds(300);
// A peer returns an echo within milliseconds. One that is overloaded or shares
// its processor may take some hundred.
constexpr auto kEchoTimeout = milliseconds(1000);

boost::leaf::error_id FailUnavailable(const std::string& member_id,
                                      const char* reason) {
  return Fail(error_kind::kUnavailable,
              "no request reached " + member_id + ": " + reason,
              "retry, or send to another daemon");
}

}  // namespace

result<authenticated_connection> OpenAuthenticatedConnection(
    const node_context& context, std::string_view address,
    time_point deadline) {
  const auto& options = context.options;
  BOOST_LEAF_AUTO(socket, ConnectSocket(address, *options.clock, deadline));
  auto connection = std::make_shared<peer_connection>(
      socket, kMaxHandshakeFrameBytes, options.clock, context.traffic);
  auto server_id = Attempt([&] {
    return AuthenticateAsClient(*connection, options.key, options.member_id,
                                deadline);
  });
  if (!server_id) {
    if (server_id.failure.kind == error_kind::kCorrupt) {
      ReportRejectedConnection(context, server_id.failure);
    }
    if (server_id.failure.kind == error_kind::kTimeout) {
      return Fail(server_id.failure);
    }
    // The peer closed the connection, as it does if it has too many.
    return Fail(error_kind::kOverloaded,
                "the handshake failed: " + server_id.failure.message,
                server_id.failure.remedy);
  }
  connection->SetMaxFrameBytes(options.max_frame_bytes);
  return authenticated_connection{std::move(connection), std::move(*server_id)};
}

struct peer_link::pending_call {
  connection_ptr connection;
  std::condition_variable changed;
  bool is_done = false;
  std::optional<wire_message> response;  // Absent if the connection broke.
};

peer_link::peer_link(std::shared_ptr<node_context> context,
                     std::string member_id, std::string address)
    : context_(std::move(context)),
      member_id_(std::move(member_id)),
      address_(std::move(address)),
      random_(SystemRandom()) {}

result<wire_message> peer_link::Call(const wire_message& request,
                                     duration timeout) {
  auto& clock = *context_->options.clock;
  const auto deadline = clock.Now() + timeout;
  const auto call = std::make_shared<pending_call>();
  BOOST_LEAF_ASSIGN(call->connection, GetOrOpenConnection(deadline));
  std::uint64_t correlation_id = 0;
  {
    std::lock_guard guard(mutex_);
    correlation_id = ++last_correlation_id_;
    pending_.emplace(correlation_id, call);
  }
  const auto remove_pending = [&] { pending_.erase(correlation_id); };
  const auto payload = EncodeMessage(request, correlation_id, false);
  if (payload.size() > context_->options.max_frame_bytes) {
    std::lock_guard guard(mutex_);
    remove_pending();
    return Fail(error_kind::kInvalidArgument,
                "a message of " + std::to_string(payload.size()) +
                    " bytes exceeds the frame limit",
                "send less at once or raise max_frame_bytes everywhere");
  }
  if (call->connection->WriteFrame(payload, deadline) != write_outcome::kSent) {
    std::lock_guard guard(mutex_);
    remove_pending();
    return FailUnavailable(member_id_, "the frame was not sent completely");
  }
  std::unique_lock lock(mutex_);
  WaitForResponse(lock, *call, deadline);
  remove_pending();
  if (!call->response) {
    return Fail(error_kind::kTimeout,
                call->is_done ? "the connection to " + member_id_ +
                                    " broke before the response"
                              : "no response from " + member_id_ + " in time",
                "the request may have taken effect: read the state back");
  }
  if (const auto* failure = call->response->body.Asfailure()) {
    return Fail(ToError(*failure));
  }
  return std::move(*call->response);
}

void peer_link::WaitForResponse(std::unique_lock<std::mutex>& lock,
                                pending_call& call, time_point deadline) {
  auto& clock = *context_->options.clock;
  const auto waits_since = clock.Now();
  while (!call.is_done && clock.Now() < deadline) {
    const auto now = clock.Now();
    const auto received_at = call.connection->LastReceivedAt();
    const bool is_current = call.connection == connection_;
    const bool is_echo_pending = echo_requested_at_ > received_at;
    auto check_at = std::max(received_at, waits_since) + duration(kEchoDelay);
    if (is_current && is_echo_pending) {
      check_at = echo_requested_at_ + duration(kEchoTimeout);
      if (IsSilent(now)) return DropSilentConnection(now);
    } else if (is_current && now >= check_at) {
      echo_requested_at_ = now;
      check_at = now + duration(kEchoTimeout);
      const auto request = EncodeMessage(MakeMessage(wire::acknowledgementT{}),
                                         kEchoCorrelationId, false);
      lock.unlock();
      WriteOneWay(call.connection, request);
      lock.lock();
    }
    // What arrives late may still be unread.
    check_at = std::max(check_at, now + duration(kEchoDelay));
    clock.WaitUntil(lock, call.changed, std::min(deadline, check_at),
                    [&] { return call.is_done; });
  }
}

bool peer_link::IsSilent(time_point now) const {
  return connection_ && echo_requested_at_ > connection_->LastReceivedAt() &&
         now - echo_requested_at_ >= kEchoTimeout &&
         !connection_->HasUnreadBytes();
}

void peer_link::DropSilentConnection(time_point now) {
  Emit(context_->options.log, peer_events::kLinkSilent,
       {Field("peer", member_id_), Field("address", address_),
        Field("silent_ms", ToMs(now - connection_->LastReceivedAt()))});
  connection_->Close();  // The reader fails the pending calls.
  connection_ = nullptr;
}

void peer_link::Post(const wire_message& message) {
  auto payload = EncodeMessage(message, 0, false);
  if (payload.size() > context_->options.max_frame_bytes) return;
  connection_ptr connection;
  {
    std::lock_guard guard(mutex_);
    if (closed_) return;
    connection = connection_;
    const bool in_backoff = context_->options.clock->Now() < retry_at_;
    if (!connection && (connecting_ || in_backoff)) return;
  }
  if (connection) return WriteOneWay(connection, payload);
  // Connecting may block for long if the peer's host is down, so a handler
  // thread does it.
  context_->pool.Submit(
      [self = shared_from_this(), bytes = std::move(payload)] {
        const auto& options = self->context_->options;
        const auto deadline = options.clock->Now() + options.connect_timeout;
        const auto opened =
            Attempt([&] { return self->GetOrOpenConnection(deadline); });
        if (opened) self->WriteOneWay(*opened, bytes);
      });
}

void peer_link::WriteOneWay(const connection_ptr& connection,
                            const byte_buffer& payload) {
  connection->WriteFrame(payload,
                         context_->options.clock->Now() + kPostTimeout);
}

result<peer_link::connection_ptr> peer_link::GetOrOpenConnection(
    time_point deadline) {
  auto& clock = *context_->options.clock;
  {
    std::unique_lock lock(mutex_);
    const bool connect_finished =
        clock.WaitUntil(lock, state_changed_, deadline,
                        [&] { return closed_ || !connecting_; });
    if (closed_ || context_->stopping) {
      return FailUnavailable(member_id_, "the connection is closed");
    }
    if (!connect_finished)
      return FailUnavailable(member_id_,
                             "the connection is still being opened");
    if (IsSilent(clock.Now())) DropSilentConnection(clock.Now());
    if (connection_) return connection_;
    if (clock.Now() < retry_at_) {
      return FailUnavailable(member_id_, "waiting for the reconnect backoff");
    }
    connecting_ = true;
  }
  const auto opened = Attempt([&] {
    return OpenToMember(
        std::min(deadline, clock.Now() + context_->options.connect_timeout));
  });
  std::unique_lock lock(mutex_);
  connecting_ = false;
  state_changed_.notify_all();
  was_rejected_ = !opened && opened.failure.kind == error_kind::kOverloaded;
  if (!opened) {
    context_->failed_connects->Increment();
    // The attempt may have failed only because the caller's deadline was near.
    // The backoff starts short enough to apply in that case too.
    retry_at_ = clock.Now() + BackoffWithJitter(random_, failed_attempts_++,
                                                kBackoffBase, kBackoffLimit);
    lock.unlock();
    return Fail(
        error_kind::kUnavailable,
        "no request reached " + member_id_ + ": " + opened.failure.message,
        opened.failure.remedy);
  }
  failed_attempts_ = 0;
  auto connection = *opened;
  if (closed_ || context_->stopping) {
    connection->Close();
    return FailUnavailable(member_id_, "the connection is closed");
  }
  const auto spawned = Attempt([&] {
    return context_->threads.Spawn("peer-reader",
                                   [self = shared_from_this(), connection] {
                                     self->ReadResponses(connection);
                                   });
  });
  if (!spawned) {
    connection->Close();
    return FailUnavailable(member_id_, "no thread can be started");
  }
  connection_ = connection;
  echo_requested_at_ = {};
  Emit(context_->options.log, peer_events::kLinkUp,
       {Field("peer", member_id_), Field("address", address_)});
  return connection;
}

result<peer_link::connection_ptr> peer_link::OpenToMember(time_point deadline) {
  BOOST_LEAF_AUTO(opened,
                  OpenAuthenticatedConnection(*context_, address_, deadline));
  if (opened.member_id != member_id_) {
    return Fail(
        error_kind::kUnavailable,
        "the address belongs to " + opened.member_id + ", not to " + member_id_,
        "wait until the member list is up to date");
  }
  return std::move(opened.connection);
}

void peer_link::ReadResponses(const connection_ptr& connection) {
  byte_buffer payload;
  while (true) {
    auto message = Attempt([&]() -> result<std::optional<wire_message>> {
      BOOST_LEAF_AUTO(received,
                      connection->ReadFrame(payload, time_point::max()));
      if (!received) return std::optional<wire_message>();
      BOOST_LEAF_AUTO(decoded, DecodeMessage(payload));
      return std::optional<wire_message>(std::move(decoded));
    });
    if (!message && message.failure.kind == error_kind::kCorrupt) {
      ReportInvalidFrame(*context_, message.failure);
    }
    if (!message || !*message) break;
    DeliverResponse(std::move(**message));
  }
  DropConnection(connection);
}

void peer_link::DeliverResponse(wire_message response) {
  if (response.correlation_id == kEchoCorrelationId) return;
  std::lock_guard guard(mutex_);
  const auto found = pending_.find(response.correlation_id);
  if (!response.is_response || found == pending_.end() ||
      found->second->is_done) {
    context_->unmatched_responses->Increment();
    return;
  }
  found->second->response = std::move(response);
  found->second->is_done = true;
  found->second->changed.notify_one();
}

void peer_link::DropConnection(const connection_ptr& connection) {
  connection->Close();
  std::lock_guard guard(mutex_);
  if (connection_ == connection) connection_ = nullptr;
  for (auto& [id, call] : pending_) {
    if (call->connection != connection) continue;
    call->is_done = true;
    call->changed.notify_one();
  }
  Emit(context_->options.log, peer_events::kLinkDown,
       {Field("peer", member_id_), Field("address", address_)});
}

void peer_link::ResetBackoff() {
  std::lock_guard guard(mutex_);
  if (was_rejected_) return;
  failed_attempts_ = 0;
  retry_at_ = {};
}

void peer_link::Close() {
  connection_ptr connection;
  {
    std::lock_guard guard(mutex_);
    closed_ = true;
    connection = std::move(connection_);
    connection_ = nullptr;
  }
  state_changed_.notify_all();
  if (connection) connection->Close();  // The reader fails the pending calls.
}

}  // namespace apricotwheel
