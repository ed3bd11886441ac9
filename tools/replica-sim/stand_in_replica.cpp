#include "stand_in_replica.hpp"

#include <time.h>

#include <nlohmann/json.hpp>

namespace mosskeel::replica_sim {
namespace {

using Json = nlohmann::json;
using StreamState = ApiResponse::StreamState;

constexpr int kStallMs = 30000;
/// Chunks that an overlong answer has beyond the limit.
constexpr uint64_t kExcessChunks = 4;
/// Bytes of an application's answers.
constexpr size_t kArchiveBytes = 200000;
constexpr size_t kTileBytes = 8000;
constexpr size_t kOtherBytes = 200;

void sleep_ms(int duration) {
  timespec time{duration / 1000, (duration % 1000) * 1000000L};
  nanosleep(&time, nullptr);
}

ApiResponse scripted_error() {
  return ApiResponse::error(500, "broken", "scripted");
}

/// The turns before this one, as one text; a caller that knows them computes the same.
std::string chain_text(const Json& chain) {
  std::string text;
  for (const auto& turn : chain)
    text += turn["input"].get<std::string>() + '\0' + turn["output"].get<std::string>() + '\0';
  return text;
}

/// Makes the lines of a turn's answer, one at a call.
class TurnWriter {
 public:
  TurnWriter(const Json& turn, Fault fault, int chunks, int chunk_interval_ms)
      : fault_(fault), chunk_interval_ms_(chunk_interval_ms) {
    auto limit = turn["max_tokens"].get<uint64_t>();
    chunk_count_ = std::min<uint64_t>(static_cast<uint64_t>(chunks), limit);
    if (fault == Fault::overlong)
      chunk_count_ = limit + kExcessChunks;
    auto chain = turn["chain"];
    first_chunk_ = "links=" + std::to_string(chain.size()) + " chain=" + hex(digest(chain_text(chain))) + " ";
  }

  StreamState next(std::string& line) {
    auto number = next_chunk_++;
    bool is_middle = number == chunk_count_ / 2;
    if (number > chunk_count_)
      return StreamState::finished;
    if (fault_ == Fault::lost && number == chunk_count_)
      return StreamState::aborted;
    if (fault_ == Fault::cut && is_middle)
      return StreamState::aborted;
    if (number == chunk_count_)
      return write_end(line);
    if (chunk_interval_ms_)
      sleep_ms(chunk_interval_ms_);
    auto text = number == 0 ? first_chunk_ : "word" + std::to_string(number) + " ";
    text_ += text;
    auto shown_number = number;
    if (fault_ == Fault::skip && is_middle)
      shown_number = number + 1;
    if (fault_ == Fault::repeat && is_middle)
      shown_number = number - 1;
    line = Json{{"n", shown_number}, {"text", text}, {"tokens", 1}}.dump() + "\n";
    return StreamState::more;
  }

 private:
  StreamState write_end(std::string& line) {
    if (fault_ == Fault::unsealed)
      return StreamState::finished;
    line = Json{{"seal", hex(digest(text_))}, {"pieces", chunk_count_}, {"tokens", chunk_count_}}.dump() + "\n";
    return StreamState::more;
  }

  Fault fault_;
  int chunk_interval_ms_;
  uint64_t chunk_count_ = 0;
  std::string first_chunk_;
  uint64_t next_chunk_ = 0;
  std::string text_;
};

size_t application_body_bytes(const std::string& path) {
  if (path.starts_with("/archive"))
    return kArchiveBytes;
  return path.starts_with("/tiles") ? kTileBytes : kOtherBytes;
}

/// A body that begins with the request and follows from it.
std::string application_body(const ApiRequest& request) {
  auto body = request.method + " " + request.path + " ";
  auto bytes = application_body_bytes(request.path);
  for (auto seed = digest(body); body.size() < bytes; seed = digest("", seed))
    body += hex(seed);
  return body;
}

/// Sends the text, if there is any, and breaks off.
std::function<StreamState(std::string&)> abort_after(const std::string& text) {
  return [text, sent = false](std::string& chunk) mutable {
    if (sent || text.empty())
      return StreamState::aborted;
    sent = true;
    chunk = text;
    return StreamState::more;
  };
}

}  // namespace

Fault fault_of(const std::string& name) {
  static const std::map<std::string, Fault> faults{
      {"cut", Fault::cut},     {"lost", Fault::lost},   {"unsealed", Fault::unsealed}, {"overlong", Fault::overlong},
      {"error", Fault::error}, {"stall", Fault::stall}, {"skip", Fault::skip},         {"repeat", Fault::repeat}};
  auto found = faults.find(name);
  return found == faults.end() ? Fault::none : found->second;
}

void FaultScript::set(Fault fault, uint64_t count, uint64_t every) {
  std::lock_guard lock(mutex_);
  fault_ = fault;
  left_ = count;
  every_ = std::max<uint64_t>(1, every);
}

Fault FaultScript::next() {
  std::lock_guard lock(mutex_);
  if (left_ == 0)
    return Fault::none;
  ++requests_;
  if (requests_ % every_ != 0)
    return Fault::none;
  --left_;
  return fault_;
}

class StandInReplica::Running {
 public:
  explicit Running(StandInReplica& replica) : replica_(replica) {
    int running = ++replica_.running_;
    int most = replica_.most_running_;
    while (running > most && !replica_.most_running_.compare_exchange_weak(most, running)) {}
  }
  ~Running() { --replica_.running_; }
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;

