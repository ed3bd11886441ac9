#pragma once
// A temporary data folder for a test.
#include <filesystem>

#include "storage/disk.hpp"
#include "unit/catch.hpp"

namespace mosskeel::test {

/// The incarnation that a new folder gets.
inline constexpr uint64_t kNewIdentity = 42;

/// A temporary folder, removed with its content at the end of the test.
class DataFolder {
 public:
  DataFolder() : path(create()) {}
  ~DataFolder() { std::filesystem::remove_all(path); }
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  const std::string path;

  /// Opens the folder as a disk, which must succeed.
  std::shared_ptr<Disk> open(DiskCalls calls = DiskCalls::real()) const;
  /// The path of the last file, in order of names, whose name starts with `prefix`; empty if there is none.
  std::string last_file(const std::string& prefix) const;
  /// The sorted paths of all files whose names start with `prefix`.
  std::vector<std::string> files(const std::string& prefix) const;
  /// Total size of all files in bytes.
  size_t used_bytes() const;

 private:
  static std::string create();
};

/// Overwrites one byte of a file.
void damage_byte(const std::string& file, size_t offset);

/// The content of record `number`, as written by `append_records`.
std::string numbered_record(int number);
/// Opens the folder, and appends and syncs `count` records numbered from `first`.
void append_records(const DataFolder& folder, int count, int first = 0);

}  // namespace mosskeel::test
