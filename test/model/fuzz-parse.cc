// Fuzzer of the object set parser. Mutates sets from a seed and checks: no crash, a position for each fault,
// equal faults for equal text, and a canonical text that parses as an equal set.
// Usage: model-fuzz SEED RUNS FILE...
#include "turmericwing/base/random.h"
#include "turmericwing/model/diff.h"
#include "turmericwing/model/parse.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

using namespace turmericwing;

namespace {

/// Returns a random number in [0, bound), or 0 if `bound` is 0.
size_t randomBelow(Random& random, size_t bound) { return bound == 0 ? 0 : random() % bound; }

/// Returns offset and size of a random line of the text, without its line feed.
std::pair<size_t, size_t> randomLine(const std::string& text, Random& random)
{
    const size_t offset = randomBelow(random, text.size());
    const size_t start = offset == 0 ? 0 : text.rfind('\n', offset - 1) + 1;
    return { start, std::min(text.find('\n', start), text.size()) - start };
}

/// Applies one random mutation.
void mutate(std::string& text, Random& random)
{
    static const char* const values[] = { "0", "-1", "1e308", "nan", "18446744073709551616", "0x10", "",
        "true", "[", "]", "=", ";", " ;", "\r", "2026-12-04T09:00:00Z", "0.0.0.0/0", "255.255.255.255/32",
        "[region x]\n", "[client-blocks x]\nregion = amman\n", "state = held\n" };
    if (text.empty())
        text = "\n";
    const auto [start, size] = randomLine(text, random);
    const auto [other, otherSize] = randomLine(text, random);
    switch (randomBelow(random, 7)) {
    case 0:
        text[randomBelow(random, text.size())] = static_cast<char>(random());
        break;
    case 1:
        text.erase(randomBelow(random, text.size()), 1 + randomBelow(random, 20));
        break;
    case 2:
        text.insert(randomBelow(random, text.size()), values[randomBelow(random, std::size(values))]);
        break;
    case 3:
        text.insert(start, text.substr(other, otherSize) + "\n");
        break;
    case 4:
        text.erase(start, std::min(size + 1, text.size() - start));
        break;
    case 5: // Replaces a value by an edge case.
        if (const size_t equals = text.find('=', start); equals < start + size)
            text.replace(
                equals + 1, start + size - equals - 1, values[randomBelow(random, std::size(values))]);
        break;
    default:
        text.insert(randomBelow(random, text.size()),
            std::string(1 + randomBelow(random, 300), static_cast<char>(random())));
    }
}

/// Writes the text to fuzz-failure.ini, reports the violated property and exits.
[[noreturn]] void reportFailure(const char* property, uint64_t seed, uint64_t run, const std::string& text)
{
    const std::string file = "fuzz-failure.ini";
    std::ofstream(file, std::ios::binary) << text;
    std::fprintf(stderr, "%s: seed %llu run %llu, text in %s\n", property,
        static_cast<unsigned long long>(seed), static_cast<unsigned long long>(run), file.c_str());
    std::exit(1);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: model-fuzz SEED RUNS FILE...\n");
        return 2;
    }
    const uint64_t seed = std::strtoull(argv[1], nullptr, 10);
    const uint64_t runs = std::strtoull(argv[2], nullptr, 10);
    std::vector<std::string> corpus;
    for (int i = 3; i < argc; ++i) {
        std::ifstream stream(argv[i], std::ios::binary);
        corpus.emplace_back(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
        if (corpus.back().empty()) {
            std::fprintf(stderr, "%s: cannot be read\n", argv[i]);
            return 2;
        }
    }
    uint64_t valid = 0;
    uint64_t faults = 0;
    for (uint64_t run = 0; run < runs; ++run) {
        Random random(seed + run); // One generator per run, so that a failing run can be reproduced alone.
        std::string text = corpus[randomBelow(random, corpus.size())];
        for (size_t i = 1 + randomBelow(random, 4); i > 0; --i)
            mutate(text, random);
        const auto lines = static_cast<int>(std::count(text.begin(), text.end(), '\n')) + 1;
        const auto parsed = model::parseSet({ { "fuzz", text } });
        for (const auto& fault : parsed.faults_)
            if (fault.file_ != "fuzz" || fault.line_ < 1 || fault.line_ > lines || fault.reason_.empty())
                reportFailure("fault without position or reason", seed, run, text);
        if (parsed.faults_ != model::parseSet({ { "fuzz", text } }).faults_)
            reportFailure("faults differ between two runs", seed, run, text);
        faults += parsed.faults_.size();
        if (!parsed.faults_.empty())
            continue;
        ++valid;
        const auto canonical = model::canonicalText(parsed.set_);
        const auto again = model::parseSet({ { "canonical", canonical } });
        if (!again.faults_.empty() || !(again.set_ == parsed.set_)
            || model::canonicalText(again.set_) != canonical || !model::diff(parsed.set_, again.set_).empty())
            reportFailure("canonical text reads back as another set", seed, run, text);
    }
    std::printf("%llu runs from seed %llu: %llu without faults, %llu faults in the others\n",
        static_cast<unsigned long long>(runs), static_cast<unsigned long long>(seed),
        static_cast<unsigned long long>(valid), static_cast<unsigned long long>(faults));
    // Without sets of both kinds the properties would not have been tested.
    return valid == 0 || faults == 0 ? 1 : 0;
}
