#include "control/command_language.hpp"

#include <algorithm>

namespace mosskeel::command_language {
namespace {

struct Word {
  std::string s;
  size_t at;
};

class Parser {
 public:
  explicit Parser(const std::string& s) : end_(s.size() + 1) {
    for (size_t i = 0; i < s.size();) {
      if (isspace(static_cast<unsigned char>(s[i]))) {
        ++i;
        continue;
      }
      auto j = i;
      while (j < s.size() && !isspace(static_cast<unsigned char>(s[j])))
        ++j;
      v_.push_back({s.substr(i, j - i), i + 1});
      i = j;
    }
  }
  bool take(const char* w) {
    if (i_ < v_.size() && v_[i_].s == w)
      return ++i_, true;
    hope(std::string("'") + w + "'");
    return false;
  }
  bool word(std::string& x, const char* what) {
    if (i_ < v_.size())
      return x = v_[i_++].s, hopes_.clear(), true;
    hope(what);
    return false;
  }
  bool number(uint64_t& x, const char* what) {
    if (i_ < v_.size() && v_[i_].s.size() < 19 && v_[i_].s.find_first_not_of("0123456789") == std::string::npos)
      return x = std::stoull(v_[i_++].s), hopes_.clear(), true;
    hope(what);
    return false;
  }
  bool node(DaemonId& x) {
    uint64_t n;
    if (!number(n, "a daemon's number"))
      return false;
    x = DaemonId{n};
    return true;
  }
  bool end() {
    if (i_ == v_.size())
      return true;
    hope("the end of the sentence");
    return false;
  }
  void step() { hopes_.clear(); }
  Errors lost() const {
    std::string s;
    for (size_t k = 0; k < hopes_.size(); ++k)
      s += (k ? (k + 1 == hopes_.size() ? " or " : ", ") : "") + hopes_[k];
    auto at = i_ < v_.size() ? v_[i_].at : end_;
    return {{"position " + std::to_string(at),
             "expected " + s + (i_ < v_.size() ? ", found '" + v_[i_].s + "'" : ", found the end")}};
  }

