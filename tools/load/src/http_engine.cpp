#include <load/http_engine.h>

#include <curl/curl.h>

#include <sys/timerfd.h>
#include <unistd.h>

#include <list>
#include <stdexcept>
#include <vector>

namespace orioledrum::load
{

namespace
{

// Longest wait in one poll; the timer below ends it earlier.
constexpr int pollMs = 1000;

std::size_t storeBody(char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

void initializeOnce()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (result != CURLE_OK) {
        throw std::runtime_error("libcurl cannot be initialized");
    }
}

} // namespace

struct http_engine::transfer {
    CURL *easy = nullptr;
    std::string requestBody;
    std::string answerBody;
    callback done;
    std::list<std::unique_ptr<transfer>>::iterator position;
};

struct http_engine::state {
    CURLM *multi = nullptr;
    curl_slist *headers = nullptr;
    // A timer descriptor gives microsecond waits; the time-out of curl_multi_poll counts whole milliseconds.
    int timer = -1;
    std::list<std::unique_ptr<transfer>> active;
    std::vector<CURL *> idle;
};

http_engine::http_engine()
    : m_state(std::make_unique<state>())
{
    initializeOnce();
    m_state->multi = curl_multi_init();
    m_state->timer = timerfd_create(CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK);
    m_state->headers = curl_slist_append(nullptr, "Content-Type: application/json");
    // Without this, libcurl waits up to a second for "100 Continue" before it sends a larger body.
    m_state->headers = curl_slist_append(m_state->headers, "Expect:");
    if (m_state->multi == nullptr || m_state->timer < 0 || m_state->headers == nullptr) {
        throw std::runtime_error("no resources for an HTTP client");
    }
    // Connections stay open between requests; the default keeps only four for each transfer in progress.
    curl_multi_setopt(m_state->multi, CURLMOPT_MAXCONNECTS, 1000L);
}

http_engine::~http_engine()
{
    for (const auto &entry : m_state->active) {
        curl_multi_remove_handle(m_state->multi, entry->easy);
        curl_easy_cleanup(entry->easy);
    }
    for (CURL *easy : m_state->idle) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_state->multi);
    curl_slist_free_all(m_state->headers);
    close(m_state->timer);
}

std::size_t http_engine::active() const
{
    return m_state->active.size();
}

void http_engine::send(const std::string &method,
                       const std::string &url,
                       std::string body,
                       std::chrono::milliseconds timeout,
                       callback done)
{
    auto created = std::make_unique<transfer>();
    if (m_state->idle.empty()) {
        created->easy = curl_easy_init();
        if (created->easy == nullptr) {
            throw std::runtime_error("no resources for an HTTP request");
        }
    } else {
        created->easy = m_state->idle.back();
        m_state->idle.pop_back();
        curl_easy_reset(created->easy);
    }
    created->requestBody = std::move(body);
    created->done = std::move(done);
    CURL *easy = created->easy;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, m_state->headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, storeBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &created->answerBody);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, created.get());
    if (method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, created->requestBody.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(created->requestBody.size()));
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
    }
    m_state->active.push_back(std::move(created));
    const auto position = std::prev(m_state->active.end());
    (*position)->position = position;
    curl_multi_add_handle(m_state->multi, easy);
}

void http_engine::finishEnded()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_state->multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *easy = message->easy_handle;
        const CURLcode code = message->data.result;
        transfer *ended = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &ended);
        http_result result;
        result.answered = code == CURLE_OK;
        if (code != CURLE_OK) {
            result.errorMessage = curl_easy_strerror(code);
        }
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        result.status = static_cast<int>(status);
        result.body = std::move(ended->answerBody);
        const callback done = std::move(ended->done);
        curl_multi_remove_handle(m_state->multi, easy);
        m_state->idle.push_back(easy);
        m_state->active.erase(ended->position);
        done(result);
    }
}

void http_engine::runUntil(time_point until)
{
    const std::size_t before = m_state->active.size();
    while (true) {
        int running = 0;
        curl_multi_perform(m_state->multi, &running);
        if (static_cast<std::size_t>(running) < m_state->active.size()) {
            finishEnded();
        }
        if (monotonic_clock::now() >= until || (before > 0 && m_state->active.size() < before)) {
            return;
        }
        const auto since = until.time_since_epoch();
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since);
        itimerspec when{};
        when.it_value.tv_sec = seconds.count();
        when.it_value.tv_nsec = (since - seconds).count();
        timerfd_settime(m_state->timer, TFD_TIMER_ABSTIME, &when, nullptr);
        curl_waitfd extra{};
        extra.fd = m_state->timer;
        extra.events = CURL_WAIT_POLLIN;
        curl_multi_poll(m_state->multi, &extra, 1, pollMs, nullptr);
    }
}

} // namespace orioledrum::load
