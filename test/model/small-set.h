// A minimal valid set that the model tests modify, and helpers for it.
#pragma once

#include "turmericwing/model/parse.h"

#include <string>

namespace turmericwing::model {

inline const std::string smallSet = R"([region amman]
[failure-domain amman-a]
region = amman
[service orders]
version = orders-v1
typical-ms = 50
[version orders-v1]
service = orders
[upstream orders-1]
service = orders
version = orders-v1
failure-domain = amman-a
address = 127.0.0.1:9001
slots = 3
connections = 400
[route orders-create]
service = orders
path = /create
methods = POST, GET
timeout-ms = 2000
max-body-bytes = 65536
[workspace petra]
region = amman
rate = 12.5
burst = 20
[key petra-1]
workspace = petra
sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
[client-blocks jordan]
region = amman
block = 10.1.0.0/16
block = 10.0.0.0/8
)";

/// Returns the faults of `base` and an additional source "add.ini" with `text`, one per line.
inline std::string faultsOf(const std::string& text, const std::string& base = smallSet)
{
    std::string out;
    for (const auto& fault : parseSet({ { "base.ini", base }, { "add.ini", text } }).faults_)
        out += toString(fault) + "\n";
    return out;
}

/// Returns `text` with the first occurrence of `from`, which it must contain, replaced by `to`.
inline std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace turmericwing::model
