#include "celerykeel/testing/edge_process.h"

#include <arpa/inet.h>   // for inet_pton
#include <fcntl.h>       // for O_CREAT
#include <spawn.h>       // for posix_spawn
#include <sys/socket.h>  // for connect
#include <sys/wait.h>    // for waitpid
#include <unistd.h>      // for getpid

#include <atomic>      // for std::atomic
#include <chrono>      // for std::chrono::milliseconds
#include <csignal>     // for SIGKILL
#include <filesystem>  // for std::filesystem::read_symlink
#include <fstream>     // for std::ifstream

#include <fmt/format.h>  // for fmt::format

#include "celerykeel/testing/run_on_loop.h"  // for RunOnLoop

namespace celerykeel::testing {

namespace {

constexpr uint16_t kStorePort = 8104;
constexpr uint16_t kEndpointPort = 8105;
constexpr time_t kAnswerTimeoutSeconds = 8;

constexpr char kDeployment[] = R"({"version":7,"routes":[
{"name":"plain","host":"h","path_prefix":"/stream/plain/","route_kind":"streaming","timeout_ms":60000,"service":"llm","max_attempts":2,"resumable":true},
{"name":"pay","host":"h","path_prefix":"/pay/","route_kind":"non_idempotent","timeout_ms":8000,"service":"llm","max_attempts":2}],
"services":[{"name":"llm","health_path":"/healthz","max_conns":210,"runtime":{"slots":1000,"kv_capacity":657246,"chunk_tokens":20}}],
"tenants":[{"name":"orchard","api_keys":["k1"],"rate_per_s":0,"burst":0},{"name":"other","api_keys":["k2"],"rate_per_s":0,"burst":0}],
"limits":)";

std::string SettingsOf(const std::string& ip, const std::string& more) {
  return fmt::format(
      R"({{"instance":"i0","zone":"z","ip":"{0}","callers_address":"{0}:{1}",)"
      R"("readiness_address":"{0}:{2}","peer_port":{3},)"
      R"("store_address":"{0}:{4}","store_partitions":4,)"
      R"("store_retention_s":300,"store_record_bytes":262144,)"
      R"("store_call_bytes":2097152,"stop_s":8{5}}})",
      ip, EdgeProcess::kCallersPort, EdgeProcess::kReadinessPort,
      EdgeProcess::kPeerPort, kStorePort, more);
}

pid_t Spawned(const std::string& name, const std::string& settings) {
  const std::filesystem::path own =
      std::filesystem::read_symlink("/proc/self/exe");
  std::string program = own.parent_path() / "celerykeel-edge";
  std::string argument = "--settings=" + settings;
  char* arguments[] = {program.data(), argument.data(), nullptr};
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO,
                                   (name + ".log").c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  pid_t process = -1;
  posix_spawn(&process, program.c_str(), &files, nullptr, arguments, environ);
  posix_spawn_file_actions_destroy(&files);
  return process;
}

std::string FileName(int subnet) {
  return std::filesystem::temp_directory_path() /
         fmt::format("celerykeel-soak-{}-{}", getpid(), subnet);
}

}  // namespace

int OpenConnection(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(opened, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(opened);
    return -1;
  }
  return opened;
}

EdgeProcess::EdgeProcess(const std::string& settings,
                         const std::string& limits) {
  static std::atomic<int> next{0};
  this->subnet = (getpid() * 8 + next++) % 25000;
  const std::string ip = this->Ip();
  this->endpoint.id = "e0";
  PutKeyed(this->store, "keyed.op", "config", kDeployment + limits + "}");
  this->PutHeartbeat();
  const auto address = asio::ip::make_address(ip);
  Spawn(this->loop, ServeStore(this->loop, this->store, this->store_access,
                               {address, kStorePort}));
  Spawn(this->loop, ServeEndpoint(this->loop, this->endpoint,
                                  {address, kEndpointPort}, [] {}));
  this->thread = std::thread([this] { this->loop.run(); });
  const std::string name = FileName(this->subnet);
  std::ofstream(name + ".json") << SettingsOf(ip, settings);
  this->process = Spawned(name, name + ".json");
}

