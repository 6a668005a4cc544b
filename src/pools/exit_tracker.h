#pragma once

#include <set>
#include <string>
#include <string_view>

namespace apricotwheel {

// Which members' processes count as exited. Not thread-safe.
//
// A refused connection is a weak sign: it lets a pool be taken over early,
// which is safe, but a network that cuts a member off may refuse connections
// too. A member that turns out to be alive is not judged by it again, because
// two members that do so would take a pool from each other in turns.
class exit_tracker {
 public:
  // A request to the member could not be sent. Returns false if its address
  // need not be probed.
  bool ReportUnreachable(const std::string& id);
  // Returns the members to probe: those reported since the last call.
  std::set<std::string> TakeUnreachable();
  // The address of the member refuses connections.
  void OnRefused(const std::string& id);
  // A later process listens at the address of the member, so it has exited.
  void OnReplaced(const std::string& id) { replaced_.insert(id); }
  // The member has shown that it is alive. Returns true if it counted as
  // exited.
  bool OnAlive(const std::string& id);

  bool HasExited(std::string_view id) const;
  // Returns true if the process has certainly exited.
  bool IsReplaced(std::string_view id) const { return replaced_.contains(id); }
  // Members that count as exited because of a refused connection.
  const std::set<std::string, std::less<>>& Refusing() const {
    return refusing_;
  }

 private:
  std::set<std::string> unreachable_;
  std::set<std::string, std::less<>> refusing_;
  std::set<std::string, std::less<>> replaced_;
  std::set<std::string> survivors_;  // That refused connections and are alive.
};

}  // namespace apricotwheel
