#include "amaranthhall/bench/report.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <vector>

namespace amaranthhall::bench {

namespace {

    using Json = nlohmann::json;

    /// A figure of a result and where it lies.
    struct Figure {
        const char* title;
        const char* pointer;
    };

    constexpr std::array<Figure, 17> figures { {
        { "lost", "/lost" },
        { "doubled", "/doubled" },
        { "mixed", "/mixed" },
        { "stale reads", "/stale_reads" },
        { "false \"not run\"", "/false_not_run" },
        { "writes acknowledged", "/acknowledged" },
        { "writes refused (not run)", "/refused" },
        { "writes of unknown outcome", "/unknown" },
        { "reads served", "/reads_served" },
        { "reads refused", "/reads_refused" },
        { "reads by replicas (share)", "/replica_read_share" },
        { "failover gap p50 (ms)", "/failover_gap_ms/p50" },
        { "failover gap p99 (ms)", "/failover_gap_ms/p99" },
        { "write latency p50 (ms)", "/write_latency_ms/p50" },
        { "write latency p99 (ms)", "/write_latency_ms/p99" },
        { "read latency p50 (ms)", "/read_latency_ms/p50" },
        { "read latency p99 (ms)", "/read_latency_ms/p99" },
    } };

    Json find(const Json& result, const char* pointer)
    {
        return result.value(Json::json_pointer(pointer), Json());
    }

    std::string showNumber(const Json& value)
    {
        if (!value.is_number())
            return "-";
        if (value.is_number_integer())
            return value.dump();
        std::ostringstream text;
        text.precision(4);
        text << value.get<double>();
        return text.str();
    }

    std::string heading(const Json& result)
    {
        return result.value("experiment", "") + ", profile " + result.value("profile", "") + ", seed " + std::to_string(result.value("seed", 0));
    }

    constexpr int plotWidth = 900;
    constexpr int plotHeight = 260;
    constexpr int margin = 40;

    /// One curve of the plot.
    struct Curve {
        const char* field;
        const char* colour;
    };

    constexpr std::array<Curve, 4> curves { { { "acknowledged", "#1b7837" }, { "reads", "#2166ac" }, { "refused", "#d6604d" }, { "unknown", "#762a83" } } };

    double highest(const Json& timeline)
    {
        double most = 1;
        for (const auto& second : timeline) {
            for (const auto& curve : curves)
                most = std::max(most, second.value(curve.field, 0.0));
        }
        return most;
    }

    std::string drawCurve(const Json& timeline, const Curve& curve, double most, double width)
    {
        std::ostringstream points;
        for (std::size_t i = 0; i < timeline.size(); ++i) {
            const auto x = margin + width * static_cast<double>(i);
            const auto y = plotHeight - margin - timeline[i].value(curve.field, 0.0) / most * (plotHeight - 2 * margin);
            points << x << ',' << y << ' ';
        }
        return "<polyline fill=\"none\" stroke=\"" + std::string(curve.colour) + "\" stroke-width=\"1.5\" points=\"" + points.str() + "\"/>\n";
    }

}

std::string summarize(const Json& result)
{
    std::ostringstream text;
    text << heading(result) << '\n';
    for (const auto& figure : figures)
        text << "  " << figure.title << ": " << showNumber(find(result, figure.pointer)) << '\n';
    for (const auto& use : result.value("connections", Json::array())) {
        if (use.value("most", 0) > use.value("limit", 0))
            text << "  OVER THE LIMIT: " << use.dump() << '\n';
    }
    return text.str();
}

std::string writeReport(const Json& result)
{
    std::ostringstream text;
    text << "# " << heading(result) << "\n\n![operations a second](timeline.svg)\n\n| figure | value |\n|---|---|\n";
    for (const auto& figure : figures)
        text << "| " << figure.title << " | " << showNumber(find(result, figure.pointer)) << " |\n";
    text << "\n| second | fault | gap (ms) |\n|---|---|---|\n";
    for (const auto& fault : result.value("faults", Json::array()))
        text << "| " << showNumber(find(fault, "/second")) << " | " << fault.value("what", "") << " | " << showNumber(find(fault, "/gap_ms")) << " |\n";
    text << "\n| upstream | most connections | limit |\n|---|---|---|\n";
    for (const auto& use : result.value("connections", Json::array()))
        text << "| " << use.value("upstream", "") << " | " << use.value("most", 0) << " | " << use.value("limit", 0) << " |\n";
    return text.str();
}

std::string plotTimeline(const Json& result)
{
    const auto timeline = result.value("timeline", Json::array());
    const auto most = highest(timeline);
    const auto width = static_cast<double>(plotWidth - 2 * margin) / std::max<double>(1, static_cast<double>(timeline.size()) - 1);
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plotWidth << "\" height=\"" << plotHeight << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"" << margin << "\" y=\"16\">" << heading(result) << ": operations a second, at most " << most << "</text>\n";
    for (const auto& fault : result.value("faults", Json::array())) {
        const auto x = margin + width * fault.value("second", 0.0);
        svg << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"" << margin << "\" y2=\"" << plotHeight - margin << "\" stroke=\"#bbbbbb\" stroke-dasharray=\"3 3\"><title>" << fault.value("what", "") << "</title></line>\n";
    }
    double legend = margin;
    for (const auto& curve : curves) {
        svg << drawCurve(timeline, curve, most, width);
        svg << "<text x=\"" << legend << "\" y=\"" << plotHeight - 10 << "\" fill=\"" << curve.colour << "\">" << curve.field << "</text>\n";
        legend += 110;
    }
    svg << "</svg>\n";
    return svg.str();
}

std::string compareResults(const Json& first, const Json& second)
{
    std::ostringstream text;
    text << "A: " << heading(first) << "\nB: " << heading(second) << "\n\n| figure | A | B | B/A |\n|---|---|---|---|\n";
    for (const auto& figure : figures) {
        const auto a = find(first, figure.pointer);
        const auto b = find(second, figure.pointer);
        const bool hasRatio = a.is_number() && b.is_number() && a.get<double>() != 0;
        text << "| " << figure.title << " | " << showNumber(a) << " | " << showNumber(b) << " | " << (hasRatio ? showNumber(b.get<double>() / a.get<double>()) : "-") << " |\n";
    }
    return text.str();
}

}
