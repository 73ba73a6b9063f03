#ifndef SYCAMORESPAN_PROGRAMS_COMMON_METRIC_FAMILIES_H
#define SYCAMORESPAN_PROGRAMS_COMMON_METRIC_FAMILIES_H

#include <cstdint>
#include <string>

#include <prometheus/metric_family.h>

namespace sycamorespan::programs {

/** \returns a metric family with a single metric that has no labels. */
inline prometheus::MetricFamily metricFamily(const std::string &name, const std::string &help,
                                             prometheus::MetricType type, std::uint64_t value)
{
    prometheus::ClientMetric metric;
    metric.counter.value = static_cast<double>(value);
    metric.gauge.value = static_cast<double>(value);
    return {name, help, type, {metric}};
}

/** \brief Creates the metric families of one program; all their names start with a prefix. */
class metric_maker
{
public:
    explicit metric_maker(std::string prefix)
        : m_prefix(std::move(prefix))
    { }

    prometheus::MetricFamily counter(const std::string &name, const std::string &help,
                                     std::uint64_t value) const
    {
        return metricFamily(m_prefix + name, help, prometheus::MetricType::Counter, value);
    }

    prometheus::MetricFamily gauge(const std::string &name, const std::string &help,
                                   std::uint64_t value) const
    {
        return metricFamily(m_prefix + name, help, prometheus::MetricType::Gauge, value);
    }

private:
    std::string m_prefix;
};

} // namespace sycamorespan::programs

#endif
