#include "timeline.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>
#include <string_view>

namespace orioledrum
{

namespace
{

// Lengths are in pixels.
constexpr int leftMargin = 160;
constexpr int topMargin = 40;
constexpr int plotWidth = 1200;
constexpr int rowHeight = 90;
constexpr int labelLevels = 5; ///< Labels of consecutive events of a host are spread over this many lines.
constexpr int labelStep = 13; ///< Height of a line of labels.
constexpr int tickCount = 6;
/// With more events the labels would overlap and are left out; the tooltip of each event still shows its kind.
constexpr std::size_t maxLabels = 200;

std::string escaped(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        switch (character) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            // XML forbids control characters even when they are escaped.
            result += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
        }
    }
    return result;
}

std::string_view colour(std::string_view kind)
{
    static const std::map<std::string_view, std::string_view> colours{
        {"attemptFailed", "#c62828"},
        {"requestRefused", "#c62828"},
        {"configRejected", "#c62828"},
        {"leaseLost", "#c62828"},
        {"peerDown", "#c62828"},
        {"pauseDetected", "#c62828"},
        {"hedgeSent", "#ef6c00"},
        {"retrySent", "#ef6c00"},
        {"searchFinished", "#2e7d32"},
        {"orderFinished", "#2e7d32"},
        {"leaseAcquired", "#6a1b9a"},
        {"leaseReleased", "#6a1b9a"},
        {"configApplied", "#6a1b9a"},
        {"hostListApplied", "#6a1b9a"},
        {"platform.contactLost", "#c62828"},
        {"platform.contactRegained", "#2e7d32"},
        {"platform.backendServerGone", "#ef6c00"},
        {"platform.routesInForce", "#6a1b9a"},
        {"platform.zonesOut", "#6a1b9a"},
        {"probe.backendServerSilent", "#c62828"},
        {"probe.backendServerAnswers", "#2e7d32"},
        {"status.notReady", "#c62828"},
        {"status.ready", "#2e7d32"},
    };
    const auto found = colours.find(kind);
    return found == colours.end() ? "#1565c0" : found->second;
}

} // namespace

std::string timelineSvg(const std::vector<timeline_entry> &entries)
{
    std::map<std::string, int> rows;
    for (const auto &entry : entries) {
        rows.emplace(entry.host, 0);
    }
    int nextRow = 0;
    for (auto &[host, row] : rows) {
        row = nextRow++;
    }
    const auto startUs = entries.empty() ? 0 : entries.front().wallTimeUs;
    const auto spanUs = entries.empty() ? 1 : std::max<std::int64_t>(entries.back().wallTimeUs - startUs, 1);
    const int height = topMargin + std::max(nextRow, 1) * rowHeight + 30;

    std::ostringstream svg;
    svg << std::fixed << std::setprecision(1);
    svg << R"(<svg xmlns="http://www.w3.org/2000/svg" font-family="sans-serif" font-size="11" width=")" << leftMargin + plotWidth + 140
        << "\" height=\"" << height << "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    svg << "<text x=\"10\" y=\"18\">" << (entries.empty() ? "no events" : "from " + formatWallTime(startUs)) << "</text>\n";
    for (int tick = 0; tick <= tickCount; ++tick) {
        const int x = leftMargin + plotWidth * tick / tickCount;
        svg << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"" << topMargin - 6 << "\" y2=\"" << height - 20
            << "\" stroke=\"#dddddd\"/>\n<text x=\"" << x << "\" y=\"" << height - 6 << "\" text-anchor=\"middle\">+"
            << static_cast<double>(spanUs) * tick / tickCount / 1000 << " ms</text>\n";
    }
    for (const auto &[host, row] : rows) {
        const int y = topMargin + row * rowHeight + 10;
        svg << "<text x=\"10\" y=\"" << y + 4 << "\" font-weight=\"bold\">" << escaped(host) << "</text>\n<line x1=\"" << leftMargin
            << "\" x2=\"" << leftMargin + plotWidth << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"#888888\"/>\n";
    }
    std::map<std::string, int> labelCounts;
    for (const auto &entry : entries) {
        const double x = leftMargin + plotWidth * (static_cast<double>(entry.wallTimeUs - startUs) / static_cast<double>(spanUs));
        const int y = topMargin + rows.at(entry.host) * rowHeight + 10;
        svg << "<g><title>" << formatWallTime(entry.wallTimeUs) << ' ' << escaped(entry.kind) << ' ' << escaped(entry.request) << ' '
            << escaped(entry.peer) << ' ' << escaped(entry.detail) << "</title><circle cx=\"" << x << "\" cy=\"" << y
            << "\" r=\"4\" fill=\"" << colour(entry.kind) << "\"/>";
        if (entries.size() <= maxLabels) {
            const int level = labelCounts[entry.host]++ % labelLevels;
            svg << "<text x=\"" << x + 2 << "\" y=\"" << y + 16 + level * labelStep << "\" fill=\"" << colour(entry.kind) << "\">"
                << escaped(entry.kind) << "</text>";
        }
        svg << "</g>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace orioledrum
