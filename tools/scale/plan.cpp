#include "scale/plan.hpp"

#include <stdexcept>

#include "base/codec.hpp"

namespace mosskeel::scale {
namespace {

/// Addresses have the length that they have in a cluster.
Address address(size_t zone, size_t n, int port) {
  auto part = [](size_t x) {
    return std::to_string(100 + x) + ".";
  };
  auto last = part(n % 100);
  last.back() = ':';
  return "10." + part(zone) + part(n / 100) + last + std::to_string(port);
}

std::string zone_name(size_t z) {
  return "region-" + std::to_string(z % 2 + 1) + "-" + std::string(1, static_cast<char>('a' + z / 2));
}

Seat seat(const Plan& p, Part part, size_t n, uint64_t incarnation) {
  Seat s;
  s.part = part;
  s.zone = n % static_cast<size_t>(p.zones);
  s.region = s.zone % 2;
  auto role = part == Part::controller ? Role::controller : part == Part::store ? Role::store : Role::front;
  auto port = 7000 + 10 * static_cast<int>(part);
  auto listen_address = address(s.zone, n, port);
  if (part == Part::agent)
    s.beside = address(s.zone, n, 7000 + 10 * static_cast<int>(Part::gateway));
  if (part == Part::gateway)
    s.beside = address(s.zone, n, 7000 + 10 * static_cast<int>(Part::agent));
  s.id.self = {Incarnation{incarnation},
               role,
               zone_name(s.zone),
               listen_address,
               s.beside,
               address(s.zone, n, 8080),
               "machine-" + std::to_string(1000 + n)};
  s.id.core_size = static_cast<uint32_t>(p.controllers);
  s.id.dice = digest("dice", incarnation);
  return s;
}

}  // namespace

const char* name(Part p) {
  static const char* const n[] = {"controller", "store", "agent", "gateway"};
  return n[static_cast<int>(p)];
}

std::vector<Seat> seats(const Plan& p, uint64_t seed) {
  std::vector<Seat> v;
  auto incarnation = [&] {
    return digest("seat", seed * 1000003 + v.size());
  };
  for (int i = 0; i < p.controllers; ++i)
    v.push_back(seat(p, Part::controller, static_cast<size_t>(i), incarnation()));
  Addresses seeds;
  for (auto& s : v)
    if (seeds.size() < 3)
      seeds.push_back(s.id.self.address);
  for (int i = 0; i < p.stores(); ++i)
    v.push_back(seat(p, Part::store, static_cast<size_t>(i), incarnation()));
  for (int i = 0; i < p.fronts(); ++i)
    for (auto part : {Part::agent, Part::gateway})
      v.push_back(seat(p, part, static_cast<size_t>(i), incarnation()));
  for (auto& s : v)
    s.id.seeds = seeds;
  return v;
}

std::pair<Seat, Seat> front(const Plan& p, size_t n, uint64_t seed) {
  return {seat(p, Part::agent, n, digest("newcomer", seed)), seat(p, Part::gateway, n, digest("beside", seed))};
}

Configuration configuration(const Plan& p) {
  Configuration m;
  auto n = [](const char* s, int i) {
    return s + std::to_string(10000 + i);
  };
  for (int i = 0; i < p.cells; ++i)
    m.cells.push_back({n("tenant-", i), 360000, 8192, 3600000, {{"chat", "model", {}}}});
  for (int i = 0; i < p.services; ++i)
    m.services.push_back({n("model-", i), "/health", 64, 10000, 2.0, 32, 4000000, 16});
  for (int i = 0; i < p.paths; ++i)
    m.paths.push_back({n("path-", i),
                       "api.example.com",
                       "/v1/" + n("p", i) + "/",
                       "streaming",
                       60000,
                       1100,
                       1,
                       2,
                       true,
                       3600000,
                       true,
                       false,
                       30,
                       {{n("model-", i % p.services), 100}}});
  return m;
}

std::vector<Replica> replicas(const Plan& p) {
  std::vector<Replica> v;
  for (int i = 0; i < p.replicas; ++i) {
    auto z = static_cast<size_t>(i % p.zones);
    v.push_back({"replica-" + std::to_string(10000 + i), "model", zone_name(z),
                 "http://" + address(z, static_cast<size_t>(i), 9000), ReplicaHealth::ready, Epoch{}, 32,
                 "model-" + std::to_string(10000 + i % p.services), 0});
  }
  return v;
}

Metadata rest(const Plan& p, const std::vector<Seat>& all) {
  Metadata m{};
  auto step = [&](Transformation t) {
    auto r = apply(m, {next(m.epoch), "", std::move(t)});
    if (!r.ok())
      throw std::runtime_error(to_string(r.errors()));
    m = r.value();
  };
  FoundCluster f{digest("cluster"), static_cast<uint32_t>(p.controllers), {}, 0, 0};
  for (auto& s : all)
    if (s.part == Part::controller)
      f.members.push_back(s.id.self);
  step(f);
  if (p.slots)
    m.partitions.resize(static_cast<size_t>(p.slots));
  for (auto& s : all)
    if (s.part == Part::store || s.part == Part::gateway)
      step(Register{s.id.self});
  for (auto& [id, d] : Directory(m.directory))
    if (d.self.role != Role::controller) {
      step(PrepareJoin{id});
      for (auto x : {SequenceStep::start, SequenceStep::mid, SequenceStep::finish})
        step(AdvanceSequence{id, x});
    }
  step(BeginQuorumChange{});
  step(FinishQuorumChange{m.epoch});
  step(ApplyConfiguration{m.revision, configuration(p), {}});
  if (p.replicas)
    step(UpdateReplicas{replicas(p), {}});
  for (int i = 0; i < p.remembered; ++i)
    m.applied_commits.push_back({"op-" + hex(digest("id", i)), m.epoch});
  for (int i = 0; i < p.left; ++i) {
    Seat s = seat(p, Part::gateway, static_cast<size_t>(i % p.daemons), digest("left", i));
    DaemonId id{m.next_id++};
    m.directory[id] = {id, s.id.self, DaemonState::left, m.epoch};
  }
  return m;
}

std::map<std::string, size_t> tables(const Metadata& m) {
  std::map<std::string, size_t> v;
  boost::hana::for_each(boost::hana::accessors<Metadata>(), [&](auto a) {
    v[boost::hana::to<const char*>(boost::hana::first(a))] = codec::pack(boost::hana::second(a)(m)).size();
  });
  v["configuration.cells"] = codec::pack(m.configuration.cells).size();
  v["configuration.paths"] = codec::pack(m.configuration.paths).size();
  v["configuration.services"] = codec::pack(m.configuration.services).size();
  v["whole"] = codec::pack(m).size();
  return v;
}

}  // namespace mosskeel::scale
