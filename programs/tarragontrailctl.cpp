#include "tarragontrail/config/generated_ctl_settings.hpp"
#include "tarragontrail/ctl/command_line.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace tarragontrail;
    try
    {
        // The settings loader takes flags out of a list of words that it may reorder.
        std::vector<std::string> line = ctl::expand_switches({argv, argv + argc});
        std::vector<char*> words;
        words.reserve(line.size());
        for (std::string& word : line)
        {
            words.push_back(word.data());
        }
        int count = static_cast<int>(words.size());
        char** first = words.data();
        const config::ctl_settings settings = config::load_ctl_settings(count, first);
        const std::vector<std::string> command(first + 1, first + count);
        return static_cast<int>(ctl::run_command_line(settings, command, std::cout, std::cerr));
    }
    catch (const config::setting_error& failure)
    {
        std::cerr << failure.what() << '\n';
        return static_cast<int>(ctl::exit_code::usage);
    }
    catch (const std::exception& failure)
    {
        // Whatever else failed, a command may have been sent before.
        std::cerr << failure.what() << '\n';
        return static_cast<int>(ctl::exit_code::outcome_unknown);
    }
}
