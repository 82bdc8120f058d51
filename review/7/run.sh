#!/bin/sh
# Case 7; see claim.txt. Needs target/release/apricotd and review/build-2.sh. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/apricotd ] && [ -x target/review-2/review-2 ] || exit 2
exec target/review-2/review-2 slow-reader review/7