 private:
  void hope(std::string s) {
    if (at_ != i_)
      hopes_.clear(), at_ = i_;
    if (std::find(hopes_.begin(), hopes_.end(), s) == hopes_.end())
      hopes_.push_back(std::move(s));
  }
  std::vector<Word> v_;
  std::vector<std::string> hopes_;
  size_t i_ = 0, at_ = 0, end_;
};

std::optional<Command> show_sentence(Parser& p) {
  for (auto* w : {"fleet", "epoch", "cells", "replicas", "slots", "sequences", "configuration"})
    if (p.take(w))
      return p.end() ? std::optional<Command>(ShowQuery{w, ""}) : std::nullopt;
  std::string n;
  if (p.take("cell") && p.word(n, "a cell's name") && p.end())
    return ShowQuery{"cell", n};
  return std::nullopt;
}

std::optional<Command> explain_sentence(Parser& p) {
  std::string n;
  for (auto* w : {"node", "slot", "epoch", "program"})
    if (p.take(w))
      return p.word(n, std::string(w) == "program" ? "CELL/PROGRAM" : "a number") && p.end()
                 ? std::optional<Command>(ExplainQuery{w, n})
                 : std::nullopt;
  return std::nullopt;
}

std::optional<Command> cell_sentence(Parser& p) {
  Cell c{};
  uint64_t keep = 0;
  if (!(p.take("cell") && p.word(c.name, "a cell's name") && p.take("budget") && p.number(c.budget, "tokens") &&
        p.take("turn") && p.number(c.turn_limit, "tokens") && p.take("retention") && p.number(keep, "milliseconds") &&
        p.end()))
    return std::nullopt;
  c.retention_ms = static_cast<int64_t>(keep);
  c.routes = {{"chat", "model", {}}, {"app", "app", {}}};
  return CreateCell{c};
}

std::optional<Command> change_sentence(Parser& p) {
  std::string z;
  DaemonId a, b;
  uint64_t n;
  if (p.take("drain")) {
    if (p.take("zone"))
      return p.word(z, "a zone's name") && p.end() ? std::optional<Command>(Change{EvacuateZone{z}}) : std::nullopt;
    if (p.take("node") && p.node(a) && p.end())
      return Change{PrepareDrain{a}};
    return std::nullopt;
  }
  if (p.take("restore"))
    return p.take("zone") && p.word(z, "a zone's name") && p.end() ? std::optional<Command>(Change{RestoreZone{z}})
                                                                   : std::nullopt;
  if (p.take("retire"))
    return p.take("store") && p.node(a) && p.end() ? std::optional<Command>(Change{PrepareDrain{a}}) : std::nullopt;
  if (p.take("cancel"))
    return p.take("sequence") && p.node(a) && p.end()
               ? std::optional<Command>(Change{CancelSequence{a, "the operator asked"}})
               : std::nullopt;
  if (p.take("replace"))
    return p.take("core") && p.node(a) && p.take("with") && p.node(b) && p.end()
               ? std::optional<Command>(Change{ReplaceCoreMember{a, b}})
               : std::nullopt;
  if (p.take("forget"))
    return p.take("replica") && p.word(z, "a replica's name") && p.end()
               ? std::optional<Command>(Change{RemoveReplica{z}})
               : std::nullopt;
  if (p.take("move")) {
    if (p.take("routes"))
      return p.take("from") && p.node(a) && p.take("to") && p.node(b) && p.end()
                 ? std::optional<Command>(Change{MoveAllPartitions{a, b}})
                 : std::nullopt;
    if (p.take("slot") && p.number(n, "a slot's number") && p.take("to") && p.node(b) && p.end())
      return Change{MovePartition{PartitionId{static_cast<uint32_t>(n)}, b}};
    return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

Result<Command> parse(const std::string& s) {
  Parser p(s);
  std::optional<Command> c;
  std::string n, f;
  uint64_t x = 0;
  if (p.take("show"))
    c = show_sentence(p);
  else if (p.take("explain"))
    c = explain_sentence(p);
  else if (p.take("create"))
    c = cell_sentence(p);
  else if (p.take("drop")) {
    if (p.take("cell") && p.word(n, "a cell's name") && p.end())
      c = DropCell{n};
  } else if (p.take("set")) {
    if (p.take("cell") && p.word(n, "a cell's name"))
      for (auto* w : {"budget", "turn", "retention"})
        if (p.take(w)) {
          if (p.number(x, "a number") && p.end())
            c = UpdateCell{n, w, x};
          break;
        }
  } else if (p.take("rebuild")) {
    RebuildCore r;
    DaemonId d;
    if (p.take("core") && p.take("without") && p.node(d)) {
      do
        r.lost.push_back(d);
      while (!p.end() && p.node(d));
      if (p.end())
        c = r;
    }
  } else {
    c = change_sentence(p);
  }
  if (!c)
    return p.lost();
  return *c;
}

Result<Transformation> to_transformation(const Command& c, const Metadata& m) {
  auto next = m.configuration;
  auto find = [&](const std::string& n) {
    for (auto i = next.cells.begin(); i != next.cells.end(); ++i)
      if (i->name == n)
        return i;
    return next.cells.end();
  };
  if (auto* x = std::get_if<Change>(&c))
    return x->t;
  if (auto* x = std::get_if<CreateCell>(&c)) {
    if (find(x->cell.name) != next.cells.end())
      return Errors{{"cell " + x->cell.name, "exists already"}};
    next.cells.push_back(x->cell);
  }
  if (auto* x = std::get_if<DropCell>(&c)) {
    auto i = find(x->name);
    if (i == next.cells.end())
      return Errors{{"cell " + x->name, "is unknown"}};
    next.cells.erase(i);
  }
  if (auto* x = std::get_if<UpdateCell>(&c)) {
    auto i = find(x->name);
    if (i == next.cells.end())
      return Errors{{"cell " + x->name, "is unknown"}};
    if (x->field == "budget")
      i->budget = x->value;
    if (x->field == "turn")
      i->turn_limit = x->value;
    if (x->field == "retention")
      i->retention_ms = static_cast<int64_t>(x->value);
  }
  return Transformation{ApplyConfiguration{m.revision, next}};
}

}  // namespace mosskeel::command_language
