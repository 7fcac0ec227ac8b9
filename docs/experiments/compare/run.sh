#!/usr/bin/env bash
# Plays days of the users' deployments with one build and leaves their reports for `lovagelatch-experiments compare`.
#
# usage: run.sh LABEL TREE BENCH OUT SEEDS SITE:DAY[:vary]...
#   LABEL  the build's name in the reports
#   TREE   a clone of this repository at the build; its journal keeps the trials
#   BENCH  the users' bench
#   OUT    where the reports go; a day that has one is not played again
#   SEEDS  how many seeds of each day, the same for every build
# Each DAY is a name of the site's, or a day file; with `vary` its times and figures are varied by the seed.
set -euo pipefail
label=$1 tree=$2 bench=$3 out=$4 seeds=$5
shift 5
mkdir -p "$out"
cd "$tree"
"$bench" build > /dev/null
total=$(($# * seeds)) played=0
for item in "$@"; do
  IFS=: read -r site day vary <<< "$item"
  for seed in $(seq 1 "$seeds"); do
    name="$(basename "$site" .toml)+$(basename "$day" .toml)+$seed"
    played=$((played + 1))
    [ -s "$out/$name.$label.json" ] && continue
    echo "$played of $total: $name" >&2
    "$bench" run "$site" "$day" ${vary:+--vary} --seed "$seed" --report "$out/$name.$label.json" \
      --why "trial: comparison, $label" > "$out/$name.$label.txt" 2>&1 || echo "$name: not played" >&2
  done
done
