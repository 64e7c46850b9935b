#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Anvilcart
{
/// A line chart with a logarithmic vertical axis, written as SVG. Not thread-safe.
class Plot
{
public:
    explicit Plot(std::string title);

    /// Adds a point to the named series. Precondition: y is positive.
    void add(const std::string &series, double x, double y);

    /// Writes the chart.
    void write(const std::string &file) const;

private:
    std::string m_title;
    std::map<std::string, std::vector<std::pair<double, double>>> m_series;
};
} // namespace Anvilcart
