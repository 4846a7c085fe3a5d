#include "fake_admin_host.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace orioledrum
{

using asio::ip::tcp;
using nlohmann::json;

struct fake_admin_host::impl {
    impl(std::string hostName, const std::string &eventsJson, std::size_t maxPageEvents)
        : name(std::move(hostName))
        , events(json::parse(eventsJson))
        , pageLimit(maxPageEvents)
        , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
        thread = std::thread([this] { context.run(); });
    }

    ~impl()
    {
        context.stop();
        thread.join();
    }

    void accept()
    {
        acceptor.async_accept([this](const asio::error_code &failure, tcp::socket socket) {
            if (!failure) {
                serve(socket);
                accept();
            }
        });
    }

    void serve(tcp::socket &socket)
    {
        std::string request;
        asio::error_code failure;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", failure);
        std::string status = "200 OK";
        std::string body;
        if (request.find("Authorization: Bearer secret\r\n") == std::string::npos) {
            status = "401 Unauthorized";
        } else if (request.starts_with("GET /admin/v1/status ")) {
            body = R"({"host": ")" + name + R"(", "config": {"revision": 7}})";
        } else if (request.starts_with("GET /admin/v1/timeline?after=")) {
            body = timelinePage(std::stoull(request.substr(request.find("after=") + 6)));
        } else {
            status = "404 Not Found";
        }
        const auto answer =
            "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
        asio::write(socket, asio::buffer(answer), failure);
    }

    [[nodiscard]] std::string timelinePage(std::uint64_t after) const
    {
        json pageEvents = json::array();
        for (const auto &event : events) {
            if (event.at("sequence").get<std::uint64_t>() > after && pageEvents.size() < pageLimit) {
                pageEvents.push_back(event);
            }
        }
        return json{{"host", name}, {"events", pageEvents}}.dump();
    }

    std::string name;
    json events;
    std::size_t pageLimit;
    asio::io_context context;
    tcp::acceptor acceptor;
    std::thread thread;
};

fake_admin_host::fake_admin_host(std::string name, const std::string &events, std::size_t pageLimit)
    : m_impl(std::make_unique<impl>(std::move(name), events, pageLimit))
{
}

fake_admin_host::~fake_admin_host() = default;

std::string fake_admin_host::address() const
{
    return "127.0.0.1:" + std::to_string(m_impl->acceptor.local_endpoint().port());
}

} // namespace orioledrum
