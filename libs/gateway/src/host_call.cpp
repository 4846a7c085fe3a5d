#include <host_call.h>

#include <utility>

namespace orioledrum
{

http_call makeHostCall(const std::string &address, const std::string &path, std::string message, std::chrono::milliseconds timeout)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + address + path;
    call.headers = {{"Content-Type", "application/msgpack"}};
    call.body = std::move(message);
    call.timeout = timeout;
    return call;
}

} // namespace orioledrum
