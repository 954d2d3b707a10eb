// INI files with faults that name file, line and field. Fields are taken out one by one, so that what remains
// at the end is unknown to the program.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing {

struct IniValue {
    std::string text_;
    int line_ = 0;
};

struct IniFile {
    std::string path_;
    std::map<std::string, IniValue> values_; ///< Key is "section.field".
    std::vector<std::string> faults_;
};

/// Reads the whole file. Faults of syntax are collected in faults_. Errors: Invalid when it cannot be read.
Result<IniFile> readIniFile(const std::string& path);

/// Adds a fault of the form "file:line: field: reason"; a line of 0 is left out.
void addFault(IniFile&, int line, const std::string& field, const std::string& reason);

/// Takes a field out of the file. An absent or empty field is a fault if it is required.
std::optional<IniValue> takeValue(IniFile&, const std::string& key, bool required);

std::string takeText(IniFile&, const std::string& key, bool required = true);

/// Takes "ip:port".
Address takeAddress(IniFile&, const std::string& key);

/// All faults, one a line.
std::string faultText(const IniFile&);

/// Text without blanks at both ends.
std::string trimmed(std::string text);

} // namespace turmericwing
