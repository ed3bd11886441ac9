#include "unit/storage/data_folder.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>

namespace mosskeel::test {

std::string DataFolder::create() {
  std::string name_template = std::filesystem::temp_directory_path() / "mosskeel-disk-XXXXXX";
  return ::mkdtemp(name_template.data());
}

std::shared_ptr<Disk> DataFolder::open(DiskCalls calls) const {
  auto disk = Disk::open(path, kNewIdentity, std::move(calls));
  INFO((disk.ok() ? "" : to_string(disk.errors())));
  REQUIRE(disk.ok());
  return disk.value();
}

std::string DataFolder::last_file(const std::string& prefix) const {
  auto paths = files(prefix);
  return paths.empty() ? "" : paths.back();
}

std::vector<std::string> DataFolder::files(const std::string& prefix) const {
  std::vector<std::string> paths;
  for (const auto& entry : std::filesystem::directory_iterator(path)) {
    if (entry.path().filename().string().starts_with(prefix))
      paths.push_back(entry.path().string());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

size_t DataFolder::used_bytes() const {
  size_t sum = 0;
  for (const auto& entry : std::filesystem::directory_iterator(path))
    sum += std::filesystem::file_size(entry.path());
  return sum;
}

void damage_byte(const std::string& file, size_t offset) {
  std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
  stream.seekp(static_cast<std::streamoff>(offset));
  stream.put('#');
}

std::string numbered_record(int number) {
  return "record " + std::to_string(number);
}

void append_records(const DataFolder& folder, int count, int first) {
  auto disk = folder.open();
  for (int number = first; number < first + count; ++number)
    REQUIRE(disk->append({numbered_record(number)}));
  REQUIRE(disk->sync());
}

}  // namespace mosskeel::test
