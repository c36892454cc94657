#include <functional>
#include <iostream>
#include <map>

#include "cases.h"

int main(int argc, char** argv)
{
    using namespace review;
    static const std::map<std::string, int (*)(const std::string&)> cases{{"resend", resend_case},
                                                                          {"dropped-route", dropped_route_case},
                                                                          {"kind", kind_case},
                                                                          {"room", room_case}};
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review-case NAME RECORD\n";
        return 2;
    }
    try {
        return found->second(argv[2]);
    } catch (const std::exception& problem) {
        std::cerr << "the case could not run: " << problem.what() << '\n';
        return 2;
    }
}
