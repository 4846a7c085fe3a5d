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

// Upper limit of one curl_multi_poll; the timer descriptor usually ends the wait earlier.
constexpr int maxPollMs = 1000;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

void initializeLibcurlOnce()
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
    // Ends waits with microsecond precision; the timeout of curl_multi_poll is in whole milliseconds.
    int timer = -1;
    std::list<std::unique_ptr<transfer>> active;
    std::vector<CURL *> idle;
};

http_engine::http_engine()
    : m_state(std::make_unique<state>())
{
    initializeLibcurlOnce();
    m_state->multi = curl_multi_init();
    m_state->timer = timerfd_create(CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK);
    m_state->headers = curl_slist_append(nullptr, "Content-Type: application/json");
    // Without an empty Expect header, libcurl waits up to a second for "100 Continue" before it sends a larger body.
    m_state->headers = curl_slist_append(m_state->headers, "Expect:");
    if (m_state->multi == nullptr || m_state->timer < 0 || m_state->headers == nullptr) {
        throw std::runtime_error("cannot allocate the resources of an HTTP client");
    }
    // Keeps connections open between requests; by default libcurl keeps only four per transfer in progress.
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
    auto newTransfer = std::make_unique<transfer>();
    if (m_state->idle.empty()) {
        newTransfer->easy = curl_easy_init();
        if (newTransfer->easy == nullptr) {
            throw std::runtime_error("cannot create an HTTP request");
        }
    } else {
        newTransfer->easy = m_state->idle.back();
        m_state->idle.pop_back();
        curl_easy_reset(newTransfer->easy);
    }
    newTransfer->requestBody = std::move(body);
    newTransfer->done = std::move(done);
    CURL *easy = newTransfer->easy;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, m_state->headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &newTransfer->answerBody);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, newTransfer.get());
    if (method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, newTransfer->requestBody.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(newTransfer->requestBody.size()));
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
    }
    m_state->active.push_back(std::move(newTransfer));
    const auto position = std::prev(m_state->active.end());
    (*position)->position = position;
    curl_multi_add_handle(m_state->multi, easy);
}

void http_engine::completeTransfers()
{
    int messagesLeft = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_state->multi, &messagesLeft)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *easy = message->easy_handle;
        const CURLcode code = message->data.result;
        transfer *finished = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &finished);
        http_result result;
        result.answered = code == CURLE_OK;
        if (code != CURLE_OK) {
            result.errorMessage = curl_easy_strerror(code);
        }
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        result.status = static_cast<int>(status);
        result.body = std::move(finished->answerBody);
        const callback done = std::move(finished->done);
        curl_multi_remove_handle(m_state->multi, easy);
        m_state->idle.push_back(easy);
        m_state->active.erase(finished->position);
        done(result);
    }
}

void http_engine::runUntil(time_point until)
{
    const std::size_t activeBefore = m_state->active.size();
    while (true) {
        int running = 0;
        curl_multi_perform(m_state->multi, &running);
        if (static_cast<std::size_t>(running) < m_state->active.size()) {
            completeTransfers();
        }
        if (monotonic_clock::now() >= until || (activeBefore > 0 && m_state->active.size() < activeBefore)) {
            return;
        }
        const auto sinceEpoch = until.time_since_epoch();
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch);
        itimerspec expiry{};
        expiry.it_value.tv_sec = seconds.count();
        expiry.it_value.tv_nsec = (sinceEpoch - seconds).count();
        timerfd_settime(m_state->timer, TFD_TIMER_ABSTIME, &expiry, nullptr);
        curl_waitfd timerDescriptor{};
        timerDescriptor.fd = m_state->timer;
        timerDescriptor.events = CURL_WAIT_POLLIN;
        curl_multi_poll(m_state->multi, &timerDescriptor, 1, maxPollMs, nullptr);
    }
}

} // namespace orioledrum::load
