#include "platform_stub/world.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <filesystem>
#include <fstream>

namespace mosskeel::standin {
namespace {

bool free_at(const Address& ip, uint16_t port) {
  Fd s(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return ::bind(s.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
}

uint16_t free_base() {
  std::random_device d;
  for (int tries = 0; tries < 200; ++tries) {
    auto base = static_cast<uint16_t>(10000 + d() % 20000);
    bool good = true;
    for (int i = 0; good && i < 40; ++i) {
      auto p = static_cast<uint16_t>(base + i);
      good = free_at("127.0.0.1", p) && free_at("127.0.0.11", p) && free_at("127.0.0.31", p);
    }
    if (good)
      return base;
  }
  return 21000;
}

}  // namespace

Plan write_settings(const std::string& dir) {
  Plan p{free_base()};
  auto q = [](const std::string& s) {
    return "\"" + s + "\"";
  };
  std::string seeds = q(p.control(0)) + "," + q(p.control(1)) + "," + q(p.control(2));
  for (std::string program : {"controller", "store", "gateway", "agent"})
    for (int i = 0; i < 3; ++i) {
      auto machine = program == "controller" ? "core" : program == "store" ? "storage" : "front";
      auto ip = "127.0.0." + std::to_string((program == "controller" ? 11 : program == "store" ? 21 : 31) + i);
      auto name = program + std::to_string(i + 1);
      std::ofstream f(dir + "/" + name + ".toml");
      f << "NodeName = " << q(std::string(machine) + "-" + std::to_string(i + 1)) << "\nIp = " << q(ip)
        << "\nZone = " << q(zones[i]) << "\nInternalPorts = [" << p.base << "," << p.base + 9 << "]\nSeedNodes = ["
        << seeds << "]\nFirstStart = true\nDataDir = " << q(dir + "/data/" + name)
        << "\n[ListenAddrs]\nFrontHttp = " << q(p.front(i)) << "\nReadiness = " << q(p.ready(i))
        << "\nControlPlane = " << q(p.control(i))
        << "\n[ToleratedLosses]\nMachines = 1\nZones = 1\n[CloudApi]\nAddress = " << q(p.list())
        << "\nRatePerS = 40.0\n";
      std::filesystem::create_directories(dir + "/data/" + name);
    }
  std::ofstream(dir + "/base") << p.base << "\n";
  return p;
}

World::World(Plan p)
    : plan(p),
      out_(loop, {[this](uint64_t id, UpstreamClient::ResponseHead&& a) {
                    auto& r = talks_.at(id).reply;
                    r.status = a.status, r.fields = std::move(a.fields);
                  },
                  [this](uint64_t id, std::string_view s) { talks_.at(id).reply.body += s; },
                  [this](uint64_t id) { finish(id, true, false); },
                  [this](uint64_t id, UpstreamClient::Delivery l, std::string) {
                    finish(id, false, l == UpstreamClient::Delivery::not_sent);
                  }}) {}

void World::ask(UpstreamClient::Request a, Duration patience, std::function<void(Reply&&)> done) {
  a.new_connection = true;
  auto id = out_.send_request(std::move(a));
  auto timer = loop.run_after(std::max<Duration>(1ms, patience), [this, id] {
    out_.cancel(id);
    finish(id, false, false);
  });
  talks_[id] = {{}, std::move(done), timer};
}

void World::finish(uint64_t id, bool whole, bool unsent) {
  auto i = talks_.find(id);
  if (i == talks_.end())
    return;
  auto t = std::move(i->second);
  talks_.erase(i);
  loop.cancel(t.timer);
  t.reply.whole = whole, t.reply.unsent = unsent;
  t.done(std::move(t.reply));
}

}  // namespace mosskeel::standin
