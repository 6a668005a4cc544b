#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "cluster/cluster_core.h"
#include "cluster/cluster_events.h"

namespace apricotwheel {

namespace {

// Bounds how long `Stop` waits for requests to seed peers.
constexpr auto kSeedTimeout = milliseconds(800);
constexpr auto kSeedInterval = milliseconds(1000);

}  // namespace

// Returns the addresses of the seed peers of the settings and of the members of
// the last view. Members stop sending gossip to a daemon whose record has
// expired, so this daemon has to request the document from them.
std::set<std::string> cluster_core::SeedAddresses() const {
  std::set<std::string> addresses(options_.settings.seed_peers.begin(),
                                  options_.settings.seed_peers.end());
  for (const member& peer : View()->members) {
    if (peer.id != options_.member_id) addresses.insert(peer.peer_address);
  }
  addresses.erase(options_.settings.peer_address);
  return addresses;
}

void cluster_core::RunSeedRequests() {
  while (!seed_signal_.StopRequested()) {
    bool is_cut_off = false;
    {
      std::lock_guard guard(mutex_);
      is_cut_off = !records_listed_ || !kv_reachable_;
    }
    if (is_cut_off) FetchDocumentFromSeeds();
    if (seed_signal_.WaitFor(kSeedInterval)) return;
  }
}

// Requests the document from all seed peers and activates the newest valid one.
// Waits for all responses first: activating the document of a lagging seed peer
// would make the daemon ready with an older document than another reachable
// seed peer has.
void cluster_core::FetchDocumentFromSeeds() {
  wire::document_requestT request;
  request.known_revision = documents_.Revision();
  const auto message = MakeMessage(request);
  std::mutex fetch_mutex;
  std::vector<document_envelope> found;
  std::string failures;
  thread_group fetches;
  for (const auto& address : SeedAddresses()) {
    const auto fetch = [&, address] {
      const auto call_result = Attempt([&] {
        return options_.peers->CallAddress(address, message, kSeedTimeout);
      });
      std::lock_guard guard(fetch_mutex);
      const auto add_failure = [&](const std::string& reason) {
        if (!failures.empty()) failures += "; ";
        failures.append(address).append(": ").append(reason);
      };
      if (!call_result) return add_failure(call_result.failure.message);
      const auto* response = call_result->message.body.Asdocument_response();
      if (response == nullptr) return add_failure("wrong response type");
      if (call_result->member_id == options_.member_id ||
          response->envelope.empty()) {
        return;
      }
      auto envelope =
          Attempt([&] { return DecodeEnvelope(response->envelope); });
      if (!envelope) return add_failure(envelope.failure.message);
      found.push_back(std::move(*envelope));
    };
    if (!Attempt([&] { return fetches.Spawn("cluster-seed", fetch); })) fetch();
  }
  fetches.JoinAll();
  // Newest first. `TryActivate` ignores an invalid document, and the next one
  // is tried.
  std::sort(found.begin(), found.end(),
            [](const auto& left, const auto& right) {
              return left.revision > right.revision;
            });
  for (const auto& next : found) documents_.TryActivate(EncodeEnvelope(next));
  if (documents_.Current()) return;
  bool is_first_failure = false;
  {
    std::lock_guard guard(mutex_);
    is_first_failure = seed_failures_.empty();
    seed_failures_ = failures.empty()
                         ? "no seed peer other than this daemon is configured"
                         : failures;
  }
  if (is_first_failure && !failures.empty()) {
    Emit(options_.log, cluster_events::kSeedsWithoutDocument,
         {Field("reason", failures)});
  }
}

std::string cluster_core::DocumentMissingReason() const {
  if (documents_.Current()) return "";
  std::lock_guard guard(mutex_);
  if (records_listed_ && kv_reachable_) {
    return "the key-value service holds no valid document";
  }
  if (options_.settings.seed_peers.empty()) {
    return "the key-value service is unreachable and the setting seed_peers "
           "is empty";
  }
  return "the key-value service is unreachable and no seed peer returned a "
         "document: " +
         (seed_failures_.empty() ? "no request sent yet" : seed_failures_);
}

}  // namespace apricotwheel
