#include <algorithm>
#include <iomanip>
#include <sstream>

#include "load/report.h"

namespace poplarshed::load {

namespace {

constexpr double plot_width = 640;
constexpr double plot_height = 220;
constexpr double margin = 40;

/// One line of a plot.
struct series {
    std::string name;
    std::string colour;
    std::vector<double> values;
};

std::string escape(const std::string& text)
{
    std::string safe;
    for (const char symbol : text) {
        switch (symbol) {
            case '<':
                safe += "&lt;";
                break;
            case '>':
                safe += "&gt;";
                break;
            case '&':
                safe += "&amp;";
                break;
            default:
                safe += symbol;
        }
    }
    return safe;
}

double greatest(const std::vector<series>& lines)
{
    double top = 0;
    for (const series& line : lines) {
        for (const double value : line.values) {
            top = std::max(top, value);
        }
    }
    return top > 0 ? top : 1;
}

void write_line(std::ostream& out, const series& line, double top)
{
    out << "<polyline fill=\"none\" stroke=\"" << line.colour << "\" points=\"";
    const double steps = std::max<double>(1, static_cast<double>(line.values.size()) - 1);
    for (std::size_t i = 0; i < line.values.size(); ++i) {
        const double x = margin + static_cast<double>(i) / steps * (plot_width - 2 * margin);
        const double y = plot_height - margin - line.values[i] / top * (plot_height - 2 * margin);
        out << x << "," << y << " ";
    }
    out << "\"/>\n";
}

std::string plot(const std::string& title, const std::string& x_axis, const std::vector<series>& lines)
{
    const double top = greatest(lines);
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "<h2>" << escape(title) << "</h2>\n<svg width=\"" << plot_width << "\" height=\"" << plot_height
        << "\" role=\"img\">\n";
    out << "<path fill=\"none\" stroke=\"#888\" d=\"M" << margin << " " << margin << " V"
        << plot_height - margin << " H" << plot_width - margin << "\"/>\n";
    out << "<text x=\"2\" y=\"" << margin << "\">" << top << "</text><text x=\"" << plot_width / 2
        << "\" y=\"" << plot_height - 8 << "\">" << escape(x_axis) << "</text>\n";
    double legend_x = margin + 10;
    for (const series& line : lines) {
        write_line(out, line, top);
        out << "<text x=\"" << legend_x << "\" y=\"16\" fill=\"" << line.colour << "\">" << escape(line.name)
            << "</text>\n";
        legend_x += 140;
    }
    out << "</svg>\n";
    return out.str();
}

std::string timeline_plot(const run_summary& summary)
{
    std::vector<series> lines{{"sent", "#777", {}},
                              {"on time", "#06c", {}},
                              {"flood sent", "#c60", {}},
                              {"flood on time", "#c06", {}}};
    for (const timeline_second& item : summary.timeline) {
        lines[0].values.push_back(static_cast<double>(item.sent));
        lines[1].values.push_back(static_cast<double>(item.on_time));
        lines[2].values.push_back(static_cast<double>(item.flood_sent));
        lines[3].values.push_back(static_cast<double>(item.flood_on_time));
    }
    return plot("Tasks per second", "seconds from the start, by intended send time", lines);
}

std::string reasons(const kind_summary& item)
{
    std::ostringstream out;
    for (const auto* counts : {&item.failed_by_reason, &item.refused_by_reason, &item.no_answer_by_reason}) {
        for (const auto& [reason, count] : *counts) {
            out << escape(reason) << " " << count << "<br>";
        }
    }
    return out.str();
}

void write_kind(std::ostream& out, const kind_summary& item)
{
    out << "<tr><td>" << escape(item.name) << "</td><td>" << item.sent << "</td><td>" << item.complete
        << "</td><td>" << item.on_time << "</td><td>" << item.failed << "</td><td>" << item.refused
        << "</td><td>" << item.no_answer << "</td><td>" << item.wrong << "</td><td>"
        << item.on_time_tasks_per_s << "</td><td>" << item.response_ms.p50 << " / " << item.response_ms.p99
        << "</td><td>" << item.stretch.p50 << " / " << item.stretch.p99 << "</td><td>" << reasons(item)
        << "</td></tr>\n";
}

}  // namespace

std::string to_html(const run_summary& summary)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    out << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>" << escape(summary.scenario)
        << "</title>\n<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:right;"
           "border-bottom:1px solid #ccc}svg text{font-size:12px}</style>\n";
    out << "<h1>" << escape(summary.scenario) << ", seed " << summary.seed << "</h1>\n<pre>"
        << escape(to_text(summary)) << "</pre>\n";
    out << "<table><tr><th>kind</th><th>sent</th><th>complete</th><th>on "
           "time</th><th>failed</th><th>refused</th>"
           "<th>no answer</th><th>wrong</th><th>on-time tasks/s</th><th>response ms p50 / p99</th>"
           "<th>stretch p50 / p99</th><th>reasons</th></tr>\n";
    for (const kind_summary& item : summary.kinds) {
        write_kind(out, item);
    }
    write_kind(out, summary.other_work);
    out << "</table>\n"
        << timeline_plot(summary)
        << plot("Stretch of other work", "percentile of complete jobs",
                {{"stretch", "#06c", summary.stretch_curve}});
    out << "</html>\n";
    return out.str();
}

}  // namespace poplarshed::load
