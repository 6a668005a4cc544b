#include "peer/peer_node.h"

#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <mutex>

#include "peer/envelope.h"
#include "peer/handshake.h"
#include "peer/incoming_connections.h"
#include "peer/node_context.h"
#include "peer/peer_link.h"

namespace apricotwheel {

namespace {

constexpr std::size_t kMinKeyBytes = 32;
// Timeout for writing a response. The connection of a peer that reads no
// responses for this long is closed, so that the peer cannot occupy handler
// threads.
constexpr auto kResponseTimeout = milliseconds(2000);
// Timeout for responses that the reader thread writes itself; it is short in
// order not to delay the reading.
constexpr auto kReaderResponseTimeout = milliseconds(50);

std::size_t MaxDescriptors() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
  return static_cast<std::size_t>(limit.rlim_cur);
}

wire_message RunHandler(node_context& context, const std::string& sender,
                        const wire_message& request, time_point received_at) {
  std::shared_ptr<const timed_peer_handler> handler;
  {
    std::lock_guard guard(context.handler_mutex);
    handler = context.handlers[static_cast<std::size_t>(request.body.type)];
  }
  if (!handler) {
    return MakeFailure(
        {error_kind::kUnavailable,
         std::string("no handler for ") + wire::EnumNamebody(request.body.type),
         "run the same release on all daemons"});
  }
  try {
    return (*handler)(sender, request, received_at);
  } catch (const std::exception& failure) {
    return MakeFailure(
        {error_kind::kInternal, failure.what(), "report this as a bug"});
  }
}

void Reply(const node_context& context, peer_connection& connection,
           std::uint64_t correlation_id, const wire_message& response,
           duration timeout) {
  if (correlation_id == 0) return;
  auto payload = EncodeMessage(response, correlation_id, true);
  if (payload.size() > context.options.max_frame_bytes) {
    payload = EncodeMessage(
        MakeFailure(
            {error_kind::kInternal, "the response exceeds the frame limit",
             "the request may have taken effect; raise max_frame_bytes"}),
        correlation_id, true);
  }
  const auto deadline = context.options.clock->Now() + timeout;
  if (connection.WriteFrame(payload, deadline) != write_outcome::kSent &&
      timeout >= kResponseTimeout) {
    connection.Close();
  }
}

}  // namespace

struct peer_node::state {
  explicit state(peer_node_options options)
      : context(std::make_shared<node_context>(std::move(options))),
        incoming(ConnectionsForDescriptors(MaxDescriptors())) {}
  ~state() {
    if (listener >= 0) ::close(listener);
  }

  void AcceptConnections();
  void ServeConnection(incoming_connections::connection_id id,
                       const std::shared_ptr<peer_connection>& connection);
  void ReadRequests(const std::shared_ptr<peer_connection>& connection,
                    const std::string& sender);
  void DispatchRequest(const std::shared_ptr<peer_connection>& connection,
                       const std::string& sender, wire_message request);
  std::shared_ptr<peer_link> FindLink(std::string_view member_id);

  std::shared_ptr<node_context> context;
  int listener = -1;
  std::string listen_address;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<peer_link>, std::less<>> links;
  incoming_connections incoming;
  std::once_flag stopped;
};

peer_node::peer_node(std::shared_ptr<state> initial)
    : state_(std::move(initial)) {}

peer_node::~peer_node() { Stop(); }

result<std::unique_ptr<peer_node>> peer_node::Start(peer_node_options options) {
  if (options.key.size() < kMinKeyBytes) {
    return Fail(error_kind::kInvalidArgument, "the peer key is too short",
                "use a key of 32 bytes or more");
  }
  if (options.member_id.empty() ||
      options.member_id.size() > kMaxMemberIdBytes) {
    return Fail(error_kind::kInvalidArgument,
                "the member id is empty or too long",
                "use a name of 1 to 200 bytes");
  }
  auto initial = std::make_shared<state>(std::move(options));
  BOOST_LEAF_ASSIGN(initial->listener,
                    ListenSocket(initial->context->options.listen_address));
  initial->listen_address = LocalAddress(initial->listener);
  auto* self = initial.get();  // `Stop` joins the thread that uses it.
  BOOST_LEAF_CHECK(initial->context->threads.Spawn(
      "peer-accept", [self] { self->AcceptConnections(); }));
  return std::unique_ptr<peer_node>(new peer_node(std::move(initial)));
}

void peer_node::SetHandler(wire::body type, peer_handler handler) {
  SetTimedHandler(type,
                  [handler = std::move(handler)](
                      const std::string& sender, const wire_message& request,
                      time_point) { return handler(sender, request); });
}

