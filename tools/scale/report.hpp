#pragma once
// Writes rows as CSV, a plot as SVG, and fits a line through points.
#include "scale/experiments.hpp"

namespace mosskeel::scale {

struct Curve {
  std::string label;
  std::vector<std::pair<double, double>> points;
};

/// `y = base + slope * x` by least squares, and the largest distance from it.
struct Fit {
  double base = 0, slope = 0, off = 0;
};
Fit fit(const std::vector<std::pair<double, double>>& v);

/// One line a figure and size, with the least and the most of all seeds; what is 0 is left out.
void write_csv(const std::string& file, const std::vector<Row>& rows, bool times);
void write_svg(const std::string& file, const std::string& title, const std::string& x, const std::string& y,
               const std::vector<Curve>& curves);
/// The points (size, figure) of one experiment, all seeds.
std::vector<std::pair<double, double>> points(const std::vector<Row>& rows, const std::string& what,
                                              const std::string& figure);

}  // namespace mosskeel::scale
