#!/usr/bin/env bash
# Plays the regression runs of the deployments on the users' bench and says which failed.
#
# usage: deploy/regression.sh BENCH SYSTEM OUT [round|landing]
#
# BENCH is the bench's program, SYSTEM the directory of the deployments, OUT a new directory for what the runs print.
# `round` (the default) scores the largest deployments and plays the days under deploy/days; `landing` scores the earlier
# deployments as well and hunts on all of them.
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
[[ -x $bench ]] || { echo "$bench is no program" >&2; exit 2; }
[[ -d $system ]] || { echo "$system is no directory" >&2; exit 2; }
mkdir "$out"

# Those that each round plays, and the earlier ones. A day of the first occupies some 300 processes.
round=(large/mukamana-retreats-large further-grown/dokum-kits-grown further/dokum-kits)
earlier=(grown/mukamana-retreats-grown grown/kwsoft-towers-grown sites/mukamana-retreats sites/kwsoft-towers)
failed=0

# Runs the bench with what it prints in a file of its own. The bench also ends with 0 where a rule was broken.
play() {
    local name=$1
    shift
    echo "$(date -u +%T) $name"
    if ! "$bench" "$@" >"$out/$name.txt" 2>&1 || grep -qE 'BROKEN|GATE failed' "$out/$name.txt"; then
        echo "$name failed; see $out/$name.txt" >&2
        failed=1
    fi
}

# The days that play at the same time: no more than a few hundred processes.
jobs_of() { case $1 in large/*) echo 1 ;; *grown/*) echo 2 ;; *) echo 3 ;; esac; }
# 60 machines or more: 8 hunted days, else 40.
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