void peer_node::SetTimedHandler(wire::body type, timed_peer_handler handler) {
  auto stored = std::make_shared<const timed_peer_handler>(std::move(handler));
  std::lock_guard guard(state_->context->handler_mutex);
  state_->context->handlers[static_cast<std::size_t>(type)] = std::move(stored);
}

void peer_node::SetAddress(std::string_view member_id,
                           std::string_view address) {
  std::shared_ptr<peer_link> replaced;
  {
    std::lock_guard guard(state_->mutex);
    const auto found = state_->links.find(member_id);
    if (found != state_->links.end()) {
      if (found->second->Address() == address) return;
      replaced = std::move(found->second);
      state_->links.erase(found);
    }
    if (!address.empty() && !state_->context->stopping) {
      state_->links.emplace(
          member_id,
          std::make_shared<peer_link>(state_->context, std::string(member_id),
                                      std::string(address)));
    }
  }
  if (replaced) replaced->Close();
}

result<wire_message> peer_node::Call(std::string_view member_id,
                                     const wire_message& request,
                                     duration timeout) {
  if (state_->context->stopping) {
    return Fail(error_kind::kUnavailable, "this daemon is stopping",
                "send to another daemon");
  }
  const auto link = state_->FindLink(member_id);
  if (!link) {
    return Fail(error_kind::kNotFound,
                "no peer is named " + std::string(member_id),
                "wait until the member list is up to date");
  }
  return link->Call(request, timeout);
}

result<peer_response> peer_node::CallAddress(std::string_view address,
                                             const wire_message& request,
                                             duration timeout) {
  constexpr std::uint64_t kCorrelationId = 1;  // The only request.
  const auto& context = *state_->context;
  const auto& options = context.options;
  const auto now = options.clock->Now();
  const auto deadline = now + timeout;
  if (context.stopping) {
    return Fail(error_kind::kUnavailable, "this daemon is stopping",
                "send to another daemon");
  }
  auto opened = Attempt([&] {
    return OpenAuthenticatedConnection(
        context, address, std::min(deadline, now + options.connect_timeout));
  });
  if (!opened) {
    return Fail(error_kind::kUnavailable,
                "no request reached " + std::string(address) + ": " +
                    opened.failure.message,
                opened.failure.remedy);
  }
  auto& connection = *opened->connection;
  const auto payload = EncodeMessage(request, kCorrelationId, false);
  if (connection.WriteFrame(payload, deadline) != write_outcome::kSent) {
    return Fail(error_kind::kUnavailable,
                "no request reached " + std::string(address) +
                    ": the frame was not sent completely",
                "retry, or send to another daemon");
  }
  byte_buffer received;
  const auto has_frame =
      Attempt([&] { return connection.ReadFrame(received, deadline); });
  if (!has_frame || !*has_frame) {
    return Fail(
        error_kind::kTimeout,
        "no response from " + std::string(address) + ": " +
            (has_frame ? "the connection ended" : has_frame.failure.message),
        "the request may have taken effect: read the state back");
  }
  auto response = Attempt([&] { return DecodeMessage(received); });
  if (!response && response.failure.kind == error_kind::kCorrupt) {
    ReportInvalidFrame(context, response.failure);
  }
  if (!response || !response->is_response ||
      response->correlation_id != kCorrelationId) {
    return Fail(error_kind::kTimeout,
                "no response from " + std::string(address) + ": " +
                    response.failure.message,
                "the request may have taken effect: read the state back");
  }
  if (const auto* failure = response->body.Asfailure()) {
    return Fail(ToError(*failure));
  }
  return peer_response{std::move(opened->member_id), std::move(*response)};
}

void peer_node::Post(std::string_view member_id, const wire_message& message) {
  if (state_->context->stopping) return;
  if (const auto link = state_->FindLink(member_id)) link->Post(message);
}

std::string peer_node::ListenAddress() const { return state_->listen_address; }

std::uint64_t peer_node::BytesSent() const {
  return state_->context->traffic->bytes_sent;
}

std::uint64_t peer_node::BytesReceived() const {
  return state_->context->traffic->bytes_received;
}

std::uint64_t peer_node::MessagesSent() const {
  return state_->context->traffic->messages_sent;
}

void peer_node::Stop() {
  std::call_once(state_->stopped, [this] {
    auto& context = *state_->context;
    context.stopping = true;
    ::shutdown(state_->listener, SHUT_RDWR);
    decltype(state_->links) links;
    {
      std::lock_guard guard(state_->mutex);
      links.swap(state_->links);
      state_->incoming.CloseAll();
    }
    for (const auto& [id, link] : links) link->Close();
    context.pool.Stop();
    context.threads.JoinAll();
  });
}

