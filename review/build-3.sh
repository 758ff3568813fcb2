#!/bin/sh
# Builds the stand-ins of the cases review/11 to review/15. The programs of the system are built by the
# command of the deploy file.
set -e
cd "$(dirname "$0")/standins-3"
exec cargo build --release --offline --target-dir ../../target/review-3
