// Tests of the message codec.
#include "turmericwing/peer/message.h"

#include "turmericwing/base/random.h"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

using namespace turmericwing;
using namespace turmericwing::peer;
using Json = nlohmann::json;

namespace {

const std::vector<Envelope> samples {
    { 0, 0, Heartbeat { 9, true, 1ull << 40, 12, { { "a-1", 30, 1, 2, 77, 900, 400, { "h7", "h8" } } } } },
    { 1, 0, Probe { 9, true, 77 } },
    { 0, 1, Evidence { 9, true, false, 77, "digest" } },
    { 2, 0, HeadGet { 76 } },
    { 0, 2, HeadRow { 77, 123456, true, "{\"revision\":1}" } },
    { 3, 0, BlobGet { "digest", 1 << 19 } },
    { 0, 3, Blob { "digest", 1 << 19, 1 << 22, { 0, 255, 10 } } },
    { 4, 0, TokenPull { "w1", 5, 100 } },
    { 0, 4, TokenGrant { "w1", 5, 90, 500 } },
    { 5, 0, SlotBorrow { "u1", 5, 1 } },
    { 0, 5, SlotLoan { "u1", 5, 8, { 0, 2 }, 1000 } },
    { 0, 0, SlotReturn { "u1", 5, 8, { 2 } } },
    { 6, 0, MoveStats { "m1", 9, 2, { { "r1", { 1000, 3, 5000000, 12.5 }, { 10, 0, 50000, 0.25 } } } } },
    { 0, 6, MoveShare { "m1", 5, 2, 0.01, 1000 } },
    { 0, 0, MoveTrip { "m1", 2, "errors" } },
    { 0, 0, Crash { "u1", { "f1", "f2" } } },
    { 0, 0, Quarantine { "f1", "u1", 600000 } },
    { 0, 7, Refusal { 4, "epoch 4 is not current" } },
};

std::string cbor(const Json& json)
{
    std::string out;
    Json::to_cbor(json, out);
    return out;
}

DecodeErrorCode failure(const std::string& bytes)
{
    const DecodeResult result = decode(bytes);
    REQUIRE_FALSE(result);
    return result.error().code_;
}

} // namespace

TEST_CASE("every message survives a round trip")
{
    // Guards against a field that is written but not read, or the reverse.
    REQUIRE(samples.size() == std::variant_size_v<Message>);
    for (size_t i = 0; i < samples.size(); ++i) {
        CAPTURE(typeName(samples[i].message_));
        REQUIRE(samples[i].message_.index() == i);
        const auto decoded = decode(encode(samples[i]).value());
        REQUIRE(decoded);
        CHECK((decoded.value() == samples[i]));
    }
}

TEST_CASE("every missing or mistyped field is reported")
{
    // Guards against a default value in place of a field that a peer did not send.
    for (const auto& sample : samples) {
        const Json whole = Json::from_cbor(encode(sample).value());
        for (const auto& [name, value] : whole.items()) {
            CAPTURE(typeName(sample.message_));
            CAPTURE(name);
            Json changed = whole;
            changed[name] = value.is_boolean() ? Json(1) : Json(true);
            const DecodeResult mistyped = decode(cbor(changed));
            REQUIRE_FALSE(mistyped);
            CHECK((mistyped.error() == DecodeError { DecodeErrorCode::MistypedField, name }));
            if (name == "i" || name == "r")
                continue;
            changed.erase(name);
            const DecodeResult missing = decode(cbor(changed));
            REQUIRE_FALSE(missing);
            CHECK((missing.error() == DecodeError { DecodeErrorCode::MissingField, name }));
        }
    }
}

TEST_CASE("nested fields, ranges, versions and types are checked")
{
    // Guards against truncated numbers and against misreading another release's messages.
    const Json probe = Json::from_cbor(encode(samples[1]).value());
    auto with = [&](const char* name, const Json& value) {
        Json changed = probe;
        changed[name] = value;
        return cbor(changed);
    };
    CHECK((failure(with("v", 2)) == DecodeErrorCode::UnknownVersion));
    CHECK((failure(with("t", 1000)) == DecodeErrorCode::UnknownType));
    CHECK((failure(with("t", 1ull << 32)) == DecodeErrorCode::MistypedField));
    CHECK((failure(with("h", -1)) == DecodeErrorCode::MistypedField));
    Json pull = Json::from_cbor(encode(samples[7]).value());
    pull["n"] = 1ull << 32;
    CHECK((failure(cbor(pull)) == DecodeErrorCode::MistypedField));
    Json share = Json::from_cbor(encode(samples[13]).value());
    share["p"] = std::numeric_limits<double>::quiet_NaN();
    CHECK((failure(cbor(share)) == DecodeErrorCode::MistypedField));
    Json stats = Json::from_cbor(encode(samples[12]).value());
    stats["R"][0]["n"].erase("q");
    CHECK((failure(cbor(stats)) == DecodeErrorCode::MissingField));
    CHECK(decode(with("future", Json { { "x", 1 } })));
}

TEST_CASE("size and depth are checked before decoding")
{
    // Guards against a peer that exhausts memory or stack.
    CHECK((failure(std::string(maxMessageBytes + 1, '\x80')) == DecodeErrorCode::TooLarge));
    CHECK((failure(std::string(maxMessageBytes, '\x81')) == DecodeErrorCode::TooDeep));
    const auto nested = [](int depth) {
        Json json = 1;
        for (int i = 0; i < depth; ++i)
            json = Json::array({ json });
        return cbor(json);
    };
    CHECK((failure(nested(maxMessageDepth)) == DecodeErrorCode::Malformed));
    CHECK((failure(nested(maxMessageDepth + 1)) == DecodeErrorCode::TooDeep));
    // Announced sizes beyond the bytes, a tag, an indefinite length, trailing bytes, nothing.
    for (const char* text : { "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff",
             "\x7a\xff\xff\xff\xff", "\xc1\xa0", "\xbf\xff", "\xa0\xa0", "" }) {
        CAPTURE(text);
        CHECK((failure(text) == DecodeErrorCode::Malformed));
    }
    CHECK(encode({ 0, 0, Refusal { 1, std::string(maxMessageBytes, 'x') } }).error().code_
        == ErrorCode::Invalid);
}

TEST_CASE("mutated messages never break the decoder")
{
    // Guards against input that stops the process or decodes to something that cannot be encoded again.
    Random random(20261204);
    size_t accepted = 0;
    for (int i = 0; i < 100'000; ++i) {
        std::string bytes = encode(samples[random() % samples.size()]).value();
        for (uint64_t changes = 1 + random() % 4; changes > 0; --changes) {
            const size_t position = random() % bytes.size();
            switch (random() % 4) {
            case 0:
                bytes[position] = static_cast<char>(random());
                break;
            case 1:
                bytes[position] = static_cast<char>(bytes[position] ^ (1 << random() % 8));
                break;
            case 2:
                bytes.insert(position, 1, static_cast<char>(random()));
                break;
            default:
                bytes.resize(position + 1);
            }
        }
        const DecodeResult decoded = decode(bytes);
        if (!decoded)
            continue;
        ++accepted;
        const DecodeResult again = decode(encode(decoded.value()).value());
        REQUIRE(again);
        REQUIRE((again.value() == decoded.value()));
    }
    // Both outcomes must occur, or the run shows nothing.
    CHECK(accepted > 1000);
    CHECK(accepted < 99'000);
}
