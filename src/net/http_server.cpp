#include "net/http_server.hpp"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <nlohmann/json.hpp>

#include "base/address.hpp"
#include "net/constants.hpp"

namespace mosskeel {
namespace {

struct Talk {
  ApiRequest ask;
  bool too_long = false;
};

MHD_Result collect(void* to, MHD_ValueKind, const char* k, const char* v) {
  std::string n(k);
  for (auto& c : n)
    c = static_cast<char>(tolower(c));
  (*static_cast<std::map<std::string, std::string>*>(to))[n] = v ? v : "";
  return MHD_YES;
}

ssize_t pull(void* cls, uint64_t, char* buf, size_t max) {
  auto& s = *static_cast<std::pair<ApiResponse, std::string>*>(cls);
  while (s.second.empty()) {
    switch (s.first.next_chunk(s.second)) {
      case ApiResponse::StreamState::more:
        break;
      case ApiResponse::StreamState::finished:
        if (s.second.empty())
          return MHD_CONTENT_READER_END_OF_STREAM;
        break;
      case ApiResponse::StreamState::aborted:
        if (s.second.empty())
          return MHD_CONTENT_READER_END_WITH_ERROR;
        break;
    }
  }
  auto n = std::min(max, s.second.size());
  memcpy(buf, s.second.data(), n);
  s.second.erase(0, n);
  return static_cast<ssize_t>(n);
}

MHD_Result queue(MHD_Connection* c, ApiResponse a) {
  MHD_Response* r;
  auto status = a.status;
  auto headers = a.headers;
  if (a.next_chunk) {
    auto* s = new std::pair<ApiResponse, std::string>(std::move(a), "");
    r = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 32 << 10, pull, s,
                                          [](void* p) { delete static_cast<std::pair<ApiResponse, std::string>*>(p); });
  } else {
    r = MHD_create_response_from_buffer(a.body.size(), a.body.data(), MHD_RESPMEM_MUST_COPY);
  }
  if (!headers.count("Content-Type"))
    headers["Content-Type"] = "application/json";
  for (auto& [k, v] : headers)
    MHD_add_response_header(r, k.c_str(), v.c_str());
  auto rc = MHD_queue_response(c, status, r);
  MHD_destroy_response(r);
  return rc;
}

MHD_Result on_ask(void* cls, MHD_Connection* c, const char* url, const char* method, const char*, const char* data,
                  size_t* size, void** ctx) {
  if (!*ctx) {
    auto* t = new Talk;
    t->ask.method = method;
    t->ask.path = url;
    *ctx = t;
    return MHD_YES;
  }
  auto& t = *static_cast<Talk*>(*ctx);
  if (*size) {
    if (t.ask.body.size() + *size > kMaxHttpBodyBytes)
      t.too_long = true;
    else
      t.ask.body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }
  if (t.too_long)
    return queue(c,
                 ApiResponse::error(413, "too_long", "body: exceeds " + std::to_string(kMaxHttpBodyBytes) + " bytes"));
  MHD_get_connection_values(c, MHD_HEADER_KIND, collect, &t.ask.headers);
  MHD_get_connection_values(c, MHD_GET_ARGUMENT_KIND, collect, &t.ask.query);
  return queue(c, static_cast<HttpServer*>(cls)->handler()(t.ask));
}

void on_done(void*, MHD_Connection*, void** ctx, MHD_RequestTerminationCode) {
  delete static_cast<Talk*>(*ctx);
  *ctx = nullptr;
}

}  // namespace

ApiResponse ApiResponse::error(uint32_t status, const std::string& code, const Errors& f) {
  nlohmann::json j{{"error", code}, {"findings", nlohmann::json::array()}};
  for (auto& x : f)
    j["findings"].push_back({{"place", x.location}, {"reason", x.message}});
  ApiResponse a;
  a.status = status;
  a.body = j.dump() + "\n";
  return a;
}

ApiResponse ApiResponse::error(uint32_t status, const std::string& code, const std::string& reason, uint32_t retry_ms) {
  nlohmann::json j{{"error", code}, {"reason", reason}};
  ApiResponse a;
  a.status = status;
  if (retry_ms) {
    j["retry_after_ms"] = retry_ms;
    a.headers["Retry-After"] = std::to_string((retry_ms + 999) / 1000);
  }
  a.body = j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return a;
}

Result<std::unique_ptr<HttpServer>> HttpServer::open(const Address& at, Handler h) {
  std::unique_ptr<HttpServer> s(new HttpServer(std::move(h)));
  auto p = split_address(at);
  if (!p)
    return Errors{{at, "is no IP:port"}};
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(p->second);
  if (inet_pton(AF_INET, p->first.c_str(), &a.sin_addr) != 1)
    return Errors{{at, "is no IP:port"}};
  s->mhd_ = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, p->second, nullptr,
                             nullptr, on_ask, s.get(), MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&a),
                             MHD_OPTION_NOTIFY_COMPLETED, on_done, nullptr, MHD_OPTION_CONNECTION_LIMIT,
                             kMaxHttpConnections, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_THREAD_STACK_SIZE,
                             size_t{256 << 10}, MHD_OPTION_END);
  if (!s->mhd_)
    return Errors{{at, "cannot be listened on"}};
  return s;
}

HttpServer::~HttpServer() {
  if (mhd_)
    MHD_stop_daemon(mhd_);
}

std::pair<Address, std::shared_ptr<LocalMailboxes::Mailbox>> LocalMailboxes::open() {
  std::lock_guard l(m_);
  auto a = "local:" + std::to_string(++next_);
  auto w = std::make_shared<Mailbox>();
  words_[a] = w;
  return {a, w};
}
void LocalMailboxes::close(const Address& a) {
  std::lock_guard l(m_);
  words_.erase(a);
}
void LocalMailboxes::deliver(const Envelope& e) {
  std::shared_ptr<Mailbox> w;
  {
    std::lock_guard l(m_);
    if (auto i = words_.find(e.to); i != words_.end())
      w = i->second;
  }
  if (w)
    w->push(e.body);
}
size_t LocalMailboxes::size() const {
  std::lock_guard l(m_);
  return words_.size();
}

}  // namespace mosskeel
