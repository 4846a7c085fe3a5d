#include <standin/process.h>

#include <sys/resource.h>

namespace orioledrum::standin
{

void raiseOpenFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace orioledrum::standin
