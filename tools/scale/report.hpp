#pragma once
// Writes measurements as CSV and curves as SVG, and fits a straight line through points.
#include "scale/experiments.hpp"

namespace mosskeel::scale {

struct Point {
  double x = 0;
  double y = 0;
  auto operator<=>(const Point&) const = default;
};
using Points = std::vector<Point>;

struct Curve {
  std::string label;
  Points points;
};

/// The line `y = base + slope * x` by least squares.
struct LinearFit {
  double base = 0;
  double slope = 0;
  /// The largest distance of a point from the line, in y.
  double largest_distance = 0;
};
LinearFit fit_line(const Points& points);

/// One line a figure and size, with the smallest and the largest value of all seeds. Figures that are always 0 are
/// left out.
enum class FigureKind { counts, times };
void write_csv(const std::string& file, const std::vector<Measurement>& measurements, FigureKind kind);

struct ChartLabels {
  std::string title;
  std::string x_axis;
  std::string y_axis;
};
void write_svg(const std::string& file, const ChartLabels& labels, const std::vector<Curve>& curves);

/// The points (size, figure) of one experiment, all seeds, sorted.
Points points_of(const std::vector<Measurement>& measurements, const std::string& experiment,
                 const std::string& figure);

}  // namespace mosskeel::scale
