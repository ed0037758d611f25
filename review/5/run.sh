#!/bin/sh
# Reads of own writes after a route was changed and changed back. TROUBLE=0: without the changes and with normal replicas.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/platform/cyclamendrift-sessions ] || exit 2
exec target/review-2/standin own-writes review/5/record.txt