std::shared_ptr<peer_link> peer_node::state::FindLink(
    std::string_view member_id) {
  std::lock_guard guard(mutex);
  const auto found = links.find(member_id);
  return found == links.end() ? nullptr : found->second;
}

void peer_node::state::AcceptConnections() {
  const auto& options = context->options;
  while (!context->stopping) {
    WaitSocket(listener, POLLIN, *options.clock, time_point::max());
    if (context->stopping) return;
    const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      // Without this pause the loop would use a whole processor core while no
      // file descriptors are left.
      if (errno == EMFILE || errno == ENFILE) {
        options.clock->SleepFor(milliseconds(10));
      }
      continue;
    }
    ConfigureSocket(socket);
    const auto connection = std::make_shared<peer_connection>(
        socket, kMaxHandshakeFrameBytes, options.clock, context->traffic);
    std::optional<incoming_connections::connection_id> id;
    {
      std::lock_guard guard(mutex);
      if (context->stopping) return;
      id = incoming.Add(connection, links.size());
    }
    if (!id) {
      ReportRejectedConnection(
          *context, {error_kind::kOverloaded, "too many incoming connections",
                     "raise the limit of open files, or run fewer daemons"});
      continue;
    }
    const auto spawned = Attempt([&] {
      return context->threads.Spawn("peer-reader",
                                    [this, id = *id, connection] {
                                      ServeConnection(id, connection);
                                      connection->Close();
                                      incoming.Remove(id);
                                    });
    });
    if (!spawned) incoming.Remove(*id);
  }
}

void peer_node::state::ServeConnection(
    incoming_connections::connection_id id,
    const std::shared_ptr<peer_connection>& connection) {
  const auto& options = context->options;
  const auto deadline = options.clock->Now() + 2 * options.connect_timeout;
  const auto sender = Attempt([&] {
    return AuthenticateAsServer(*connection, options.key, options.member_id,
                                deadline);
  });
  if (!sender) {
    if (!context->stopping) ReportRejectedConnection(*context, sender.failure);
    return;
  }
  const auto outgoing = FindLink(*sender);
  if (!incoming.SetSender(id, *sender, outgoing != nullptr)) {
    ReportRejectedConnection(
        *context, {error_kind::kOverloaded, "too many incoming connections",
                   "check who connects to the peer address"});
    return;
  }
  connection->SetMaxFrameBytes(options.max_frame_bytes);
  if (outgoing) outgoing->ResetBackoff();
  ReadRequests(connection, *sender);
}

void peer_node::state::ReadRequests(
    const std::shared_ptr<peer_connection>& connection,
    const std::string& sender) {
  byte_buffer payload;
  while (!context->stopping) {
    const auto received = Attempt(
        [&] { return connection->ReadFrame(payload, time_point::max()); });
    if (!received || !*received) {
      if (!received && received.failure.kind == error_kind::kCorrupt) {
        ReportInvalidFrame(*context, received.failure);
      }
      return;
    }
    auto message = Attempt([&] { return DecodeMessage(payload); });
    if (!message) return ReportInvalidFrame(*context, message.failure);
    if (message->is_response) {
      context->unmatched_responses->Increment();
      continue;
    }
    DispatchRequest(connection, sender, std::move(*message));
  }
}

void peer_node::state::DispatchRequest(
    const std::shared_ptr<peer_connection>& connection,
    const std::string& sender, wire_message request) {
  const auto correlation_id = request.correlation_id;
  if (request.body.Asacknowledgement() != nullptr) {
    // An echo shows that the connection works while handlers are busy.
    return Reply(*context, *connection, correlation_id,
                 MakeMessage(wire::acknowledgementT{}), kReaderResponseTimeout);
  }
  const auto received_at = context->options.clock->Now();
  const auto work = [this, connection, sender, received_at,
                     message =
                         std::make_shared<wire_message>(std::move(request))] {
    Reply(*context, *connection, message->correlation_id,
          RunHandler(*context, sender, *message, received_at),
          kResponseTimeout);
  };
  if (context->pool.Submit(work)) return;
  context->overloaded_requests->Increment();
  Reply(*context, *connection, correlation_id,
        MakeFailure({error_kind::kOverloaded, "all handler threads are busy",
                     "retry later or at another daemon"}),
        kReaderResponseTimeout);
}

}  // namespace apricotwheel
