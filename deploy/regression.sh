#!/usr/bin/env bash
# Runs the regression runs of the deployments on the users' bench and prints which failed.
#
# usage: deploy/regression.sh BENCH SYSTEM OUT [round|landing]
#
# BENCH is the bench's executable, SYSTEM the directory of the deployments, OUT a new directory for the output of the
# runs.
# `round` (the default) scores the largest deployments and runs the days under deploy/days; `landing` also scores the
# earlier deployments and runs the bench's hunt on all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
if (($# < 3 || $# > 4)); then
    sed -n 's/^# usage: */usage: /p' "$0" >&2
    exit 2
fi
bench=$1 system=$2 out=$3 extent=${4:-round}
case $extent in
round | landing) ;;
*)
    echo "unknown extent '$extent': expected round or landing" >&2
    exit 2
    ;;
esac
[[ -x $bench ]] || { echo "BENCH $bench is not an executable file" >&2; exit 2; }
[[ -d $system ]] || { echo "SYSTEM $system is not a directory" >&2; exit 2; }
mkdir "$out"

# The deployments of every round, and the earlier ones. A day of the first deployment takes about 300 processes.
round=(large/mukamana-retreats-large further-grown/dokum-kits-grown further/dokum-kits)
earlier=(grown/mukamana-retreats-grown grown/kwsoft-towers-grown sites/mukamana-retreats sites/kwsoft-towers)
failed=0

# Runs the bench with its output in a file named after the run. The bench also exits with 0 if a rule was broken, so the
# output is searched for failures.
play() {
    local name=$1
    shift
    echo "$(date -u +%T) $name"
    if ! "$bench" "$@" >"$out/$name.txt" 2>&1 || grep -qE 'BROKEN|GATE failed' "$out/$name.txt"; then
        echo "$name failed; see $out/$name.txt" >&2
        failed=1
    fi
}

# The number of days that run at the same time, so that they take no more than a few hundred processes.
jobs_of() { case $1 in large/*) echo 1 ;; *grown/*) echo 2 ;; *) echo 3 ;; esac; }
# The number of days of a hunt: 8 for deployments of 60 machines or more, else 40.
days_of() { case $1 in large/* | *grown/*) echo 8 ;; *) echo 40 ;; esac; }

commit=$(git rev-parse --short HEAD)
for site in "${round[@]}"; do
    name=${site##*/}
    play "score-$name" score "$system/$site.toml" --jobs "$(jobs_of "$site")" --why "regression ($extent) of $commit"
done
for day in deploy/days/*.toml; do
    name=$(basename "$day" .toml)
    play "day-$name" run "$system/further/dokum-kits.toml" "$day" --why "regression ($extent) of $commit, own day $name"
done
if [[ $extent == landing ]]; then
    for site in "${earlier[@]}"; do
        name=${site##*/}
        play "score-$name" score "$system/$site.toml" --jobs "$(jobs_of "$site")" --why "landing of $commit"
    done
    for site in "${round[@]}" "${earlier[@]}"; do
        name=${site##*/}
        play "hunt-$name" hunt "$system/$site.toml" --days "$(days_of "$site")" --jobs "$(jobs_of "$site")" \
            --why "hunt for the landing of $commit"
    done
fi
exit "$failed"
