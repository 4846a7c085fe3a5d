#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace orioledrum
{

/// Learns from the answers of one backend server how many calls at a time it takes well, and whether it is slow compared with the other
/// backend servers of its service. Does no I/O. Not thread-safe.
///
/// Answers are judged by the medians of windows. A window is longer than twice the part of it that noise can take (spells of 0.6 s, pauses
/// of 150 ms), and its samples are spread over time, so that neither is taken for slowness. A window that takes too long to fill is
/// dropped: with less than about one call a second nothing is learned, and what was learned is forgotten with time.
class learned_limit
{
public:
    /// Shortest window: three spells of noise of 0.6 s and a pause fit in.
    static constexpr std::chrono::milliseconds minWindow{2000};
    /// Longest window. With minSamples, this is the least traffic from which anything is learned, one call a second.
    static constexpr std::chrono::milliseconds maxWindow{5000};
    static constexpr std::size_t minSamples = 5;
    /// Least time between two samples of a window: a spell of 0.6 s is then at most 2 samples, less than half of minSamples, and a pause of
    /// 150 ms is one.
    static constexpr std::chrono::milliseconds sampleInterval{300};
    /// Pace relative to the other backend servers above which one is slow. The speeds of healthy ones differ by 1.3 / 0.8 = 1.63.
    static constexpr double slowThreshold = 1.8;
    /// Samples of consecutive slow windows after which a backend server counts as slow. A window with fewer is enough when the one before
    /// had as many: the backend server gets fewer calls because it is slow. Otherwise, with little traffic, two spells in a row made one of
    /// 3,480 pairs of a host and a backend server slow.
    static constexpr std::size_t samplesToSlow = 7;
    /// Lowest limit: one call at a time can always be answered, and without any call nothing would be learned.
    static constexpr double minLimit = 1;
    /// Time for which a lowered limit does not rise without answers that speak for it: two windows.
    static constexpr std::chrono::milliseconds holdTime{4000};
    /// Rise without answers, as a share of the slots for each second after holdTime: from 1 of 2 slots in about 14 s.
    static constexpr double riseShare = 0.05;
    /// Change of the limit by one window, as a share of the slots, when the answers at the limit are as fast as expected.
    static constexpr double riseStep = 0.1;
    /// Slowness from memory above which probes are needed. Below, the random part of the choice, 10% in both directions, leads to calls.
    static constexpr double probeThreshold = 1.15;
    /// Time between two probes of a slow backend server: doubles from the first to the last value while they find it slow.
    static constexpr std::chrono::milliseconds minProbeInterval{1000};
    static constexpr std::chrono::milliseconds maxProbeInterval{4000};
    /// Calls to the service for each probe, so that probes are at most 3% of them, also on hosts with little traffic.
    static constexpr std::uint32_t callsPerProbe = 30;
    /// Probes in a row at the usual pace after which a backend server is no longer slow. Fewer could be luck.
    static constexpr std::uint32_t probesToRecover = 3;

    /// An answer, or a call that ended without one because it took too long.
    struct answer {
        /// Latency as a multiple of that of an unqueued call to the service, with work time that the backend server reports taken out.
        double latency = 1;
        double queueFactor = 1; ///< Expected value of `latency` for the load when the call was sent.
        std::uint32_t load = 1; ///< Calls at the backend server, this one included; 0 when not known.
        bool loadReported = false; ///< False when `load` counts the calls of this host only.
    };

    /// @param slots Calls that the backend server says it can run at a time.
    void answered(const answer &result, std::uint32_t slots, time_point now);
    /// Records that the backend server refused a call. @param load As answer::load.
    void refused(std::uint32_t load, std::uint32_t slots, time_point now);
    /// Forgets everything.
    void reset() { *this = learned_limit(); }

    /// @return Calls at a time that the backend server takes well, from minLimit to `slots`.
    [[nodiscard]] double limit(std::uint32_t slots, time_point now) const;

    /// @return Latency of recent answers as a multiple of what their load explains; empty when there are too few.
    [[nodiscard]] std::optional<double> pace(time_point now) const;
    /// Sets the pace of the other backend servers of the service; empty when it is not known.
    void setUsualPace(std::optional<double> pace) { m_usualPace = pace; }
    /// @return True when it is slow compared with the others.
    [[nodiscard]] bool slow() const { return m_slowness > 0; }
    /// @return Base-2 logarithm of its pace relative to that of the others; 0 unless slow().
    [[nodiscard]] double logSlowness() const { return m_slowness; }

    /// Records a work time that the backend server reports. @param slow True when it is probeThreshold times the usual one or more.
    /// When it is not, the next probe need not wait for further calls: one figure does not end what was learned from many.
    void workTimeReported(bool slow) { m_callsToProbe = slow ? callsPerProbe : 0; }
    /// Records that a call to the service was decided while this backend server seems slow.
    void passedBy() { ++m_passedBy; }
    /// @return True when a call should find out whether a backend server that seems slow still is.
    [[nodiscard]] bool probeDue(time_point now) const { return now >= m_nextProbeAt && m_passedBy >= m_callsToProbe; }
    void probeSent(time_point now);

private:
    // Samples of a window, at least sampleInterval apart.
    struct sample_list {
        std::vector<double> values;
        time_point latestAt;

        void add(double value, time_point now);
    };

    void judgeSlow(double pace, time_point now); // Takes an answer of a slow backend server.
    void addSamples(const answer &result, double pace, std::uint32_t slots, time_point now);
    void closeWindow(std::uint32_t slots, time_point now);
    void learnLimit(std::uint32_t slots, time_point now);
    void setLimit(double limit, time_point now);
    void clearWindow();

    sample_list m_paces; // Base-2 logarithms of latency / queueFactor.
    sample_list m_lightLatencies; // Base-2 logarithms of the latency at low load.
    sample_list m_capacities; // Calls at a time that the answers at the limit show.
    time_point m_windowStart;
    std::optional<double> m_limit; // Empty: the slots.
    time_point m_limitAt; // Latest change of the limit.
    std::optional<double> m_lightLatency; // Base-2 logarithm of the usual latency at low load.
    double m_pace = 0; // Base-2 logarithm; of the latest window.
    time_point m_paceUntil; // End of the time for which m_pace counts.
    std::optional<double> m_usualPace;
    std::size_t m_previousSamples = 0; // Of the previous window.
    std::size_t m_slowSamples = 0; // Of the consecutive slow windows.
    double m_slowness = 0;
    std::uint32_t m_goodProbes = 0;
    std::chrono::milliseconds m_probeInterval = minProbeInterval;
    time_point m_nextProbeAt;
    std::uint32_t m_callsToProbe = callsPerProbe;
    std::uint32_t m_passedBy = 0;
};

} // namespace orioledrum
