#include "wigeonrill/base.h"

#include <CppUTest/TestHarness.h>

using namespace wigeonrill;

TEST_GROUP(stable_hash){};

// Guards against a change of the hash values: nodes of different builds must choose the same owner.
TEST(stable_hash, has_fixed_values) {
    UNSIGNED_LONGLONGS_EQUAL(17665956581633026203ULL, stable_hash(""));
    CHECK(stable_hash("a") != stable_hash("b"));
    CHECK(stable_hash("a", 1) != stable_hash("a", 2));
}

// Guards against an uneven distribution: each of 10 candidates must get about a tenth of the keys.
TEST(stable_hash, rendezvous_spreads_keys_evenly) {
    constexpr int candidates = 10;
    constexpr int keys = 10000;
    std::array<int, candidates> counts{};
    for (int key = 0; key < keys; ++key) {
        const auto key_hash = stable_hash("key-" + std::to_string(key));
        std::size_t best = 0;
        std::uint64_t best_score = 0;
        for (std::size_t i = 0; i < candidates; ++i) {
            const auto score = rendezvous_score(key_hash, stable_hash("node-" + std::to_string(i)));
            if (score > best_score) {
                best_score = score;
                best = i;
            }
        }
        ++counts.at(best);
    }
    for (const int n : counts) {
        CHECK(n > 850 && n < 1150);
    }
}
