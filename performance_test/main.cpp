// Runs every registered benchmark; `comparison` as the first word prints the limits' comparison.
#include "performance_test/limits_comparison.hpp"

#include <benchmark/benchmark.h>
#include <string_view>

int main(int argc, char** argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "comparison")
    {
        tarragontrail::limits::print_limits_comparison();
        return 0;
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
