#include "unit_tests/crowds/process_usage.hpp"

#include <array>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unordered_set>

namespace tarragontrail::test {
namespace {

constexpr std::size_t bytes_per_kilobyte = 1'024;

std::size_t memory_line(const std::string& folder, const std::string& name)
{
    std::ifstream file(folder + "/status");
    for (std::string line; std::getline(file, line);)
    {
        if (line.rfind(name, 0) == 0)
        {
            return std::stoull(line.substr(line.find(':') + 1)) * bytes_per_kilobyte;
        }
    }
    return 0;
}

/// Sum over all connections whose inodes are given; a listening socket has no bytes.
std::size_t unread_bytes(const std::string& folder, const std::unordered_set<std::string>& sockets)
{
    constexpr const char* listening = "0A";
    constexpr int hexadecimal = 16;
    std::size_t sum = 0;
    std::ifstream file(folder + "/net/tcp");
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line))
    {
        std::istringstream words(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string skipped;
        std::string inode;
        words >> number >> local >> remote >> state >> queues >> skipped >> skipped >> skipped >>
            skipped >> inode;
        if (state == listening || !sockets.contains(inode))
        {
            continue;
        }
        sum += std::stoull(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return sum;
}

} // namespace

process_usage read_usage(pid_t process)
{
    namespace files = std::filesystem;
    const std::string folder = fmt::format("/proc/{}", process);
    process_usage usage;
    usage.m_resident_bytes = memory_line(folder, "VmRSS:");
    usage.m_peak_bytes = memory_line(folder, "VmHWM:");
    std::unordered_set<std::string> sockets;
    std::error_code error;
    for (const auto& each : files::directory_iterator(folder + "/fd", error))
    {
        ++usage.m_descriptors;
        const std::string target = files::read_symlink(each.path(), error).string();
        const std::string prefix = "socket:[";
        if (target.rfind(prefix, 0) == 0)
        {
            sockets.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
        }
    }
    usage.m_unread_bytes = unread_bytes(folder, sockets);
    return usage;
}

} // namespace tarragontrail::test
