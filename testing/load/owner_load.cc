// Measures what a pool owner costs for each start: processor time, context
// switches and scheduling passes, with loopback agents in another process and
// an in-memory store. Run it under `strace -f -c` to count system calls.
#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <tuple>

#include "graph/graph_events.h"
#include "platform/minion_agent.h"
#include "pools/pool_owner.h"
#include "tests/graph/scheduler_rig.h"
#include "tests/pools/fake_store.h"

DEFINE_int32(workers, 252, "Workers of the pool");
DEFINE_int32(starts_per_second, 800, "Tasks submitted per second");
DEFINE_int32(tasks_per_job, 4, "Tasks of each job");
DEFINE_int32(task_ms, 200, "Run time of a task");
DEFINE_int32(warm_up_seconds, 2, "Time before the measurement");
DEFINE_int32(seconds, 8, "Time of the measurement");

namespace apricotwheel {
namespace {

using nlohmann::json;
using testing::MakeJob;
using testing::MakeStep;

const clock_ptr kClock = runtime_clock::Running();

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             kClock->Now().time_since_epoch())
      .count();
}

// The agents of all workers, in one thread that serves one loopback port. The
// header with the expected id tells which worker a request is for.
class agent_server {
 public:
  agent_server() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // A failure shows as port 0, to which no owner can connect.
    std::ignore =
        bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    listen(listener_, SOMAXCONN);
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  int Port() const { return port_; }

  [[noreturn]] void Serve() {
    epoll_ = epoll_create1(0);
    Watch(listener_);
    while (true) {
      std::array<epoll_event, 64> ready{};
      const int count =
          epoll_wait(epoll_, ready.data(), static_cast<int>(ready.size()), 1);
      for (int i = 0; i < count; ++i) {
        const int socket = ready[static_cast<std::size_t>(i)].data.fd;
        if (socket == listener_) {
          Accept();
        } else {
          Read(socket);
        }
      }
      EndRuns();
      for (auto& [id, agent] : agents_) AnswerPoll(agent);
    }
  }

 private:
  struct agent_state {
    struct run {
      std::uint64_t number = 0;
      std::int64_t ends_at_ms = 0;
    };
    std::map<std::string, run> running;
    std::vector<std::pair<std::uint64_t, json>> ended;
    std::uint64_t last_end = 0;
    std::uint64_t acknowledged = 0;
    int poll_socket = -1;
    std::int64_t poll_until_ms = 0;
  };

  void Watch(int socket) const {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = socket;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
  }
  void Accept() {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
    if (socket < 0) return;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Watch(socket);
  }
  void Read(int socket) {
    std::array<char, 65536> chunk{};
    const ssize_t count = recv(socket, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      if (count < 0 && errno == EAGAIN) return;
      close(socket);
      input_.erase(socket);
      return;
    }
    std::string& input = input_[socket];
    input.append(chunk.data(), static_cast<std::size_t>(count));
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string head = input.substr(0, end + 2);
    const auto length = std::stoul(Header(head, "Content-Length: "));
    if (input.size() < end + 4 + length) return;
    const json body = json::parse(input.substr(end + 4, length));
    input.erase(0, end + 4 + length);
    Handle(socket, head, Header(head, "X-Expected-Instance: "), body);
  }
  static std::string Header(const std::string& head, const std::string& name) {
    const auto begin = head.find(name) + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }
  void Handle(int socket, const std::string& head, const std::string& id,
              const json& body) {
    agent_state& target = agents_[id];
    if (head.find("/api/hold") != std::string::npos) {
      target.acknowledged = body.value("observed", std::uint64_t{0});
      std::erase_if(target.ended, [&](const auto& end) {
        return end.first <= target.acknowledged;
      });
      target.poll_socket = socket;
      target.poll_until_ms = NowMs() + body.value("wait_ms", 0);
      return;
    }
    if (head.find("/api/run-start") != std::string::npos) {
      target.running[body.at("task")] = {body.at("run_id"),
                                         NowMs() + FLAGS_task_ms};
    }
    Respond(socket, {{"clock_ms", NowMs()}});
  }
  void EndRuns() {
    const std::int64_t now = NowMs();
    for (auto& [id, state] : agents_) {
      for (auto row = state.running.begin(); row != state.running.end();) {
        if (row->second.ends_at_ms > now) {
          ++row;
          continue;
        }
        ++state.last_end;
        state.ended.emplace_back(state.last_end,
                                 json::array({state.last_end, row->first,
                                              row->second.number, "done", ""}));
        row = state.running.erase(row);
      }
    }
  }
  void AnswerPoll(agent_state& target) {
    if (target.poll_socket < 0) return;
    if (target.ended.empty() && NowMs() < target.poll_until_ms) return;
    json reply = {{"clock_ms", NowMs()},
                  {"born", 1},
                  {"running", json::array()},
                  {"finished", json::array()}};
    for (const auto& [task, run] : target.running) {
      reply["running"].push_back(json::array({task, run.number, "", 50}));
    }
    for (const auto& [number, row] : target.ended) {
      reply["finished"].push_back(row);
    }
    Respond(std::exchange(target.poll_socket, -1), reply);
  }
  static void Respond(int socket, const json& body) {
    const std::string text = body.dump();
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(text.size()) + "\r\n\r\n" + text;
    send(socket, response.data(), response.size(), MSG_NOSIGNAL);
  }