 private:
  StandInReplica& replica_;
};

StandInReplica::StandInReplica(const ReplicaOptions& options) : options_(options) {
  if (!options.runs_file.empty())
    runs_.open(options.runs_file, std::ios::app);
}

void StandInReplica::record_run(const std::string& request, const std::string& kind) {
  std::lock_guard lock(runs_mutex_);
  runs_ << request << '\t' << options_.name << '\t' << kind << std::endl;
}

ApiResponse StandInReplica::handle(const ApiRequest& request) {
  if (request.path.starts_with("/control/"))
    return handle_control(request);
  return options_.kind == "model" ? handle_turn(request) : handle_application(request);
}

/// GET /control/state shows the load; a POST to any other path sets a fault.
ApiResponse StandInReplica::handle_control(const ApiRequest& request) {
  ApiResponse response;
  if (request.path == "/control/state") {
    Json state{{"name", options_.name}, {"now", running_.load()}, {"peak", most_running_.load()}};
    response.body = state.dump() + "\n";
    return response;
  }
  auto script = Json::parse(request.body, nullptr, false);
  if (!script.is_object())
    return ApiResponse::error(400, "invalid", "body: is no JSON object");
  faults_.set(fault_of(script.value("fault", "")), script.value("left", uint64_t{0}),
              script.value("every", uint64_t{1}));
  response.body = "{}\n";
  return response;
}

ApiResponse StandInReplica::handle_turn(const ApiRequest& request) {
  auto turn = Json::parse(request.body, nullptr, false);
  if (!turn.is_object() || !turn.contains("key"))
    return ApiResponse::error(400, "invalid", "body: is no turn");
  auto fault = faults_.next();
  auto text_of = [&](const char* field) {
    return turn[field].get<std::string>();
  };
  record_run(text_of("cell") + "/" + text_of("program") + "/" + text_of("key"), "turn");
  if (fault == Fault::error)
    return scripted_error();
  if (fault == Fault::stall)
    sleep_ms(kStallMs);
  auto writer = std::make_shared<TurnWriter>(turn, fault, options_.chunks, options_.chunk_interval_ms);
  auto running = std::make_shared<Running>(*this);
  ApiResponse response;
  response.headers["Content-Type"] = "application/x-ndjson";
  // The request runs until the server has let go of the stream.
  response.next_chunk = [writer, running](std::string& line) {
    return writer->next(line);
  };
  return response;
}

ApiResponse StandInReplica::handle_application(const ApiRequest& request) {
  Running running(*this);
  auto fault = faults_.next();
  if (request.method != "GET") {
    auto attempt = request.headers.find("x-attempt");
    bool use_attempt = request.body.empty() && attempt != request.headers.end();
    record_run("app:" + (use_attempt ? attempt->second : request.body), "app");
  }
  sleep_ms(options_.chunk_interval_ms);
  if (fault == Fault::stall)
    sleep_ms(kStallMs);
  if (fault == Fault::error)
    return scripted_error();
  ApiResponse response;
  response.body = application_body(request);
  if (fault != Fault::unsealed)
    response.headers["X-Seal"] = hex(digest(response.body));
  if (fault == Fault::cut)
    response.next_chunk = abort_after(response.body.substr(0, response.body.size() / 2));
  if (fault == Fault::lost)
    response.next_chunk = abort_after("");
  return response;
}

}  // namespace mosskeel::replica_sim
