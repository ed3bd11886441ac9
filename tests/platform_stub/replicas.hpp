#pragma once
// Replicas of models and applications, one that misbehaves, and the list that names them all.
#include <deque>
#include <list>
#include <unordered_set>

#include "platform_stub/world.hpp"

namespace mosskeel::standin {

constexpr uint32_t slot_count = 8, event_tokens = 4;
constexpr double cold_per_s = 8;
constexpr Duration drain_time = 3000ms, list_lag = 800ms;

/// What the list says of a replica.
struct Listed {
  std::string id, service, zone;
  Address at;
  bool draining = false;
  MonotonicTime cold_until{}, drained{};
};

class Replica {
 public:
  Replica(World& w, Listed l);
  virtual ~Replica() = default;
  Listed listed;
  /// When its zone's evacuation must be in force, 0 where there is none.
  MonotonicTime evacuated{};

 protected:
  /// Turns a request away as it must, or notes that it arrived; false where it was answered here.
  bool take(uint64_t id, const HttpRequest& r, std::string& attempt);
  void not_run(uint64_t id, uint32_t status, const std::string& attempt);
  HeaderFields head(const std::string& attempt, const std::string& seal) const;
  virtual void asked(uint64_t id, HttpRequest&& r) = 0;
  virtual void left(uint64_t id) = 0;
  World& w_;
  std::unique_ptr<HttpListener> in_;

 private:
  bool bears();
  std::deque<MonotonicTime> cold_;
  bool fell_ = false;
};

/// Batches of `slot_count`, a token's step for all of them at once, prompts read before, kept parts not read again.
class Model : public Replica {
 public:
  Model(World& w, Listed l);

 private:
  struct Run {
    std::string attempt, body, seal;
    uint64_t next = 1, last = 0, unread = 0;
    bool resumed = false, headed = false;
  };
  void asked(uint64_t id, HttpRequest&& r) override;
  void left(uint64_t id) override;
  uint64_t read(const std::string& parts);
  void step();
  bool forward(uint64_t id, Run& r);
  std::map<uint64_t, Run> runs_, queue_;
  std::list<std::string> kept_;
};

class App : public Replica {
 public:
  App(World& w, Listed l) : Replica(w, std::move(l)) {}

 private:
  void asked(uint64_t id, HttpRequest&& r) override;
  void left(uint64_t id) override { waiting_.erase(id); }
  std::unordered_set<uint64_t> waiting_;
};

/// Says surplus, late, foreign, cut, unsealed and unintelligible bytes on raw sockets, in turn with proper answers.
class Rogue {
 public:
  Rogue(World& w, Listed l);
  ~Rogue();
  Listed listed;

 private:
  struct Session {
    Fd fd;
    std::string in;
  };
  void accept();
  void receive(int fd);
  void answer(int fd, const HttpRequest& r);
  World& w_;
  Fd listening_;
  std::map<int, Session> sessions_;
  uint64_t turn_ = 0;
};

/// Serves `GET /replicas` in pages, late and at a bounded rate.
class List {
 public:
  List(World& w, std::function<std::vector<Listed>()> now);

 private:
  void asked(uint64_t id, const HttpRequest& r);
  void look();
  World& w_;
  std::function<std::vector<Listed>()> now_;
  std::deque<std::pair<MonotonicTime, std::vector<Listed>>> past_;
  std::deque<MonotonicTime> calls_;
  std::unique_ptr<HttpListener> in_;
};

std::unique_ptr<HttpListener> listen(EventLoop& loop, const Address& at, HttpListener::Callbacks e);

}  // namespace mosskeel::standin
