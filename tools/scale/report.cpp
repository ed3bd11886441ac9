#include "scale/report.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>

namespace mosskeel::scale {
namespace {

constexpr double width = 640, height = 360, left = 90, right = 150, top = 40, bottom = 50;
const char* const colours[] = {"#1b6ca8", "#c8553d", "#2f855a", "#8a5a9e", "#b7791f", "#555555"};

std::string number(double x) {
  char s[32];
  snprintf(s, sizeof s, std::abs(x) >= 1e6 ? "%.3g" : std::abs(x) >= 100 ? "%.0f" : "%.3g", x);
  return s;
}

}  // namespace

Fit fit(const std::vector<std::pair<double, double>>& v) {
  double n = static_cast<double>(v.size()), sx = 0, sy = 0, sxx = 0, sxy = 0;
  for (auto& [x, y] : v)
    sx += x, sy += y, sxx += x * x, sxy += x * y;
  auto d = n * sxx - sx * sx;
  Fit f;
  f.slope = d > 0 ? (n * sxy - sx * sy) / d : 0;
  f.base = n > 0 ? (sy - f.slope * sx) / n : 0;
  for (auto& [x, y] : v)
    f.off = std::max(f.off, std::abs(y - f.base - f.slope * x));
  return f;
}

std::vector<std::pair<double, double>> points(const std::vector<Row>& rows, const std::string& what,
                                              const std::string& figure) {
  std::vector<std::pair<double, double>> v;
  for (auto& r : rows) {
    if (r.what != what)
      continue;
    for (auto* m : {&r.counts, &r.times})
      if (auto i = m->find(figure); i != m->end())
        v.push_back({r.size, i->second});
  }
  std::sort(v.begin(), v.end());
  return v;
}

void write_csv(const std::string& file, const std::vector<Row>& rows, bool times) {
  std::map<std::tuple<std::string, double, std::string>, std::vector<double>> v;
  for (auto& r : rows)
    for (auto& [k, x] : times ? r.times : r.counts)
      v[{r.what, r.size, k}].push_back(x);
  std::ofstream o(file);
  o << "experiment,size,figure,seeds,least,most\n";
  for (auto& [k, x] : v) {
    auto [least, most] = std::minmax_element(x.begin(), x.end());
    if (*least == 0 && *most == 0)
      continue;
    o << std::get<0>(k) << "," << std::get<1>(k) << "," << std::get<2>(k) << "," << x.size() << "," << *least << ","
      << *most << "\n";
  }
}

void write_svg(const std::string& file, const std::string& title, const std::string& x, const std::string& y,
               const std::vector<Curve>& curves) {
  double mx = 0, my = 0;
  for (auto& c : curves)
    for (auto& [a, b] : c.points)
      mx = std::max(mx, a), my = std::max(my, b);
  if (mx <= 0)
    mx = 1;
  if (my <= 0)
    my = 1;
  auto px = [&](double a) {
    return left + a / mx * (width - left - right);
  };
  auto py = [&](double b) {
    return height - bottom - b / my * (height - top - bottom);
  };
  std::ofstream o(file);
  o.precision(5);
  o << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
    << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' fill='white'/>\n";
  o << "<text x='" << left << "' y='20' font-size='14'>" << title << "</text>\n";
  for (int i = 0; i <= 4; ++i) {
    auto a = mx * i / 4, b = my * i / 4;
    o << "<line x1='" << left << "' x2='" << width - right << "' y1='" << py(b) << "' y2='" << py(b)
      << "' stroke='#ddd'/>\n<text x='" << left - 6 << "' y='" << py(b) + 4 << "' text-anchor='end'>" << number(b)
      << "</text>\n<text x='" << px(a) << "' y='" << height - bottom + 16 << "' text-anchor='middle'>" << number(a)
      << "</text>\n";
  }
  o << "<text x='" << (left + width - right) / 2 << "' y='" << height - 10 << "' text-anchor='middle'>" << x
    << "</text>\n<text x='14' y='" << (top + height - bottom) / 2 << "' text-anchor='middle' transform='rotate(-90 14 "
    << (top + height - bottom) / 2 << ")'>" << y << "</text>\n";
  for (size_t i = 0; i < curves.size(); ++i) {
    auto* c = colours[i % std::size(colours)];
    o << "<polyline fill='none' stroke='" << c << "' stroke-width='2' points='";
    for (auto& [a, b] : curves[i].points)
      o << px(a) << "," << py(b) << " ";
    o << "'/>\n";
    for (auto& [a, b] : curves[i].points)
      o << "<circle cx='" << px(a) << "' cy='" << py(b) << "' r='3' fill='" << c << "'/>\n";
    o << "<text x='" << width - right + 10 << "' y='" << top + 16 * static_cast<double>(i + 1) << "' fill='" << c
      << "'>" << curves[i].label << "</text>\n";
  }
  o << "</svg>\n";
}

}  // namespace mosskeel::scale