void EdgeProcess::PutHeartbeat() {
  PutKeyed(this->store, "keyed.servers", "e0",
           fmt::format(R"({{"service":"llm","address":"{}:{}","zone":"z",)"
                       R"("version":"v1","slots":1000,"state":"ready",)"
                       R"("sequence":{},"born":1}})",
                       this->Ip(), kEndpointPort, ++this->heartbeats));
}

void EdgeProcess::Restart(const std::function<void()>& change) {
  kill(this->process, SIGKILL);
  waitpid(this->process, nullptr, 0);
  RunOnLoop(this->loop, change);
  const std::string name = FileName(this->subnet);
  this->process = Spawned(name, name + ".json");
}

EdgeProcess::~EdgeProcess() {
  if (this->process > 0) {
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
  }
  this->loop.stop();
  this->thread.join();
  // The sockets belong to the loop, which is destroyed before the endpoint.
  this->endpoint.sockets = {};
  std::error_code ignored;
  std::filesystem::remove(FileName(this->subnet) + ".json", ignored);
  std::filesystem::remove(FileName(this->subnet) + ".log", ignored);
}

// Above the addresses of NodeFleet.
std::string EdgeProcess::Ip() const {
  return fmt::format("127.{}.{}.1", 251 - this->subnet / 250 % 100,
                     this->subnet % 250);
}

bool EdgeProcess::WaitUntilServing() {
  constexpr int kMaxPolls = 200;  // 20 s
  for (int i = 0; i < kMaxPolls && this->IsAlive(); ++i) {
    RunOnLoop(this->loop, [this] { this->PutHeartbeat(); });
    if (this->SendOrdinary() == 200) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

int EdgeProcess::SendOrdinary() {
  const std::string answer = this->Exchange(
      fmt::format("POST /pay/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: o{}\r\n"
                  "Authorization: Bearer k1\r\nConnection: close\r\n"
                  "Content-Length: 2\r\n\r\nin",
                  ++this->requests));
  return answer.starts_with("HTTP/1.1 ") ? std::atoi(answer.c_str() + 9) : 0;
}

std::string EdgeProcess::Exchange(const std::string& bytes) {
  const int opened = OpenConnection(this->Ip(), kCallersPort);
  if (opened < 0) {
    return {};
  }
  const timeval limit{.tv_sec = kAnswerTimeoutSeconds, .tv_usec = 0};
  setsockopt(opened, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(opened, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  for (size_t sent = 0; sent < bytes.size();) {
    const ssize_t count =
        send(opened, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      break;  // the answer may have been sent before
    }
    sent += static_cast<size_t>(count);
  }
  std::string answer;
  char piece[4096];
  while (true) {
    const ssize_t count = recv(opened, piece, sizeof(piece), 0);
    if (count <= 0) {
      break;
    }
    answer.append(piece, static_cast<size_t>(count));
  }
  close(opened);
  return answer;
}

bool EdgeProcess::IsAlive() {
  return this->process > 0 && waitpid(this->process, nullptr, WNOHANG) == 0;
}

size_t EdgeProcess::Memory(const std::string& name) const {
  std::ifstream status(fmt::format("/proc/{}/status", this->process));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(name + ":")) {
      return std::stoul(line.substr(name.size() + 1)) * 1024;
    }
  }
  return 0;
}

void EdgeProcess::WaitUntilIdle() {
  constexpr int kMaxPolls = 150;
  constexpr int kIdlePolls = 5;
  constexpr size_t kTicksField =
      14;  // of user time; that of the system follows
  std::string last;
  for (int i = 0, idle = 0; i < kMaxPolls && idle < kIdlePolls; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::ifstream file(fmt::format("/proc/{}/stat", this->process));
    std::string field;
    std::string ticks;
    for (size_t number = 1; number <= kTicksField + 1 && file >> field;
         ++number) {
      ticks += number >= kTicksField ? field + " " : "";
    }
    idle = ticks == last ? idle + 1 : 0;
    last = ticks;
  }
}

size_t EdgeProcess::Descriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      fmt::format("/proc/{}/fd", this->process), error);
  return static_cast<size_t>(
      std::distance(begin(entries), std::filesystem::directory_iterator()));
}

}  // namespace celerykeel::testing
