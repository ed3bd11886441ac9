#include "scale/report.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>

namespace mosskeel::scale {
namespace {

/// Pixels.
constexpr double kChartWidth = 640;
constexpr double kChartHeight = 360;
constexpr double kLeftMargin = 90;
constexpr double kRightMargin = 150;
constexpr double kTopMargin = 40;
constexpr double kBottomMargin = 50;
constexpr int kGridIntervals = 4;
constexpr const char* kColours[] = {"#1b6ca8", "#c8553d", "#2f855a", "#8a5a9e", "#b7791f", "#555555"};

std::string axis_number(double number) {
  auto magnitude = std::abs(number);
  bool is_plain = magnitude >= 100 && magnitude < 1e6;
  char text[32];
  snprintf(text, sizeof text, is_plain ? "%.0f" : "%.3g", number);
  return text;
}

/// Maps values to pixels.
struct Scale {
  double largest_x = 0;
  double largest_y = 0;

  explicit Scale(const std::vector<Curve>& curves) {
    for (const auto& curve : curves) {
      for (const auto& point : curve.points) {
        largest_x = std::max(largest_x, point.x);
        largest_y = std::max(largest_y, point.y);
      }
    }
    if (largest_x <= 0)
      largest_x = 1;
    if (largest_y <= 0)
      largest_y = 1;
  }
  double x(double value) const { return kLeftMargin + value / largest_x * (kChartWidth - kLeftMargin - kRightMargin); }
  double y(double value) const {
    return kChartHeight - kBottomMargin - value / largest_y * (kChartHeight - kTopMargin - kBottomMargin);
  }
};

void write_grid(std::ostream& out, const Scale& scale) {
  for (int line = 0; line <= kGridIntervals; ++line) {
    auto x_value = scale.largest_x * line / kGridIntervals;
    auto y_value = scale.largest_y * line / kGridIntervals;
    auto line_y = scale.y(y_value);
    out << "<line x1='" << kLeftMargin << "' x2='" << kChartWidth - kRightMargin << "' y1='" << line_y << "' y2='"
        << line_y << "' stroke='#ddd'/>\n";
    out << "<text x='" << kLeftMargin - 6 << "' y='" << line_y + 4 << "' text-anchor='end'>" << axis_number(y_value)
        << "</text>\n";
    out << "<text x='" << scale.x(x_value) << "' y='" << kChartHeight - kBottomMargin + 16 << "' text-anchor='middle'>"
        << axis_number(x_value) << "</text>\n";
  }
}

void write_labels(std::ostream& out, const ChartLabels& labels) {
  auto middle_x = (kLeftMargin + kChartWidth - kRightMargin) / 2;
  auto middle_y = (kTopMargin + kChartHeight - kBottomMargin) / 2;
  out << "<text x='" << middle_x << "' y='" << kChartHeight - 10 << "' text-anchor='middle'>" << labels.x_axis
      << "</text>\n";
  out << "<text x='14' y='" << middle_y << "' text-anchor='middle' transform='rotate(-90 14 " << middle_y << ")'>"
      << labels.y_axis << "</text>\n";
}

void write_curve(std::ostream& out, const Scale& scale, const Curve& curve, size_t number) {
  auto* colour = kColours[number % std::size(kColours)];
  out << "<polyline fill='none' stroke='" << colour << "' stroke-width='2' points='";
  for (const auto& point : curve.points)
    out << scale.x(point.x) << "," << scale.y(point.y) << " ";
  out << "'/>\n";
  for (const auto& point : curve.points) {
    out << "<circle cx='" << scale.x(point.x) << "' cy='" << scale.y(point.y) << "' r='3' fill='" << colour << "'/>\n";
  }
  out << "<text x='" << kChartWidth - kRightMargin + 10 << "' y='" << kTopMargin + 16 * static_cast<double>(number + 1)
      << "' fill='" << colour << "'>" << curve.label << "</text>\n";
}

}  // namespace

LinearFit fit_line(const Points& points) {
  auto count = static_cast<double>(points.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  auto determinant = count * sum_xx - sum_x * sum_x;
  LinearFit fit;
  if (determinant > 0)
    fit.slope = (count * sum_xy - sum_x * sum_y) / determinant;
  if (count > 0)
    fit.base = (sum_y - fit.slope * sum_x) / count;
  for (const auto& [x, y] : points)
    fit.largest_distance = std::max(fit.largest_distance, std::abs(y - fit.base - fit.slope * x));
  return fit;
}

Points points_of(const std::vector<Measurement>& measurements, const std::string& experiment,
                 const std::string& figure) {
  Points points;
  for (const auto& measurement : measurements) {
    if (measurement.experiment != experiment)
      continue;
    for (auto* figures : {&measurement.counts, &measurement.times}) {
      auto found = figures->find(figure);
      if (found != figures->end())
        points.push_back({.x = measurement.size, .y = found->second});
    }
  }
  std::sort(points.begin(), points.end());
  return points;
}

void write_csv(const std::string& file, const std::vector<Measurement>& measurements, FigureKind kind) {
  struct Key {
    std::string experiment;
    double size;
    std::string figure;
    auto operator<=>(const Key&) const = default;
  };
  std::map<Key, std::vector<double>> values_of_seeds;
  for (const auto& measurement : measurements) {
    const auto& figures = kind == FigureKind::times ? measurement.times : measurement.counts;
    for (const auto& [figure, value] : figures) {
      Key key{.experiment = measurement.experiment, .size = measurement.size, .figure = figure};
      values_of_seeds[key].push_back(value);
    }
  }
  std::ofstream out(file);
  out << "experiment,size,figure,seeds,least,most\n";
  for (const auto& [key, values] : values_of_seeds) {
    auto [least, most] = std::minmax_element(values.begin(), values.end());
    if (*least == 0 && *most == 0)
      continue;
    out << key.experiment << "," << key.size << "," << key.figure << "," << values.size() << "," << *least << ","
        << *most << "\n";
  }
}

void write_svg(const std::string& file, const ChartLabels& labels, const std::vector<Curve>& curves) {
  Scale scale(curves);
  std::ofstream out(file);
  out.precision(5);
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kChartWidth << "' height='" << kChartHeight
      << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' fill='white'/>\n";
  out << "<text x='" << kLeftMargin << "' y='20' font-size='14'>" << labels.title << "</text>\n";
  write_grid(out, scale);
  write_labels(out, labels);
  for (size_t number = 0; number < curves.size(); ++number)
    write_curve(out, scale, curves[number], number);
  out << "</svg>\n";
}

}  // namespace mosskeel::scale
