#ifndef WIGEONRILL_BENCH_LINEAR_FIT_H
#define WIGEONRILL_BENCH_LINEAR_FIT_H

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>
#include <vector>

namespace wigeonrill::bench {

/// \brief Least-squares line of a cost against a size, with its largest relative error.
class linear_fit {
public:
    /// \brief Adds a measured cost at a size.
    void add(double size, double cost) { measured_points_.emplace_back(size, cost); }

    /// \returns the cost per unit of size; 0 when all sizes are equal
    [[nodiscard]] double slope() const {
        const auto [mean_size, mean_cost] = means();
        double covariance = 0;
        double variance = 0;
        for (const auto& [size, cost] : measured_points_) {
            covariance += (size - mean_size) * (cost - mean_cost);
            variance += (size - mean_size) * (size - mean_size);
        }
        return variance > 0 ? covariance / variance : 0;
    }

    /// \returns the cost at size 0, extrapolated by the line
    [[nodiscard]] double intercept() const {
        const auto [mean_size, mean_cost] = means();
        return mean_cost - slope() * mean_size;
    }

    /// \returns the largest deviation of a measured cost from the line, as a fraction of the
    ///          largest measured cost
    [[nodiscard]] double relative_error() const {
        double largest_deviation = 0;
        double largest_cost = 0;
        for (const auto& [size, cost] : measured_points_) {
            largest_deviation =
                std::max(largest_deviation, std::abs(intercept() + slope() * size - cost));
            largest_cost = std::max(largest_cost, std::abs(cost));
        }
        return largest_cost > 0 ? largest_deviation / largest_cost : 0;
    }

    /// \brief Prints intercept, slope and largest relative error in one line.
    /// \param name name of the measured cost
    /// \param unit unit of the cost
    /// \param per unit of the size
    void print(const char* name, const char* unit, const char* per) const {
        std::printf("fit: %s = %.4g %s + %.4g %s per %s; largest error %.0f%% of the largest\n",
                    name, intercept(), unit, slope(), unit, per, relative_error() * 100);
    }

private:
    /// \returns mean size and mean cost
    [[nodiscard]] std::pair<double, double> means() const {
        std::pair<double, double> sum;
        for (const auto& [size, cost] : measured_points_) {
            sum.first += size;
            sum.second += cost;
        }
        const auto n = static_cast<double>(std::max<std::size_t>(measured_points_.size(), 1));
        return {sum.first / n, sum.second / n};
    }

    std::vector<std::pair<double, double>> measured_points_;
};

} // namespace wigeonrill::bench

#endif
