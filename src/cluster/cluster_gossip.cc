#include "cluster/cluster_core.h"

namespace apricotwheel {

namespace {

// Timeout of a request for the document of a peer.
constexpr auto kFetchTimeout = milliseconds(1000);
// The link to a peer outlives its member record by this time. A member whose
// record is missing only while the key-value service recovers keeps its link,
// and the requests on it are not interrupted.
constexpr auto kRemovedPeerLinkLifetime = milliseconds(10'000);

wire_message MakeShuttingDownFailure() {
  return MakeFailure({error_kind::kShuttingDown, "this daemon is stopping",
                      "send the request to another daemon"});
}

}  // namespace

void cluster_core::RegisterHandlers() {
  const auto weak = weak_from_this();
  options_.peers->SetHandler(
      wire::body::gossip,
      [weak](const std::string& sender, const wire_message& request) {
        const auto self = weak.lock();
        if (!self) return MakeShuttingDownFailure();
        // Of the two handlers, only this one can call the callbacks, so `Stop`
        // waits only for this one.
        std::shared_lock guard(self->handler_mutex_);
        if (self->handlers_closed_) return MakeShuttingDownFailure();
        self->ReceiveGossip(sender, *request.body.Asgossip());
        return MakeMessage(wire::acknowledgementT{});
      });
  options_.peers->SetHandler(
      wire::body::document_request,
      [weak](const std::string&, const wire_message& request) {
        const auto self = weak.lock();
        if (!self) return MakeShuttingDownFailure();
        const auto current = self->documents_.Current();
        if (!current) {
          return MakeFailure({error_kind::kNotFound,
                              "this daemon has no document",
                              "send the request to another daemon"});
        }
        wire::document_responseT response;
        const auto known = request.body.Asdocument_request()->known_revision;
        if (current->envelope.revision > known) {
          response.envelope = EncodeEnvelope(current->envelope);
        }
        return MakeMessage(std::move(response));
      });
}

void cluster_core::RunGossip() {
  while (!gossip_signal_.StopRequested()) {
    SendGossip();
    RemoveSilentPeers();
    if (gossip_signal_.WaitFor(options_.settings.gossip_interval)) return;
  }
}

void cluster_core::SendGossip() {
  const auto view = View();
  wire::gossipT content;
  if (gossip_source) gossip_source(content);
  content.document_revision = documents_.Revision();
  content.assignment_revision = view->assignment_revision;
  content.leaving_vms = vms_.LocalLeavingVms();
  content.vm_list_version = vms_.ListVersion();
  content.draining = lease_.IsLeaving();
  // Held until all messages are posted, so that the messages of two calling
  // threads are posted in the order of their sequence numbers. A message
  // without content has no effect on the gossip cache of a peer that lacks the
  // complete message with its sequence number.
  std::lock_guard guard(gossip_mutex_);
  const auto message =
      MakeMessage(composer_.ComposeMessage(std::move(content)));
  for (const auto& peer : view->members) {
    if (peer.id != options_.member_id) options_.peers->Post(peer.id, message);
  }
}

void cluster_core::ReceiveGossip(const std::string& sender,
                                 const wire::gossipT& message) {
  const bool was_draining = gossip_cache_.IsDraining(sender);
  if (gossip_cache_.Receive(sender, message)) {
    vms_.SetPeerLeavingVms(sender, message.leaving_vms,
                           message.vm_list_version);
    if (message.draining != was_draining) PublishView();
  }
  if (documents_.ShouldFetch(message.document_revision)) FetchDocument(sender);
}

void cluster_core::FetchDocument(const std::string& sender) {
  if (document_fetch_in_flight_.exchange(true)) return;
  wire::document_requestT request;
  request.known_revision = documents_.Revision();
  const auto call_result = Attempt([&] {
    return options_.peers->Call(sender, MakeMessage(request), kFetchTimeout);
  });
  if (call_result && call_result->body.Asdocument_response() != nullptr &&
      !call_result->body.Asdocument_response()->envelope.empty()) {
    documents_.TryActivate(call_result->body.Asdocument_response()->envelope);
  }
  document_fetch_in_flight_ = false;
}

void cluster_core::RemoveSilentPeers() {
  for (const auto& id : gossip_cache_.RemoveSilentPeers()) vms_.RemovePeer(id);
  std::vector<std::string> expired_peers;
  // Excludes a concurrent `UpdatePeerLinks`, which can restore the link of a
  // member that returns.
  std::lock_guard order(publish_mutex_);
  {
    std::lock_guard guard(mutex_);
    const auto cutoff = clock_->Now() - kRemovedPeerLinkLifetime;
    std::erase_if(removed_peers_, [&](const auto& entry) {
      if (entry.second > cutoff) return false;
      expired_peers.push_back(entry.first);
      linked_peers_.erase(entry.first);
      return true;
    });
  }
  for (const auto& id : expired_peers) {
    options_.peers->SetAddress(id, "");  // Closes the link.
    vms_.RemovePeer(id);
  }
}

}  // namespace apricotwheel
