#include "control/replica_poller.hpp"

#include <curl/curl.h>

#include "control/constants.hpp"
#include "net/constants.hpp"
#include "runtime/constants.hpp"
#include "runtime/daemon.hpp"

namespace mosskeel {
namespace {

size_t collect(char* p, size_t s, size_t n, void* to) {
  auto& b = *static_cast<std::string*>(to);
  if (b.size() + s * n > kMaxHttpBodyBytes * 8)
    return 0;
  b.append(p, s * n);
  return s * n;
}

}  // namespace

ReplicaPoller::ReplicaPoller(Host& h, AdminApi& admin_api, const ControlProtocol& dialect, Address address)
    : host_(h),
      desk_(admin_api),
      dialect_(dialect),
      address_(std::move(address)),
      web_(curl_easy_init(), [](void* c) { curl_easy_cleanup(c); }),
      thread_([this] { run(); }) {}

ReplicaPoller::~ReplicaPoller() {
  halt_.close();
  thread_.join();
}

void ReplicaPoller::run() {
  auto next = process_now();
  while (!halt_.closed()) {
    halt_.pop(std::max<Millis>(1, next - process_now()));
    if (halt_.closed())
      return;
    next = process_now() + kReplicaListPollInterval;
    beat();
  }
}

void ReplicaPoller::beat() {
  bool mine = false;
  host_.ask([&](Machine& m, Millis now) { mine = static_cast<ControllerMachine&>(m).is_supervisor(now); });
  if (!mine)
    return listing_.reset();
  failed_.clear();
  auto v = read();
  if (!v)
    return note(Event::replica_list_unreadable, failed_);
  auto change = listing_.reconcile(host_.view()->replicas, *v, process_now());
  if (!change)
    return;
  auto r = desk_.commit(*change, "list-" + hex(dice()), kCommitAttemptTimeout);
  if (r.outcome != CommitOutcome::committed)
    note(Event::platform_request, describe(*change) + ": " + r.reason);
}

std::optional<std::vector<Replica>> ReplicaPoller::read() {
  std::vector<Replica> all;
  std::string next;
  for (size_t i = 0; i < kReplicaListMaxPages && !halt_.closed(); ++i) {
    auto text = page(dialect_.replica_list_path(next));
    if (!text)
      return std::nullopt;
    auto p = dialect_.parse_replica_list_page(*text);
    if (!p.ok())
      return failed_ = to_string(p.errors()), std::nullopt;
    all.insert(all.end(), p.value().replicas.begin(), p.value().replicas.end());
    if (p.value().next_page_token.empty())
      return all;
    next = p.value().next_page_token;
  }
  failed_ = "its pages do not end";
  return std::nullopt;
}

std::optional<std::string> ReplicaPoller::page(const std::string& path) {
  std::string body, url = "http://" + address_ + path;
  auto* e = static_cast<CURL*>(web_.get());
  curl_easy_setopt(e, CURLOPT_URL, url.c_str());
  curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(e, CURLOPT_PROXY, "");
  curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, static_cast<long>(kReplicaListPageTimeout));
  curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt(e, CURLOPT_WRITEDATA, &body);
  auto rc = curl_easy_perform(e);
  long status = 0;
  curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
  if (rc == CURLE_OK && status == 200)
    return body;
  failed_ = url + ": " + (rc == CURLE_OK ? "status " + std::to_string(status) : curl_easy_strerror(rc));
  return std::nullopt;
}

}  // namespace mosskeel
