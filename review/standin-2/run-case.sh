#!/bin/sh
# Runs one case: run-case.sh CLASS FOLDER. Exit 1: the rule was broken, 0: it held, 2: it could not run.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/linengauge.jar ] || [ ! -f "target/review-2/$1.class" ]; then
  echo "build the project by the deploy file, then run review/build-2.sh" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
java -Xmx256m -XX:-UsePerfData -cp target/review-2 "$1" "$folder" "$temporary" &
case_process=$!
trap 'kill "$case_process" 2>/dev/null; wait "$case_process"; rm -rf "$temporary"; exit 2' INT TERM HUP
wait "$case_process"
result=$?
rm -rf "$temporary"
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
