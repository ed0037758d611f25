#include <cyclamendrift/cyclamendrift.h>

#include <iostream>

/// Uses one function of the installed library, so that linking is tried as well.
int main()
{
    using namespace cyclamendrift;

    std::cout << nameOf(RefusalReason::OverLimit) << '\n';
    return refusalReasonFrom("over_limit") == RefusalReason::OverLimit ? 0 : 1;
}
