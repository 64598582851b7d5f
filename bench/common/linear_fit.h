#ifndef WIGEONRILL_BENCH_LINEAR_FIT_H
#define WIGEONRILL_BENCH_LINEAR_FIT_H

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>
#include <vector>

namespace wigeonrill::bench {

/// \brief Least-squares line through measured points, with its largest relative error.
class linear_fit {
public:
    /// \brief Adds a measured point.
    void add(double size, double cost) { points_.emplace_back(size, cost); }

    /// \returns cost per unit of size
    [[nodiscard]] double slope() const {
        const auto [mean_size, mean_cost] = means();
        double above = 0;
        double below = 0;
        for (const auto& [size, cost] : points_) {
            above += (size - mean_size) * (cost - mean_cost);
            below += (size - mean_size) * (size - mean_size);
        }
        return below > 0 ? above / below : 0;
    }

    /// \returns cost at size 0
    [[nodiscard]] double intercept() const {
        const auto [mean_size, mean_cost] = means();
        return mean_cost - slope() * mean_size;
    }

    /// \returns the largest distance of a point from the line, as a share of the largest cost
    [[nodiscard]] double error() const {
        double worst = 0;
        double largest = 0;
        for (const auto& [size, cost] : points_) {
            worst = std::max(worst, std::abs(intercept() + slope() * size - cost));
            largest = std::max(largest, std::abs(cost));
        }
        return largest > 0 ? worst / largest : 0;
    }

    /// \brief Prints one line with slope, intercept and error.
    void print(const char* name, const char* unit, const char* per) const {
        std::printf("fit: %s = %.4g %s + %.4g %s per %s; largest error %.0f%% of the largest\n",
                    name, intercept(), unit, slope(), unit, per, error() * 100);
    }

private:
    [[nodiscard]] std::pair<double, double> means() const {
        std::pair<double, double> sum;
        for (const auto& [size, cost] : points_) {
            sum.first += size;
            sum.second += cost;
        }
        const auto n = static_cast<double>(std::max<std::size_t>(points_.size(), 1));
        return {sum.first / n, sum.second / n};
    }

    std::vector<std::pair<double, double>> points_;
};

} // namespace wigeonrill::bench

#endif
