#pragma once
// A data folder for one test.
#include <filesystem>

#include "storage/disk.hpp"
#include "unit/catch.hpp"

namespace mosskeel::test {

/// The incarnation that a new folder gets.
inline constexpr uint64_t kNewIdentity = 42;

/// A temporary folder, removed at the end of the test with all that is in it.
class DataFolder {
 public:
  DataFolder() : path(create()) {}
  ~DataFolder() { std::filesystem::remove_all(path); }
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  const std::string path;

  /// Opens the folder as a disk, which must succeed.
  std::shared_ptr<Disk> open(DiskCalls calls = DiskCalls::real()) const;
  /// The path of the file with the greatest name that begins like this; empty where there is none.
  std::string last_file(const std::string& prefix) const;
  /// The paths of all files whose names begin like this, in order.
  std::vector<std::string> files(const std::string& prefix) const;
  /// Bytes of all files.
  size_t used_bytes() const;

 private:
  static std::string create();
};

/// Overwrites one byte of a file.
void damage_byte(const std::string& file, size_t offset);

/// Record `number` of those that `append_records` writes.
std::string numbered_record(int number);
/// Opens the folder and writes `count` synced records with the numbers from `first` on.
void append_records(const DataFolder& folder, int count, int first = 0);

}  // namespace mosskeel::test
