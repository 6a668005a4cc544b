#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "cluster/cluster_core.h"
#include "cluster/cluster_events.h"

namespace apricotwheel {

namespace {

// Bounds how long a stop waits for a round.
constexpr auto kSeedTimeout = milliseconds(800);
constexpr auto kSeedInterval = milliseconds(1000);

}  // namespace

// The other members stop sending gossip to a daemon whose record has expired,
// so it asks them, by the last view, beside the seeds of the settings.
std::set<std::string> cluster_core::PeersToAsk() const {
  std::set<std::string> addresses(options_.settings.seed_peers.begin(),
                                  options_.settings.seed_peers.end());
  for (const member& one : View()->members) {
    if (one.id != options_.member_id) addresses.insert(one.peer_address);
  }
  addresses.erase(options_.settings.peer_address);
  return addresses;
}

void cluster_core::RunSeeds() {
  while (!seed_signal_.StopRequested()) {
    bool is_cut_off = false;
    {
      std::lock_guard guard(mutex_);
      is_cut_off = !is_listed_ || !kv_reachable_;
    }
    if (is_cut_off) AskSeeds();
    if (seed_signal_.WaitFor(kSeedInterval)) return;
  }
}

// Puts the newest of the seeds' documents into force. All seeds are asked
// before the first document is used, so that a lagging one does not make the
// daemon ready with an older document than another reachable seed has.
void cluster_core::AskSeeds() {
  wire::document_requestT request;
  request.known_revision = documents_.Revision();
  const auto message = MakeMessage(request);
  std::mutex round_mutex;
  std::vector<document_envelope> found;
  std::string failures;
  thread_group round;
  for (const auto& address : PeersToAsk()) {
    const auto ask = [&, address] {
      const auto answer = Attempt([&] {
        return options_.peers->CallAddress(address, message, kSeedTimeout);
      });
      std::lock_guard guard(round_mutex);
      const auto report = [&](const std::string& reason) {
        if (!failures.empty()) failures += "; ";
        failures.append(address).append(": ").append(reason);
      };
      if (!answer) return report(answer.failure.message);
      const auto* reply = answer->message.body.Asdocument_response();
      if (reply == nullptr) return report("the reply has a wrong type");
      if (answer->member_id == options_.member_id || reply->envelope.empty()) {
        return;
      }
      auto envelope = Attempt([&] { return DecodeEnvelope(reply->envelope); });
      if (!envelope) return report(envelope.failure.message);
      found.push_back(std::move(*envelope));
    };
    if (!Attempt([&] { return round.Spawn("cluster-seed", ask); })) ask();
  }
  round.JoinAll();
  // An invalid newest document leaves the next one to be used.
  std::sort(found.begin(), found.end(),
            [](const auto& left, const auto& right) {
              return left.revision > right.revision;
            });
  for (const auto& envelope : found) documents_.Offer(EncodeEnvelope(envelope));
  if (documents_.Current()) return;
  bool is_first = false;
  {
    std::lock_guard guard(mutex_);
    is_first = seed_report_.empty();
    seed_report_ = failures.empty() ? "no other seed peer is named" : failures;
  }
  if (is_first && !failures.empty()) {
    Emit(options_.log, cluster_events::kSeedsUnanswered,
         {Field("reason", failures)});
  }
}

std::string cluster_core::DocumentWait() const {
  if (documents_.Current()) return "";
  std::lock_guard guard(mutex_);
  if (is_listed_ && kv_reachable_) {
    return "the key-value service holds no valid document";
  }
  if (options_.settings.seed_peers.empty()) {
    return "the key-value service cannot be reached and the setting seed_peers "
           "names no other daemon";
  }
  return "the key-value service cannot be reached and no seed peer gave a "
         "document: " +
         (seed_report_.empty() ? "not asked yet" : seed_report_);
}

}  // namespace apricotwheel
