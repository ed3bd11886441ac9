#include "soak/run_report.hpp"

#include <algorithm>
#include <cstdio>

namespace mosskeel::soak {

namespace {

constexpr const char* kClassNames[] = {"core", "storage", "front"};
constexpr double kBytesPerMegabyte = 1 << 20;

/// In pixels.
constexpr double kPlotWidth = 900;
constexpr double kPlotHeight = 300;
constexpr double kPlotMargin = 50;
constexpr const char* kColours[] = {"#1f77b4", "#d62728", "#2ca02c"};

/// The value below which this share of the sorted values lies.
Duration percentile(const std::vector<Duration>& sorted, double share) {
  auto index = static_cast<size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

double megabytes(size_t bytes) {
  return static_cast<double>(bytes) / kBytesPerMegabyte;
}

}  // namespace

void RunReport::on_attempt_over(const platform_stub::AttemptReport& report) {
  if (report.is_complete && report.status == 200)
    latencies_[report.route].push_back(report.ended_at - report.sent_at);
}

void RunReport::sample(Machines& machines) {
  Sample sample;
  sample.seconds = record_.seconds(monotonic_now());
  for (size_t index = 0; index < std::size(kMachineClasses); ++index) {
    sample.resident_bytes[index] = machines.resident_bytes(kMachineClasses[index]);
    sample.descriptors[index] = machines.open_descriptors(kMachineClasses[index]);
  }
  samples_.push_back(sample);
}

void RunReport::print() const {
  printf("latency of served attempts in ms: route, count, half, 9 of 10, 99 of 100, longest\n");
  for (auto [route, latencies] : latencies_) {
    std::sort(latencies.begin(), latencies.end());
    printf("  %-8s %6zu %6lld %6lld %6lld %6lld\n", route.c_str(), latencies.size(),
           static_cast<long long>(percentile(latencies, 0.5).count()),
           static_cast<long long>(percentile(latencies, 0.9).count()),
           static_cast<long long>(percentile(latencies, 0.99).count()),
           static_cast<long long>(latencies.back().count()));
  }
  if (samples_.empty())
    return;
  printf("all machines of a class: MiB at the begin, at the end, at most; descriptors at the end\n");
  for (size_t index = 0; index < std::size(kMachineClasses); ++index) {
    size_t most = 0;
    for (const auto& sample : samples_)
      most = std::max(most, sample.resident_bytes[index]);
    printf("  %-8s %7.1f %7.1f %7.1f %6zu\n", kClassNames[index], megabytes(samples_.front().resident_bytes[index]),
           megabytes(samples_.back().resident_bytes[index]), megabytes(most), samples_.back().descriptors[index]);
  }
}

bool RunReport::plot(const std::string& path) const {
  std::ofstream file(path);
  if (!file || samples_.empty())
    return false;
  size_t most = 1;
  for (const auto& sample : samples_)
    most = std::max(most, *std::max_element(sample.resident_bytes.begin(), sample.resident_bytes.end()));
  auto duration = std::max(1.0, samples_.back().seconds);
  file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kPlotWidth + 2 * kPlotMargin << "\" height=\""
       << kPlotHeight + 2 * kPlotMargin << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
       << "<text x=\"" << kPlotMargin << "\" y=\"20\">resident memory of all machines of a class, up to "
       << static_cast<int>(megabytes(most)) << " MiB, over " << static_cast<int>(duration) << " s</text>\n";
  for (size_t index = 0; index < std::size(kMachineClasses); ++index) {
    file << "<polyline fill=\"none\" stroke=\"" << kColours[index] << "\" points=\"";
    for (const auto& sample : samples_) {
      auto share = static_cast<double>(sample.resident_bytes[index]) / static_cast<double>(most);
      file << kPlotMargin + kPlotWidth * sample.seconds / duration << "," << kPlotMargin + kPlotHeight * (1 - share)
           << " ";
    }
    file << "\"/>\n<text fill=\"" << kColours[index] << "\" x=\"" << kPlotMargin + 100.0 * static_cast<double>(index)
         << "\" y=\"" << kPlotHeight + 1.6 * kPlotMargin << "\">" << kClassNames[index] << "</text>\n";
  }
  file << "</svg>\n";
  return file.good();
}

}  // namespace mosskeel::soak
