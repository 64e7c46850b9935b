#include "plot.h"

#include <array>
#include <cmath>
#include <fstream>

namespace Anvilcart
{
namespace
{
constexpr double Width = 720;
constexpr double Height = 420;
constexpr double Margin = 50;
constexpr double HighestX = 1.6;
constexpr double HighestY = 100;
constexpr std::array Colours = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad"};
constexpr std::array GridLines = {1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0};

double pixelX(double x)
{
    return Margin + x / HighestX * (Width - 2 * Margin);
}

double pixelY(double y)
{
    return Height - Margin - std::log(y) / std::log(HighestY) * (Height - 2 * Margin);
}

void writeText(std::ostream &out, double x, double y, const std::string &text, const std::string &colour = "#333")
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" fill=\"" << colour << "\" font-family=\"sans-serif\" font-size=\"12\">" << text
        << "</text>\n";
}
} // namespace

Plot::Plot(std::string title)
    : m_title(std::move(title))
{
}

void Plot::add(const std::string &series, double x, double y)
{
    m_series[series].emplace_back(x, y);
}

void Plot::write(const std::string &file) const
{
    std::ofstream out(file);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << Height << "\">\n";
    writeText(out, Margin, Margin / 2, m_title);
    for (const auto y : GridLines) {
        out << "<line x1=\"" << Margin << "\" x2=\"" << Width - Margin << "\" y1=\"" << pixelY(y) << "\" y2=\"" << pixelY(y)
            << "\" stroke=\"#ddd\"/>\n";
        writeText(out, Margin / 3, pixelY(y) + 4, std::to_string(static_cast<int>(y)));
    }
    std::size_t index = 0;
    for (const auto &[name, points] : m_series) {
        const std::string colour = Colours[index % Colours.size()];
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"2\" points=\"";
        for (const auto &[x, y] : points) {
            out << pixelX(x) << "," << pixelY(y) << " ";
        }
        out << "\"/>\n";
        for (const auto &[x, y] : points) {
            writeText(out, pixelX(x) - 10, Height - Margin / 2, std::to_string(x).substr(0, 4));
        }
        writeText(out, Margin + 10, Margin + 16 * static_cast<double>(++index), name, colour);
    }
    out << "</svg>\n";
}
} // namespace Anvilcart
