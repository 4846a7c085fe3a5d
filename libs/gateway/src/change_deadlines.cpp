#include <change_deadlines.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

/// The shortest wait, so that a very short bound does not make a host read the platform without a pause.
constexpr std::chrono::milliseconds minWait{100};
/// A network trip, and the event loop of a host with a quarter of a CPU core that gets none for the rest of a tenth of a second.
constexpr std::chrono::milliseconds maxAnswerTime{150};
/// Long enough that a series of changes is not read one by one.
constexpr std::chrono::milliseconds maxShortWait{100};

} // namespace

change_deadlines change_deadlines::within(std::chrono::milliseconds bound)
{
    change_deadlines result;
    result.bound = bound;
    // A third of the bound is left for a host's own read: a connection, an attempt that fails, and an answer with a configuration of 1 MB,
    // which takes 0.07 s of CPU time and so 0.3 s with a quarter of a core.
    result.ownReadAge = bound * 2 / 3;
    // The rest up to that age is the time in which a reader's late answer or the other reader makes the own read needless.
    result.wait = std::max(minWait, bound * 9 / 20);
    result.nextReaderAge = (result.wait + result.ownReadAge) / 2;
    // A reader that has just read changes confirms its state up to shortWait late; its answer has to come before the next one is asked.
    const auto third = (result.nextReaderAge - result.wait) / 3;
    result.answerTime = std::min(maxAnswerTime, third);
    result.shortWait = std::min(maxShortWait, third);
    result.ownReadInterval = bound / 6;
    result.ownReadTimeout = bound / 2;
    return result;
}

} // namespace orioledrum
