#include "net/http_fetch.hpp"

#include <curl/curl.h>

namespace mosskeel {
namespace {

size_t body(char* p, size_t s, size_t n, void* c) {
  auto& x = *static_cast<std::pair<const FetchRequest*, FetchResponse*>*>(c);
  x.second->body.append(p, s * n);
  if (x.first->on_body)
    x.first->on_body(std::string(p, s * n));
  return s * n;
}

size_t header(char* p, size_t s, size_t n, void* c) {
  std::string h(p, s * n);
  auto k = h.find(':');
  if (k == std::string::npos)
    return s * n;
  auto name = h.substr(0, k);
  for (auto& x : name)
    x = static_cast<char>(tolower(x));
  auto b = h.find_first_not_of(' ', k + 1), e = h.find_last_not_of("\r\n ");
  if (b != std::string::npos && e >= b)
    static_cast<FetchResponse*>(c)->headers[name] = h.substr(b, e - b + 1);
  return s * n;
}

}  // namespace

FetchResponse http_fetch(const FetchRequest& a) {
  FetchResponse r;
  std::unique_ptr<CURL, void (*)(CURL*)> c(curl_easy_init(), curl_easy_cleanup);
  auto* e = c.get();
  auto both = std::make_pair(&a, &r);
  curl_easy_setopt(e, CURLOPT_URL, a.url.c_str());
  curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(e, CURLOPT_PROXY, "");
  curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, a.method.c_str());
  curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
  curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, a.timeout_ms);
  if (a.method != "GET") {
    curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, static_cast<long>(a.body.size()));
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, a.body.c_str());
  }
  curl_slist* l = curl_slist_append(nullptr, "Expect:");
  for (auto& [k, v] : a.headers)
    l = curl_slist_append(l, (k + ": " + v).c_str());
  std::unique_ptr<curl_slist, void (*)(curl_slist*)> list(l, curl_slist_free_all);
  curl_easy_setopt(e, CURLOPT_HTTPHEADER, l);
  curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, body);
  curl_easy_setopt(e, CURLOPT_WRITEDATA, &both);
  curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, header);
  curl_easy_setopt(e, CURLOPT_HEADERDATA, &r);
  auto rc = curl_easy_perform(e);
  curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &r.status);
  long sent = 0;
  curl_easy_getinfo(e, CURLINFO_REQUEST_SIZE, &sent);
  r.request_sent = sent > 0;
  r.complete = rc == CURLE_OK;
  if (rc != CURLE_OK)
    r.error = curl_easy_strerror(rc);
  return r;
}

}  // namespace mosskeel
