#include "tests/fakes/call_history.h"

#include <algorithm>
#include <sstream>

namespace orioledrum
{

void call_history::add(const group_id &group, const std::string &process, duration begin, duration end, double share)
{
    m_calls[group].push_back({process, begin, end, share});
}

std::string call_history::firstOverlap() const
{
    struct usage {
        duration leaseEnd{};
        duration shareEnd{};
        double share = 0;
    };
    for (const auto &[group, recorded] : m_calls) {
        std::vector<call> calls = recorded;
        std::stable_sort(calls.begin(), calls.end(), [](const call &left, const call &right) { return left.begin < right.begin; });
        std::map<std::string, usage> usages;
        for (const call &next : calls) {
            double total = next.share;
            std::ostringstream text;
            for (const auto &[process, used] : usages) {
                if (process == next.process) {
                    continue;
                }
                const double share = next.begin < used.leaseEnd ? 1.0 : (next.begin < used.shareEnd ? used.share : 0.0);
                if (share > 0) {
                    total += share;
                    text << process << " (" << share << ", until " << std::max(used.leaseEnd, used.shareEnd).count() / 1000000 << " ms) ";
                }
            }
            if (total > 1.0001) {
                text << "overlap a call of " << next.process << " (" << next.share << ") at " << next.begin.count() / 1000000 << " ms for "
                     << group;
                return text.str();
            }
            usage &senderUsage = usages[next.process];
            if (next.share >= 1) {
                senderUsage.leaseEnd = std::max(senderUsage.leaseEnd, next.end);
            } else {
                senderUsage.share = next.begin < senderUsage.shareEnd ? std::max(senderUsage.share, next.share) : next.share;
                senderUsage.shareEnd = std::max(senderUsage.shareEnd, next.end);
            }
        }
    }
    return {};
}

std::size_t call_history::size() const
{
    std::size_t count = 0;
    for (const auto &[group, calls] : m_calls) {
        count += calls.size();
    }
    return count;
}

} // namespace orioledrum
