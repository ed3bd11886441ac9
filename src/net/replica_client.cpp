#include "net/replica_client.hpp"
#include "net/constants.hpp"

#include <curl/curl.h>

#include <atomic>
#include <nlohmann/json.hpp>

namespace mosskeel {
namespace {

struct EasyClose {
  void operator()(CURL* c) const { curl_easy_cleanup(c); }
};
struct MultiClose {
  void operator()(CURLM* c) const { curl_multi_cleanup(c); }
};
struct ListClose {
  void operator()(curl_slist* l) const { curl_slist_free_all(l); }
};

struct Call {
  ReplicaCall ask;
  std::unique_ptr<CURL, EasyClose> easy;
  std::unique_ptr<curl_slist, ListClose> headers;
  std::string rest, body, why;
  ReplicaCallResponse end;
  std::function<void(Message)>* hear;
  long status = 0;

  bool line(const std::string& s) {
    auto j = nlohmann::json::parse(s, nullptr, false);
    if (!j.is_object())
      return why = "a line of the stream is no JSON", false;
    try {
      if (j.contains("seal")) {
        end.complete = true;
        end.checksum = unhex(j.at("seal").get<std::string>()).value_or(0);
        end.chunks = j.at("pieces").get<uint32_t>();
        end.tokens = j.at("tokens").get<uint64_t>();
      } else if (end.complete) {
        return why = "pieces came after the seal", false;
      } else {
        (*hear)(ReplicaCallChunk{ask.attempt, j.at("n").get<uint32_t>(), j.at("text").get<std::string>(),
                                 j.at("tokens").get<uint64_t>()});
      }
    } catch (const nlohmann::json::exception& x) {
      return why = "a line of the stream lacks a field", false;
    }
    return true;
  }

  size_t take(const char* p, size_t n) {
    if (!status)
      curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    if (body.size() + n > kMaxHttpBodyBytes * 8)
      return why = "the answer is too long", 0;
    if (ask.kind != "model" || status != 200) {
      body.append(p, n);
      return n;
    }
    rest.append(p, n);
    for (size_t at; (at = rest.find('\n')) != std::string::npos; rest.erase(0, at + 1))
      if (!line(rest.substr(0, at)))
        return 0;
    return n;
  }
};

size_t on_body(char* p, size_t s, size_t n, void* c) {
  return static_cast<Call*>(c)->take(p, s * n);
}

size_t on_header(char* p, size_t s, size_t n, void* c) {
  std::string h(p, s * n);
  auto& x = *static_cast<Call*>(c);
  if (x.ask.kind != "model" && h.size() > 8 && strncasecmp(h.c_str(), "x-seal:", 7) == 0) {
    auto b = h.find_first_not_of(' ', 7), e = h.find_last_not_of("\r\n ");
    if (auto v = unhex(h.substr(b, e - b + 1)))
      x.end.checksum = *v, x.end.complete = true;
  }
  return s * n;
}

}  // namespace

struct ReplicaClient::Impl {
  std::function<void(Message)> hear;
  std::unique_ptr<CURLM, MultiClose> multi{curl_multi_init()};
  Queue<std::variant<ReplicaCall, std::string>> in;
  std::map<std::string, std::unique_ptr<Call>> calls;
  std::atomic<bool> halt{false};
  std::thread thread;

  void begin(const ReplicaCall& a) {
    auto c = std::make_unique<Call>();
    c->ask = a;
    c->hear = &hear;
    c->end.attempt = a.attempt;
    c->easy.reset(curl_easy_init());
    auto* e = c->easy.get();
    curl_easy_setopt(e, CURLOPT_URL, a.url.c_str());
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, a.method.c_str());
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, static_cast<long>(a.deadline_ms));
    if (!a.idempotent) {
      curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_slist* l = curl_slist_append(nullptr, "Expect:");
    l = curl_slist_append(l, "Content-Type: application/json");
    l = curl_slist_append(l, ("X-Attempt: " + a.attempt).c_str());
    c->headers.reset(l);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, l);
    if (a.method != "GET") {
      curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, static_cast<long>(c->ask.body.size()));
      curl_easy_setopt(e, CURLOPT_POSTFIELDS, c->ask.body.c_str());
    }
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, c.get());
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, c.get());
    curl_easy_setopt(e, CURLOPT_PRIVATE, c.get());
    curl_multi_add_handle(multi.get(), e);
    calls[a.attempt] = std::move(c);
  }

  void finish(Call& c, CURLcode rc) {
    long sent = 0;
    curl_easy_getinfo(c.easy.get(), CURLINFO_REQUEST_SIZE, &sent);
    curl_easy_getinfo(c.easy.get(), CURLINFO_RESPONSE_CODE, &c.status);
    auto& e = c.end;
    e.request_sent = sent > 0;
    e.status = static_cast<uint32_t>(c.status);
    e.body = std::move(c.body);
    if (rc != CURLE_OK) {
      e.complete = false;
      e.reason = c.why.empty() ? curl_easy_strerror(rc) : c.why;
    } else if (e.status >= 400 && e.status < 500) {
      e.complete = true;
    } else if (!e.complete) {
      e.reason = "the answer came without its seal";
    }
    hear(e);
  }

  void drop(const std::string& attempt) {
    auto i = calls.find(attempt);
    if (i == calls.end())
      return;
    curl_multi_remove_handle(multi.get(), i->second->easy.get());
    calls.erase(i);
  }

  void run() {
    while (!halt) {
      for (auto& x : in.take(0)) {
        if (auto* a = std::get_if<ReplicaCall>(&x))
          begin(*a);
        else
          drop(std::get<std::string>(x));
      }
      int n = 0;
      curl_multi_perform(multi.get(), &n);
      CURLMsg* m;
      while ((m = curl_multi_info_read(multi.get(), &n))) {
        if (m->msg != CURLMSG_DONE)
          continue;
        Call* c = nullptr;
        auto rc = m->data.result;
        curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
        finish(*c, rc);
        drop(std::string(c->ask.attempt));
      }
      curl_multi_poll(multi.get(), nullptr, 0, 100, nullptr);
    }
    for (auto& [a, c] : calls)
      curl_multi_remove_handle(multi.get(), c->easy.get());
    calls.clear();
  }
};

ReplicaClient::ReplicaClient(std::function<void(Message)> hear) : i_(std::make_unique<Impl>()) {
  i_->hear = std::move(hear);
  i_->thread = std::thread([this] { i_->run(); });
}
ReplicaClient::~ReplicaClient() {
  i_->halt = true;
  curl_multi_wakeup(i_->multi.get());
  i_->thread.join();
}
void ReplicaClient::send(const ReplicaCall& a) {
  i_->in.push(a);
  curl_multi_wakeup(i_->multi.get());
}
void ReplicaClient::cancel(const std::string& attempt) {
  i_->in.push(attempt);
  curl_multi_wakeup(i_->multi.get());
}

}  // namespace mosskeel
