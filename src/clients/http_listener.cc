#include "clients/http_listener.h"

#include <arpa/inet.h>
#include <malloc.h>
#include <poll.h>
#include <prometheus/counter.h>
#include <pthread.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <condition_variable>
#include <limits>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "clients/clients_events.h"
#include "clients/connection_slots.h"

namespace apricotwheel {

namespace {

// The default backlog of cpp-httplib, 5, drops connections in a burst.
constexpr int kBacklog = 1024;
// HTTP/1.1 recommends 8000 bytes; cpp-httplib reads lines of 8192.
constexpr std::size_t kMaxTargetBytes = 8000;
// cpp-httplib matches routes by std::regex, which recurses for each byte.
// Routes see this much of a path, which fits on the stack of a connection
// thread.
constexpr std::size_t kMaxMatchedPathBytes = 128;
// cpp-httplib parses the header Range and multipart bodies by std::regex, too.
constexpr std::string_view kRangeName = "range";
constexpr std::string_view kHiddenRangeSuffix = "-not-parsed";
constexpr std::string_view kMultipartType = "multipart/form-data";
// It builds a map of the parameters in such a body, which no route reads.
constexpr std::string_view kFormType = "application/x-www-form-urlencoded";
// Threads that reject connections over the limit with 503.
constexpr std::size_t kMaxRejectThreads = 32;
constexpr auto kRejectReadTimeout = milliseconds(500);
constexpr auto kIoTimeout = std::chrono::seconds(30);
// For a whole response.
constexpr auto kResponseTimeout = std::chrono::seconds(30);
// Time that `Stop` leaves for incomplete requests to arrive.
constexpr auto kStopReadTimeout = milliseconds(1000);

// The kernel buffers twice this for each connection. Its own limit, 6 MB, would
// let a crowd fill the memory of a small machine before any byte is read.
constexpr int kReceiveBufferBytes = 64 << 10;
// A connection that has been idle for this long gives its unused stack back.
constexpr auto kStackKeepTime = milliseconds(1000);
// Part of the stack below the current frame that remains in use.
constexpr std::size_t kStackMarginBytes = 16 << 10;
// The body grows by doubling.
constexpr std::size_t kBodyMemoryFactor = 3;
// A field in the library's map, besides its text.
constexpr std::size_t kFieldMemoryBytes = 128;
// A parameter of a query in the library's map and in its set of those seen.
constexpr std::size_t kParameterMemoryBytes = 256;
// What a refused client still sends is discarded for this long, because closing
// a socket with unread data would reset the connection and lose the answer.
constexpr auto kLingerTime = milliseconds(500);
constexpr std::size_t kLingerBytes = 1 << 20;
constexpr auto kRefusalLogInterval = milliseconds(10'000);
constexpr std::size_t kMachineMemoryDivisor = 4;

thread_local int current_socket = -1;
// The memory that the current request is charged to.
thread_local request_memory* current_memory = nullptr;
// This thread accepts connections, so it must not wait for any of them.
thread_local bool is_accept_thread = false;
// The path of the current request if its routes see only a part of it.
thread_local std::string current_path;

// Renames each header Range in the head of a request.
struct range_hider {
  bool is_in_head = true;
  std::size_t line_bytes = 0;
  bool may_be_range = true;
  bool ends_with_return = false;

  // Takes the next byte. Returns what the library has to read before it.
  std::string_view Take(char byte) {
    if (!is_in_head) return {};
    if (byte == '\n') {
      // As in cpp-httplib, an empty line ends with CR and LF.
      is_in_head = !(line_bytes == 1 && ends_with_return);
      line_bytes = 0;
      may_be_range = true;
      return {};
    }
    ends_with_return = byte == '\r';
    const std::size_t position = line_bytes++;
    if (!may_be_range) return {};
    if (position == kRangeName.size()) {
      may_be_range = false;
      return byte == ':' ? kHiddenRangeSuffix : std::string_view();
    }
    may_be_range =
        std::tolower(static_cast<unsigned char>(byte)) == kRangeName[position];
    return {};
  }
};

void RenameHeaders(httplib::Headers& headers, const std::string& name,
                   const std::string& new_name) {
  const auto [first, last] = headers.equal_range(name);
  std::vector<std::string> values;
  for (auto header = first; header != last; ++header) {
    values.push_back(std::move(header->second));
  }
  headers.erase(first, last);
  for (auto& value : values) headers.emplace(new_name, std::move(value));
}

// Called between the head of a request and the choice of its route.
void PrepareForRoutes(httplib::Request& request) {
  RenameHeaders(request.headers,
                std::string(kRangeName) + std::string(kHiddenRangeSuffix),
                "Range");
  // cpp-httplib would compress responses, with up to some MB for each.
  RenameHeaders(request.headers, "Accept-Encoding", kHiddenAcceptEncoding);
  // Media types have no case, but cpp-httplib knows this one in lower case
  // only.
  const auto types = request.headers.equal_range("Content-Type");
  for (auto header = types.first; header != types.second; ++header) {
    if (header->second.starts_with(kMultipartType)) header->second[0] = 'M';
    if (header->second.starts_with(kFormType)) header->second[0] = 'A';
  }
  current_path.clear();
  if (request.path.size() > kMaxMatchedPathBytes) {
    current_path = request.path;
    request.path.resize(kMaxMatchedPathBytes);
  }
}

bool WaitReady(int socket, short events, duration timeout) {
  pollfd entry{socket, events, 0};
  const auto wait = std::chrono::ceil<milliseconds>(timeout).count();
  int ready = 0;
  do {
    ready = poll(&entry, 1, static_cast<int>(wait));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

// Returns the pages of this thread's stack below the current frame to the
// system. Parsing and routing a request touches most of the stack, and
// thousands of idle connections would keep it.
void ReleaseUnusedStack() {
  pthread_attr_t attributes;
  if (pthread_getattr_np(pthread_self(), &attributes) != 0) return;
  void* lowest = nullptr;
  std::size_t size = 0;
  const int status = pthread_attr_getstack(&attributes, &lowest, &size);
  pthread_attr_destroy(&attributes);
  if (status != 0) return;
  const auto page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  const auto unused = reinterpret_cast<std::uintptr_t>(&attributes) -
                      reinterpret_cast<std::uintptr_t>(lowest);
  if (unused <= kStackMarginBytes) return;
  madvise(lowest, (unused - kStackMarginBytes) / page * page, MADV_DONTNEED);
}

// A connection that passes complete heads and bounded bodies to the library. It
// has a read buffer, because cpp-httplib reads headers byte by byte.
class socket_stream : public httplib::Stream {
 public:
  socket_stream(int socket, const request_limits& limits,
                request_memory& memory, connection_slots& slots)
      : socket_(socket),
        limits_(limits),
        memory_(memory),
        slots_(slots),
        head_(limits),
        body_(limits) {}

  // Reads the head of the next request. Returns why it is refused.
  refusal_reason ReadHead() {
    const auto deadline = clock_->Now() + limits_.head_time;
    while (!head_.IsComplete()) {
      if (begin_ == end_ && !Fill(deadline, refusal_reason::kHeadTimeout)) {
        return refusal_;
      }
      begin_ += head_.Take({buffer_ + begin_, end_ - begin_});
      if (head_.Refusal() != refusal_reason::kNone) {
        return refusal_ = head_.Refusal();
      }
      if (!Hold()) return refusal_;
    }
    body_.Begin(head_.Framing(), head_.BodyBytes());
    body_deadline_ = clock_->Now() + limits_.body_time;
    if (body_.IsComplete()) BeginHandling();
    return refusal_;
  }
  // Why the rest of the request was refused while the library read it.
  refusal_reason Refusal() const { return refusal_; }
  // Whether the library has read the whole request. Otherwise the next request
  // has no known beginning.
  bool IsConsumed() const {
    return inserted_.empty() && head_sent_ == head_.Text().size() &&
           body_.IsComplete();
  }

  bool is_readable() const override {
    return !inserted_.empty() || head_sent_ < head_.Text().size() ||
           begin_ < end_ || body_.IsComplete() ||
           WaitReady(socket_, POLLIN, kIoTimeout);
  }
  bool is_writable() const override {
    return WaitReady(socket_, POLLOUT, kIoTimeout);
  }
  ssize_t read(char* output, size_t size) override {
    if (size == 0) return 0;
    if (!inserted_.empty()) return ReadInsertedByte(output);
    if (head_sent_ < head_.Text().size()) return ReadHeadByte(output);
    return ReadBody(output, size);
  }
  ssize_t write(const char* data, size_t size) override {
    // The library answers a body that it cannot read; the refusal replaces it.
    if (refusal_ != refusal_reason::kNone) return static_cast<ssize_t>(size);
    if (!write_deadline_) write_deadline_ = clock_->Now() + kResponseTimeout;
    for (std::size_t sent = 0; sent < size;) {
      const ssize_t count =
          send(socket_, data + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
      } else if (count == 0 || (errno != EAGAIN && errno != EINTR) ||
                 !WaitForReader()) {
        return -1;
      }
    }
    return static_cast<ssize_t>(size);
  }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    Describe(address, ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    Describe(address, ip, port);
  }
  socket_t socket() const override { return socket_; }
  bool HasBuffered() const { return begin_ < end_; }
  void BeginRequest() {
    hider_ = {};
    inserted_ = {};
    head_ = head_reader(limits_);
    head_sent_ = 0;
    body_ = body_reader(limits_);
    write_deadline_.reset();
    refusal_ = refusal_reason::kNone;
  }

 private:
  void BeginHandling() {
    memory_.SetComplete(socket_);
    slots_.BeginHandling(socket_);
  }
  // Waits until the peer has read a part of the response. Returns false if that
  // takes too long or the slot is given to another connection.
  bool WaitForReader() {
    const auto now = clock_->Now();
    if (now >= *write_deadline_) return false;
    slots_.BeginBlockedWrite(socket_, now);
    const bool is_ready = WaitReady(socket_, POLLOUT, *write_deadline_ - now);
    slots_.BeginHandling(socket_);
    if (is_ready && !slots_.IsClosing(socket_)) return true;
    // What the peer has not read would stay in the kernel after the close.
    const linger reset{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    return false;
  }
  // Reads more bytes. Returns false at the end of the stream and after
  // `deadline`, with the refusal set.
  bool Fill(time_point deadline, refusal_reason after_deadline) {
    const auto remaining = deadline - clock_->Now();
    ssize_t count = 0;
    if (remaining <= duration::zero() ||
        !WaitReady(socket_, POLLIN, remaining)) {
      refusal_ = after_deadline;
    } else if ((count = recv(socket_, buffer_, sizeof buffer_, 0)) <= 0) {
      refusal_ = refusal_reason::kClosed;
    }
    // The reading side is also shut down to free memory or a slot.
    if (count <= 0 && memory_.IsClosing(socket_)) {
      refusal_ = refusal_reason::kMemory;
    } else if (count <= 0 && slots_.IsClosing(socket_)) {
      refusal_ = head_.HasBytes() ? refusal_reason::kSlotTaken
                                  : refusal_reason::kIdleSlotTaken;
    }
    begin_ = 0;
    end_ = count > 0 ? static_cast<std::size_t>(count) : 0;
    return count > 0;
  }
  bool Hold() {
    const std::size_t bytes = head_.Text().capacity() +
                              head_.FieldCount() * kFieldMemoryBytes +
                              head_.ParameterCount() * kParameterMemoryBytes +
                              body_.DataBytes() * kBodyMemoryFactor;
    if (memory_.Hold(socket_, bytes, clock_->Now())) return true;
    refusal_ = refusal_reason::kMemory;
    return false;
  }
  ssize_t ReadBody(char* output, std::size_t size) {
    if (refusal_ != refusal_reason::kNone) return -1;
    // Ends a body without a length, which has no bytes in a request.
    if (body_.IsComplete()) return 0;
    if (begin_ == end_ && !Fill(body_deadline_, refusal_reason::kBodyTimeout)) {
      return -1;
    }
    const std::size_t count =
        body_.Take({buffer_ + begin_, std::min(size, end_ - begin_)});
    if (body_.Refusal() != refusal_reason::kNone) {
      refusal_ = body_.Refusal();
      return -1;
    }
    if (!Hold()) return -1;
    if (body_.IsComplete()) BeginHandling();
    std::copy_n(buffer_ + begin_, count, output);
    begin_ += count;
    return static_cast<ssize_t>(count);
  }
  ssize_t ReadInsertedByte(char* output) {
    *output = inserted_.front();
    inserted_.remove_prefix(1);
    return 1;
  }
  ssize_t ReadHeadByte(char* output) {
    const char byte = head_.Text()[head_sent_];
    inserted_ = hider_.Take(byte);
    if (!inserted_.empty()) {
      // The byte is read again after what is inserted.
      --hider_.line_bytes;
      return ReadInsertedByte(output);
    }
    *output = byte;
    ++head_sent_;
    return 1;
  }

  static void Describe(const sockaddr_in& address, std::string& ip, int& port) {
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    ip = text;
    port = ntohs(address.sin_port);
  }

  int socket_;
  const request_limits& limits_;
  request_memory& memory_;
  connection_slots& slots_;
  const clock_ptr clock_ = runtime_clock::Running();
  char buffer_[4096];
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  head_reader head_;
  std::size_t head_sent_ = 0;  // Bytes of the head that the library has read.
  body_reader body_;
  time_point body_deadline_;
  std::optional<time_point> write_deadline_;
  refusal_reason refusal_ = refusal_reason::kNone;
  range_hider hider_;
  std::string_view inserted_;
};

// Counts refusals by reason, and logs their numbers at most every
// `kRefusalLogInterval`, so that a crowd of clients does not fill the log.
class refusal_log {
 public:
  void Open(const std::string& address, const log_sink& log,
            const metrics_ptr& metrics) {
    address_ = address;
    log_ = log;
    if (!metrics) return;
    auto& family = prometheus::BuildCounter()
                       .Name("apricotwheel_http_refusals_total")
                       .Help("Requests and connections refused, by reason")
                       .Register(*metrics);
    for (std::size_t index = 0; index < counters_.size(); ++index) {
      const auto reason = static_cast<refusal_reason>(index);
      if (!AnswerOf(reason).is_counted) continue;
      counters_[index] =
          &family.Add({{"reason", std::string(AnswerOf(reason).reason)}});
    }
  }
  void Count(refusal_reason reason) {
    if (!AnswerOf(reason).is_counted) return;
    const auto index = static_cast<std::size_t>(reason);
    if (counters_[index] != nullptr) counters_[index]->Increment();
    std::string counts;
    {
      const std::lock_guard lock(mutex_);
      ++unlogged_[index];
      const auto now = runtime_clock::Running()->Now();
      if (now < next_log_at_) return;
      next_log_at_ = now + kRefusalLogInterval;
      for (std::size_t i = 0; i < unlogged_.size(); ++i) {
        if (unlogged_[i] == 0) continue;
        counts += counts.empty() ? "" : " ";
        counts += AnswerOf(static_cast<refusal_reason>(i)).reason;
        counts += "=" + std::to_string(unlogged_[i]);
      }
      unlogged_ = {};
    }
    Emit(log_, kHttpRequestsRefused,
         {Field("address", address_), Field("refusals", counts)});
  }

 private:
  static constexpr auto kReasons =
      static_cast<std::size_t>(refusal_reason::kCount);
  std::string address_;
  log_sink log_;
  std::array<prometheus::Counter*, kReasons> counters_{};
  std::mutex mutex_;
  time_point next_log_at_;
  std::array<std::size_t, kReasons> unlogged_{};
};

class connection_server : public httplib::Server {
 public:
  http_listener_options options;
  std::unique_ptr<request_memory> memory;
  std::unique_ptr<connection_slots> slots;
  refusal_log refusals;
  std::mutex mutex;
  std::condition_variable connection_closed;
  bool stopping = false;

  // Closes idle connections, which wakes the threads that wait for their next
  // request, and admits no new ones.
  void CloseIdleConnections() {
    const std::lock_guard lock(mutex);
    stopping = true;
    slots->ForEach([](int socket, bool is_idle) {
      if (is_idle) shutdown(socket, SHUT_RD);
    });
  }

  // Waits up to `kStopReadTimeout` for all connections to close, then shuts
  // down the reading side of the others, which ends incomplete requests. A
  // request that is being handled can still send its response.
  void EndIncompleteRequests() {
    std::unique_lock lock(mutex);
    runtime_clock::Running()->WaitFor(lock, connection_closed, kStopReadTimeout,
                                      [&] { return slots->Count() == 0; });
    slots->ForEach([](int socket, bool) { shutdown(socket, SHUT_RD); });
  }

 private:
  bool process_and_close_socket(socket_t socket) override {
    bool admitted = false;
    {
      const std::lock_guard lock(mutex);
      admitted = !stopping && !is_accept_thread &&
                 slots->Add(socket, runtime_clock::Running()->Now());
    }
    if (!admitted) {
      Reject(socket);
      return false;
    }
    Serve(socket);
    ReleaseMemory(socket);
    const std::lock_guard lock(mutex);
    slots->Remove(socket);
    connection_closed.notify_all();
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return true;
  }

  void Serve(int socket) {
    const auto clock = runtime_clock::Running();
    socket_stream stream(socket, options.limits, *memory, *slots);
    current_socket = socket;
    current_memory = memory.get();
    while (stream.HasBuffered() || WaitForRequest(socket)) {
      bool last = false;
      {
        const std::lock_guard lock(mutex);
        slots->BeginRequest(socket, clock->Now());
        last = stopping;
      }
      if (!ServeRequest(stream, last)) break;
      ReleaseMemory(socket);
      const std::lock_guard lock(mutex);
      if (stopping || slots->IsClosing(socket)) break;
      slots->BeginIdle(socket, clock->Now());
    }
    current_memory = nullptr;
    current_socket = -1;
  }

  bool WaitForRequest(int socket) const {
    const auto first = std::min<duration>(kStackKeepTime, options.keep_alive);
    if (WaitReady(socket, POLLIN, first)) return true;
    ReleaseUnusedStack();
    return WaitReady(socket, POLLIN, options.keep_alive - first);
  }

  // Returns whether the connection can serve another request.
  bool ServeRequest(socket_stream& stream, bool last) {
    stream.BeginRequest();
    bool closed = false;
    bool served = false;
    if (stream.ReadHead() == refusal_reason::kNone) {
      served = process_request(stream, last, closed, PrepareForRoutes);
      if (served) slots->SetServed(stream.socket());
    }
    if (stream.Refusal() != refusal_reason::kNone) {
      Refuse(stream.socket(), stream.Refusal());
      return false;
    }
    if (served && !stream.IsConsumed()) Linger(stream.socket());
    return served && !closed && stream.IsConsumed();
  }

  void ReleaseMemory(int socket) {
    if (memory->Release(socket)) malloc_trim(0);
  }

  void Refuse(int socket, refusal_reason reason) {
    refusals.Count(reason);
    if (AnswerOf(reason).status == 0) return;
    const std::string response = FormatRefusal(reason);
    send(socket, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    // Another connection waits for the slot.
    if (reason != refusal_reason::kSlotTaken) Linger(socket);
  }

  static void Linger(int socket) {
    shutdown(socket, SHUT_WR);
    const auto clock = runtime_clock::Running();
    const auto deadline = clock->Now() + kLingerTime;
    char discarded[4096];
    for (std::size_t total = 0; total < kLingerBytes;) {
      const auto remaining = deadline - clock->Now();
      if (remaining <= duration::zero() ||
          !WaitReady(socket, POLLIN, remaining)) {
        return;
      }
      const ssize_t count = recv(socket, discarded, sizeof discarded, 0);
      if (count <= 0) return;
      total += static_cast<std::size_t>(count);
    }
  }

  void Reject(int socket) {
    refusals.Count(refusal_reason::kConnectionLimit);
    char request[4096];
    const duration timeout =
        is_accept_thread ? duration::zero() : duration(kRejectReadTimeout);
    // Closing a socket with unread data would reset the connection and lose the
    // response.
    if (WaitReady(socket, POLLIN, timeout)) {
      recv(socket, request, sizeof request, MSG_DONTWAIT);
    }
    const std::string response =
        FormatRefusal(refusal_reason::kConnectionLimit);
    send(socket, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(socket, SHUT_WR);
    if (WaitReady(socket, POLLIN, timeout)) {
      recv(socket, request, sizeof request, MSG_DONTWAIT);
    }
    close(socket);
  }
};

// Runs each connection in a thread of its own. When `max_threads` threads are
// running, the accepting thread rejects the connection itself, which bounds the
// number of threads.
class connection_threads : public httplib::TaskQueue {
 public:
  explicit connection_threads(std::size_t max_threads)
      : max_threads_(max_threads) {}
  void enqueue(std::function<void()> body) override {
    if (threads_.CountRunning() < max_threads_) {
      const auto started =
          Attempt([&] { return threads_.Spawn("http", body); });
      if (started) return;
    }
    is_accept_thread = true;
    body();
    is_accept_thread = false;
  }
  void shutdown() override { threads_.JoinAll(); }

 private:
  std::size_t max_threads_;
  thread_group threads_;
};

}  // namespace

struct http_listener::state {
  connection_server server;
  std::string address;
  int socket = -1;
  thread_group threads;
  bool started = false;
};

result<ip_endpoint> ParseEndpoint(const std::string& address) {
  ip_endpoint endpoint;
  const auto colon = address.rfind(':');
  in_addr parsed{};
  bool valid = colon != std::string::npos;
  if (valid) {
    endpoint.ip = address.substr(0, colon);
    const char* end = address.data() + address.size();
    const auto number =
        std::from_chars(address.data() + colon + 1, end, endpoint.port);
    valid = number.ec == std::errc() && number.ptr == end &&
            endpoint.port >= 0 &&
            endpoint.port <= std::numeric_limits<std::uint16_t>::max() &&
            inet_pton(AF_INET, endpoint.ip.c_str(), &parsed) == 1;
  }
  if (!valid) {
    return Fail(error_kind::kInvalidArgument,
                "'" + address + "' is not an address",
                "give an IPv4 address and a port as ip:port");
  }
  return endpoint;
}

http_listener::http_listener(std::unique_ptr<state> initial)
    : state_(std::move(initial)) {}

http_listener::~http_listener() { Stop(); }

result<std::unique_ptr<http_listener>> http_listener::Bind(
    http_listener_options options) {
  BOOST_LEAF_AUTO(endpoint, ParseEndpoint(options.address));
  auto initial = std::make_unique<state>();
  auto& server = initial->server;
  server.options = std::move(options);
  const auto& limits = server.options;
  int* const listening_socket = &initial->socket;
  // SO_REUSEPORT, which cpp-httplib sets by default, would let two processes
  // share a port.
  server.set_socket_options([listening_socket](socket_t opened) {
    *listening_socket = opened;
    const int on = 1;
    setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    // Accepted connections inherit it.
    setsockopt(opened, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof kReceiveBufferBytes);
  });
  server.set_tcp_nodelay(true);
  server.set_address_family(AF_INET);
  server.memory = std::make_unique<request_memory>(
      limits.max_request_memory_bytes > 0
          ? limits.max_request_memory_bytes
          : MachineMemoryBytes() / kMachineMemoryDivisor,
      [](int connection) { shutdown(connection, SHUT_RD); });
  server.slots = std::make_unique<connection_slots>(
      limits.max_connections,
      [](int connection, connection_slots::end_of_wait end) {
        shutdown(connection, end == connection_slots::end_of_wait::kReading
                                 ? SHUT_RD
                                 : SHUT_RDWR);
      });
  server.set_payload_max_length(limits.limits.max_body_bytes);
  server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
  server.set_read_timeout(kIoTimeout);
  server.set_write_timeout(kIoTimeout);
  const std::size_t max_threads = limits.max_connections + kMaxRejectThreads;
  server.new_task_queue = [max_threads] {
    return new connection_threads(max_threads);
  };
  server.set_pre_routing_handler(
      [](const httplib::Request& request, httplib::Response& response) {
        if (request.target.size() <= kMaxTargetBytes) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        response.status = 414;
        response.set_header("Apricotwheel-Outcome", "not_run");
        return httplib::Server::HandlerResponse::Handled;
      });
  // Without this header a client could send its next request on a connection
  // that is about to close.
  connection_server* const connections = &server;
  server.set_post_routing_handler(
      [connections](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(connections->mutex);
        if (!connections->stopping &&
            !connections->slots->IsClosing(current_socket)) {
          return;
        }
        response.headers.erase("Keep-Alive");
        response.headers.erase("Connection");
        response.set_header("Connection", "close");
      });
  const bool bound =
      endpoint.port == 0
          ? (endpoint.port = server.bind_to_any_port(endpoint.ip)) > 0
          : server.bind_to_port(endpoint.ip, endpoint.port);
  if (!bound || listen(initial->socket, kBacklog) != 0) {
    return Fail(error_kind::kIo, "cannot listen on " + limits.address,
                "choose a free port of this machine");
  }
  initial->address = endpoint.ip + ":" + std::to_string(endpoint.port);
  server.refusals.Open(initial->address, limits.log, limits.metrics);
  return std::unique_ptr<http_listener>(new http_listener(std::move(initial)));
}

httplib::Server& http_listener::Server() { return state_->server; }
const std::string& http_listener::Address() const { return state_->address; }
int http_listener::CurrentSocket() { return current_socket; }
memory_grant http_listener::ReserveMemory(std::size_t bytes) {
  if (current_memory == nullptr) return memory_grant::kGranted;
  return current_memory->Reserve(current_socket, bytes,
                                 runtime_clock::Running()->Now());
}
std::string http_listener::PathOf(const httplib::Request& request) {
  return current_path.empty() ? request.path : current_path;
}

result<void> http_listener::Start() {
  BOOST_LEAF_CHECK(state_->threads.Spawn(
      "http-accept", [this] { state_->server.listen_after_bind(); }));
  state_->started = true;
  const auto clock = runtime_clock::Running();
  // `Server::stop` has no effect before the accept loop runs.
  while (!state_->server.is_running()) clock->SleepFor(milliseconds(1));
  return {};
}

void http_listener::Stop() {
  if (state_->started) {
    state_->started = false;
    state_->server.stop();
    state_->server.CloseIdleConnections();
    state_->server.EndIncompleteRequests();
    state_->threads.JoinAll();
    state_->socket = -1;
  }
  if (state_->socket >= 0) close(state_->socket);
  state_->socket = -1;
}

std::size_t http_listener::OpenConnections() const {
  return state_->server.slots->Count();
}

}  // namespace apricotwheel
