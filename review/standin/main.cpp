// Runs one case of the review against real processes of the session proxy:
//
//     standin CASE PROGRAM TEMPLATE RECORD TROUBLE
//
// Exit code 0 when the rule held, 1 when it was broken, 2 when the case could not run.

#include "cases.h"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <unistd.h>

int main(int argc, char** argv)
{
    if (argc != 6) {
        std::cerr << "usage: standin CASE PROGRAM TEMPLATE RECORD TROUBLE\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argv[1];
    const auto folder
        = std::filesystem::temp_directory_path() / ("review-" + name + '-' + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    int result = 2;
    try {
        review::Record record { argv[4] };
        review::World world { argv[2], argv[3], folder.string(), record };
        const bool trouble = std::string { argv[5] } != "0";
        if (!world.begin())
            record.line("the machines did not become ready");
        else if (name == "unusable_address")
            result = review::runUnusableAddress(world, record, trouble);
        else if (name == "line_feed")
            result = review::runLineFeed(world, record, trouble);
        else if (name == "planned_stop")
            result = review::runPlannedStop(world, record, trouble);
        record.line(result == 0 ? "result: the rule held"
                : result == 1   ? "result: the rule was broken"
                                : "result: the case could not run");
    } catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << '\n';
    }
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder);
    return result;
}
