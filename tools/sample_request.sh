#!/usr/bin/env bash
# Sends one streamed completion, an order and its repeat to the first entry; shows what came of them.
set -euo pipefail
entry=${TT_ENTRIES%%,*}
echo "== Entries for this workspace's callers"
curl -sS "http://$entry/v1/locate?workspace=court&region=north"
echo
bundle=$(printf 'Article %s of the bundle. ' $(seq 1 800))
body=$(printf '{"model":"notary","stream":true,"max_tokens":12,"messages":[{"role":"system","content":"%s"},{"role":"user","content":"Draft the notice."}]}' "$bundle")
for turn in first second; do
  echo "== Streamed answer, $turn time"
  curl -sSN --retry 5 -H "Authorization: Bearer tt-court-1" -d "$body" "http://$entry/v1/chat/completions"
done
echo "== An order and its repeat with the same Idempotency-Key"
for turn in 1 2; do
  curl -sS -i -H "Authorization: Bearer tt-court-1" -H "Idempotency-Key: order-7" \
    -d '{"notice":7}' "http://$entry/orders" | tr -d '\r' | grep -iE '^HTTP|^idempotent|^\{'
done
echo "== A withdrawn or unknown key"
curl -sS -H "Authorization: Bearer tt-nobody" -d "$body" "http://$entry/v1/chat/completions"
echo
echo "== Decisions in the entry's log"
grep -hE 'event=(routed|call_routed|completed) ' "$TT_LOGS"/entry-1.log
echo "== Some metrics"
curl -sS "http://${TT_METRICS%%,*}/metrics" | grep -E '^tarragontrail_(prompt_tokens|routing_decisions|first_token_seconds_count|requests)'
