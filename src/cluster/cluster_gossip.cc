#include "cluster/cluster_core.h"

namespace apricotwheel {

namespace {

constexpr auto kFetchTimeout = milliseconds(1000);
// A member that was only absent while the key-value service recovered keeps its
// link, so that the requests on it are not interrupted.
constexpr auto kVanishedLinkLifetime = milliseconds(10'000);

wire_message FailStopped() {
  return MakeFailure({error_kind::kShuttingDown, "this daemon is stopping",
                      "ask another daemon"});
}

}  // namespace

void cluster_core::RegisterHandlers() {
  const auto weak = weak_from_this();
  options_.peers->Handle(
      wire::body::gossip,
      [weak](const std::string& sender, const wire_message& request) {
        const auto self = weak.lock();
        if (!self) return FailStopped();
        std::shared_lock guard(self->handler_mutex_);
        if (self->handlers_closed_) return FailStopped();
        self->ReceiveGossip(sender, *request.body.Asgossip());
        return MakeMessage(wire::acknowledgementT{});
      });
  options_.peers->Handle(
      wire::body::document_request,
      [weak](const std::string&, const wire_message& request) {
        const auto self = weak.lock();
        if (!self) return FailStopped();
        const auto current = self->documents_.Current();
        if (!current) {
          return MakeFailure({error_kind::kNotFound,
                              "this daemon has no document",
                              "ask another daemon"});
        }
        wire::document_responseT reply;
        const auto known = request.body.Asdocument_request()->known_revision;
        if (current->envelope.revision > known) {
          reply.envelope = EncodeEnvelope(current->envelope);
        }
        return MakeMessage(std::move(reply));
      });
}

void cluster_core::RunGossip() {
  while (!gossip_signal_.StopRequested()) {
    SendGossip();
    ForgetSilentPeers();
    if (gossip_signal_.WaitFor(options_.settings.gossip_interval)) return;
  }
}

void cluster_core::SendGossip() {
  const auto view = View();
  wire::gossipT content;
  if (gossip_source) gossip_source(content);
  content.document_revision = documents_.Revision();
  content.assignment_revision = view->assignment_revision;
  content.leaving_vms = vms_.OwnMarks();
  content.vm_list_version = vms_.Version();
  content.draining = lease_.IsLeaving();
  // Held over the sends, so that a complete message is not overtaken.
  std::lock_guard guard(gossip_mutex_);
  const auto message = MakeMessage(composer_.Next(std::move(content)));
  for (const auto& one : view->members) {
    if (one.id != options_.member_id) options_.peers->Post(one.id, message);
  }
}

void cluster_core::ReceiveGossip(const std::string& sender,
                                 const wire::gossipT& message) {
  const bool was_draining = board_.IsDraining(sender);
  if (board_.Receive(sender, message)) {
    vms_.SetPeerMarks(sender, message.leaving_vms, message.vm_list_version);
    if (message.draining != was_draining) Publish();
  }
  if (documents_.Wants(message.document_revision)) FetchDocument(sender);
}

void cluster_core::FetchDocument(const std::string& sender) {
  if (is_fetching_.exchange(true)) return;
  wire::document_requestT request;
  request.known_revision = documents_.Revision();
  const auto reply = Attempt([&] {
    return options_.peers->Call(sender, MakeMessage(request), kFetchTimeout);
  });
  if (reply && reply->body.Asdocument_response() != nullptr &&
      !reply->body.Asdocument_response()->envelope.empty()) {
    documents_.Offer(reply->body.Asdocument_response()->envelope);
  }
  is_fetching_ = false;
}

void cluster_core::ForgetSilentPeers() {
  for (const auto& id : board_.RemoveSilent()) vms_.ForgetPeer(id);
  std::vector<std::string> gone;
  std::lock_guard order(publish_mutex_);  // A member may be coming back.
  {
    std::lock_guard guard(mutex_);
    const auto oldest = clock_->Now() - kVanishedLinkLifetime;
    std::erase_if(vanished_peers_, [&](const auto& entry) {
      if (entry.second > oldest) return false;
      gone.push_back(entry.first);
      linked_peers_.erase(entry.first);
      return true;
    });
  }
  for (const auto& id : gone) {
    options_.peers->SetAddress(id, "");
    vms_.ForgetPeer(id);
  }
}

}  // namespace apricotwheel
