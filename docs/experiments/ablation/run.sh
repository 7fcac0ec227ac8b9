#!/usr/bin/env bash
# Switches mechanisms of the opaque path off, one at a time, and scores the users' small deployments.
#
# usage: run.sh SCRATCH BENCH SITES OUT [NAME...]
#   SCRATCH  a clone of this repository that may be changed; its journal keeps the trials
#   BENCH    the users' bench
#   SITES    the folder with their deployments
#   OUT      where each score goes, as NAME-SITE.txt
# A mechanism is switched off by a change of the scratch copy's source: no switch is left in the product.
set -euo pipefail
scratch=$1 bench=$2 sites=$3 out=$4
shift 4

flows=crates/flows/src
# name | file | what is replaced (a regular expression) | by what
mechanisms() {
  cat <<'TABLE'
control | crates/flows/src/lib.rs | \z | 
first-packets-count | crates/flows/src/agent/inward.rs | entry\.waiting = Some\(now\);(.*?)self\.count_progress\(1, now\); | $1let _ = &mut entry;
spill | crates/flows/src/balancer/offer.rs | ordered\.extend\(self\.spill\( | let _ = (self.spill(
target-health | crates/flows/src/agent/health.rs | self\.cuts >= CUTS_NEEDED && \(now < | false \&\& self.cuts >= CUTS_NEEDED \&\& (now <
shared-silence | crates/flows/src/balancer/search.rs | if search\.open\.is_empty\(\) \{\n            return;\n        \}\n        let loads | if true {\n            return;\n        }\n        let loads
isolation | crates/flows/src/load.rs | silent\.count\(\) >= ISOLATION_AGENTS | silent.count() > usize::from(u16::MAX) + ISOLATION_AGENTS
resumed-searches | crates/flows/src/balancer/search.rs | if !view\.complete \{\n                self | if true {\n                self
pass-on-when-busy | crates/flows/src/agent.rs | self\.in_progress >= slots\.saturating_mul | slots > 60_000 \&\& self.in_progress >= slots.saturating_mul
zone-preference | crates/flows/src/load.rs | FAR_COST: f32 = 0\.35 | FAR_COST: f32 = 0.0
cold-weights | crates/flows/src/load.rs | WARMING_FACTOR: f32 = 1\.6 | WARMING_FACTOR: f32 = 1.0
load-smoothing | crates/flows/src/load.rs | \(now \+ average\) / 2\.0 | (now + 0.0 * average)
random-part | crates/flows/src/load.rs | SCORE_SPREAD: f32 = 0\.35 | SCORE_SPREAD: f32 = 0.0
held-packets | crates/flows/src/balancer.rs | return BalancerStep::Hold; | return BalancerStep::Drop;
TABLE
}

run() {
  local name=$1 file=$2 from=$3 to=$4
  git -C "$scratch" checkout -q -- crates
  FROM="$from" TO="$to" perl -0pi -e 's/$ENV{FROM}/my $t = $ENV{TO}; my $one = $1 \/\/ ""; $t =~ s|\\n|\n|g; $t =~ s|\\&|&|g; $t =~ s|\$1|$one|; $t/se' \
    "$scratch/$file"
  if [ "$name" != control ] && git -C "$scratch" diff --quiet -- crates; then
    echo "$name: nothing was replaced" >&2
    return 1
  fi
  for site in further/lvs-stmk sites/irc-claims sites/desai-outage; do
    (cd "$scratch" && "$bench" score "$sites/$site.toml" --jobs 4 \
      --why "trial, ablation: without $name") > "$out/$name-$(basename "$site").txt" 2>&1
  done
}

wanted=" $* "
mechanisms | while IFS= read -r line; do
  IFS='|' read -r name file from to <<< "${line// | /|}"
  name=${name// /}
  if [ "$wanted" = "  " ] || [[ "$wanted" == *" $name "* ]]; then
    run "$name" "${file// /}" "$from" "${to%$'\n'}"
  fi
done
git -C "$scratch" checkout -q -- crates
