#include <cyclamendrift/cyclamendrift.h>

#include <iostream>

/// Shows that a promotion covers every acknowledged position of earlier terms.
int main()
{
    using namespace cyclamendrift;

    const Progress acknowledged { Term { 1 }, LogPosition { 900 } };
    const Progress promoted { Term { 2 }, LogPosition { 0 } };

    std::cout << (promoted > acknowledged ? "covered\n" : "not covered\n");
    return promoted > acknowledged ? 0 : 1;
}
