#include "peer/peer_link.h"

#include <algorithm>

#include "peer/envelope.h"
#include "peer/handshake.h"
#include "peer/peer_events.h"

namespace apricotwheel {

namespace {

constexpr auto kBackoffBase = milliseconds(50);
constexpr auto kBackoffLimit = milliseconds(1000);
// One-way messages are repeated by their senders, so a full socket buffer drops
// them instead of delaying the sending thread.
constexpr auto kPostTimeout = milliseconds(50);

boost::leaf::error_id FailUnavailable(const std::string& member_id,
                                      const char* reason) {
  return Fail(error_kind::kUnavailable,
              "no request reached " + member_id + ": " + reason,
              "retry, or send to another daemon");
}

}  // namespace

result<open_connection> OpenConnection(const node_context& context,
                                       std::string_view address,
                                       time_point deadline) {
  const auto& options = context.options;
  BOOST_LEAF_AUTO(socket, ConnectSocket(address, *options.clock, deadline));
  auto link = std::make_shared<connection>(socket, kMaxHandshakeFrameBytes,
                                           options.clock, context.traffic);
  auto server_id = Attempt([&] {
    return AuthenticateClient(*link, options.key, options.member_id, deadline);
  });
  if (!server_id) {
    if (server_id.failure.kind == error_kind::kCorrupt) {
      ReportRejected(context, server_id.failure);
    }
    return Fail(server_id.failure);
  }
  link->SetMaxFrameBytes(options.max_frame_bytes);
  return open_connection{std::move(link), std::move(*server_id)};
}

struct peer_link::pending_call {
  connection_ptr link;
  std::condition_variable changed;
  bool is_done = false;
  std::optional<wire_message> reply;  // Absent if the link broke.
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
  BOOST_LEAF_ASSIGN(call->link, Obtain(deadline));
  std::uint64_t correlation_id = 0;
  {
    std::lock_guard guard(mutex_);
    correlation_id = ++last_correlation_id_;
    pending_.emplace(correlation_id, call);
  }
  const auto forget = [&] { pending_.erase(correlation_id); };
  const auto payload = EncodeMessage(request, correlation_id, false);
  if (payload.size() > context_->options.max_frame_bytes) {
    std::lock_guard guard(mutex_);
    forget();
    return Fail(error_kind::kInvalidArgument,
                "a message of " + std::to_string(payload.size()) +
                    " bytes exceeds the frame limit",
                "send less at once or raise max_frame_bytes everywhere");
  }
  if (call->link->WriteFrame(payload, deadline) != write_outcome::kSent) {
    std::lock_guard guard(mutex_);
    forget();
    return FailUnavailable(member_id_, "the frame was not sent completely");
  }
  std::unique_lock lock(mutex_);
  clock.WaitUntil(lock, call->changed, deadline, [&] { return call->is_done; });
  forget();
  if (!call->reply) {
    return Fail(error_kind::kTimeout,
                call->is_done
                    ? "the link to " + member_id_ + " broke before the reply"
                    : "no reply from " + member_id_ + " in time",
                "the request may have taken effect: read the state back");
  }
  if (const auto* failure = call->reply->body.Asfailure()) {
    return Fail(ToError(*failure));
  }
  return std::move(*call->reply);
}

void peer_link::Post(const wire_message& message) {
  auto payload = EncodeMessage(message, 0, false);
  if (payload.size() > context_->options.max_frame_bytes) return;
  connection_ptr current;
  {
    std::lock_guard guard(mutex_);
    if (closed_) return;
    current = connection_;
    const bool in_backoff = context_->options.clock->Now() < retry_at_;
    if (!current && (connecting_ || in_backoff)) return;
  }
  if (current) return PostNow(current, payload);
  // Connecting takes long if the peer's host is gone, so it is left to a
  // handler thread.
  context_->pool.Submit(
      [self = shared_from_this(), bytes = std::move(payload)] {
        const auto& options = self->context_->options;
        const auto deadline = options.clock->Now() + options.connect_timeout;
        const auto link = Attempt([&] { return self->Obtain(deadline); });
        if (link) self->PostNow(*link, bytes);
      });
}

void peer_link::PostNow(const connection_ptr& link,
                        const byte_buffer& payload) {
  link->WriteFrame(payload, context_->options.clock->Now() + kPostTimeout);
}

result<peer_link::connection_ptr> peer_link::Obtain(time_point deadline) {
  auto& clock = *context_->options.clock;
  {
    std::unique_lock lock(mutex_);
    const bool is_settled = clock.WaitUntil(
        lock, changed_, deadline, [&] { return closed_ || !connecting_; });
    if (closed_ || context_->stopping) {
      return FailUnavailable(member_id_, "the link is closed");
    }
    if (!is_settled) return FailUnavailable(member_id_, "still connecting");
    if (connection_) return connection_;
    if (clock.Now() < retry_at_) {
      return FailUnavailable(member_id_, "waiting before the next connection");
    }
    connecting_ = true;
  }
  const auto opened = Attempt([&] {
    return Open(
        std::min(deadline, clock.Now() + context_->options.connect_timeout));
  });
  std::unique_lock lock(mutex_);
  connecting_ = false;
  changed_.notify_all();
  if (!opened) {
    context_->failed_connects->Increment();
    // A caller with little time left says nothing about the peer's state, but
    // the back-off's base is short enough to apply to it as well.
    retry_at_ = clock.Now() + BackoffWithJitter(random_, failed_attempts_++,
                                                kBackoffBase, kBackoffLimit);
    lock.unlock();
    return Fail(
        error_kind::kUnavailable,
        "no request reached " + member_id_ + ": " + opened.failure.message,
        opened.failure.remedy);
  }
  failed_attempts_ = 0;
  auto link = *opened;
  if (closed_ || context_->stopping) {
    link->Close();
    return FailUnavailable(member_id_, "the link is closed");
  }
  const auto spawned = Attempt([&] {
    return context_->threads.Spawn(
        "peer-reader", [self = shared_from_this(), link] { self->Read(link); });
  });
  if (!spawned) {
    link->Close();
    return FailUnavailable(member_id_, "no thread is left");
  }
  connection_ = link;
  Emit(context_->options.log, peer_events::kLinkUp,
       {Field("peer", member_id_), Field("address", address_)});
  return link;
}

result<peer_link::connection_ptr> peer_link::Open(time_point deadline) {
  BOOST_LEAF_AUTO(opened, OpenConnection(*context_, address_, deadline));
  if (opened.member_id != member_id_) {
    return Fail(
        error_kind::kUnavailable,
        "the address belongs to " + opened.member_id + ", not to " + member_id_,
        "wait until the member list is up to date");
  }
  return std::move(opened.link);
}

void peer_link::Read(const connection_ptr& link) {
  byte_buffer payload;
  while (true) {
    auto message = Attempt([&]() -> result<std::optional<wire_message>> {
      BOOST_LEAF_AUTO(received, link->ReadFrame(payload, time_point::max()));
      if (!received) return std::optional<wire_message>();
      BOOST_LEAF_AUTO(decoded, DecodeMessage(payload));
      return std::optional<wire_message>(std::move(decoded));
    });
    if (!message && message.failure.kind == error_kind::kCorrupt) {
      ReportInvalidFrame(*context_, message.failure);
    }
    if (!message || !*message) break;
    Deliver(std::move(**message));
  }
  Drop(link);
}

void peer_link::Deliver(wire_message reply) {
  std::lock_guard guard(mutex_);
  const auto found = pending_.find(reply.correlation_id);
  if (!reply.is_response || found == pending_.end() || found->second->is_done) {
    context_->unmatched_replies->Increment();
    return;
  }
  found->second->reply = std::move(reply);
  found->second->is_done = true;
  found->second->changed.notify_one();
}

void peer_link::Drop(const connection_ptr& link) {
  link->Close();
  std::lock_guard guard(mutex_);
  if (connection_ == link) connection_ = nullptr;
  for (auto& [id, call] : pending_) {
    if (call->link != link) continue;
    call->is_done = true;
    call->changed.notify_one();
  }
  Emit(context_->options.log, peer_events::kLinkDown,
       {Field("peer", member_id_), Field("address", address_)});
}

void peer_link::ResetBackoff() {
  std::lock_guard guard(mutex_);
  failed_attempts_ = 0;
  retry_at_ = {};
}

void peer_link::Close() {
  connection_ptr current;
  {
    std::lock_guard guard(mutex_);
    closed_ = true;
    current = std::move(connection_);
    connection_ = nullptr;
  }
  changed_.notify_all();
  if (current) current->Close();  // The reader then fails the waiting calls.
}

}  // namespace apricotwheel
