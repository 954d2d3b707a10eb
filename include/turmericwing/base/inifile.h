// INI file parser that reports errors with file, line and field. Callers remove the fields that they know, so
// the fields that remain are unknown.
#pragma once

#include "turmericwing/base/address.h"
#include "turmericwing/base/result.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericwing {

/// Value of a field.
struct IniValue {
    std::string text_;
    int line_ = 0; ///< Starting at 1.
};

/// A parsed file and the errors found in it so far.
struct IniFile {
    std::string path_;
    std::map<std::string, IniValue> values_; ///< Fields not yet taken, by "section.field".
    std::vector<std::string> faults_; ///< Error messages, in the order in which they were found.
};

/// Reads and parses a file. Syntax errors are added to faults_. Errors: Invalid if the file cannot be read.
Result<IniFile> readIniFile(const std::string& path);

/// Adds an error message of the form "file:line: field: reason". A line of 0 is omitted.
void addFault(IniFile&, int line, const std::string& field, const std::string& reason);

/// Removes a field from values_ and returns it. Returns empty if it is absent or has no text, which is an
/// error if `required`.
std::optional<IniValue> takeValue(IniFile&, const std::string& key, bool required);

/// Like takeValue(), but returns the text, or an empty string.
std::string takeText(IniFile&, const std::string& key, bool required = true);

/// Like takeValue() for a required field "ip:port". Returns an empty address and adds an error if it is
/// absent or malformed.
Address takeAddress(IniFile&, const std::string& key);

/// All error messages, one per line.
std::string faultText(const IniFile&);

/// Returns the text without leading and trailing whitespace.
std::string trimmed(std::string text);

} // namespace turmericwing