  int listener_ = -1;
  int epoll_ = -1;
  int port_ = 0;
  std::map<int, std::string> input_;
  std::map<std::string, agent_state> agents_;
};

struct usage {
  double processor_us = 0;
  long switches = 0;
  std::int64_t at_ms = 0;
  std::uint64_t starts = 0;
  double passes = 0;
  double reports = 0;
};

class owner_load {
 public:
  explicit owner_load(int port) {
    platform_.connect_agent = [](const pool_worker& worker) {
      return fleet::ConnectMinion(worker, {});
    };
    pool_owner_options options;
    options.pool = "pool";
    options.epoch = store_.Put("owners/pool", "owner");
    options.owner_key = "owners/pool";
    options.member_id = "member";
    options.task_lease = milliseconds(6000);
    options.kv = kv_.get();
    options.metrics = &metrics_;
    options.platform = &platform_;
    options.members = [] { return std::vector<std::string>{"member"}; };
    options.on_superseded = [] {};
    options.clock = kClock;
    // As in the daemon, a line is formatted for each event and lines are
    // written in batches.
    options.log = [this](const log_event& event) {
      if (event.kind.number == graph_events::kRunOrdered.number) ++starts_;
      const std::string line = FormatEvent(event);
      const std::lock_guard lock(output_mutex_);
      output_ << line << '\n';
    };
    owner_ = std::make_unique<pool_owner>(std::move(options));
    Attempt([&] { return owner_->Start(); });
    std::map<std::string, pool_worker> workers;
    for (int i = 0; i < FLAGS_workers; ++i) {
      pool_worker worker;
      worker.id = "w" + std::to_string(1000 + i);
      worker.pool = "pool";
      worker.address = "127.0.0.1:" + std::to_string(port);
      worker.capacity = {4000, 16'384, 0};
      worker.incarnation = 1;
      workers[worker.id] = worker;
    }
    owner_->SetWorkers(std::move(workers));
  }

  void Run() {
    std::atomic<bool> is_stopped = false;
    constexpr int kCallers = 8;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i] {
        const auto interval =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                kCallers * FLAGS_tasks_per_job /
                static_cast<double>(FLAGS_starts_per_second)));
        auto next = kClock->Now() + interval * i / kCallers;
        for (int n = 0; !is_stopped; ++n) {
          kClock->SleepUntil(next);
          next += interval;
          auto job =
              MakeJob("job-" + std::to_string(i * 1'000'000 + n),
                      {MakeStep(static_cast<std::uint32_t>(FLAGS_tasks_per_job),
                                {1000, 1024, 0})});
          owner_->Submit(job, kClock->Now() + std::chrono::seconds(5));
        }
      });
    }
    kClock->SleepFor(std::chrono::seconds(FLAGS_warm_up_seconds));
    const usage before = Measure();
    kClock->SleepFor(std::chrono::seconds(FLAGS_seconds));
    const usage after = Measure();
    is_stopped = true;
    for (auto& caller : callers) caller.join();
    owner_->Stop();
    const auto starts = static_cast<double>(after.starts - before.starts);
    std::printf(
        "%.0f starts/s; for each start: %.0f us of processor time, %.2f "
        "voluntary context switches, %.2f reports, %.2f passes\n",
        starts * 1000 / static_cast<double>(after.at_ms - before.at_ms),
        (after.processor_us - before.processor_us) / starts,
        static_cast<double>(after.switches - before.switches) / starts,
        (after.reports - before.reports) / starts,
        (after.passes - before.passes) / starts);
  }

 private:
  usage Measure() {
    rusage spent{};
    getrusage(RUSAGE_SELF, &spent);
    usage measured;
    const auto to_us = [](const timeval& time) {
      return static_cast<double>(time.tv_sec) * 1e6 +
             static_cast<double>(time.tv_usec);
    };
    measured.processor_us = to_us(spent.ru_utime) + to_us(spent.ru_stime);
    measured.switches = spent.ru_nvcsw;
    measured.at_ms = NowMs();
    measured.starts = starts_;
    measured.reports = metrics_.worker_reports.Value();
    measured.passes = static_cast<double>(
        metrics_.pass_seconds.Collect().histogram.sample_count);
    return measured;
  }

  testing::fake_store store_;
  std::unique_ptr<kv_client> kv_ = store_.Client();
  platform_services platform_;
  pool_metrics metrics_{std::make_shared<prometheus::Registry>()};
  std::atomic<std::uint64_t> starts_ = 0;
  std::mutex output_mutex_;
  std::ofstream output_{"/dev/null"};
  std::unique_ptr<pool_owner> owner_;
};

}  // namespace
}  // namespace apricotwheel

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  apricotwheel::agent_server agents;
  if (fork() == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    agents.Serve();
  }
  apricotwheel::owner_load(agents.Port()).Run();
  return 0;
}
